//! A slow or silent upstream is kept until its replacement exists: a caller gets the answer that it goes on with.

use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    time::Duration,
};

use bluebell_standins::site::{Fault, server_entry};
use serde_json::json;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpSocket, TcpStream},
    task::JoinHandle,
    time::timeout,
};

use super::{
    caller::{Ask, Caller},
    site::{EVENT_COUNT, Site},
    until,
};

/// Time without a head: longer than gateways wait for one if the request may be sent elsewhere.
const SLOW_HEAD: Duration = Duration::from_millis(3200);
/// Time that a call takes: longer than gateways wait for one if the request may be sent elsewhere.
const SLOW_CALL: Duration = Duration::from_millis(1500);
/// Timeout of the routes.
const TIMEOUT_MS: u64 = 9000;

fn all_events() -> Vec<u64> {
    (1..=EVENT_COUNT).collect()
}

fn stream_request(id: &str) -> Ask {
    Ask::new("/talk/1", id).header("model", "small").header("token-count", "100,50").body(id)
}

async fn start_site(attempts: u32) -> Site {
    let site = Site::start(1).await;
    site.put_declarations(2, |config| {
        for route in config["routes"].as_array_mut().expect("the routes should be a list") {
            route["timeoutMs"] = json!(TIMEOUT_MS);
            if route["maxAttempts"] != json!(1) {
                route["maxAttempts"] = json!(attempts);
            }
        }
    });
    let has_version = || async { site.gateways[0].process.log().contains("\"version\":2") };
    until("the declarations to be in force", has_version).await;
    site
}

#[tokio::test]
async fn resumed_stream_is_cut_when_its_slow_engine_is_given_up_for_others_that_refuse() {
    let site = start_site(4).await;
    for engine in &site.chat {
        engine.next_faults([Fault::Cut(2)]);
        engine.set_default_fault(Some(Fault::Slow(SLOW_HEAD)));
    }
    let refuse = async {
        until("the stream to be resumed", || async { site.runs("r-1").len() == 3 }).await;
        site.chat.iter().for_each(|engine| engine.set_default_fault(Some(Fault::NotRun)));
    };
    let request = stream_request("r-1");
    let (answer, ()) = tokio::join!(site.gateways[0].ask(&request), refuse);
    assert_eq!((answer.status, answer.complete, answer.events()), (200, true, all_events()));
}

#[tokio::test]
async fn stream_without_a_head_fails_when_its_slow_engine_is_given_up_for_others_that_refuse() {
    let site = start_site(3).await;
    site.chat.iter().for_each(|engine| engine.set_default_fault(Some(Fault::Slow(SLOW_HEAD))));
    let refuse = async {
        until("the request to run", || async { site.runs("r-1").len() == 1 }).await;
        site.chat.iter().for_each(|engine| engine.set_default_fault(Some(Fault::NotRun)));
    };
    let request = stream_request("r-1");
    let (answer, ()) = tokio::join!(site.gateways[0].ask(&request), refuse);
    assert_eq!((answer.status, answer.complete, answer.events()), (200, true, all_events()));
}

#[tokio::test]
async fn answer_of_the_smaller_model_is_lost_when_no_engine_runs_the_larger_one() {
    let site = start_site(3).await;
    site.chat[0].next_faults([Fault::Confidence(10)]);
    site.chat.iter().for_each(|engine| engine.set_default_fault(Some(Fault::NotRun)));
    let request = Ask::new("/talk/1", "r-1").header("model", "*").header("token-count", "100,50");
    let answer = site.gateways[0].ask(&request).await;
    assert_eq!(site.runs("r-1").len(), 1);
    assert_eq!((answer.status, answer.complete, answer.events()), (200, true, all_events()));
}

#[tokio::test]
async fn slow_call_fails_when_it_is_given_up_for_upstreams_that_refuse() {
    let site = start_site(3).await;
    site.ledger.iter().for_each(|upstream| upstream.set_default_fault(Some(Fault::Slow(SLOW_CALL))));
    let refuse = async {
        until("the call to run", || async { site.runs("r-1").len() == 1 }).await;
        site.ledger.iter().for_each(|upstream| upstream.set_default_fault(Some(Fault::NotRun)));
    };
    let request = Ask::new("/look/1", "r-1");
    let (answer, ()) = tokio::join!(site.gateways[0].ask(&request), refuse);
    assert_eq!((answer.status, answer.body.as_str()), (200, "POST /look/1 done"));
}

