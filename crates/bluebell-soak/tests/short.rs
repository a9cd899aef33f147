//! A short soak, and seeds that once broke a rule.

use std::time::Duration;

use bluebell_soak::{Plan, Size, play};

/// Time of faults in a short run.
const FAULTS: Duration = Duration::from_secs(12);

async fn play_seed(seed: u64, faults: Duration) {
    let outcome = play(Plan::new(seed, Size::Usual, faults)).await.expect("a fleet");
    let findings: Vec<String> =
        outcome.findings.iter().map(|finding| format!("{finding}\n{:#?}", finding.lines)).collect();
    assert!(findings.is_empty(), "seed {seed}: {}", findings.join("\n"));
    assert!(outcome.served > 0, "nothing was served");
}

#[tokio::test(flavor = "multi_thread")]
async fn seeds_of_a_short_soak_break_no_rule() {
    for seed in [1, 2] {
        play_seed(seed, FAULTS).await;
    }
}
