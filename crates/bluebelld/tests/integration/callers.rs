//! Bad, slow and unknown callers and peers get a clear answer and hurt nobody.

use std::time::Duration;

use bluebell_standins::engine::text;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
};

use crate::util::{ATLAS_VAN, Ask, Fleet};

#[tokio::test(flavor = "multi_thread")]
async fn bad_requests_get_typed_errors() {
    let fleet = Fleet::start().await;
    let van = fleet.caller(0, ATLAS_VAN);
    let unknown = fleet.caller(0, "no-such-key").ask(&Ask::default()).await;
    assert_eq!((unknown.status, unknown.code(), unknown.ran()), (401, "unauthorised", "no"));
    let many = van.ask(&Ask { tokens: 1_000_000, ..Ask::default() }).await;
    assert_eq!((many.status, many.code(), many.ran()), (400, "malformed", "no"), "{many:?}");
    let none = van.ask(&Ask { model: "no-such-model", ..Ask::default() }).await;
    assert_eq!((none.status, none.code(), none.ran()), (403, "not_allowed", "no"), "{none:?}");
    let large = "x".repeat(300 << 10);
    let large = van.ask(&Ask { prompt: &large, ..Ask::default() }).await;
    assert_eq!((large.status, large.code(), large.ran()), (413, "too_large", "no"));
    let forged = van.ask(&Ask { session: Some("bb1.atlas-large@1.00.k1:00"), ..Ask::default() }).await;
    assert_eq!((forged.status, forged.code(), forged.ran()), (400, "bad_session", "no"), "{forged:?}");
    let service = van.call("no-such-service", "x", Some("k"), "").await;
    assert_eq!((service.status, service.code(), service.ran()), (403, "not_allowed", "no"), "{service:?}");
    assert!(fleet.engine_runs().is_empty() && fleet.ledger_calls().is_empty(), "nothing ran");
}

#[tokio::test(flavor = "multi_thread")]
async fn slow_and_broken_callers_hurt_nobody() {
    let fleet = Fleet::start().await;
    let mut sockets = Vec::new();
    for _ in 0..200 {
        let mut socket = TcpStream::connect(&fleet.entries[0].address).await.expect("a connection");
        socket.write_all(b"POST /v1/chat/completions HTTP/1.1\r\ncontent-length: 100\r\n").await.expect("a write");
        sockets.push(socket);
    }
    let ask = Ask::default();
    for _ in 0..20 {
        let answer = fleet.caller(0, ATLAS_VAN).ask(&ask).await;
        assert_eq!(answer.text, text::Answer::new(&answer.version, ask.prompt, ask.tokens, false).text(0));
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn peers_without_a_key_and_hostile_frames_reach_nothing() {
    let mut fleet = Fleet::start().await;
    let peers: Vec<String> = fleet.listed.iter().map(|item| item.address.clone()).collect();
    let frames: [&[u8]; 4] = [
        b"GET / HTTP/1.1\r\n\r\n",
        b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n\xff\xff\xff\xff\xff\xff\xff\xff\xff\xff",
        &[0; 4096],
        &[0xff; 4096],
    ];
    for address in &peers {
        for frame in frames {
            let mut socket = TcpStream::connect(address).await.expect("a connection");
            socket.write_all(frame).await.expect("a write");
            let mut rest = Vec::new();
            // The peer closes the connection; it may do so with a reset.
            let closed = tokio::time::timeout(Duration::from_secs(10), socket.read_to_end(&mut rest)).await;
            assert!(closed.is_ok(), "a hostile connection is closed");
        }
    }
    for engine in &mut fleet.engines {
        assert!(engine.sidecar.is_running());
        assert!(!engine.sidecar.log().contains("panicked"));
    }
    let answer = fleet.caller(0, ATLAS_VAN).ask(&Ask::default()).await;
    assert!(answer.whole, "{answer:?}");
}
