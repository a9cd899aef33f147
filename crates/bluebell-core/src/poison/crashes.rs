//! Upstreams that ended, with the requests that were under way there, gathered from all gateways; and which request
//! the ends are put down to.
//!
//! A request is poison once three upstreams ended under it, and at one of these ends it alone had been at the most
//! ends; where another one was at as many, a fourth end decides. Ends that a poison request explains don't count
//! against those that ran beside it. All gateways that know the same reports decide the same, in whatever order these
//! came.

use std::time::Duration;

use indexmap::{IndexMap, IndexSet};
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_128;

use super::{CrashEvidence, Fingerprint};
use crate::{ids::InstanceId, upstreams::Life};

/// Upstreams that end under a request before it is held back.
const POISON_CRASHES: u32 = 3;
/// Upstreams that end under a request before it is held back although others were at as many ends.
const CERTAIN_CRASHES: u32 = 4;
/// Time for which an end is remembered after the request that it was put down to was last seen.
pub const CRASH_MEMORY: Duration = Duration::from_secs(3600);
/// Time for which an end is remembered whose requests were all answered since, lest late reports bring them up again.
const CLEARED_MEMORY: Duration = Duration::from_secs(60);
/// Ends that are remembered.
const MAX_CRASHES: usize = 256;

/// What one gateway had under way at an upstream that ended.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashReport {
    /// The upstream.
    pub life: Life,
    /// The gateway.
    pub reporter: InstanceId,
    /// What showed the end.
    #[serde(rename = "sign")]
    pub evidence: CrashEvidence,
    /// Requests that were under way and have not been answered since.
    pub suspects: Vec<Fingerprint>,
}

impl CrashReport {
    /// Its name among all reports, short however long the ids are.
    #[must_use]
    pub fn key(&self) -> String {
        let text = format!("{}@{}@{}", self.life.upstream, self.life.born, self.reporter);
        format!("{:032x}", xxh3_128(text.as_bytes()))
    }
}

/// What the ends of upstreams say of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Suspicion {
    /// Upstreams that ended under it.
    pub crashes: u32,
    /// Whether it is held back.
    pub is_poison: bool,
}

/// Requests under which upstreams ended.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Suspects(IndexMap<Fingerprint, Suspicion>);

impl Suspects {
    /// What is held against a request.
    #[must_use]
    pub fn get(&self, fingerprint: &Fingerprint) -> Option<Suspicion> {
        self.0.get(fingerprint).copied()
    }

    /// Whether a request is held back.
    #[must_use]
    pub fn is_poison(&self, fingerprint: &Fingerprint) -> bool {
        self.get(fingerprint).is_some_and(|suspicion| suspicion.is_poison)
    }

    /// Requests that are held back.
    pub fn poison(&self) -> impl Iterator<Item = (&Fingerprint, u32)> {
        self.0.iter().filter(|(_, one)| one.is_poison).map(|(fingerprint, one)| (fingerprint, one.crashes))
    }
}

#[derive(Debug)]
struct Crash {
    seen: Duration,
    evidence: CrashEvidence,
    reports: IndexMap<InstanceId, IndexSet<Fingerprint>>,
    answered: IndexSet<Fingerprint>,
}

impl Crash {
    fn suspects(&self) -> IndexSet<Fingerprint> {
        self.reports.values().flatten().filter(|one| !self.answered.contains(*one)).copied().collect()
    }
}

/// Upstreams that ended, as far as known here.
#[derive(Debug, Default)]
pub struct Crashes {
    known: IndexMap<Life, Crash>,
}

impl Crashes {
    /// Takes a report that was made some time ago; tells whether it is news.
    pub fn record(&mut self, now: Duration, age: Duration, report: &CrashReport) -> bool {
        if age >= CRASH_MEMORY {
            return false;
        }
        let seen = now.saturating_sub(age);
        let crash = self.known.entry(report.life.clone()).or_insert_with(|| Crash {
            seen,
            evidence: report.evidence,
            reports: IndexMap::new(),
            answered: IndexSet::new(),
        });
        crash.seen = crash.seen.max(seen);
        if crash.evidence == CrashEvidence::Lapsed {
            crash.evidence = report.evidence;
        }
        let known = crash.reports.entry(report.reporter.clone()).or_default();
        let before = known.len();
        known.extend(&report.suspects);
        let is_news = known.len() > before;
        self.trim();
        is_news
    }

    /// Requests that were answered are not to blame for what ended before; tells whether any had been suspected.
    pub fn clear(&mut self, answered: &[Fingerprint]) -> bool {
        let mut cleared = false;
        for crash in self.known.values_mut() {
            for one in answered {
                let is_known = crash.reports.values().any(|suspects| suspects.contains(one));
                cleared |= is_known && crash.answered.insert(*one);
            }
        }
        cleared
    }

    /// Requests that were answered after the end of an upstream are not to blame for it; tells whether any had been
    /// suspected.
    pub fn clear_at(&mut self, life: &Life, answered: &[Fingerprint]) -> bool {
        let Some(crash) = self.known.get_mut(life) else { return false };
        let is_known = |one: &&Fingerprint| crash.reports.values().any(|suspects| suspects.contains(*one));
        let known: Vec<Fingerprint> = answered.iter().filter(is_known).copied().collect();
        let before = crash.answered.len();
        crash.answered.extend(known);
        crash.answered.len() > before
    }

