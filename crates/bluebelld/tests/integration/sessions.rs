//! A session keeps its version from its first to its last request, at every entry.

use bluebell_standins::site::StoreMode;

use crate::util::{ATLAS_VAN, ChatRequest, Fleet, KOVACS_COUNTER};

fn with_session<'a>(session: &'a str, model: &'a str) -> ChatRequest<'a> {
    ChatRequest { session: Some(session), model, ..ChatRequest::default() }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_session_named_by_the_caller_keeps_its_version_at_entries_that_have_not_served_it() {
    let fleet = Fleet::start().await;
    let first = fleet.caller(0, ATLAS_VAN).chat(&with_session("van-12", "atlas-small@2")).await;
    assert_eq!(first.version, "atlas-small@2", "{first:?}");
    for index in [1, 0, 1] {
        let next = fleet.caller(index, ATLAS_VAN).chat(&with_session("van-12", "auto")).await;
        assert_eq!(next.version, "atlas-small@2", "{next:?}");
    }
    let other = fleet.caller(1, KOVACS_COUNTER).chat(&with_session("van-12", "auto")).await;
    assert_eq!(other.version, "atlas-large@1", "the same id in another organisation should be another session");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_session_started_concurrently_at_two_entries_gets_one_version() {
    let fleet = Fleet::start().await;
    for number in 0..10 {
        let id = format!("van-{number}");
        let (small, large) = (with_session(&id, "atlas-small"), with_session(&id, "atlas-large"));
        let callers = (fleet.caller(0, ATLAS_VAN), fleet.caller(1, ATLAS_VAN));
        let (one, two) = tokio::join!(callers.0.chat(&small), callers.1.chat(&large));
        assert_eq!(one.version, two.version, "session {id}");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn while_the_records_table_is_down_only_sessions_issued_by_the_router_are_served() {
    let fleet = Fleet::start().await;
    let issued =
        fleet.caller(0, ATLAS_VAN).chat(&ChatRequest { model: "atlas-small@2", ..ChatRequest::default() }).await;
    fleet.set_store_mode(StoreMode::RecordsBusy).await;
    let next = fleet.caller(1, ATLAS_VAN).chat(&with_session(&issued.session, "auto")).await;
    assert_eq!(next.version, "atlas-small@2", "a session issued by the router should need no records table: {next:?}");
    let refused = fleet.caller(1, ATLAS_VAN).chat(&with_session("van-1", "auto")).await;
    assert_eq!((refused.status, refused.ran()), (503, "no"), "{refused:?}");
    assert!(refused.retry_after.is_some());
}

#[tokio::test(flavor = "multi_thread")]
async fn a_drained_version_keeps_its_sessions_and_a_withdrawn_one_ends_them() {
    let fleet = Fleet::start().await;
    let first = fleet.caller(0, ATLAS_VAN).chat(&with_session("van-7", "atlas-small@1")).await;
    assert_eq!(first.status, 200);
    let (code, text) = fleet.ctl(0, &["--wait", "version", "drain", "atlas-small@1"]).await;
    assert_eq!(code, 0, "{text}");
    let kept = fleet.caller(1, ATLAS_VAN).chat(&with_session("van-7", "auto")).await;
    assert_eq!(kept.version, "atlas-small@1");
    let new = fleet.caller(1, ATLAS_VAN).chat(&ChatRequest { model: "atlas-small", ..ChatRequest::default() }).await;
    assert_eq!(new.version, "atlas-small@2", "a drained version should get no new sessions");
    let (code, text) = fleet.ctl(0, &["--wait", "version", "withdraw", "atlas-small@1"]).await;
    assert_eq!(code, 0, "{text}");
    for session in ["van-7", first.session.as_str()] {
        let ended = fleet.caller(1, ATLAS_VAN).chat(&with_session(session, "auto")).await;
        assert_eq!((ended.status, ended.code(), ended.ran()), (410, "session_ended", "no"), "{ended:?}");
    }
}
