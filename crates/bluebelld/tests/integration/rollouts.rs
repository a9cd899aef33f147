//! A roll-out continues when the entry that drives it fails, and each of its steps is taken once.

use std::{
    collections::VecDeque,
    time::{Duration, Instant},
};

use crate::util::{ATLAS_VAN, ChatRequest, Fleet, FleetBuilder, Response, until};

/// Submits a roll-out plan with short steps on a branch of its own; each step needs `rated` ratings.
async fn set_rollout_plan(fleet: &Fleet, rated: u64) {
    let path = std::env::temp_dir().join(format!("bluebell-{}-plan-{rated}.yaml", std::process::id()));
    let plan = format!("{{ steps: [20%, 60%, 100%], hold: 1500ms, rated: {rated} }}");
    let text = format!("# base: 1\nbranch: trial\nparent: maktabat\nrollout: {plan}\n");
    std::fs::write(&path, text).expect("the settings file should be writable");
    let (code, text) = fleet.ctl(0, &["--wait", "settings", "set", &path.display().to_string()]).await;
    assert_eq!(code, 0, "{text}");
}

async fn start_rollout(fleet: &Fleet) {
    let args = ["--wait", "rollout", "start", "atlas-small", "--from", "atlas-small@1", "--to", "atlas-small@2"];
    let (code, text) = fleet.ctl(0, &[&args[..], &["--branch", "trial"]].concat()).await;
    assert_eq!(code, 0, "{text}");
}

async fn rollout_status(fleet: &Fleet, index: usize) -> String {
    fleet.ctl(index, &["rollout", "status"]).await.1
}

/// Lines of the settings history about steps of roll-outs.
async fn rollout_steps(fleet: &Fleet, index: usize) -> Vec<String> {
    let (_, history) = fleet.ctl(index, &["settings", "history"]).await;
    history.lines().filter(|line| line.contains("roll-out of")).map(str::to_owned).collect()
}

/// Index of an entry that has advanced a roll-out, by its log.
fn driving_entry(fleet: &Fleet) -> usize {
    let drives = |log: String| log.contains("roll-out moved on");
    fleet.entries.iter().position(|entry| drives(entry.process.log())).expect("an entry has advanced the roll-out")
}

#[tokio::test(flavor = "multi_thread")]
async fn a_roll_out_goes_through_its_steps_and_moves_new_sessions() {
    let fleet = Fleet::start().await;
    set_rollout_plan(&fleet, 0).await;
    let before = fleet.caller(0, ATLAS_VAN).chat(&ChatRequest { model: "atlas-small", ..ChatRequest::default() }).await;
    assert_eq!(before.version, "atlas-small@1");
    start_rollout(&fleet).await;
    until("the last step to be taken", || async { rollout_status(&fleet, 0).await.contains("100%") }).await;
    until("the last step to reach the other entry", || async { rollout_status(&fleet, 1).await.contains("100%") })
        .await;
    for index in [0, 1] {
        let new =
            fleet.caller(index, ATLAS_VAN).chat(&ChatRequest { model: "atlas-small", ..ChatRequest::default() }).await;
        assert_eq!(new.version, "atlas-small@2");
        let request = ChatRequest { model: "atlas-small", session: Some(&before.session), ..ChatRequest::default() };
        let old = fleet.caller(index, ATLAS_VAN).chat(&request).await;
        assert_eq!(old.version, "atlas-small@1", "a session should keep its version");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn another_entry_continues_a_roll_out_when_the_driving_entry_is_frozen() {
    let fleet = FleetBuilder::default().entries(3).start().await;
    set_rollout_plan(&fleet, 0).await;
    start_rollout(&fleet).await;
    until("the second step to be taken", || async { rollout_status(&fleet, 0).await.contains("60%") }).await;
    let index = driving_entry(&fleet);
    fleet.entries[index].process.freeze();
    let other = (index + 1) % 3;
    until("the last step to be taken without the frozen entry", || async {
        rollout_status(&fleet, other).await.contains("100%")
    })
    .await;
    fleet.entries[index].process.thaw();
    Fleet::sleep(Duration::from_secs(3)).await;
    let taken = rollout_steps(&fleet, other).await;
    assert_eq!(taken.len(), 2, "the steps to 60% and 100% should each be taken once: {taken:?}");
    assert!(
        rollout_status(&fleet, index).await.contains("100%"),
        "the resumed entry should not move the roll-out back"
    );
}

/// Delay between a response and its rating.
const RATING_DELAY: Duration = Duration::from_secs(5);
/// Maximum number of bad responses before the version must be stopped.
const MAX_BAD_RESPONSES: usize = 50;

#[tokio::test(flavor = "multi_thread")]
async fn a_version_with_bad_ratings_is_withdrawn_and_rolled_back() {
    let fleet = Fleet::start().await;
    set_rollout_plan(&fleet, 8).await;
    fleet.degrade_version("atlas-small@2").await;
    start_rollout(&fleet).await;
    let mut bad = 0;
    let mut ratings = VecDeque::new();
    let started = Instant::now();
    loop {
        assert!(
            started.elapsed() < Duration::from_secs(60),
            "the roll-out was not aborted within 60 s; {bad} bad responses"
        );
        let response = fleet
            .caller(bad % 2, ATLAS_VAN)
            .chat(&ChatRequest { model: "atlas-small", ..ChatRequest::default() })
            .await;
        let good = !response.text.contains("bad-");
        bad += usize::from(!good);
        ratings.push_back((Instant::now(), response, good));
        while ratings.front().is_some_and(|(received_at, ..)| received_at.elapsed() >= RATING_DELAY) {
            let (_, response, good) = ratings.pop_front().expect("the queue is not empty");
            fleet.submit_rating(&response.request_id, &response.version, good).await;
        }
        if latest_from_old_version(&ratings)
            && rollout_steps(&fleet, 0).await.iter().any(|line| line.contains("aborted"))
        {
            break;
        }
        Fleet::sleep(Duration::from_millis(100)).await;
    }
    assert!(bad <= MAX_BAD_RESPONSES, "{bad} bad responses before the version was stopped");
    let (_, history) = fleet.ctl(0, &["settings", "history"]).await;
    assert!(history.contains("judge        withdraw atlas-small@2"), "{history}");
}

/// Whether the old version served the latest response of those that await their rating.
fn latest_from_old_version(ratings: &VecDeque<(Instant, Response, bool)>) -> bool {
    ratings.back().is_some_and(|(_, response, _)| response.version == "atlas-small@1")
}

#[tokio::test(flavor = "multi_thread")]
async fn an_aborted_roll_out_gives_new_sessions_to_the_old_version() {
    let fleet = Fleet::start().await;
    set_rollout_plan(&fleet, 0).await;
    start_rollout(&fleet).await;
    until("the second step to be taken", || async { rollout_status(&fleet, 0).await.contains("60%") }).await;
    let (code, text) = fleet.ctl(1, &["--wait", "rollout", "abort", "atlas-small"]).await;
    assert_eq!(code, 0, "{text}");
    for number in 0..20 {
        let response = fleet
            .caller(number % 2, ATLAS_VAN)
            .chat(&ChatRequest { model: "atlas-small", ..ChatRequest::default() })
            .await;
        assert_eq!(response.version, "atlas-small@1");
    }
}
