//! A withdrawn version receives no new work; only allowed versions run.

use std::time::Duration;

use crate::util::{ATLAS_VAN, Ask, Fleet, FleetBuilder, KOVACS_BENCH, until};

fn starts_of(fleet: &Fleet, version: &str) -> usize {
    fleet.engine_runs().iter().filter(|run| run["version"] == version).count()
}

#[tokio::test(flavor = "multi_thread")]
async fn nothing_new_runs_on_a_withdrawn_version_once_it_is_in_force() {
    let fleet = FleetBuilder::default().step(2000).start().await;
    let mut tasks = Vec::new();
    for number in 0..12 {
        let caller = fleet.caller(number % 2, ATLAS_VAN);
        tasks.push(tokio::spawn(async move {
            let mut answers = Vec::new();
            for _ in 0..60 {
                answers.push(caller.ask(&Ask { tokens: 20, ..Ask::default() }).await);
            }
            answers
        }));
    }
    until("the version to be in use", || async { starts_of(&fleet, "atlas-small@1") > 20 }).await;
    let (code, text) = fleet.ctl(0, &["--wait", "version", "withdraw", "atlas-small@1"]).await;
    assert_eq!(code, 0, "{text}");
    let before = starts_of(&fleet, "atlas-small@1");
    for task in tasks {
        for answer in task.await.expect("the caller ends") {
            // A request that was on its way when the change came may be refused, and then did not run.
            assert!(answer.whole || answer.ran() == "no", "{answer:?}");
        }
    }
    assert_eq!(starts_of(&fleet, "atlas-small@1"), before);
    assert!(starts_of(&fleet, "atlas-small@2") > 0);
}

#[tokio::test(flavor = "multi_thread")]
async fn an_entry_that_slept_through_a_withdrawal_gets_nothing_run() {
    let fleet = Fleet::start().await;
    fleet.entries[0].process.freeze();
    let (code, text) = fleet.ctl(1, &["--wait", "--timeout", "5", "version", "withdraw", "atlas-small@1"]).await;
    assert_eq!(code, 5, "the frozen entry is named: {text}");
    assert!(text.contains("entry-1"), "{text}");
    let caller = fleet.caller(0, ATLAS_VAN);
    let asking = tokio::spawn(async move {
        let mut answers = Vec::new();
        for _ in 0..10 {
            answers.push(caller.ask(&Ask { model: "atlas-small@1", ..Ask::default() }).await);
        }
        answers
    });
    Fleet::pause(Duration::from_millis(200)).await;
    fleet.entries[0].process.thaw();
    for answer in asking.await.expect("the caller ends") {
        assert_eq!(answer.ran(), "no", "{answer:?}");
    }
    assert_eq!(starts_of(&fleet, "atlas-small@1"), 0);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_version_taken_from_a_branch_runs_for_it_no_more() {
    let fleet = Fleet::start().await;
    let path = std::env::temp_dir().join(format!("bluebell-{}-narrow.yaml", std::process::id()));
    let text = "# base: 1\nbranch: kovacs\nparent: root\norganisation: kovacs\nallow: [atlas-large@1]\nservices: []\n";
    std::fs::write(&path, text).expect("a file can be written");
    let ask = Ask { model: "atlas-small@1", ..Ask::default() };
    assert_eq!(fleet.caller(0, KOVACS_BENCH).ask(&ask).await.status, 200);
    let (code, text) = fleet.ctl(0, &["--wait", "settings", "set", &path.display().to_string()]).await;
    assert_eq!(code, 0, "{text}");
    for at in [0, 1] {
        let refused = fleet.caller(at, KOVACS_BENCH).ask(&ask).await;
        assert_eq!((refused.status, refused.ran()), (403, "no"), "{refused:?}");
        assert_eq!(fleet.caller(at, ATLAS_VAN).ask(&ask).await.status, 200, "others keep it");
    }
}
