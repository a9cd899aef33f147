//! Counts of answers by release and kind of work, gathered from all entries.

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

use crate::ids::InstanceId;

/// Answers of one kind from which its usual pace is known.
const PACE_ANSWERS: u64 = 8;
/// Answers over which the usual pace is averaged.
const PACE_MEMORY: f64 = 40.0;
/// Least pace told apart from none.
const MIN_PACE: f64 = 1e-6;
/// Times the usual pace from which an answer counts as slow; bad releases are several times slower.
const SLOW_TIMES: f64 = 4.0;

/// What is counted of one release in one kind of work.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize, Deserialize)]
pub struct Tally {
    /// Answers, good or bad.
    pub answers: u64,
    /// Failures that the upstream itself reported.
    pub failures: u64,
    /// Answers that took several times as long as is usual for their work.
    pub slow: u64,
    /// Time of the answers against what their size lets expect, as logarithms.
    pub pace: Moments,
}

/// Sums from which the mean and the spread of a quantity follow.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize, Deserialize)]
pub struct Moments {
    pub(super) count: u64,
    sum: f64,
    squares: f64,
}

impl Moments {
    /// Takes a value.
    pub fn record(&mut self, value: f64) {
        self.count += 1;
        self.sum += value;
        self.squares += value * value;
    }

    /// Mean of the values taken, 0 of none.
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
    /// Adds what another counter holds.
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

/// The usual time of a kind of work at the releases that are not being judged, against what its size lets expect.
#[derive(Debug, Clone, Copy, Default)]
pub struct PaceBaseline {
    mean_log: f64,
    count: u64,
}

impl PaceBaseline {
    /// Logarithm of a pace, as it is averaged.
    #[must_use]
    pub fn log(pace: f64) -> f64 {
        pace.max(MIN_PACE).ln()
    }

    /// Takes the pace of an answer: its time against the time that its size lets expect.
    pub fn record(&mut self, pace: f64) {
        self.count += 1;
        let weight = 1.0 / (self.count as f64).min(PACE_MEMORY);
        self.mean_log += weight * (pace.max(MIN_PACE).ln() - self.mean_log);
    }

    /// Whether an answer took several times as long as is usual.
    #[must_use]
    pub fn is_slow(&self, pace: f64) -> bool {
        self.count >= PACE_ANSWERS && pace.max(MIN_PACE).ln() - self.mean_log > SLOW_TIMES.ln()
    }
}

/// Counts by kind of work, of the old release and of the new one.
pub type Tallies = IndexMap<String, (Tally, Tally)>;

/// Counts gathered from all entries. An entry that starts anew counts from zero; what it counted before stays.
#[derive(Debug, Default)]
pub struct AggregatedTallies {
    last: IndexMap<(InstanceId, String, bool), Tally>,
    totals: Tallies,
}

impl AggregatedTallies {
    /// Takes an entry's counts since its start, of the old release or the new one.
    pub fn record(&mut self, entry: &InstanceId, work: &str, is_new: bool, tally: &Tally) {
        let last = self.last.entry((entry.clone(), work.to_owned(), is_new)).or_default();
        let restarted = tally.answers < last.answers;
        let fresh = if restarted { *tally } else { tally.since(last) };
        *last = *tally;
        let pair = self.totals.entry(work.to_owned()).or_default();
        let side = if is_new { &mut pair.1 } else { &mut pair.0 };
        side.add(&fresh);
    }

    /// The counts of all entries.
    #[must_use]
    pub fn totals(&self) -> &Tallies {
        &self.totals
    }

    /// Answers of the new release.
    #[must_use]
    pub fn answers(&self) -> u64 {
        self.totals.values().map(|(_, new)| new.answers).sum()
    }
}
