//! A randomized soak test: real gateway processes serve requests under overlapping faults, with stand-ins for callers,
//! upstreams and the platform's store.
//!
//! A seed determines a whole run: the fleet, the load, and the kind and time of each fault ([`plan`]). Faults are
//! injected from outside the gateways ([`faults`]): by proxies on all links, by signals, by the store's treatment of
//! calls, and by upstreams that answer incorrectly. Callers ([`callers`]) and upstreams record what they observe, and
//! the rules are checked against these records alone ([`checks`]).

pub mod args;
pub mod callers;
pub mod checks;
pub mod faults;
pub mod fleet;
pub mod plan;
mod report;
mod run_plan;

use std::io;

use args::Options;
use futures_util::StreamExt;
use indicatif::{ProgressBar, ProgressStyle};
pub use plan::{FleetSize, Plan};
pub use run_plan::{RunOutcome, run_plan};

/// Runs the seeds given by the options and prints the results; returns whether there were no findings.
///
/// # Errors
/// If a fleet can't be started, a caller panics, or standard output can't be written.
pub async fn run(options: &Options) -> io::Result<bool> {
    let size = if options.large { FleetSize::Large } else { FleetSize::Normal };
    let style =
        ProgressStyle::with_template("{bar:40} {pos}/{len} seeds, {elapsed}, {msg}").map_err(io::Error::other)?;
    let progress = ProgressBar::new(options.seeds).with_style(style);
    let seeds = options.first..options.first + options.seeds;
    let runs = seeds.map(|seed| run_plan(Plan::new(seed, size, options.faults)));
    let mut runs = futures_util::stream::iter(runs).buffer_unordered(options.jobs);
    let mut outcomes = Vec::new();
    let mut finding_count = 0;
    while let Some(outcome) = runs.next().await {
        let outcome = outcome?;
        finding_count += outcome.findings.len();
        for finding in &outcome.findings {
            progress.suspend(|| report::print_finding(&outcome, finding))?;
        }
        progress.inc(1);
        progress.set_message(format!("{finding_count} findings"));
        outcomes.push(outcome);
    }
    progress.finish();
    outcomes.sort_by_key(|outcome| outcome.plan.seed);
    report::print_table(&outcomes)?;
    Ok(finding_count == 0)
}
