//! Counts of answers by release and kind of work, aggregated over all gateways.

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

use crate::ids::InstanceId;

/// Answers of one kind of work that are needed before its usual pace is known.
const MIN_BASELINE_ANSWERS: u64 = 8;
/// Number of answers over which the usual pace is averaged.
const BASELINE_WINDOW: f64 = 40.0;
/// Lower bound of the pace, so that its logarithm is finite.
const MIN_PACE: f64 = 1e-6;
/// Multiple of the usual pace above which an answer counts as slow; bad releases are several times slower.
const SLOW_FACTOR: f64 = 4.0;

/// Counts of one release in one kind of work.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize, Deserialize)]
pub struct Tally {
    /// Answers, good or bad.
    pub answers: u64,
    /// Failures reported by the upstream itself.
    pub failures: u64,
    /// Answers that took several times as long as is usual for their work.
    pub slow: u64,
    /// Logarithms of the pace of the answers, which is their response time divided by the time expected for their size.
    pub pace: Moments,
}

/// Count, sum and sum of squares of a quantity, from which its mean and variance follow.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize, Deserialize)]
pub struct Moments {
    pub(super) count: u64,
    sum: f64,
    squares: f64,
}

impl Moments {
    /// Adds a value.
    pub fn record(&mut self, value: f64) {
        self.count += 1;
        self.sum += value;
        self.squares += value * value;
    }

    /// Mean of the values, or 0 if there are none.
    #[must_use]
    pub fn mean(&self) -> f64 {
        self.sum / self.count.max(1) as f64
    }

    fn add(&mut self, other: &Self) {
        self.count += other.count;
        self.sum += other.sum;
        self.squares += other.squares;
    }

    fn since(&self, earlier: &Self) -> Self {
        Self {
            count: self.count.saturating_sub(earlier.count),
            sum: self.sum - earlier.sum,
            squares: self.squares - earlier.squares,
        }
    }

    pub(super) fn squared_deviations(&self) -> f64 {
        (self.squares - self.count as f64 * self.mean().powi(2)).max(0.0)
    }
}

impl Tally {
    /// Adds the counts of another tally.
    pub fn add(&mut self, other: &Self) {
        self.answers += other.answers;
        self.failures += other.failures;
        self.slow += other.slow;
        self.pace.add(&other.pace);
    }

    pub(super) fn since(&self, earlier: &Self) -> Self {
        Self {
            answers: self.answers.saturating_sub(earlier.answers),
            failures: self.failures.saturating_sub(earlier.failures),
            slow: self.slow.saturating_sub(earlier.slow),
            pace: self.pace.since(&earlier.pace),
        }
    }
}

/// Usual pace of a kind of work at the releases that are not under evaluation.
#[derive(Debug, Clone, Copy, Default)]
pub struct PaceBaseline {
    mean_log: f64,
    count: u64,
}

impl PaceBaseline {
    /// Logarithm of a pace, with the pace bounded below.
    #[must_use]
    pub fn log(pace: f64) -> f64 {
        pace.max(MIN_PACE).ln()
    }

    /// Adds the pace of an answer: its response time divided by the time expected for its size.
    pub fn record(&mut self, pace: f64) {
        self.count += 1;
        let weight = 1.0 / (self.count as f64).min(BASELINE_WINDOW);
        self.mean_log += weight * (pace.max(MIN_PACE).ln() - self.mean_log);
    }

    /// Whether an answer took several times as long as usual.
    #[must_use]
    pub fn is_slow(&self, pace: f64) -> bool {
        self.count >= MIN_BASELINE_ANSWERS && pace.max(MIN_PACE).ln() - self.mean_log > SLOW_FACTOR.ln()
    }
}

/// Counts of the old and the new release, by kind of work.
pub type Tallies = IndexMap<String, (Tally, Tally)>;

/// Counts summed over all gateways. A gateway that restarts counts from zero; what it counted before is kept.
#[derive(Debug, Default)]
pub struct AggregatedTallies {
    last: IndexMap<(InstanceId, String, bool), Tally>,
    totals: Tallies,
}

impl AggregatedTallies {
    /// Records a gateway's counts since its start, for the old or the new release.
    pub fn record(&mut self, gateway: &InstanceId, work: &str, is_new: bool, tally: &Tally) {
        let last = self.last.entry((gateway.clone(), work.to_owned(), is_new)).or_default();
        let restarted = tally.answers < last.answers;
        let fresh = if restarted { *tally } else { tally.since(last) };
        *last = *tally;
        let pair = self.totals.entry(work.to_owned()).or_default();
        let side = if is_new { &mut pair.1 } else { &mut pair.0 };
        side.add(&fresh);
    }

    /// Counts summed over all gateways.
    #[must_use]
    pub fn totals(&self) -> &Tallies {
        &self.totals
    }

    /// Number of answers of both releases.
    #[must_use]
    pub fn all_answers(&self) -> u64 {
        self.totals.values().map(|(old, new)| old.answers + new.answers).sum()
    }

    /// Number of answers of the new release.
    #[must_use]
    pub fn answers(&self) -> u64 {
        self.totals.values().map(|(_, new)| new.answers).sum()
    }
}
