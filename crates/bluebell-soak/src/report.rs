//! Output of findings, and of the table of all runs.

use std::io::{self, Write};

use crate::{checks::Finding, run_plan::RunOutcome};

/// Prints a finding and the gateways' log lines about its request.
///
/// # Errors
/// If standard output can't be written.
pub fn print_finding(outcome: &RunOutcome, finding: &Finding) -> io::Result<()> {
    let mut out = io::stdout().lock();
    writeln!(out, "seed {}: {finding}", outcome.plan.seed)?;
    finding.log_lines.iter().try_for_each(|line| writeln!(out, "    {line}"))
}

/// Prints a table with a row for each run, and a summary line.
///
/// # Errors
/// If standard output can't be written.
pub fn print_table(outcomes: &[RunOutcome]) -> io::Result<()> {
    let mut out = io::stdout().lock();
    writeln!(out, "  seed gateways upstreams callers faults poison requests served findings")?;
    for outcome in outcomes {
        let plan = &outcome.plan;
        writeln!(
            out,
            "{:6} {:8} {:9} {:7} {:6} {:6} {:8} {:5.1}% {:8}",
            plan.seed,
            plan.gateways,
            plan.chat_upstreams + plan.ledger_upstreams,
            plan.callers,
            plan.faults.len(),
            if plan.poison { "yes" } else { "no" },
            outcome.requests,
            100.0 * outcome.served as f64 / outcome.requests.max(1) as f64,
            outcome.findings.len()
        )?;
    }
    let findings: usize = outcomes.iter().map(|outcome| outcome.findings.len()).sum();
    writeln!(out, "{} runs, {findings} findings", outcomes.len())
}