#[tokio::test]
async fn slow_call_at_a_draining_upstream_fails_when_no_other_is_registered() {
    let site = start_site(3).await;
    site.ledger.iter().for_each(|upstream| upstream.set_default_fault(Some(Fault::Slow(SLOW_CALL))));
    let drain = async {
        until("the call to run", || async { site.runs("r-1").len() == 1 }).await;
        site.ledger.iter().for_each(|upstream| site.put_entry(upstream, "ledger", "v1", "draining"));
    };
    let request = Ask::new("/look/1", "r-1");
    let (answer, ()) = tokio::join!(site.gateways[0].ask(&request), drain);
    assert_eq!((answer.status, answer.body.as_str()), (200, "POST /look/1 done"));
}

#[tokio::test]
async fn broken_stream_is_cut_after_takeovers_without_another_engine_used_up_the_retries() {
    let site = start_site(3).await;
    site.put_entry(&site.chat[1], "chat", "v1", "draining");
    tokio::time::sleep(Duration::from_millis(300)).await;
    let stall = Fault::Stall { after: 3, time: Duration::from_millis(4500) };
    site.chat[0].set_default_fault(Some(stall));
    let silent = (0..40).map(|number| {
        let ask = stream_request(&format!("silent-{number}"));
        let gateway = &site.gateways[0];
        async move { gateway.ask(&ask).await }
    });
    let broken = async {
        tokio::time::sleep(Duration::from_millis(3200)).await;
        site.chat[0].set_default_fault(None);
        site.chat[0].next_faults([Fault::Cut(2)]);
        site.gateways[0].ask(&stream_request("r-1")).await
    };
    let (answers, broken) = tokio::join!(futures_util::future::join_all(silent), broken);
    assert!(answers.iter().all(|answer| answer.complete && answer.events() == all_events()));
    let sends: usize = (0..40).map(|number| site.runs(&format!("silent-{number}")).len()).sum();
    assert_eq!(sends, 40, "no silent stream was sent again");
    assert_eq!((broken.status, broken.complete, broken.events()), (200, true, all_events()));
}

#[tokio::test]
async fn call_accepted_late_in_a_drain_is_closed_without_an_answer() {
    let mut site = start_site(3).await;
    let address = site.gateways[0].caller_address;
    site.ledger.iter().for_each(|upstream| upstream.set_default_fault(Some(Fault::Silent)));
    let ask = |path: &'static str, id: &'static str| async move {
        Caller::connect(address).await.expect("the connection should be accepted").ask(&Ask::new(path, id)).await
    };
    let early = tokio::spawn(ask("/book/1", "r-0"));
    until("the first call to run", || async { !site.runs("r-0").is_empty() }).await;
    site.gateways[0].process.terminate();
    tokio::time::sleep(Duration::from_millis(3300)).await;
    let (late, once) = tokio::join!(ask("/look/1", "r-1"), ask("/book/1", "r-2"));
    drop(early.await);
    assert_eq!(site.gateways[0].process.ended().await, Some(0));
    assert!(!site.runs("r-1").is_empty());
    assert!(late.is_some(), "the call was read and run, but neither answered nor refused");
    // Its deadline is after the end of the drain.
    assert_eq!((once.map(|answer| answer.status), site.runs("r-2").len()), (Some(503), 0));
}

