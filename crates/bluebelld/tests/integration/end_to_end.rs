//! Requests that pass from a caller through entry and sidecar to a runner, and their responses.

use bluebell_standins::engine::text;

use crate::util::{ATLAS_VAN, ChatRequest, Fleet, KOVACS_COUNTER};

/// Text of the complete response that the stand-in engine generates for a request.
pub fn expected_text(version: &str, request: &ChatRequest<'_>) -> String {
    text::Answer::new(version, request.prompt, request.tokens, false).text(0)
}

#[tokio::test(flavor = "multi_thread")]
async fn requests_of_two_organisations_reach_allowed_versions() {
    let fleet = Fleet::start().await;
    for (index, key, version) in [(0, ATLAS_VAN, "atlas-small@1"), (1, KOVACS_COUNTER, "atlas-large@1")] {
        for stream in [true, false] {
            let request = ChatRequest { stream, ..ChatRequest::default() };
            let response = fleet.caller(index, key).chat(&request).await;
            assert_eq!(response.status, 200, "{response:?}");
            assert_eq!(response.version, version);
            assert!(response.complete, "{response:?}");
            assert_eq!(response.text, expected_text(version, &request));
        }
    }
    fleet.wait_for_billing_rows(4).await;
    let refused =
        fleet.caller(0, KOVACS_COUNTER).chat(&ChatRequest { model: "atlas-small@2", ..ChatRequest::default() }).await;
    assert_eq!((refused.status, refused.ran()), (403, "no"), "{refused:?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_loan_is_recorded_once_however_often_it_is_sent() {
    let fleet = Fleet::start().await;
    let mut replies = Vec::new();
    for index in [0, 1, 0] {
        let reply = fleet.caller(index, ATLAS_VAN).call("ledger", "loans", Some("loan-1"), "book 7 to Amina").await;
        assert_eq!(reply.status, 201, "{reply:?}");
        replies.push(reply.text);
    }
    replies.dedup();
    assert_eq!(replies.len(), 1, "each repetition should get the same reply");
    assert_eq!(fleet.ledger_calls().len(), 1);
    let other = fleet.caller(0, ATLAS_VAN).call("ledger", "loans", Some("loan-1"), "book 8 to Amina").await;
    assert_eq!(other.code(), "idempotency_key_reused", "{other:?}");
    let unkeyed = fleet.caller(0, ATLAS_VAN).call("ledger", "loans", None, "book 9 to Amina").await;
    assert_eq!(unkeyed.code(), "no_idempotency_key", "{unkeyed:?}");
}
