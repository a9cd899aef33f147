//! The whole path: caller, entry, sidecar, runner and back.

use bluebell_standins::engine::text;

use crate::util::{ATLAS_VAN, Ask, Fleet, KOVACS_COUNTER};

/// The text that a whole answer has.
pub fn expected(version: &str, ask: &Ask<'_>) -> String {
    text::Answer::new(version, ask.prompt, ask.tokens, false).text(0)
}

#[tokio::test(flavor = "multi_thread")]
async fn requests_of_two_organisations_reach_allowed_versions() {
    let fleet = Fleet::start().await;
    for (at, key, version) in [(0, ATLAS_VAN, "atlas-small@1"), (1, KOVACS_COUNTER, "atlas-large@1")] {
        for stream in [true, false] {
            let ask = Ask { stream, ..Ask::default() };
            let answer = fleet.caller(at, key).ask(&ask).await;
            assert_eq!(answer.status, 200, "{answer:?}");
            assert_eq!(answer.version, version);
            assert!(answer.whole, "{answer:?}");
            assert_eq!(answer.text, expected(version, &ask));
        }
    }
    fleet.wait_bills(4).await;
    let refused = fleet.caller(0, KOVACS_COUNTER).ask(&Ask { model: "atlas-small@2", ..Ask::default() }).await;
    assert_eq!((refused.status, refused.ran()), (403, "no"), "{refused:?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_loan_is_recorded_once_however_often_it_is_sent() {
    let fleet = Fleet::start().await;
    let mut replies = Vec::new();
    for at in [0, 1, 0] {
        let reply = fleet.caller(at, ATLAS_VAN).call("ledger", "loans", Some("loan-1"), "book 7 to Amina").await;
        assert_eq!(reply.status, 201, "{reply:?}");
        replies.push(reply.text);
    }
    replies.dedup();
    assert_eq!(replies.len(), 1, "each send gets the same reply");
    assert_eq!(fleet.ledger_calls().len(), 1);
    let other = fleet.caller(0, ATLAS_VAN).call("ledger", "loans", Some("loan-1"), "book 8 to Amina").await;
    assert_eq!(other.code(), "idempotency_key_reused", "{other:?}");
    let unkeyed = fleet.caller(0, ATLAS_VAN).call("ledger", "loans", None, "book 9 to Amina").await;
    assert_eq!(unkeyed.code(), "no_idempotency_key", "{unkeyed:?}");
}