    /// Takes a report as its gateway keeps it: what it doesn't hold any more was answered.
    pub fn reconcile(&mut self, report: &CrashReport) -> bool {
        let known = self.known.get(&report.life).and_then(|crash| crash.reports.get(&report.reporter));
        let gone = known.into_iter().flatten().filter(|one| !report.suspects.contains(one)).copied();
        let gone: Vec<Fingerprint> = gone.collect();
        self.clear_at(&report.life, &gone)
    }

    /// Requests that were answered after the ends at which they were under way.
    pub fn answered(&self) -> impl Iterator<Item = (&Life, &IndexSet<Fingerprint>)> {
        let any = |(_, crash): &(&Life, &Crash)| !crash.answered.is_empty();
        self.known.iter().filter(any).map(|(life, crash)| (life, &crash.answered))
    }

    /// An upstream whose entry had lapsed is back without a new start, so it never ended.
    pub fn retract(&mut self, life: &Life) -> bool {
        let is_lapse = self.known.get(life).is_some_and(|crash| crash.evidence == CrashEvidence::Lapsed);
        is_lapse && self.known.shift_remove(life).is_some()
    }

    /// A request that is held back came again, so what is known of it is still needed.
    pub fn refresh(&mut self, now: Duration, fingerprint: &Fingerprint) {
        let of_it = |crash: &&mut Crash| crash.reports.values().any(|suspects| suspects.contains(fingerprint));
        self.known.values_mut().filter(of_it).for_each(|crash| crash.seen = now);
    }

    /// Forgets ends that are not needed any more; tells whether there were any.
    pub fn expire(&mut self, now: Duration) -> bool {
        let before = self.known.len();
        self.known.retain(|_, crash| {
            let memory = if crash.suspects().is_empty() { CLEARED_MEMORY } else { CRASH_MEMORY };
            now < crash.seen + memory
        });
        before != self.known.len()
    }

    /// What a gateway's report still holds, with the time at which it was last needed; none where nothing is left.
    #[must_use]
    pub fn report(&self, life: &Life, reporter: &InstanceId) -> Option<(CrashReport, Duration)> {
        let crash = self.known.get(life)?;
        let suspects = crash.reports.get(reporter)?.iter().filter(|one| !crash.answered.contains(*one));
        let suspects: Vec<Fingerprint> = suspects.copied().collect();
        let (life, reporter, evidence) = (life.clone(), reporter.clone(), crash.evidence);
        (!suspects.is_empty()).then_some((CrashReport { life, reporter, evidence, suspects }, crash.seen))
    }

    /// All reports that still hold anything, with the time at which they were last needed.
    pub fn reports(&self) -> impl Iterator<Item = (CrashReport, Duration)> {
        let all = self.known.iter().flat_map(|(at, crash)| crash.reports.keys().map(move |reporter| (at, reporter)));
        all.filter_map(|(at, reporter)| self.report(at, reporter))
    }

    /// Which requests the ends are put down to.
    #[must_use]
    pub fn find_suspects(&self) -> Suspects {
        let mut ends: Vec<IndexSet<Fingerprint>> = self.known.values().map(Crash::suspects).collect();
        let mut found = IndexMap::new();
        loop {
            let counts = counts(&ends);
            let held = worst(&ends, &counts);
            if held.is_empty() {
                let rest = counts.into_iter().filter(|(one, _)| !found.contains_key(one)).collect::<Vec<_>>();
                found.extend(rest.into_iter().map(|(one, crashes)| (one, Suspicion { crashes, is_poison: false })));
                return Suspects(found);
            }
            found.extend(held.iter().map(|one| (*one, Suspicion { crashes: counts[one], is_poison: true })));
            ends.retain(|suspects| !held.iter().any(|one| suspects.contains(one)));
        }
    }

    fn trim(&mut self) {
        while self.known.len() > MAX_CRASHES {
            let oldest = self.known.iter().min_by_key(|(_, crash)| crash.seen).map(|(at, _)| at.clone());
            oldest.into_iter().for_each(|at| drop(self.known.shift_remove(&at)));
        }
    }
}

fn counts(ends: &[IndexSet<Fingerprint>]) -> IndexMap<Fingerprint, u32> {
    let mut counts = IndexMap::new();
    for one in ends.iter().flatten() {
        *counts.entry(*one).or_default() += 1;
    }
    counts
}

// Requests to hold back that were at the most ends.
fn worst(ends: &[IndexSet<Fingerprint>], counts: &IndexMap<Fingerprint, u32>) -> Vec<Fingerprint> {
    let alone = |one: &Fingerprint| {
        let beside = |end: &IndexSet<Fingerprint>| end.iter().all(|other| other == one || counts[other] < counts[one]);
        ends.iter().any(|end| end.contains(one) && beside(end))
    };
    let is_held =
        |one: &Fingerprint, crashes: u32| crashes >= CERTAIN_CRASHES || crashes >= POISON_CRASHES && alone(one);
    let held: Vec<(Fingerprint, u32)> =
        counts.iter().filter(|(one, crashes)| is_held(one, **crashes)).map(|(one, crashes)| (*one, *crashes)).collect();
    let most = held.iter().map(|(_, crashes)| *crashes).max().unwrap_or_default();
    held.into_iter().filter(|(_, crashes)| *crashes == most).map(|(one, _)| one).collect()
}
