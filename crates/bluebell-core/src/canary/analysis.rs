//! Statistical comparison of a new release with the old one: cumulative sum (CUSUM) tests for failures and slow
//! answers, by kind of work and over all work, and a test of the mean slowdown.
//!
//! Trouble that affects both releases for a while is no evidence against the new one, so the releases are compared over
//! the same window of time.

use indexmap::IndexMap;

use super::{
    cusum::{Concurrent, Counts, CusumTests, Finding, Window, failures, rate_upper_bound, slow},
    pace::{Slowdown, SlowdownEstimator},
    tally::{Tallies, Tally},
};

/// Log likelihood ratio over all work from which a release is suspected of being partly bad.
const SUSPICION_THRESHOLD: f64 = 1.0;
/// The same for a single kind of work: more than one failure within some fifteen answers where failures are rare.
const KIND_SUSPICION_THRESHOLD: f64 = 2.0;
/// Answers of each release that a window must contain before the releases are compared.
const MIN_WINDOW_ANSWERS: u64 = 3;
/// Standard deviations by which the failures of the old release in a window must exceed the usual number to count as
/// trouble of both releases.
const SIGNIFICANT_DEVIATIONS: f64 = 2.0;
/// Name of all kinds of work together.
const ALL_WORK: &str = "all";

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
    // Evidence of a partial failure over all kinds of work.
    partly_failing: f64,
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
        let window = self.window_of(tallies, &concurrent.0, |_| true);
        let tests = self.tests.entry(ALL_WORK.to_owned()).or_default();
        if let Some((finding, evidence)) = tests.update(&total, &window, by_pace) {
            return Some(rejection(finding, ALL_WORK, evidence, total));
        }
        let common = (window.failures.excess, window.slow.excess);
        let mut partial_step = 0.0;
        for (work, pair) in tallies {
            let old = self.window.get(work).map(|(old, _)| *old).unwrap_or_default();
            let mut window = self.window_of(tallies, &old, |kind| kind == work);
            (window.failures.common_excess, window.slow.common_excess) = common;
            let tests = self.tests.entry(work.clone()).or_default();
            if let Some((finding, evidence)) = tests.update(pair, &window, by_pace) {
                return Some(rejection(finding, work, evidence, *pair));
            }
            partial_step += tests.partial_step;
        }
        // Kinds of work fail at different rates, so a partial failure shows in the sum of their evidence, and not in the
        // sum of their counts.
        self.partly_failing = (self.partly_failing + partial_step).max(0.0);
        if concurrent.0.answers.min(concurrent.1.answers) >= MIN_WINDOW_ANSWERS {
            self.slowdown.record(&std::mem::take(&mut self.window));
        }
        let Slowdown { deviations, .. } = self.slowdown.estimate().filter(|found| by_pace && found.is_bad())?;
        Some(rejection(Finding::Slower, ALL_WORK, deviations, total))
    }

    /// Log likelihood ratio, over all work, of a release that is bad for a share of its requests.
    #[must_use]
    pub fn suspicion(&self) -> f64 {
        self.partly_failing
    }

    /// Whether the release may be bad for a share of its requests, without enough evidence to reject it.
    #[must_use]
    pub fn is_suspect(&self) -> bool {
        let mut kinds = self.tests.iter().filter(|(work, _)| *work != ALL_WORK);
        self.partly_failing >= SUSPICION_THRESHOLD
            || kinds.any(|(_, tests)| tests.partly_failing >= KIND_SUSPICION_THRESHOLD)
    }

    // What the current window shows of the old release, given its counts in some kinds of work.
    fn window_of(&self, tallies: &Tallies, old: &Tally, is_included: impl Fn(&str) -> bool) -> Window {
        let concurrent = |counts: fn(&Tally) -> Counts| {
            let (bad, answers) = counts(old);
            let excess = self.excess(tallies, counts, &is_included);
            Concurrent { rate: rate_upper_bound(bad as f64, answers as f64), excess, common_excess: 0.0 }
        };
        Window { failures: concurrent(failures), slow: concurrent(slow) }
    }

    // Rate in the current window beyond what is usual for the kinds of work; 0 unless it is significant.
    fn excess(&self, tallies: &Tallies, counts: fn(&Tally) -> Counts, is_included: impl Fn(&str) -> bool) -> f64 {
        let (mut observed, mut expected, mut variance, mut answers) = (0.0, 0.0, 0.0, 0.0);
        for (work, (old, _)) in self.window.iter().filter(|(work, _)| is_included(work)) {
            let (bad, count) = counts(old);
            let (all_bad, all) = tallies.get(work).map(|(old, _)| counts(old)).unwrap_or_default();
            let usual = all_bad as f64 / (all as f64).max(1.0);
            observed += bad as f64;
            expected += usual * count as f64;
            variance += usual * (1.0 - usual) * count as f64;
            answers += count as f64;
        }
        // A single failure among a few answers is no trouble.
        let is_significant = observed > expected + SIGNIFICANT_DEVIATIONS * (variance + 1.0).sqrt();
        if is_significant { rate_upper_bound(observed, answers) - expected / answers } else { 0.0 }
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
