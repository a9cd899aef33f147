//! The judgement of a new release against the old one: cumulative sums for failures, the mean slowdown for pace.

use indexmap::IndexMap;

use super::tally::{Tallies, Tally};

/// Evidence at which a release is rejected: one false alarm in about e^8, or 3,000, beginnings.
const REJECTION: f64 = 8.0;
/// Failure rate of a sound release at least assumed.
const SOUND_FAILURES: f64 = 0.02;
/// Failure rate of a bad release at least assumed.
const BAD_FAILURES: f64 = 0.4;
/// Highest failure rate of a sound release assumed.
const MAX_SOUND: f64 = 0.3;
/// Highest failure rate of a bad release assumed.
const MAX_BAD: f64 = 0.9;
/// Times that a bad release fails more often than a sound one.
const BAD_FACTOR: f64 = 3.0;
/// Answers of one kind of each release from which their paces are compared.
const COMPARED_ANSWERS: u64 = 5;
/// Mean slowdown, as a logarithm, from which a release is bad: a fifth of the answers four times as slow. Sound
/// releases are faster than the old one while they get few requests.
const SLOW_SHIFT: f64 = 0.25;
/// Standard deviations by which the slowdown must differ from none.
const SLOW_DEVIATIONS: f64 = 3.5;

#[derive(Debug, Clone, Default)]
struct Evidence {
    failing: f64,
    slow: f64,
    last: Tally,
}

impl Evidence {
    // Cumulative sum of the likelihood that so many of the answers are bad, against the old release's rate.
    fn add(sum: f64, old: (u64, u64), fresh: (u64, u64)) -> f64 {
        let count = old.1 as f64 + 5.0;
        let rate = (old.0 as f64 + 0.5) / count;
        // A rate that a few answers show too low would reject a release that merely fails like the old one.
        let sound = (rate + 2.0 * (rate * (1.0 - rate) / count).sqrt()).clamp(SOUND_FAILURES, MAX_SOUND);
        let bad = (sound * BAD_FACTOR).clamp(BAD_FAILURES, MAX_BAD);
        let passed = fresh.1.saturating_sub(fresh.0) as f64;
        let step = fresh.0 as f64 * (bad / sound).ln() + passed * ((1.0 - bad) / (1.0 - sound)).ln();
        (sum + step).max(0.0)
    }
}

/// What a release was found to do.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Finding {
    /// Its answers fail.
    Failing,
    /// Many of its answers take several times as long as usual.
    Slow,
    /// Its answers take longer on the whole than those of the old release.
    Slower,
}

/// Why a release was rejected.
#[derive(Debug, Clone, PartialEq)]
pub struct Rejection {
    /// What it was found to do.
    pub finding: Finding,
    /// Kind of work in which it showed.
    pub work: String,
    /// Strength of the evidence: a logarithm of likelihoods, or standard deviations for a mean slowdown.
    pub evidence: f64,
    /// What was counted of the old release.
    pub old: Tally,
    /// What was counted of the new one.
    pub new: Tally,
}

/// Judges one release against the old one, by cumulative sums.
#[derive(Debug, Default)]
pub struct Analysis {
    evidence: IndexMap<String, Evidence>,
}

impl Analysis {
    /// Takes the counts as they are now; gives a rejection once the evidence allows it. Pace counts only while both
    /// releases get requests, since the load that one of them gets alone slows it as well.
    pub fn weigh(&mut self, tallies: &Tallies, by_pace: bool) -> Option<Rejection> {
        let mut total = (Tally::default(), Tally::default());
        for (old, new) in tallies.values() {
            total.0.add(old);
            total.1.add(new);
        }
        let rejection = |finding, work: &str, evidence, (old, new): (Tally, Tally)| Rejection {
            finding,
            work: work.to_owned(),
            evidence,
            old,
            new,
        };
        if by_pace
            && let Some((shift, deviations)) = slowdown(tallies)
            && shift >= SLOW_SHIFT
            && deviations >= SLOW_DEVIATIONS
        {
            return Some(rejection(Finding::Slower, "all", deviations, total));
        }
        let kinds = tallies.iter().map(|(work, pair)| (work.as_str(), pair));
        for (work, pair) in std::iter::once(("all", &total)).chain(kinds) {
            let evidence = self.evidence.entry(work.to_owned()).or_default();
            if let Some((finding, evidence)) = evidence.take(&pair.0, &pair.1, by_pace) {
                return Some(rejection(finding, work, evidence, *pair));
            }
        }
        None
    }
}

impl Evidence {
    fn take(&mut self, old: &Tally, new: &Tally, by_pace: bool) -> Option<(Finding, f64)> {
        let fresh = new.since(&self.last);
        self.last = *new;
        self.failing = Self::add(self.failing, (old.failures, old.answers), (fresh.failures, fresh.answers));
        if self.failing >= REJECTION {
            return Some((Finding::Failing, self.failing));
        }
        if !by_pace {
            return None;
        }
        self.slow = Self::add(self.slow, (old.slow, old.answers), (fresh.slow, fresh.answers));
        (self.slow >= REJECTION).then_some((Finding::Slow, self.slow))
    }
}

/// Mean slowdown of the new release over all kinds of work, as a logarithm, and the number of standard deviations by
/// which it differs from none; nothing while there are too few answers.
#[must_use]
pub fn slowdown(tallies: &Tallies) -> Option<(f64, f64)> {
    let enough = |(old, new): &&(Tally, Tally)| old.pace.count.min(new.pace.count) >= COMPARED_ANSWERS;
    let (mut shift, mut variance, mut weights) = (0.0, 0.0, 0.0);
    for (old, new) in tallies.values().filter(enough) {
        let weight = new.pace.count as f64;
        shift += weight * (new.pace.mean() - old.pace.mean());
        variance += weight.powi(2) * (new.pace.mean_variance() + old.pace.mean_variance());
        weights += weight;
    }
    (weights > 0.0).then(|| (shift / weights, shift / variance.sqrt()))
}
