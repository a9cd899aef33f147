//! A randomized soak: the real gateways as processes of their own, between stand-ins of callers, upstreams and the
//! platform's store, under overlapping faults.
//!
//! One seed decides a whole run: the fleet, the load, and when which fault sets in ([`plan`]). The faults come from
//! outside the processes: through proxies on every link, through signals, through the store's doors, and through
//! upstreams that answer falsely ([`troubles`]). Callers and upstreams write down what they see ([`callers`]), and the
//! rules are checked against that alone ([`checks`]).

pub mod args;
pub mod callers;
pub mod checks;
pub mod fleet;
pub mod plan;
mod play;
mod report;
pub mod troubles;

use std::io;

use args::Options;
use futures_util::StreamExt;
use indicatif::{ProgressBar, ProgressStyle};
pub use plan::{Plan, Size};
pub use play::{Outcome, play};

/// Plays the seeds that the command line asks for; tells whether no rule was broken.
///
/// # Errors
/// When a fleet can't be started or the table can't be written.
pub async fn run(options: &Options) -> io::Result<bool> {
    let size = if options.large { Size::Large } else { Size::Usual };
    let style =
        ProgressStyle::with_template("{bar:40} {pos}/{len} seeds, {elapsed}, {msg}").map_err(io::Error::other)?;
    let progress = ProgressBar::new(options.seeds).with_style(style);
    let runs = (options.first..options.first + options.seeds).map(|seed| play(Plan::new(seed, size, options.faults)));
    let mut runs = futures_util::stream::iter(runs).buffer_unordered(options.jobs);
    let mut outcomes = Vec::new();
    let mut broken = 0;
    while let Some(outcome) = runs.next().await {
        let outcome = outcome?;
        broken += outcome.findings.len();
        for finding in &outcome.findings {
            progress.suspend(|| report::print_finding(&outcome, finding))?;
        }
        progress.inc(1);
        progress.set_message(format!("{broken} findings"));
        outcomes.push(outcome);
    }
    progress.finish();
    outcomes.sort_by_key(|outcome| outcome.plan.seed);
    report::print_table(&outcomes)?;
    Ok(broken == 0)
}
