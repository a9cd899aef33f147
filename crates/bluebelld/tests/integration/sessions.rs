//! A session keeps its version from start to end, at every entry.

use bluebell_standins::site::StoreMode;

use crate::util::{ATLAS_VAN, Ask, Fleet, KOVACS_COUNTER};

fn own<'a>(session: &'a str, model: &'a str) -> Ask<'a> {
    Ask { session: Some(session), model, ..Ask::default() }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_session_of_the_caller_keeps_its_version_at_entries_that_never_saw_it() {
    let fleet = Fleet::start().await;
    let first = fleet.caller(0, ATLAS_VAN).ask(&own("van-12", "atlas-small@2")).await;
    assert_eq!(first.version, "atlas-small@2", "{first:?}");
    for at in [1, 0, 1] {
        let next = fleet.caller(at, ATLAS_VAN).ask(&own("van-12", "auto")).await;
        assert_eq!(next.version, "atlas-small@2", "{next:?}");
    }
    let other = fleet.caller(1, KOVACS_COUNTER).ask(&own("van-12", "auto")).await;
    assert_eq!(other.version, "atlas-large@1", "the same id of another organisation is another session");
}

#[tokio::test(flavor = "multi_thread")]
async fn sessions_begun_at_the_same_time_at_two_entries_agree() {
    let fleet = Fleet::start().await;
    for number in 0..10 {
        let id = format!("van-{number}");
        let (small, large) = (own(&id, "atlas-small"), own(&id, "atlas-large"));
        let callers = (fleet.caller(0, ATLAS_VAN), fleet.caller(1, ATLAS_VAN));
        let (one, two) = tokio::join!(callers.0.ask(&small), callers.1.ask(&large));
        assert_eq!(one.version, two.version, "session {id}");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn sessions_while_the_table_is_down() {
    let fleet = Fleet::start().await;
    let handed = fleet.caller(0, ATLAS_VAN).ask(&Ask { model: "atlas-small@2", ..Ask::default() }).await;
    fleet.set_door(StoreMode::RecordsBusy).await;
    let next = fleet.caller(1, ATLAS_VAN).ask(&own(&handed.session, "auto")).await;
    assert_eq!(next.version, "atlas-small@2", "a session handed out here needs no table: {next:?}");
    let refused = fleet.caller(1, ATLAS_VAN).ask(&own("van-1", "auto")).await;
    assert_eq!((refused.status, refused.ran()), (503, "no"), "{refused:?}");
    assert!(refused.retry_after.is_some());
}

#[tokio::test(flavor = "multi_thread")]
async fn a_drained_version_keeps_its_sessions_and_a_withdrawn_one_ends_them() {
    let fleet = Fleet::start().await;
    let first = fleet.caller(0, ATLAS_VAN).ask(&own("van-7", "atlas-small@1")).await;
    assert_eq!(first.status, 200);
    let (code, text) = fleet.ctl(0, &["--wait", "version", "drain", "atlas-small@1"]).await;
    assert_eq!(code, 0, "{text}");
    let kept = fleet.caller(1, ATLAS_VAN).ask(&own("van-7", "auto")).await;
    assert_eq!(kept.version, "atlas-small@1");
    let fresh = fleet.caller(1, ATLAS_VAN).ask(&Ask { model: "atlas-small", ..Ask::default() }).await;
    assert_eq!(fresh.version, "atlas-small@2", "no new session on a drained version");
    let (code, text) = fleet.ctl(0, &["--wait", "version", "withdraw", "atlas-small@1"]).await;
    assert_eq!(code, 0, "{text}");
    for session in ["van-7", first.session.as_str()] {
        let ended = fleet.caller(1, ATLAS_VAN).ask(&own(session, "auto")).await;
        assert_eq!((ended.status, ended.code(), ended.ran()), (410, "session_ended", "no"), "{ended:?}");
    }
}
