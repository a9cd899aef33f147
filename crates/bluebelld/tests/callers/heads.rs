//! Request heads over the limit or without end. They guard against a process that runs out of memory, because each
//! connection may hold far more than the limit of a head.

use std::time::Duration;

use super::hostile::{CONNECTIONS, HEAD_LIMIT, MANY_CONNECTIONS, SmallSite, write_all};

/// First part of a request, in bytes: many times the limit, and within the default of the HTTP library.
const HELD_BYTES: usize = 400_000;
const _: () = assert!(HELD_BYTES > 10 * HEAD_LIMIT);
/// What a caller without end sends at most after that, in bytes.
const MORE_BYTES: usize = 2 << 20;
/// Start of a request's head.
const HEAD_START: &[u8] = b"POST /look/1 HTTP/1.1\r\nhost: site.example\r\n";
/// Time between two bytes of a slow head.
const BYTE_INTERVAL: Duration = Duration::from_millis(100);
/// Bytes of a slow head.
const SLOW_BYTES: usize = 20;

async fn flood(start: &[u8], part: &[u8], end: &[u8], more: usize, what: &str) {
    let small = SmallSite::start().await;
    let mut sockets = small.connect(CONNECTIONS).await;
    write_all(&mut sockets, start, 1).await;
    write_all(&mut sockets, part, HELD_BYTES / part.len()).await;
    small.check(what);
    write_all(&mut sockets, end, 1).await;
    write_all(&mut sockets, part, more / part.len()).await;
    small.check_with_request(what).await;
}

fn header_line() -> Vec<u8> {
    format!("more: {}\r\n", "m".repeat(4992)).into_bytes()
}

#[tokio::test]
async fn heads_over_the_limit() {
    flood(HEAD_START, &header_line(), b"\r\n", 0, "heads over the limit").await;
}

#[tokio::test]
async fn header_lines_without_end() {
    let start = [HEAD_START, b"more: "].concat();
    flood(&start, &[b'm'; 1000], b"", MORE_BYTES, "header lines without end").await;
}

#[tokio::test]
async fn ever_more_header_lines() {
    flood(HEAD_START, &header_line(), b"", MORE_BYTES, "ever more header lines").await;
}

#[tokio::test]
async fn empty_lines_before_a_request() {
    flood(b"", &b"\r\n".repeat(500), b"", MORE_BYTES, "empty lines before a request").await;
}

// Guards against connections that are held open by heads that never end.
#[tokio::test]
async fn heads_that_come_byte_by_byte() {
    let small = SmallSite::start().await;
    let mut sockets = small.connect(MANY_CONNECTIONS).await;
    write_all(&mut sockets, HEAD_START, 1).await;
    for _ in 0..SLOW_BYTES {
        write_all(&mut sockets, b"m", 1).await;
        tokio::time::sleep(BYTE_INTERVAL).await;
    }
    small.check_with_request("heads byte by byte").await;
}
