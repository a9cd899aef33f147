//! Cumulative sum (CUSUM) tests of the answers in one kind of work. Each sums the log likelihood ratios of a bad and of a
//! good release; the rate of a good one is that of the old release, including what it shows in the current window.

use super::tally::Tally;

/// Log likelihood ratio at which a release is rejected: a cumulative sum that starts at zero gives a false alarm in
/// about one of e^8, or 3,000, cases.
const REJECTION_THRESHOLD: f64 = 8.0;
/// Lowest failure rate that is assumed for a good release.
const MIN_GOOD_RATE: f64 = 0.02;
/// Lowest failure rate that is assumed for a bad release.
const MIN_BAD_RATE: f64 = 0.4;
/// Highest failure rate that is assumed for a good release on the strength of the old one's overall rate.
const MAX_GOOD_RATE: f64 = 0.3;
/// Highest failure rate that is assumed for any release.
const MAX_BAD_RATE: f64 = 0.9;
/// Assumed ratio of the failure rates of a bad and a good release.
const BAD_RATE_FACTOR: f64 = 3.0;
/// Share of its answers that a partly bad release is assumed to fail, besides those that a good one fails.
const PARTLY_BAD_SHARE: f64 = 0.1;

/// The fault that a release was rejected for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Finding {
    /// Its answers fail.
    Failing,
    /// Many of its answers take several times as long as usual.
    Slow,
    /// Its answers take longer on average than those of the old release.
    Slower,
}

/// Number of bad answers and of all answers.
pub(super) type Counts = (u64, u64);

// Upper bound of the failure rate that the counts are consistent with: two standard deviations above the measured rate.
pub(super) fn rate_upper_bound(bad: f64, answers: f64) -> f64 {
    let answers = answers.max(1.0);
    let rate = bad / answers;
    rate + 2.0 * (rate * (1.0 - rate) / answers).sqrt()
}

// Failure rates of a good release and of a bad one.
#[derive(Debug, Clone, Copy)]
struct Rates {
    good: f64,
    bad: f64,
}

impl Rates {
    // Rates of a release that is bad as a whole.
    fn of_bad(good: f64) -> Self {
        Self { good, bad: (good * BAD_RATE_FACTOR).clamp(MIN_BAD_RATE, MAX_BAD_RATE) }
    }

    // Rates of a release that is bad for a share of its requests.
    fn of_partly_bad(good: f64) -> Self {
        Self { good, bad: good + PARTLY_BAD_SHARE * (1.0 - good) }
    }

    // Log likelihood ratio of new answers.
    fn step(self, (bad, answers): Counts) -> f64 {
        let passed = answers.saturating_sub(bad) as f64;
        bad as f64 * (self.bad / self.good).ln() + passed * ((1.0 - self.bad) / (1.0 - self.good)).ln()
    }
}

// Failure rate of a good release that the counts of the old one show: an upper bound, since a rate that a few answers show
// too low would reject a release that fails no more than the old one.
fn good_rate((bad, answers): Counts) -> f64 {
    rate_upper_bound(bad as f64 + 0.5, answers as f64 + 5.0).max(MIN_GOOD_RATE)
}

// What the old release shows in the current window in a kind of work.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct Concurrent {
    // Upper bound of the rate in this kind of work.
    pub(super) rate: f64,
    // Significant excess over the usual rate in this kind of work.
    pub(super) excess: f64,
    // The same over all work, where trouble of both releases may show first.
    pub(super) common_excess: f64,
}

#[derive(Debug, Clone, Copy, Default)]
pub(super) struct Window {
    pub(super) failures: Concurrent,
    pub(super) slow: Concurrent,
}

impl Concurrent {
    // Rate of a good release for the test of a release that is bad as a whole.
    fn good_rate(&self, usual: f64) -> f64 {
        (usual.min(MAX_GOOD_RATE) + self.common_excess).max(self.rate).min(MAX_BAD_RATE)
    }

    // The same for the test of a release that is bad for a share of its requests. A few answers of the old release don't
    // mask it.
    fn partial_good_rate(&self, usual: f64) -> f64 {
        (usual + self.excess.max(self.common_excess)).min(MAX_BAD_RATE)
    }
}

#[derive(Debug, Clone, Default)]
pub(super) struct CusumTests {
    failing: f64,
    pub(super) partly_failing: f64,
    slow: f64,
    last: Tally,
    // Log likelihood ratio that the last evaluation added to `partly_failing`.
    pub(super) partial_step: f64,
}

impl CusumTests {
    // Adds the new answers. Returns the finding and its evidence if there is enough.
    pub(super) fn update(
        &mut self,
        (old, new): &(Tally, Tally),
        window: &Window,
        by_pace: bool,
    ) -> Option<(Finding, f64)> {
        let fresh = new.since(&self.last);
        self.last = *new;
        let usual = good_rate(failures(old));
        let rates = Rates::of_bad(window.failures.good_rate(usual));
        self.failing = (self.failing + rates.step(failures(&fresh))).max(0.0);
        let rates = Rates::of_partly_bad(window.failures.partial_good_rate(usual));
        self.partial_step = rates.step(failures(&fresh));
        self.partly_failing = (self.partly_failing + self.partial_step).max(0.0);
        if self.failing >= REJECTION_THRESHOLD {
            return Some((Finding::Failing, self.failing));
        }
        if !by_pace {
            return None;
        }
        let rates = Rates::of_bad(window.slow.good_rate(good_rate(slow(old))));
        self.slow = (self.slow + rates.step(slow(&fresh))).max(0.0);
        (self.slow >= REJECTION_THRESHOLD).then_some((Finding::Slow, self.slow))
    }
}

pub(super) fn failures(tally: &Tally) -> Counts {
    (tally.failures, tally.answers)
}

pub(super) fn slow(tally: &Tally) -> Counts {
    (tally.slow, tally.answers)
}
