//! Parts of an upstream's answers, with the faults that concern them.

use std::{io, time::Duration};

use tokio::{io::AsyncWriteExt, net::TcpStream};

use super::{
    fault::Fault,
    http1::{self, Request},
    upstream::RESPONSE_STAMP,
};

/// Sends nothing for a while.
///
/// # Errors
/// As soon as the caller disconnects.
pub async fn stall(socket: &mut TcpStream, time: Duration) -> io::Result<()> {
    let mut byte = [0];
    match tokio::time::timeout(time, socket.peek(&mut byte)).await {
        Ok(Ok(0)) => Err(io::ErrorKind::ConnectionAborted.into()),
        Ok(Err(error)) => Err(error),
        Ok(Ok(_)) | Err(_) => Ok(()),
    }
}

/// Writes a part of a body.
///
/// # Errors
/// If the connection breaks.
pub async fn write_part(socket: &mut TcpStream, bytes: &[u8], chunked: bool) -> io::Result<()> {
    if !chunked {
        return socket.write_all(bytes).await;
    }
    let chunk = [format!("{:x}\r\n", bytes.len()).as_bytes(), bytes, b"\r\n"].concat();
    socket.write_all(&chunk).await
}

/// Writes the answer of a plain service. Returns whether the connection stays open for further requests.
///
/// # Errors
/// If the connection breaks.
pub async fn answer_plain(
    socket: &mut TcpStream,
    request: &Request,
    fault: Option<Fault>,
    announcement: &[(&str, &str)],
) -> io::Result<bool> {
    let id = if fault == Some(Fault::WrongId) { "another" } else { request.header("request-id") };
    let body = format!("{} {} done", request.method, request.target);
    if let Some(Fault::Cut(_)) = fault {
        let head = format!(
            "HTTP/1.1 200 x\r\nrequest-id: {id}\r\nresponse-stamp: {RESPONSE_STAMP}\r\ncontent-length: {}\r\n\r\n",
            body.len()
        );
        socket.write_all(head.as_bytes()).await?;
        socket.write_all(&body.as_bytes()[..body.len() / 2]).await?;
        return Ok(false);
    }
    let headers = [&[("request-id", id), ("response-stamp", RESPONSE_STAMP)], announcement].concat();
    http1::write(socket, 200, &headers, body.as_bytes()).await?;
    if fault == Some(Fault::SecondAnswer) {
        socket.write_all(second_answer("another").as_bytes()).await?;
    }
    Ok(true)
}

/// An answer that no request has asked for.
#[must_use]
pub fn second_answer(id: &str) -> String {
    format!("HTTP/1.1 200 x\r\nrequest-id: {id}\r\nresponse-stamp: {RESPONSE_STAMP}\r\ncontent-length: 5\r\n\r\nwrong")
}
