//! Many pipelined requests on a few connections whose callers read nothing. They guard against a process that runs out
//! of memory, because it goes on to answer into a buffer without a limit.

use super::hostile::{SmallSite, write_all};

/// Number of connections.
const PIPELINES: usize = 8;
/// Bytes of requests on each connection that the gateway refuses.
const REFUSED_BYTES: usize = 6 << 20;
/// Bytes of requests on each connection that an upstream answers.
const SERVED_BYTES: usize = 1 << 20;
/// Requests that are written at once.
const BATCH: usize = 64;

// These cases pass before the limits of callers were added: the HTTP library reads no request before the earlier answers
// are written. They guard against a change of that.
async fn pipeline(request: &str, bytes: usize, what: &str) {
    let small = SmallSite::start().await;
    let mut sockets = small.connect(PIPELINES).await;
    let batch = request.repeat(BATCH);
    write_all(&mut sockets, batch.as_bytes(), bytes / batch.len()).await;
    small.check_with_request(what).await;
}

fn served(path: &str) -> String {
    format!(
        "POST {path} HTTP/1.1\r\nhost: site.example\r\nrequest-id: piped\r\nauthorization: Bearer key-1\r\n\
         model: small\r\ntoken-count: 10,5\r\ncontent-length: 3\r\n\r\nask"
    )
}

#[tokio::test]
async fn pipelined_refusals_without_bodies() {
    pipeline("HEAD / HTTP/1.1\r\n\r\n", REFUSED_BYTES, "refusals without bodies").await;
}

#[tokio::test]
async fn pipelined_refusals_with_bodies() {
    pipeline("GET / HTTP/1.1\r\n\r\n", REFUSED_BYTES, "refusals with bodies").await;
}

#[tokio::test]
async fn pipelined_calls() {
    pipeline(&served("/look/1"), SERVED_BYTES, "calls").await;
}

#[tokio::test]
async fn pipelined_streams() {
    pipeline(&served("/talk/1"), SERVED_BYTES, "streams").await;
}
