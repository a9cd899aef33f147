//! Answers that an upstream begins before it has read the request, and answers with an invalid status.

use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    time::Duration,
};

use bluebell_standins::site::{Fault, REQUEST_ID, RawAnswer, RawEnd, server_entry};
use serde_json::json;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
    task::JoinHandle,
};

use super::{caller::Ask, site::Site, until};

/// Size of an upload that does not fit into the buffers of a connection.
const UPLOAD_BYTES: usize = 6_000_000;
/// Time from the beginning of the answer to the reset, one for each request.
const RESET_DELAYS_MS: [u64; 6] = [0, 1, 3, 10, 40, 150];
/// Bytes of the upload that are read before the reset.
const READ_BYTES: [usize; 3] = [0, 100_000, 2_000_000];

/// An upstream that answers after the head of a request, without a length, and resets the connection in the middle of the
/// answer and of the upload.
struct ResettingUpstream {
    address: SocketAddr,
    count: Arc<AtomicUsize>,
    task: JoinHandle<()>,
}

impl Drop for ResettingUpstream {
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl ResettingUpstream {
    async fn start(host: &str, part: &'static str) -> Self {
        let listener = TcpListener::bind(format!("{host}:0")).await.expect("the address should be free");
        let address = listener.local_addr().expect("the listener has an address");
        let count = Arc::new(AtomicUsize::new(0));
        let counter = Arc::clone(&count);
        let task = tokio::spawn(async move {
            while let Ok((socket, _)) = listener.accept().await {
                let counter = Arc::clone(&counter);
                tokio::spawn(async move {
                    // The gateway may close the connection first.
                    let _ = answer_and_reset(socket, &counter, part).await;
                });
            }
        });
        Self { address, count, task }
    }
}

async fn answer_and_reset(mut socket: TcpStream, count: &AtomicUsize, part: &str) -> std::io::Result<()> {
    let mut head = Vec::new();
    while !head.windows(4).any(|end| end == b"\r\n\r\n") {
        if socket.read_buf(&mut head).await? == 0 {
            return Ok(());
        }
    }
    let text = String::from_utf8_lossy(&head).to_ascii_lowercase();
    let id = text.lines().find_map(|line| line.strip_prefix("request-id:")).unwrap_or_default().trim().to_owned();
    let round = count.fetch_add(1, Ordering::Relaxed);
    let mut left = READ_BYTES[round / RESET_DELAYS_MS.len() % READ_BYTES.len()];
    let answer = format!(
        "HTTP/1.1 200 OK\r\nrequest-id: {id}\r\nresponse-stamp: s\r\ncontent-type: text/event-stream\r\n\
         connection: close\r\n\r\n{part}"
    );
    socket.write_all(answer.as_bytes()).await?;
    let mut buffer = vec![0; 65_536];
    while left > 0 {
        let length = socket.read(&mut buffer).await?;
        left = left.saturating_sub(length.max(1));
    }
    tokio::time::sleep(Duration::from_millis(RESET_DELAYS_MS[round % RESET_DELAYS_MS.len()])).await;
    socket.set_zero_linger()
}

/// A site of which each service has one resetting upstream and no others.
async fn resetting_site() -> (Site, [ResettingUpstream; 2]) {
    let mut site = Site::start_without_gateways().await;
    for upstream in site.ledger.iter().chain(&site.chat) {
        site.store.delete("servers", &upstream.id);
    }
    let host = site.ledger[0].address.ip().to_string();
    let ledger = ResettingUpstream::start(&host, "POST /look/1 do").await;
    let chat = ResettingUpstream::start(&host, "id: 1\ndata: small 1\n\n").await;
    for (upstream, service, id) in [(&ledger, "ledger", "early-1"), (&chat, "chat", "early-2")] {
        site.store.put("servers", id, &server_entry(upstream.address, service, "z1", "v1", "ready"));
    }
    site.put_declarations(1, |config| config["limits"]["maxBodyBytes"] = json!(UPLOAD_BYTES + 1));
    site.add_gateway(0).await;
    until("the gateway to be ready", || site.gateways[0].is_ready()).await;
    (site, [ledger, chat])
}

#[tokio::test]
async fn part_of_an_answer_without_length_that_is_reset_during_the_upload_is_not_a_complete_answer() {
    let (site, upstreams) = resetting_site().await;
    let mut reached = [0, 0];
    for round in 0..RESET_DELAYS_MS.len() * READ_BYTES.len() {
        for path in ["/look/", "/book/", "/talk/", "/once/"] {
            let id = format!("early{}-{round}", path.replace('/', "-"));
            let mut ask =
                Ask::new(&format!("{path}{round}"), &id).header("model", "small").header("token-count", "10,5");
            ask.body = vec![b'x'; UPLOAD_BYTES].into();
            let before = upstreams.each_ref().map(|upstream| upstream.count.load(Ordering::Relaxed));
            let answer = site.gateways[0].ask(&ask.deadline(Duration::from_secs(2))).await;
            for (reached, (upstream, before)) in reached.iter_mut().zip(upstreams.iter().zip(before)) {
                *reached += usize::from(upstream.count.load(Ordering::Relaxed) > before);
            }
            let is_success = (200..300).contains(&answer.status) && answer.complete;
            assert!(!is_success, "{id}: {} and complete: {}", answer.status, answer.body);
        }
    }
    assert!(reached.iter().all(|count| *count >= RESET_DELAYS_MS.len()), "reached {reached:?}");
}

#[tokio::test]
async fn status_that_is_no_http_status_is_not_passed_on() {
    let site = Site::start(1).await;
    for status in ["000", "099", "0", "00", "20", "1000", "-1", "2x0", "101", "600", "999"] {
        let signed = format!("request-id: {REQUEST_ID}\r\nresponse-stamp: s\r\n");
        let text = format!("HTTP/1.1 {status} x\r\n{signed}content-length: 4\r\n\r\ndone");
        for upstream in site.chat.iter().chain(&site.ledger) {
            upstream.set_default_fault(Some(Fault::Raw(RawAnswer { text: text.clone(), end: RawEnd::Closed })));
        }
        for path in ["/look/", "/book/", "/talk/", "/once/"] {
            let id = format!("status{}-{status}", path.replace('/', "-"));
            let ask = Ask::new(&format!("{path}1"), &id).header("model", "small").header("token-count", "10,5");
            let answer = site.gateways[0].ask(&ask).await;
            let is_unknown = [502, 504].contains(&answer.status);
            let is_refused = answer.status == 503 && site.runs(&id).is_empty();
            assert!(is_unknown || is_refused, "{id}: {} {:?}", answer.status, answer.headers);
            assert_eq!(answer.header("response-stamp"), "", "{id}: {}", answer.status);
        }
    }
}
