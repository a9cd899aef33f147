//! Statistical comparison of a new release with the old one: cumulative sum (CUSUM) tests for failures and slow
//! answers, and a test of the mean slowdown.
//!
//! Trouble that affects both releases for a while is no evidence against the new one, so the releases are compared over
//! the same window of time.

use indexmap::IndexMap;

use super::{
    pace::{Slowdown, SlowdownEstimator},
    tally::{Tallies, Tally},
};

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
/// Answers of each release that a window must contain before the releases are compared.
const MIN_WINDOW_ANSWERS: u64 = 3;

/// Number of bad answers and of all answers.
type Counts = (u64, u64);

// Upper bound of the failure rate that the counts are consistent with: two standard deviations above the measured rate.
fn rate_upper_bound(bad: f64, answers: f64) -> f64 {
    let answers = answers.max(1.0);
    let rate = bad / answers;
    rate + 2.0 * (rate * (1.0 - rate) / answers).sqrt()
}

#[derive(Debug, Clone, Default)]
struct CusumTests {
    failing: f64,
    slow: f64,
    last: Tally,
}

impl CusumTests {
    // Adds new answers of the new release to a cumulative sum of log likelihood ratios. The rate of a good release is
    // taken from the old one: its rate overall, or `concurrent_rate` over the same window, whichever is higher.
    fn add(sum: f64, old: Counts, concurrent_rate: f64, fresh: Counts) -> f64 {
        // An upper bound, since a rate that a few answers show too low would reject a release that fails no more than
        // the old one.
        let overall_rate = rate_upper_bound(old.0 as f64 + 0.5, old.1 as f64 + 5.0).clamp(MIN_GOOD_RATE, MAX_GOOD_RATE);
        let good = overall_rate.max(concurrent_rate).min(MAX_BAD_RATE);
        let bad = (good * BAD_RATE_FACTOR).clamp(MIN_BAD_RATE, MAX_BAD_RATE);
        let passed = fresh.1.saturating_sub(fresh.0) as f64;
        let step = fresh.0 as f64 * (bad / good).ln() + passed * ((1.0 - bad) / (1.0 - good)).ln();
        (sum + step).max(0.0)
    }

    fn update(&mut self, (old, new): &(Tally, Tally), concurrent: &[Tally], by_pace: bool) -> Option<(Finding, f64)> {
        let fresh = new.since(&self.last);
        self.last = *new;
        let highest = |counts: fn(&Tally) -> Counts| {
            let rates =
                concurrent.iter().map(counts).map(|(bad, answers)| rate_upper_bound(bad as f64, answers as f64));
            rates.fold(0.0, f64::max)
        };
        let failures = |tally: &Tally| (tally.failures, tally.answers);
        self.failing = Self::add(self.failing, failures(old), highest(failures), failures(&fresh));
        if self.failing >= REJECTION_THRESHOLD {
            return Some((Finding::Failing, self.failing));
        }
        if !by_pace {
            return None;
        }
        let slow = |tally: &Tally| (tally.slow, tally.answers);
        self.slow = Self::add(self.slow, slow(old), highest(slow), slow(&fresh));
        (self.slow >= REJECTION_THRESHOLD).then_some((Finding::Slow, self.slow))
    }
}

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

/// Why a release was rejected.
#[derive(Debug, Clone, PartialEq)]
pub struct Rejection {
    /// The fault that was found.
    pub finding: Finding,
    /// Kind of work in which it was found, or "all".
    pub work: String,
    /// Strength of the evidence: a log likelihood ratio, or the number of standard errors for a mean slowdown.
    pub evidence: f64,
    /// Counts of the old release.
    pub old: Tally,
    /// Counts of the new release.
    pub new: Tally,
}

/// Running comparison of a new release with the old one.
#[derive(Debug, Default)]
pub struct Analysis {
    tests: IndexMap<String, CusumTests>,
    slowdown: SlowdownEstimator,
    // Counts at the last evaluation, and counts since the start of the current window.
    last: Tallies,
    window: Tallies,
}

impl Analysis {
    /// Evaluates the current counts and returns a rejection if there is enough evidence. `by_pace` should be set only
    /// while both releases get requests: a release that gets all requests is slowed by the load itself.
    pub fn evaluate(&mut self, tallies: &Tallies, by_pace: bool) -> Option<Rejection> {
        self.extend_window(tallies);
        let total = sum(tallies);
        let rejection = |finding, work: &str, evidence, (old, new): (Tally, Tally)| Rejection {
            finding,
            work: work.to_owned(),
            evidence,
            old,
            new,
        };
        let concurrent = sum(&self.window);
        let kinds = tallies.iter().map(|(work, pair)| (work.as_str(), pair));
        for (work, pair) in std::iter::once(("all", &total)).chain(kinds) {
            // Trouble of both releases may show in all work before it shows in this kind, or only in this kind, so both
            // counts of the old release are passed.
            let olds = [Some(&concurrent), self.window.get(work)]
                .into_iter()
                .flatten()
                .map(|(old, _)| *old)
                .collect::<Vec<_>>();
            let tests = self.tests.entry(work.to_owned()).or_default();
            if let Some((finding, evidence)) = tests.update(pair, &olds, by_pace) {
                return Some(rejection(finding, work, evidence, *pair));
            }
        }
        if concurrent.0.answers.min(concurrent.1.answers) >= MIN_WINDOW_ANSWERS {
            self.slowdown.record(&std::mem::take(&mut self.window));
        }
        let Slowdown { deviations, .. } = self.slowdown.estimate().filter(|found| by_pace && found.is_bad())?;
        Some(rejection(Finding::Slower, "all", deviations, total))
    }

    // Adds the counts since the last evaluation to the window, which starts with the first answers of the new release.
    fn extend_window(&mut self, tallies: &Tallies) {
        if sum(&self.window).1.answers == 0 {
            self.window.clear();
        }
        for (work, now) in tallies {
            let last = self.last.get(work).copied().unwrap_or_default();
            let pair = self.window.entry(work.clone()).or_default();
            pair.0.add(&now.0.since(&last.0));
            pair.1.add(&now.1.since(&last.1));
        }
        self.last.clone_from(tallies);
    }
}

fn sum(tallies: &Tallies) -> (Tally, Tally) {
    let mut total = (Tally::default(), Tally::default());
    for (old, new) in tallies.values() {
        total.0.add(old);
        total.1.add(new);
    }
    total
}