#[tokio::test]
async fn silent_streams_are_cut_when_a_takeover_fails_and_the_next_one_is_still_connecting() {
    let site = start_site(3).await;
    let stall = Fault::Stall { after: 3, time: Duration::from_millis(4500) };
    site.chat.iter().for_each(|engine| engine.set_default_fault(Some(stall.clone())));
    let ids = ["r-1", "r-2", "r-3", "r-4"];
    let fail = async {
        until("the streams to run", || async { ids.iter().all(|id| site.runs(id).len() == 1) }).await;
        site.chat.iter().for_each(|engine| engine.set_default_fault(Some(Fault::Fails(500))));
        let dark = unreachable_listener(&site).await;
        let entry = server_entry(dark.0, "chat", "z1", "v1", "ready");
        site.store.put("servers", "chat-dark", &entry);
        dark
    };
    let asks = ids.map(|id| {
        let gateway = &site.gateways[0];
        async move { gateway.ask(&stream_request(id)).await }
    });
    let (answers, _dark) = tokio::join!(futures_util::future::join_all(asks), fail);
    for answer in answers {
        assert_eq!((answer.status, answer.complete, answer.events()), (200, true, all_events()));
    }
}

/// A listener whose queue is full, so that further connections are not established.
async fn unreachable_listener(site: &Site) -> (SocketAddr, TcpListener, Vec<TcpStream>) {
    let socket = TcpSocket::new_v4().expect("the socket should be creatable");
    let any_port = SocketAddr::new(site.chat[0].address.ip(), 0);
    socket.bind(any_port).expect("the address should be free");
    let listener = socket.listen(1).expect("the socket should listen");
    let address = listener.local_addr().expect("the address should be known");
    let mut queue = Vec::new();
    while let Ok(Ok(stream)) = timeout(Duration::from_millis(200), TcpStream::connect(address)).await {
        queue.push(stream);
    }
    (address, listener, queue)
}

/// Size of a large answer.
const LARGE_BYTES: usize = 3900 << 10;

/// Answers each request with a large body.
async fn serve_large_answers(listener: TcpListener) {
    while let Ok((mut socket, _)) = listener.accept().await {
        tokio::spawn(async move {
            let mut received = Vec::new();
            while !received.ends_with(b"ask") {
                if socket.read_buf(&mut received).await.unwrap_or(0) == 0 {
                    return;
                }
            }
            let head = String::from_utf8_lossy(&received).to_lowercase();
            let id = head.lines().find_map(|line| line.strip_prefix("request-id: ")).unwrap_or_default();
            let answer = format!(
                "HTTP/1.1 200 x\r\nrequest-id: {id}\r\nresponse-stamp: x\r\ncontent-length: {LARGE_BYTES}\r\n\r\n{}",
                "x".repeat(LARGE_BYTES)
            );
            let _ = socket.write_all(answer.as_bytes()).await;
        });
    }
}

/// Registers an upstream with large answers as the only one of its service.
async fn start_site_with_large_answers() -> (Site, JoinHandle<()>) {
    let site = start_site(3).await;
    let any_port = SocketAddr::new(site.chat[0].address.ip(), 0);
    let listener = TcpListener::bind(any_port).await.expect("the address should be free");
    let address = listener.local_addr().expect("the address should be known");
    let server = tokio::spawn(serve_large_answers(listener));
    site.ledger.iter().for_each(|upstream| site.put_entry(upstream, "ledger", "v1", "draining"));
    site.store.put("servers", "ledger-large", &server_entry(address, "ledger", "z1", "v1", "ready"));
    tokio::time::sleep(Duration::from_millis(500)).await;
    (site, server)
}

/// Sends a request on a connection with a small receive buffer.
async fn send_request(site: &Site) -> TcpStream {
    let socket = TcpSocket::new_v4().expect("the socket should be creatable");
    socket.set_recv_buffer_size(16 << 10).expect("the buffer size should be settable");
    let mut caller = socket.connect(site.gateways[0].caller_address).await.expect("the gateway should accept");
    let request = "POST /look/1 HTTP/1.1\r\nhost: site.example\r\nrequest-id: r-1\r\ndeadline-ms: 8000\r\n\
                   authorization: Bearer key-1\r\nconnection: close\r\ncontent-length: 3\r\n\r\nask";
    caller.write_all(request.as_bytes()).await.expect("the request should be sent");
    caller
}

#[tokio::test]
async fn answer_is_cut_for_a_caller_that_reads_nothing_for_four_seconds() {
    let (site, server) = start_site_with_large_answers().await;
    for pause in [Duration::from_millis(500), Duration::from_millis(4000)] {
        let mut caller = send_request(&site).await;
        tokio::time::sleep(pause).await;
        let mut answer = Vec::new();
        let result = timeout(Duration::from_secs(20), caller.read_to_end(&mut answer)).await;
        assert!(answer.len() > LARGE_BYTES, "{pause:?}: {} bytes, {result:?}", answer.len());
    }
    server.abort();
}

