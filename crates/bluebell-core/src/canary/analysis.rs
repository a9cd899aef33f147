//! The judgement of a new release against the old one: cumulative sums for failures, the mean slowdown for pace.
//!
//! What slows or fails both releases for a while says nothing of either, so each is compared with what the other did
//! in the same stretch of time.

use indexmap::IndexMap;

use super::{
    pace::{Paces, Slowdown},
    tally::{Tallies, Tally},
};

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
/// Answers of each release that a stretch of time must hold for them to be compared.
const COMPARED_ANSWERS: u64 = 3;

/// Bad answers among how many.
type Counts = (u64, u64);

// Rate that so many of these answers show at most, by two standard deviations.
fn high_rate(bad: f64, answers: f64) -> f64 {
    let answers = answers.max(1.0);
    let rate = bad / answers;
    rate + 2.0 * (rate * (1.0 - rate) / answers).sqrt()
}

#[derive(Debug, Clone, Default)]
struct Evidence {
    failing: f64,
    slow: f64,
    last: Tally,
}

impl Evidence {
    // Cumulative sum of the likelihood that so many of the answers are bad, against the old release's rate on the whole
    // and at the same time.
    fn add(sum: f64, old: Counts, at_once: f64, fresh: Counts) -> f64 {
        // A rate that a few answers show too low would reject a release that merely fails like the old one.
        let usual = high_rate(old.0 as f64 + 0.5, old.1 as f64 + 5.0).clamp(SOUND_FAILURES, MAX_SOUND);
        let sound = usual.max(at_once).min(MAX_BAD);
        let bad = (sound * BAD_FACTOR).clamp(BAD_FAILURES, MAX_BAD);
        let passed = fresh.1.saturating_sub(fresh.0) as f64;
        let step = fresh.0 as f64 * (bad / sound).ln() + passed * ((1.0 - bad) / (1.0 - sound)).ln();
        (sum + step).max(0.0)
    }

    fn take(&mut self, (old, new): &(Tally, Tally), at_once: &[Tally], by_pace: bool) -> Option<(Finding, f64)> {
        let fresh = new.since(&self.last);
        self.last = *new;
        let highest = |counts: fn(&Tally) -> Counts| {
            let rates = at_once.iter().map(counts).map(|(bad, answers)| high_rate(bad as f64, answers as f64));
            rates.fold(0.0, f64::max)
        };
        let failures = |tally: &Tally| (tally.failures, tally.answers);
        self.failing = Self::add(self.failing, failures(old), highest(failures), failures(&fresh));
        if self.failing >= REJECTION {
            return Some((Finding::Failing, self.failing));
        }
        if !by_pace {
            return None;
        }
        let slow = |tally: &Tally| (tally.slow, tally.answers);
        self.slow = Self::add(self.slow, slow(old), highest(slow), slow(&fresh));
        (self.slow >= REJECTION).then_some((Finding::Slow, self.slow))
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
    paces: Paces,
    // Counts at the last look, and those since the stretch of time began that is compared next.
    last: Tallies,
    stretch: Tallies,
}

impl Analysis {
    /// Takes the counts as they are now; gives a rejection once the evidence allows it. Pace counts only while both
    /// releases get requests, since the load that one of them gets alone slows it as well.
    pub fn evaluate(&mut self, tallies: &Tallies, by_pace: bool) -> Option<Rejection> {
        self.extend(tallies);
        let total = sum(tallies);
        let rejection = |finding, work: &str, evidence, (old, new): (Tally, Tally)| Rejection {
            finding,
            work: work.to_owned(),
            evidence,
            old,
            new,
        };
        let at_once = sum(&self.stretch);
        let kinds = tallies.iter().map(|(work, pair)| (work.as_str(), pair));
        for (work, pair) in std::iter::once(("all", &total)).chain(kinds) {
            // Trouble of both releases shows in all of their work before it does in one kind, or in that kind alone.
            let olds =
                [Some(&at_once), self.stretch.get(work)].into_iter().flatten().map(|(old, _)| *old).collect::<Vec<_>>();
            let evidence = self.evidence.entry(work.to_owned()).or_default();
            if let Some((finding, evidence)) = evidence.take(pair, &olds, by_pace) {
                return Some(rejection(finding, work, evidence, *pair));
            }
        }
        if at_once.0.answers.min(at_once.1.answers) >= COMPARED_ANSWERS {
            self.paces.take(&std::mem::take(&mut self.stretch));
        }
        let Slowdown { deviations, .. } = self.paces.slowdown().filter(|found| by_pace && found.is_bad())?;
        Some(rejection(Finding::Slower, "all", deviations, total))
    }

    // A stretch begins with the first answers of the new release.
    fn extend(&mut self, tallies: &Tallies) {
        if sum(&self.stretch).1.answers == 0 {
            self.stretch.clear();
        }
        for (work, now) in tallies {
            let last = self.last.get(work).copied().unwrap_or_default();
            let pair = self.stretch.entry(work.clone()).or_default();
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
