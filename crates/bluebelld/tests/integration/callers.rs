//! Invalid, slow and unauthenticated callers and peers are refused or disconnected and do not affect other requests.

use std::time::Duration;

use bluebell_standins::engine::text;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
};

use crate::util::{ATLAS_VAN, ChatRequest, Fleet};

#[tokio::test(flavor = "multi_thread")]
async fn bad_requests_get_typed_errors() {
    let fleet = Fleet::start().await;
    let van = fleet.caller(0, ATLAS_VAN);
    let unknown_key = fleet.caller(0, "no-such-key").chat(&ChatRequest::default()).await;
    assert_eq!((unknown_key.status, unknown_key.code(), unknown_key.ran()), (401, "unauthorised", "no"));
    let too_many_tokens = van.chat(&ChatRequest { tokens: 1_000_000, ..ChatRequest::default() }).await;
    assert_eq!(
        (too_many_tokens.status, too_many_tokens.code(), too_many_tokens.ran()),
        (400, "malformed", "no"),
        "{too_many_tokens:?}"
    );
    let unknown_model = van.chat(&ChatRequest { model: "no-such-model", ..ChatRequest::default() }).await;
    assert_eq!(
        (unknown_model.status, unknown_model.code(), unknown_model.ran()),
        (403, "not_allowed", "no"),
        "{unknown_model:?}"
    );
    let oversized_prompt = "x".repeat(300 << 10);
    let oversized = van.chat(&ChatRequest { prompt: &oversized_prompt, ..ChatRequest::default() }).await;
    assert_eq!((oversized.status, oversized.code(), oversized.ran()), (413, "too_large", "no"));
    let forged_session =
        van.chat(&ChatRequest { session: Some("bb1.atlas-large@1.00.k1:00"), ..ChatRequest::default() }).await;
    assert_eq!(
        (forged_session.status, forged_session.code(), forged_session.ran()),
        (400, "bad_session", "no"),
        "{forged_session:?}"
    );
    let unknown_service = van.call("no-such-service", "x", Some("k"), "").await;
    assert_eq!(
        (unknown_service.status, unknown_service.code(), unknown_service.ran()),
        (403, "not_allowed", "no"),
        "{unknown_service:?}"
    );
    assert!(fleet.engine_runs().is_empty() && fleet.ledger_calls().is_empty(), "no refused request should run");
}

#[tokio::test(flavor = "multi_thread")]
async fn callers_with_incomplete_requests_do_not_affect_others() {
    let fleet = Fleet::start().await;
    let mut sockets = Vec::new();
    for _ in 0..200 {
        let mut socket =
            TcpStream::connect(&fleet.entries[0].address).await.expect("the address should accept connections");
        socket
            .write_all(b"POST /v1/chat/completions HTTP/1.1\r\ncontent-length: 100\r\n")
            .await
            .expect("the socket should accept data");
        sockets.push(socket);
    }
    let request = ChatRequest::default();
    for _ in 0..20 {
        let response = fleet.caller(0, ATLAS_VAN).chat(&request).await;
        assert_eq!(response.text, text::Answer::new(&response.version, request.prompt, request.tokens, false).text(0));
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn unauthenticated_peers_and_malformed_frames_are_disconnected() {
    let mut fleet = Fleet::start().await;
    let peers: Vec<String> = fleet.instances.iter().map(|item| item.address.clone()).collect();
    let frames: [&[u8]; 4] = [
        b"GET / HTTP/1.1\r\n\r\n",
        b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n\xff\xff\xff\xff\xff\xff\xff\xff\xff\xff",
        &[0; 4096],
        &[0xff; 4096],
    ];
    for address in &peers {
        for frame in frames {
            let mut socket = TcpStream::connect(address).await.expect("the address should accept connections");
            socket.write_all(frame).await.expect("the socket should accept data");
            let mut received = Vec::new();
            // Only the end of the connection is checked, not the result: the peer may close it with a reset.
            let closed = tokio::time::timeout(Duration::from_secs(10), socket.read_to_end(&mut received)).await;
            assert!(closed.is_ok(), "the peer should close a connection that sent a malformed frame");
        }
    }
    for engine in &mut fleet.engines {
        assert!(engine.sidecar.is_running());
        assert!(!engine.sidecar.log().contains("panicked"));
    }
    let response = fleet.caller(0, ATLAS_VAN).chat(&ChatRequest::default()).await;
    assert!(response.complete, "{response:?}");
}
