//! A short soak: a few seeds with short fault phases.

use std::time::Duration;

use bluebell_soak::{FleetSize, Plan, run_plan};

/// Duration of the fault phase of a short run.
const FAULT_PHASE: Duration = Duration::from_secs(12);

async fn run_seed(seed: u64, fault_phase: Duration) {
    let outcome = run_plan(Plan::new(seed, FleetSize::Normal, fault_phase)).await.expect("the fleet should start");
    let findings: Vec<String> =
        outcome.findings.iter().map(|finding| format!("{finding}\n{:#?}", finding.log_lines)).collect();
    assert!(findings.is_empty(), "seed {seed}: {}", findings.join("\n"));
    assert!(outcome.served > 0, "seed {seed}: no request was served");
}

#[tokio::test(flavor = "multi_thread")]
async fn seeds_of_a_short_soak_break_no_rule() {
    for seed in [1, 2] {
        run_seed(seed, FAULT_PHASE).await;
    }
}
