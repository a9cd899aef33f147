//! Many request bodies at once, each within the limit. They guard against a process that runs out of memory, because
//! bodies have no limit in total.

use super::hostile::{BODY_LIMIT, SmallSite, write, write_all};

/// Number of bodies that are held at once. Together they take more than the machine has.
const BODIES: usize = 128;
/// Number of bodies in parts of one byte. A list of their parts takes the machine's memory many times.
const CHUNKED_BODIES: usize = 6;
/// Parts that are written at once.
const CHUNKS: usize = 1000;

fn head(framing: &str) -> Vec<u8> {
    let head = "POST /look/1 HTTP/1.1\r\nhost: site.example\r\nrequest-id: body\r\nauthorization: Bearer key-1\r\n";
    format!("{head}{framing}\r\n\r\n").into_bytes()
}

#[tokio::test]
async fn many_bodies_within_the_limit() {
    let small = SmallSite::start().await;
    let mut sockets = small.connect(BODIES).await;
    write_all(&mut sockets, &head(&format!("content-length: {BODY_LIMIT}")), 1).await;
    write_all(&mut sockets, &[b'b'; 4096], BODY_LIMIT / 4096 - 1).await;
    small.check("bodies before their ends");
    write_all(&mut sockets, &[b'b'; 4096], 1).await;
    small.check_with_request("bodies").await;
}

#[tokio::test]
async fn bodies_in_chunks_of_one_byte() {
    let small = SmallSite::start().await;
    let mut sockets = small.connect(CHUNKED_BODIES).await;
    write_all(&mut sockets, &head("transfer-encoding: chunked"), 1).await;
    for socket in &mut sockets {
        write(socket, &b"1\r\nb\r\n".repeat(CHUNKS), BODY_LIMIT / CHUNKS).await;
    }
    small.check("chunks before the end");
    write_all(&mut sockets, b"0\r\n\r\n", 1).await;
    small.check_with_request("chunks").await;
}