/// Streams three events, is silent, sends a fourth one and resets the connection; counts its runs.
async fn serve_stalled_then_broken_streams(listener: TcpListener, runs: Arc<AtomicUsize>) {
    while let Ok((mut socket, _)) = listener.accept().await {
        let runs = Arc::clone(&runs);
        tokio::spawn(async move {
            let mut received = Vec::new();
            while !received.ends_with(b"r-1") || !received.windows(4).any(|end| end == b"\r\n\r\n") {
                if socket.read_buf(&mut received).await.unwrap_or(0) == 0 {
                    return;
                }
            }
            runs.fetch_add(1, Ordering::Relaxed);
            let event = |number: u32| format!("id: {number}\ndata: small {number}\n\n");
            let head = "HTTP/1.1 200 x\r\nrequest-id: r-1\r\nresponse-stamp: x\r\nconfidence: 100\r\n\
                        content-type: text/event-stream\r\nconnection: close\r\n\r\n";
            let first = format!("{head}{}{}{}", event(1), event(2), event(3));
            let _ = socket.write_all(first.as_bytes()).await;
            tokio::time::sleep(Duration::from_millis(2900)).await;
            let _ = socket.write_all(event(4).as_bytes()).await;
            tokio::time::sleep(Duration::from_millis(600)).await;
            let _ = socket.set_zero_linger();
        });
    }
}

#[tokio::test]
async fn stream_is_cut_because_a_takeover_that_was_never_sent_counts_as_an_attempt() {
    let site = start_site(2).await;
    site.chat.iter().for_each(|engine| site.put_entry(engine, "chat", "v1", "draining"));
    let any_port = SocketAddr::new(site.chat[0].address.ip(), 0);
    let listener = TcpListener::bind(any_port).await.expect("the address should be free");
    let address = listener.local_addr().expect("the address should be known");
    let runs = Arc::new(AtomicUsize::new(0));
    let server = tokio::spawn(serve_stalled_then_broken_streams(listener, Arc::clone(&runs)));
    site.store.put("servers", "chat-broken", &server_entry(address, "chat", "z1", "v1", "ready"));
    tokio::time::sleep(Duration::from_millis(500)).await;
    let others = async {
        until("the stream to run", || async { runs.load(Ordering::Relaxed) == 1 }).await;
        let dark = unreachable_listener(&site).await;
        site.store.put("servers", "chat-dark", &server_entry(dark.0, "chat", "z1", "v1", "ready"));
        let is_cancelled = || async { site.gateways[0].process.log().contains("its takeover is cancelled") };
        until("the takeover to be cancelled", is_cancelled).await;
        site.put_entry(&site.chat[0], "chat", "v1", "ready");
        dark
    };
    let request = stream_request("r-1");
    let (answer, _dark) = tokio::join!(site.gateways[0].ask(&request), others);
    server.abort();
    assert_eq!(runs.load(Ordering::Relaxed), 1);
    assert_eq!((answer.status, answer.complete, answer.events()), (200, true, all_events()));
}

#[tokio::test]
async fn hung_stream_is_cut_at_its_deadline_when_only_engines_of_another_release_are_left() {
    let site = start_site(3).await;
    site.put_entry(&site.chat[1], "chat", "v2", "ready");
    tokio::time::sleep(Duration::from_millis(500)).await;
    let stall = Fault::Stall { after: 3, time: Duration::from_secs(30) };
    site.chat.iter().for_each(|engine| engine.set_default_fault(Some(stall.clone())));
    let recover = async {
        until("the stream to run", || async { site.runs("r-1").len() == 1 }).await;
        tokio::time::sleep(Duration::from_millis(100)).await;
        site.chat.iter().for_each(|engine| engine.set_default_fault(None));
    };
    let request = stream_request("r-1");
    let (answer, ()) = tokio::join!(site.gateways[0].ask(&request), recover);
    assert_eq!((answer.status, answer.complete, answer.events()), (200, true, all_events()));
}
