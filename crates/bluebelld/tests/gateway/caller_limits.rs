//! Answers to callers that exceed a limit, and callers that stay just within one.

use std::time::Duration;

use bluebell_standins::site::{Fault, REQUEST_ID, RawAnswer, RawEnd};
use futures_util::future::join_all;
use serde_json::json;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpSocket, TcpStream},
    time::{sleep, timeout},
};

use super::{
    caller::{Ask, Caller},
    site::Site,
    until,
};

/// Declared idle time of a connection.
const IDLE_TIME: Duration = Duration::from_millis(2000);
/// Declared maximum size of a body, in bytes: that of the deployments.
const BODY_LIMIT: usize = 4 << 20;
/// Time within which a refused caller must get its answer.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(10);

/// A site with a gateway on the smallest machine, whose bodies may take 8 MiB in total.
async fn start() -> Site {
    let mut site = Site::start_without_gateways().await;
    site.settings = "machine: { memory_mb: 32, descriptors: 512 }\n".to_owned();
    site.put_declarations(1, |config| {
        config["limits"] = json!({
            "maxHeaderBytes": 16384, "maxBodyBytes": BODY_LIMIT, "headerTimeoutMs": 500,
            "idleTimeoutMs": IDLE_TIME.as_millis() as u64,
        });
    });
    site.add_gateway(0).await;
    until("a gateway to serve requests", || async {
        let Ok(mut caller) = Caller::connect(site.gateways[0].caller_address).await else { return false };
        caller.ask(&Ask::new("/look/x", "warm-up")).await.is_some_and(|answer| answer.status == 200)
    })
    .await;
    site
}

async fn connect(site: &Site) -> TcpStream {
    TcpStream::connect(site.gateways[0].caller_address).await.expect("the connection should be accepted")
}

fn request(id: &str, framing: &str) -> String {
    format!(
        "POST /look/1 HTTP/1.1\r\nhost: site.example\r\nrequest-id: {id}\r\nauthorization: Bearer key-1\r\n{framing}\r\n"
    )
}

/// Everything that the caller receives until the gateway closes the connection.
async fn read_to_end(mut socket: TcpStream) -> String {
    let mut bytes = Vec::new();
    let read = timeout(ANSWER_TIMEOUT, socket.read_to_end(&mut bytes)).await;
    read.expect("the connection should be closed").expect("the connection should not be reset");
    String::from_utf8(bytes).expect("the answer should be text")
}

// Guards against a refusal that is lost, because a connection with unread bytes is reset.
#[tokio::test]
async fn refusals_reach_callers_outside_the_limits() {
    let site = start().await;
    let long_head = request("r-1", &format!("long: {}\r\n", "l".repeat(16384)));
    let announced = request("r-2", &format!("content-length: {}\r\n", BODY_LIMIT + 1));
    let long_body = announced.clone() + &"b".repeat(1 << 20);
    let chunked = request("r-3", "transfer-encoding: chunked\r\n") + &format!("{:x}\r\n", BODY_LIMIT + 9);
    let chunked = chunked + &"b".repeat(BODY_LIMIT + 9);
    let unfinished = "POST /look/1 HTTP/1.1\r\nhost: ".to_owned();
    let late_body = request("r-4", "content-length: 9\r\ndeadline-ms: 300\r\n");
    let cases =
        [(long_head, 431), (announced, 413), (long_body, 413), (chunked, 413), (unfinished, 408), (late_body, 408)];
    for (text, status) in cases {
        let mut socket = connect(&site).await;
        socket.write_all(text.as_bytes()).await.expect("the request should be writable");
        let answer = read_to_end(socket).await;
        assert!(answer.starts_with(&format!("HTTP/1.1 {status} ")), "{}: {answer}", &text[..90.min(text.len())]);
        assert_eq!(answer.matches("HTTP/1.1").count(), 1, "{answer}");
    }
    for id in ["r-1", "r-2", "r-3", "r-4"] {
        assert!(site.runs(id).is_empty(), "{id} was refused but ran");
    }
}

