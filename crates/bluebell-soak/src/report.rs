//! Findings, and the table at the end.

use std::io::{self, Write};

use crate::{checks::Finding, play::Outcome};

/// Prints a finding with the lines of its request in all logs.
///
/// # Errors
/// When it can't be written.
pub fn print_finding(outcome: &Outcome, finding: &Finding) -> io::Result<()> {
    let mut out = io::stdout().lock();
    writeln!(out, "seed {}: {finding}", outcome.plan.seed)?;
    finding.lines.iter().try_for_each(|line| writeln!(out, "    {line}"))
}

/// Prints a line for each run.
///
/// # Errors
/// When it can't be written.
pub fn print_table(outcomes: &[Outcome]) -> io::Result<()> {
    let mut out = io::stdout().lock();
    writeln!(out, "  seed gateways upstreams callers faults poison requests served findings")?;
    for one in outcomes {
        let plan = &one.plan;
        writeln!(
            out,
            "{:6} {:8} {:9} {:7} {:6} {:6} {:8} {:5.1}% {:8}",
            plan.seed,
            plan.gateways,
            plan.chat + plan.ledger,
            plan.callers,
            plan.troubles.len(),
            if plan.poison { "yes" } else { "no" },
            one.requests,
            100.0 * one.served as f64 / one.requests.max(1) as f64,
            one.findings.len()
        )?;
    }
    let findings: usize = outcomes.iter().map(|one| one.findings.len()).sum();
    writeln!(out, "{} runs, {findings} findings", outcomes.len())
}
