//! Large answers and streams whose callers read nothing. They guard against a process that runs out of memory, because
//! it reads more from its upstreams than its callers take.

use bluebell_standins::site::{Fault, REQUEST_ID, RawAnswer, RawEnd};

use super::hostile::{SmallSite, write};

/// Number of callers. What they asked for takes more than the machine has.
const READERS: usize = 100;
/// Callers that ask at once, few enough for the total of answers that are read at the same moment.
const READERS_AT_ONCE: usize = 2;
/// Size of an answer, in bytes, of which a part fits the buffers of the operating system.
const ANSWER_BYTES: usize = 3 << 20;

fn answer(kind: &str, body: &str) -> Fault {
    let length = body.len();
    let head = format!("HTTP/1.1 200 OK\r\nrequest-id: {REQUEST_ID}\r\nresponse-stamp: s\r\ncontent-type: {kind}\r\n");
    let text = format!("{head}content-length: {length}\r\n\r\n{body}");
    Fault::Raw(RawAnswer { text, end: RawEnd::Closed })
}

async fn ask_without_reading(path: &str, fault: Fault, what: &str) {
    let small = SmallSite::start().await;
    let upstreams = || small.site.chat.iter().chain(&small.site.ledger);
    upstreams().for_each(|upstream| upstream.set_default_fault(Some(fault.clone())));
    let mut held = Vec::new();
    for round in 0..READERS / READERS_AT_ONCE {
        let mut sockets = small.connect(READERS_AT_ONCE).await;
        for (index, socket) in sockets.iter_mut().enumerate() {
            let request = format!(
                "POST {path} HTTP/1.1\r\nhost: site.example\r\nrequest-id: slow-{round}-{index}\r\n\
                 authorization: Bearer key-1\r\nmodel: small\r\ntoken-count: 10,5\r\ncontent-length: 0\r\n\r\n"
            );
            write(socket, request.as_bytes(), 1).await;
        }
        for socket in &sockets {
            // Waits for the answer or the end of the connection, without reading it.
            let _ = tokio::time::timeout(std::time::Duration::from_secs(2), socket.readable()).await;
        }
        held.extend(sockets);
        small.check(what);
    }
    upstreams().for_each(|upstream| upstream.set_default_fault(None));
    small.check_with_request(what).await;
}

#[tokio::test]
async fn slow_readers_of_large_answers() {
    let fault = answer("application/json", &"a".repeat(ANSWER_BYTES));
    ask_without_reading("/look/1", fault, "unread answers").await;
}

// Passes before the limits of callers were added: a stream is read as far as its caller takes it. Guards against a change
// of that.
#[tokio::test]
async fn slow_readers_of_streams() {
    let data = "d".repeat(1000);
    let events: String = (1..=ANSWER_BYTES / 1024).map(|id| format!("id: {id}\ndata: {data}\n\n")).collect();
    ask_without_reading("/talk/1", answer("text/event-stream", &events), "unread streams").await;
}
