//! Report of a load run: counts and latency quantiles.

use std::time::Duration;

use hdrhistogram::Histogram;
use indexmap::IndexMap;
use serde::Serialize;
use tokio::sync::mpsc;

use super::send::Outcome;
use crate::error::StandinError;

/// Latency quantiles of the served requests, in milliseconds.
#[derive(Debug, Clone, Serialize)]
pub struct Quantiles {
    p50: f64,
    p95: f64,
    p99: f64,
    max: f64,
}

/// Results of one kind of caller.
#[derive(Debug, Clone, Serialize)]
pub struct CallerReport {
    sent: u64,
    served: u64,
    refused: u64,
    failed: u64,
    first_ms: Quantiles,
    total_ms: Quantiles,
}

/// Results of a load run.
#[derive(Debug, Clone, Serialize)]
pub struct Report {
    seconds: f64,
    served_per_second: f64,
    callers: IndexMap<String, CallerReport>,
}

/// Largest latency that the histograms resolve, in microseconds; longer ones are recorded as this value.
const MAX_MICROS: u64 = 120_000_000;
/// Significant decimal digits of the recorded latencies.
const SIGNIFICANT_DIGITS: u8 = 3;

struct Tally {
    sent: u64,
    served: u64,
    refused: u64,
    failed: u64,
    first: Histogram<u64>,
    total: Histogram<u64>,
}

impl Tally {
    fn new() -> Result<Self, StandinError> {
        let histogram_error =
            |error: hdrhistogram::CreationError| StandinError::Histogram { reason: error.to_string() };
        // Without an explicit upper bound, saturating_record would clamp values at a few thousand microseconds.
        let histogram = || Histogram::new_with_bounds(1, MAX_MICROS, SIGNIFICANT_DIGITS).map_err(histogram_error);
        Ok(Self { sent: 0, served: 0, refused: 0, failed: 0, first: histogram()?, total: histogram()? })
    }

    fn add(&mut self, outcome: &Outcome) {
        self.sent += 1;
        if outcome.is_served() {
            self.served += 1;
            self.first.saturating_record(outcome.first_byte.as_micros() as u64);
            self.total.saturating_record(outcome.total.as_micros() as u64);
        } else if matches!(outcome.status, 429 | 503) {
            self.refused += 1;
        } else {
            self.failed += 1;
        }
    }

    fn report(&self) -> CallerReport {
        CallerReport {
            sent: self.sent,
            served: self.served,
            refused: self.refused,
            failed: self.failed,
            first_ms: quantiles(&self.first),
            total_ms: quantiles(&self.total),
        }
    }
}

fn quantiles(histogram: &Histogram<u64>) -> Quantiles {
    let millis = |quantile: f64| histogram.value_at_quantile(quantile) as f64 / 1000.0;
    Quantiles { p50: millis(0.50), p95: millis(0.95), p99: millis(0.99), max: histogram.max() as f64 / 1000.0 }
}

impl Report {
    /// Collects the outcomes of a run until all senders are dropped.
    pub async fn collect(
        mut outcomes: mpsc::UnboundedReceiver<Outcome>,
        elapsed: Duration,
    ) -> Result<Self, StandinError> {
        let mut tallies: IndexMap<String, Tally> = IndexMap::new();
        while let Some(outcome) = outcomes.recv().await {
            if !tallies.contains_key(&outcome.caller) {
                tallies.insert(outcome.caller.clone(), Tally::new()?);
            }
            if let Some(tally) = tallies.get_mut(&outcome.caller) {
                tally.add(&outcome);
            }
        }
        let served: u64 = tallies.values().map(|tally| tally.served).sum();
        let seconds = elapsed.as_secs_f64();
        let callers = tallies.iter().map(|(name, tally)| (name.clone(), tally.report())).collect();
        Ok(Self { seconds, served_per_second: served as f64 / seconds, callers })
    }

    /// Prints the report to standard output, as JSON or as a table.
    #[expect(clippy::print_stdout, reason = "the report is the output of the tool")]
    pub fn print(&self, json: bool) {
        if json {
            println!("{}", serde_json::json!(self));
            return;
        }
        println!("{:.1} s, {:.0} served/s", self.seconds, self.served_per_second);
        println!("caller            sent   served  refused   failed  first p50/p95/p99 ms      total p50/p95/p99 ms");
        for (name, caller) in &self.callers {
            let times = |q: &Quantiles| format!("{:>7.2} {:>7.2} {:>8.2}", q.p50, q.p95, q.p99);
            println!(
                "{name:<14} {:>7} {:>8} {:>8} {:>8}  {}  {}",
                caller.sent,
                caller.served,
                caller.refused,
                caller.failed,
                times(&caller.first_ms),
                times(&caller.total_ms),
            );
        }
    }
}
