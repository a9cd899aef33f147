//! A withdrawn version receives no new requests, and an organisation's requests run only on versions it is allowed.

use std::time::Duration;

use crate::util::{ATLAS_VAN, ChatRequest, Fleet, FleetBuilder, KOVACS_BENCH, until};

fn runs_of_version(fleet: &Fleet, version: &str) -> usize {
    fleet.engine_runs().iter().filter(|run| run["version"] == version).count()
}

#[tokio::test(flavor = "multi_thread")]
async fn no_request_starts_on_a_withdrawn_version_once_the_withdrawal_is_in_force() {
    let fleet = FleetBuilder::default().micros_per_token(2000).start().await;
    let mut tasks = Vec::new();
    for number in 0..12 {
        let caller = fleet.caller(number % 2, ATLAS_VAN);
        tasks.push(tokio::spawn(async move {
            let mut responses = Vec::new();
            for _ in 0..60 {
                responses.push(caller.chat(&ChatRequest { tokens: 20, ..ChatRequest::default() }).await);
            }
            responses
        }));
    }
    until("the version to be in use", || async { runs_of_version(&fleet, "atlas-small@1") > 20 }).await;
    let (code, text) = fleet.ctl(0, &["--wait", "version", "withdraw", "atlas-small@1"]).await;
    assert_eq!(code, 0, "{text}");
    let before = runs_of_version(&fleet, "atlas-small@1");
    for task in tasks {
        for response in task.await.expect("the caller task should not panic") {
            // A request in flight when the change takes effect may be refused, but then must not have run.
            assert!(response.complete || response.ran() == "no", "{response:?}");
        }
    }
    assert_eq!(runs_of_version(&fleet, "atlas-small@1"), before);
    assert!(runs_of_version(&fleet, "atlas-small@2") > 0);
}

#[tokio::test(flavor = "multi_thread")]
async fn requests_of_an_entry_frozen_during_a_withdrawal_do_not_run_on_the_withdrawn_version() {
    let fleet = Fleet::start().await;
    fleet.entries[0].process.freeze();
    let (code, text) = fleet.ctl(1, &["--wait", "--timeout", "5", "version", "withdraw", "atlas-small@1"]).await;
    assert_eq!(code, 5, "the command should time out waiting for the frozen entry: {text}");
    assert!(text.contains("entry-1"), "{text}");
    let caller = fleet.caller(0, ATLAS_VAN);
    let pending = tokio::spawn(async move {
        let mut responses = Vec::new();
        for _ in 0..10 {
            responses.push(caller.chat(&ChatRequest { model: "atlas-small@1", ..ChatRequest::default() }).await);
        }
        responses
    });
    Fleet::sleep(Duration::from_millis(200)).await;
    fleet.entries[0].process.thaw();
    for response in pending.await.expect("the caller task should not panic") {
        assert_eq!(response.ran(), "no", "{response:?}");
    }
    assert_eq!(runs_of_version(&fleet, "atlas-small@1"), 0);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_version_removed_from_a_branch_no_longer_runs_for_it() {
    let fleet = Fleet::start().await;
    let path = std::env::temp_dir().join(format!("bluebell-{}-narrow.yaml", std::process::id()));
    let text = "# base: 1\nbranch: kovacs\nparent: root\norganisation: kovacs\nallow: [atlas-large@1]\nservices: []\n";
    std::fs::write(&path, text).expect("the settings file should be writable");
    let request = ChatRequest { model: "atlas-small@1", ..ChatRequest::default() };
    assert_eq!(fleet.caller(0, KOVACS_BENCH).chat(&request).await.status, 200);
    let (code, text) = fleet.ctl(0, &["--wait", "settings", "set", &path.display().to_string()]).await;
    assert_eq!(code, 0, "{text}");
    for index in [0, 1] {
        let refused = fleet.caller(index, KOVACS_BENCH).chat(&request).await;
        assert_eq!((refused.status, refused.ran()), (403, "no"), "{refused:?}");
        assert_eq!(
            fleet.caller(index, ATLAS_VAN).chat(&request).await.status,
            200,
            "other organisations should keep the version"
        );
    }
}