// Guards against a refusal of requests that are alone, and against one without a retry delay or with a run.
#[tokio::test]
async fn bodies_over_their_total_are_refused_and_single_ones_served() {
    let site = start().await;
    let body = "b".repeat(BODY_LIMIT);
    let alone = site.gateways[0].ask(&Ask::new("/look/1", "alone").body(&body)).await;
    assert_eq!(alone.status, 200, "{alone:?}");
    let mut held = Vec::new();
    let mut refused = 0;
    for number in 0..4 {
        let mut socket = connect(&site).await;
        let text = request(&format!("r-{number}"), &format!("content-length: {BODY_LIMIT}\r\n"));
        let part = text + &body[1..];
        if socket.write_all(part.as_bytes()).await.is_ok() {
            held.push((number, socket));
        }
    }
    for (number, mut socket) in held {
        // Fails if the connection is already closed.
        let _ = socket.write_all(b"b").await;
        let mut start = [0; 4096];
        let read = timeout(ANSWER_TIMEOUT, socket.read(&mut start)).await.expect("the request should be answered");
        let answer = String::from_utf8_lossy(&start[..read.unwrap_or_default()]).to_lowercase();
        if answer.starts_with("http/1.1 503") {
            refused += 1;
            assert!(answer.contains("retry-after:"), "{answer}");
            assert!(site.runs(&format!("r-{number}")).is_empty(), "request {number} was refused but ran");
        } else {
            assert!(answer.is_empty() || answer.starts_with("http/1.1 200"), "{answer}");
        }
    }
    assert!(refused > 0, "no body was refused");
    let again = site.gateways[0].ask(&Ask::new("/look/1", "again").body(&body)).await;
    assert_eq!(again.status, 200, "the memory was not given back: {again:?}");
}

// Guards against connections that are closed before their callers reuse them for the last time, or never.
#[tokio::test]
async fn idle_connections_are_kept_for_four_fifths_of_the_idle_time_and_closed_after_it() {
    let site = start().await;
    let mut caller = Caller::connect(site.gateways[0].caller_address).await.expect("the connection should be accepted");
    for number in 0..3 {
        let answer = caller.ask(&Ask::new("/look/1", &format!("r-{number}"))).await;
        assert_eq!(answer.map(|answer| answer.status), Some(200), "request {number} on an idle connection");
        sleep(IDLE_TIME * 4 / 5).await;
    }
    let unused = connect(&site).await;
    assert_eq!(read_to_end(unused).await, "");
}

// Guards against lost wake-ups when several requests wait in one buffer.
#[tokio::test]
async fn pipelined_requests_are_answered_in_order() {
    let site = start().await;
    let mut socket = connect(&site).await;
    let text: String = (0..20).map(|number| request(&format!("r-{number}"), "content-length: 3\r\n") + "ask").collect();
    socket.write_all(text.as_bytes()).await.expect("the requests should be writable");
    let answers = read_to_end(socket).await;
    assert_eq!(answers.matches("HTTP/1.1 200").count(), 20, "{answers}");
    let ids: Vec<_> = answers.lines().filter_map(|line| line.strip_prefix("request-id: ")).collect();
    assert_eq!(ids, (0..20).map(|number| format!("r-{number}")).collect::<Vec<_>>());
}

/// Number of streams that are left unread: more than enough failures to leave out both upstreams.
const UNREAD_STREAMS: usize = 10;

// Guards against callers that make a gateway leave out sound upstreams: an upstream cuts off a stream that its caller leaves
// unread.
#[tokio::test]
async fn streams_cut_off_after_their_callers_left_them_unread_are_not_held_against_upstreams() {
    let site = start().await;
    let events: String = (1..=600).map(|id| format!("id: {id}\ndata: {}\n\n", "d".repeat(1000))).collect();
    let head = format!("HTTP/1.1 200 OK\r\nrequest-id: {REQUEST_ID}\r\nresponse-stamp: s\r\n");
    let text = format!("{head}content-type: text/event-stream\r\ncontent-length: {}\r\n\r\n{events}", events.len() + 9);
    let fault = Fault::Raw(RawAnswer { text, end: RawEnd::Closed });
    site.chat.iter().for_each(|upstream| upstream.set_default_fault(Some(fault.clone())));
    let mut callers = Vec::new();
    for number in 0..UNREAD_STREAMS {
        let socket = TcpSocket::new_v4().expect("the test should have descriptors");
        socket.set_recv_buffer_size(16384).expect("the buffer's size should be settable");
        let socket = socket.connect(site.gateways[0].caller_address).await;
        let mut socket = socket.expect("the connection should be accepted");
        let text = request(&format!("r-{number}"), "model: small\r\ntoken-count: 10,5\r\ncontent-length: 0\r\n");
        let text = text.replace("/look/", "/once/");
        socket.write_all(text.as_bytes()).await.expect("the request should be writable");
        callers.push(socket);
    }
    sleep(IDLE_TIME * 3 / 4).await;
    join_all(callers.into_iter().map(|mut socket| async move {
        let mut bytes = Vec::new();
        let _ = timeout(ANSWER_TIMEOUT, socket.read_to_end(&mut bytes)).await.expect("the stream should end");
        assert!(bytes.len() > 300_000, "only {} bytes were received", bytes.len());
    }))
    .await;
    let log = site.gateways[0].process.log();
    assert!(log.contains("stream broke off"), "no stream was cut off");
    assert!(!log.contains("left out"), "an upstream was left out");
}
