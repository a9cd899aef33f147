//! Answers without an end, which a caller has to bound.

use std::{io, time::Duration};

use tokio::{io::AsyncWriteExt, net::TcpStream};

use super::{http1::Request, upstream::RESPONSE_STAMP};

/// Size of one write of an unbounded answer.
const UNBOUNDED_BLOCK: usize = 16 << 10;
/// Pause between these writes, so that unbounded answers leave CPU time for the other processes.
const UNBOUNDED_PAUSE: Duration = Duration::from_millis(1);
/// Size at which an "unbounded" answer ends after all, so that a test whose caller reads on terminates.
const MAX_UNBOUNDED: usize = 1 << 30;

/// The part of an HTTP answer that is unbounded.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Endless {
    /// The status line, without a line end.
    Head,
    /// The headers, after a valid status line.
    Headers,
    /// A sequence of interim answers (status 103).
    Interim,
    /// A body without a length, delimited by the end of the connection.
    Body,
    /// A chunked body.
    Chunks,
    /// Empty lines in place of events.
    Lines,
}

/// Writes an unbounded answer until the caller closes the connection, or until it is longer than any caller should
/// accept.
///
/// # Errors
/// When the caller closes the connection.
pub async fn write(socket: &mut TcpStream, request: &Request, part: Endless) -> io::Result<()> {
    let id = request.header("request-id");
    let valid_head = format!("HTTP/1.1 200 x\r\nrequest-id: {id}\r\nresponse-stamp: {RESPONSE_STAMP}\r\n");
    let (head, block) = match part {
        Endless::Head => ("HTTP/1.1 200 ".to_owned(), "x".repeat(UNBOUNDED_BLOCK)),
        Endless::Headers => (valid_head, "x-more: and more\r\n".repeat(UNBOUNDED_BLOCK / 18)),
        Endless::Interim => (String::new(), "HTTP/1.1 103 x\r\n\r\n".repeat(UNBOUNDED_BLOCK / 18)),
        Endless::Body => (valid_head + "connection: close\r\n\r\n", "x".repeat(UNBOUNDED_BLOCK)),
        Endless::Chunks => {
            let chunk = format!("{UNBOUNDED_BLOCK:x}\r\n{}\r\n", "x".repeat(UNBOUNDED_BLOCK));
            (valid_head + "transfer-encoding: chunked\r\n\r\n", chunk)
        }
        Endless::Lines => (valid_head + "connection: close\r\n\r\n", "\n".repeat(UNBOUNDED_BLOCK)),
    };
    socket.write_all(head.as_bytes()).await?;
    for _ in 0..MAX_UNBOUNDED / UNBOUNDED_BLOCK {
        socket.write_all(block.as_bytes()).await?;
        tokio::time::sleep(UNBOUNDED_PAUSE).await;
    }
    Ok(())
}
