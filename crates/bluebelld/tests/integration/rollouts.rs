//! A roll-out goes on whoever drives it dies, and each of its steps is taken once.

use std::{
    collections::VecDeque,
    time::{Duration, Instant},
};

use crate::util::{ATLAS_VAN, Answer, Ask, Fleet, FleetBuilder, until};

async fn fast_plan(fleet: &Fleet, rated: u64) {
    let path = std::env::temp_dir().join(format!("bluebell-{}-plan-{rated}.yaml", std::process::id()));
    let plan = format!("{{ steps: [20%, 60%, 100%], hold: 1500ms, rated: {rated} }}");
    let text = format!("# base: 1\nbranch: trial\nparent: maktabat\nrollout: {plan}\n");
    std::fs::write(&path, text).expect("a file can be written");
    let (code, text) = fleet.ctl(0, &["--wait", "settings", "set", &path.display().to_string()]).await;
    assert_eq!(code, 0, "{text}");
}

async fn start(fleet: &Fleet) {
    let args = ["--wait", "rollout", "start", "atlas-small", "--from", "atlas-small@1", "--to", "atlas-small@2"];
    let (code, text) = fleet.ctl(0, &[&args[..], &["--branch", "trial"]].concat()).await;
    assert_eq!(code, 0, "{text}");
}

async fn share(fleet: &Fleet, at: usize) -> String {
    fleet.ctl(at, &["rollout", "status"]).await.1
}

async fn steps(fleet: &Fleet, at: usize) -> Vec<String> {
    let (_, history) = fleet.ctl(at, &["settings", "history"]).await;
    history.lines().filter(|line| line.contains("roll-out of")).map(str::to_owned).collect()
}

fn driver(fleet: &Fleet) -> usize {
    let drives = |log: String| log.contains("roll-out moved on");
    fleet.entries.iter().position(|entry| drives(entry.process.log())).expect("an entry drives")
}

#[tokio::test(flavor = "multi_thread")]
async fn a_roll_out_goes_through_its_steps_and_moves_new_sessions() {
    let fleet = Fleet::start().await;
    fast_plan(&fleet, 0).await;
    let before = fleet.caller(0, ATLAS_VAN).ask(&Ask { model: "atlas-small", ..Ask::default() }).await;
    assert_eq!(before.version, "atlas-small@1");
    start(&fleet).await;
    until("the last step", || async { share(&fleet, 0).await.contains("100%") }).await;
    until("the last step at both entries", || async { share(&fleet, 1).await.contains("100%") }).await;
    for at in [0, 1] {
        let new = fleet.caller(at, ATLAS_VAN).ask(&Ask { model: "atlas-small", ..Ask::default() }).await;
        assert_eq!(new.version, "atlas-small@2");
        let ask = Ask { model: "atlas-small", session: Some(&before.session), ..Ask::default() };
        let old = fleet.caller(at, ATLAS_VAN).ask(&ask).await;
        assert_eq!(old.version, "atlas-small@1", "a session keeps its version");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn another_entry_goes_on_when_the_driver_is_killed_or_frozen() {
    let fleet = FleetBuilder::default().entries(3).start().await;
    fast_plan(&fleet, 0).await;
    start(&fleet).await;
    until("the second step", || async { share(&fleet, 0).await.contains("60%") }).await;
    let at = driver(&fleet);
    fleet.entries[at].process.freeze();
    let other = (at + 1) % 3;
    until("the last step without the driver", || async { share(&fleet, other).await.contains("100%") }).await;
    fleet.entries[at].process.thaw();
    Fleet::pause(Duration::from_secs(3)).await;
    let taken = steps(&fleet, other).await;
    assert_eq!(taken.len(), 2, "60% and 100%, each once: {taken:?}");
    assert!(share(&fleet, at).await.contains("100%"), "the old driver did not move it back");
}

/// Lateness of ratings.
const RATING_LAG: Duration = Duration::from_secs(5);
/// Bad answers after which a version must be stopped.
const MOST_BAD: usize = 50;

#[tokio::test(flavor = "multi_thread")]
async fn a_version_that_turns_bad_is_stopped_and_rolled_back() {
    let fleet = Fleet::start().await;
    fast_plan(&fleet, 8).await;
    fleet.turn_bad("atlas-small@2").await;
    start(&fleet).await;
    let mut bad = 0;
    let mut ratings = VecDeque::new();
    let begun = Instant::now();
    loop {
        assert!(begun.elapsed() < Duration::from_secs(60), "it was not stopped; {bad} bad answers");
        let answer = fleet.caller(bad % 2, ATLAS_VAN).ask(&Ask { model: "atlas-small", ..Ask::default() }).await;
        let good = !answer.text.contains("bad-");
        bad += usize::from(!good);
        ratings.push_back((Instant::now(), answer, good));
        while ratings.front().is_some_and(|(at, ..)| at.elapsed() >= RATING_LAG) {
            let (_, answer, good) = ratings.pop_front().expect("it is there");
            fleet.rate(&answer.request, &answer.version, good).await;
        }
        if answered_by_old(&ratings) && steps(&fleet, 0).await.iter().any(|line| line.contains("aborted")) {
            break;
        }
        Fleet::pause(Duration::from_millis(100)).await;
    }
    assert!(bad <= MOST_BAD, "{bad} bad answers");
    let (_, history) = fleet.ctl(0, &["settings", "history"]).await;
    assert!(history.contains("judge        withdraw atlas-small@2"), "{history}");
}

fn answered_by_old(ratings: &VecDeque<(Instant, Answer, bool)>) -> bool {
    ratings.back().is_some_and(|(_, answer, _)| answer.version == "atlas-small@1")
}

#[tokio::test(flavor = "multi_thread")]
async fn an_aborted_roll_out_gives_new_sessions_to_the_old_version() {
    let fleet = Fleet::start().await;
    fast_plan(&fleet, 0).await;
    start(&fleet).await;
    until("the second step", || async { share(&fleet, 0).await.contains("60%") }).await;
    let (code, text) = fleet.ctl(1, &["--wait", "rollout", "abort", "atlas-small"]).await;
    assert_eq!(code, 0, "{text}");
    for number in 0..20 {
        let answer = fleet.caller(number % 2, ATLAS_VAN).ask(&Ask { model: "atlas-small", ..Ask::default() }).await;
        assert_eq!(answer.version, "atlas-small@1");
    }
}
