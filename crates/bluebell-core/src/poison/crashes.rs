//! Crash reports collected from all gateways.
//!
//! A request is poison once three upstreams crashed while it was in flight, provided that in one of these crashes it
//! had a higher crash count than every other request in flight there. Without such a crash, a fourth one is needed.
//! Crashes that a poison request explains don't count against the requests that ran beside it. A part that several
//! prompts share is judged in the same way. Gateways that have the same reports reach the same decision, regardless of
//! the order in which the reports arrived.

use std::time::Duration;

use indexmap::{IndexMap, IndexSet};
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_128;

use super::{
    CrashEvidence, Fingerprint,
    verdict::{self, CrashSuspects},
};
use crate::{ids::InstanceId, upstreams::UpstreamIncarnation};

/// Time for which a crash is remembered after it was last reported, or after a blocked request that was in flight at
/// it last arrived.
pub const CRASH_MEMORY: Duration = Duration::from_secs(3600);
/// Time for which a crash is remembered whose requests have all been answered since. While it is remembered, a
/// late copy of a report doesn't make them suspects again.
const CLEARED_CRASH_MEMORY: Duration = Duration::from_secs(60);
/// Maximum number of crashes that are remembered.
const MAX_CRASHES: usize = 256;
/// Number of crashes below the maximum to which the memory is reduced when it is full.
const TRIM_RESERVE: usize = 16;

/// The requests that one gateway had in flight at an upstream that crashed.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashReport {
    /// The upstream that crashed.
    #[serde(rename = "life")]
    pub incarnation: UpstreamIncarnation,
    /// The gateway that reports.
    pub reporter: InstanceId,
    /// How the crash was detected.
    #[serde(rename = "sign")]
    pub evidence: CrashEvidence,
    /// Requests that were in flight and have not been answered since, and the shared parts of their prompts.
    pub suspects: Vec<Fingerprint>,
}

impl CrashReport {
    /// Unique key of the report; a hash, so its length doesn't depend on that of the ids.
    #[must_use]
    pub fn key(&self) -> String {
        let text = format!("{}@{}@{}", self.incarnation.upstream, self.incarnation.started_at_ms, self.reporter);
        format!("{:032x}", xxh3_128(text.as_bytes()))
    }
}

/// The crashes that are counted against a request or a prompt part.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Suspicion {
    /// Upstreams that crashed while it was in flight there.
    pub crashes: u32,
    /// Whether it is blocked.
    pub is_poison: bool,
}

/// Requests that were in flight at upstreams that crashed, and the shared parts of their prompts, with the decision on
/// each.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Suspects {
    pub(super) found: IndexMap<Fingerprint, Suspicion>,
    /// For each blocked part, the other blocked parts that were at exactly the same crashes.
    pub(super) inseparable: IndexMap<Fingerprint, Vec<Fingerprint>>,
}

impl Suspects {
    /// The crashes counted against a request, or `None` if it is not suspected.
    #[must_use]
    pub fn get(&self, fingerprint: &Fingerprint) -> Option<Suspicion> {
        self.found.get(fingerprint).copied()
    }

    /// Whether a request is blocked.
    #[must_use]
    pub fn is_poison(&self, fingerprint: &Fingerprint) -> bool {
        self.get(fingerprint).is_some_and(|suspicion| suspicion.is_poison)
    }

    /// Of a request and the parts of its prompt, the one that blocks the request or else has the most crashes. Parts that
    /// were always at crashes together block only requests with all of them: any one of them may be sound, and an answer
    /// or another crash of a request with only some of them tells.
    #[must_use]
    pub fn worst<'a>(&self, causes: impl Iterator<Item = &'a Fingerprint> + Clone) -> Option<(Fingerprint, Suspicion)> {
        let has_inseparable = |one: &Fingerprint| {
            let others = self.inseparable.get(one).into_iter().flatten();
            others.into_iter().all(|other| causes.clone().any(|cause| cause == other))
        };
        let suspicion = |one: &Fingerprint| {
            let found = self.get(one)?;
            Some((*one, Suspicion { is_poison: found.is_poison && has_inseparable(one), ..found }))
        };
        causes.clone().filter_map(suspicion).max_by_key(|(_, found)| (found.is_poison, found.crashes))
    }

    /// Blocked requests and parts with their crash counts.
    pub fn poison(&self) -> impl Iterator<Item = (&Fingerprint, u32)> {
        self.found.iter().filter(|(_, one)| one.is_poison).map(|(fingerprint, one)| (fingerprint, one.crashes))
    }
}

#[derive(Debug)]
struct Crash {
    // Both times are CRASH_MEMORY later than on the clock of the process, so that those of crashes before its start are
    // not negative.
    at: Duration,
    last_needed: Duration,
    evidence: CrashEvidence,
    reports: IndexMap<InstanceId, IndexSet<Fingerprint>>,
    // What the reports name, without what was answered since.
    suspects: IndexSet<Fingerprint>,
    // What the reports name and was answered since.
    answered: IndexSet<Fingerprint>,
}

impl Crash {
    // Adds a report. Returns whether it names anything that earlier ones of the same gateway did not.
    fn add(&mut self, report: &CrashReport) -> bool {
        let reported = self.reports.entry(report.reporter.clone()).or_default();
        let before = reported.len();
        reported.extend(&report.suspects);
        let has_new = reported.len() > before;
        self.suspects.extend(report.suspects.iter().filter(|one| !self.answered.contains(*one)));
        has_new
    }

    // Clears a suspect. Returns whether it was one.
    fn clear(&mut self, one: &Fingerprint) -> bool {
        self.suspects.swap_remove(one) && self.answered.insert(*one)
    }

    fn involves(&self, one: &Fingerprint) -> bool {
        self.suspects.contains(one) || self.answered.contains(one)
    }
}

/// Crashes known to this process.
#[derive(Debug, Default)]
pub struct Crashes {
    crashes: IndexMap<UpstreamIncarnation, Crash>,
}

impl Crashes {
    /// Records a report of the given age. Returns whether it named suspects that were not known yet.
    pub fn record(&mut self, now: Duration, age: Duration, report: &CrashReport) -> bool {
        if age >= CRASH_MEMORY {
            return false;
        }
        let last_needed = now + CRASH_MEMORY - age;
        let crash = self.crashes.entry(report.incarnation.clone()).or_insert_with(|| Crash {
            at: last_needed,
            last_needed,
            evidence: report.evidence,
            reports: IndexMap::new(),
            suspects: IndexSet::new(),
            answered: IndexSet::new(),
        });
        crash.at = crash.at.min(last_needed);
        crash.last_needed = crash.last_needed.max(last_needed);
        if crash.evidence == CrashEvidence::Lapsed {
            crash.evidence = report.evidence;
        }
        let has_new_suspects = crash.add(report);
        self.trim();
        has_new_suspects
    }

    /// Clears answered requests of all crashes recorded so far. Returns those that had been suspected.
    pub fn clear(&mut self, answered: &[Fingerprint]) -> Vec<Fingerprint> {
        let mut cleared = IndexSet::new();
        for crash in self.crashes.values_mut() {
            cleared.extend(answered.iter().filter(|one| crash.clear(one)));
        }
        cleared.into_iter().collect()
    }

    /// Clears requests of one crash after which they were answered. Returns those that had been suspected.
    pub fn clear_at(&mut self, incarnation: &UpstreamIncarnation, answered: &[Fingerprint]) -> Vec<Fingerprint> {
        let Some(crash) = self.crashes.get_mut(incarnation) else { return Vec::new() };
        answered.iter().filter(|one| crash.clear(one)).copied().collect()
    }

    /// Compares a report as now stored with the copy known here: suspects that it no longer lists were answered, and
    /// are cleared of this crash. Returns whether any were.
    pub fn reconcile(&mut self, report: &CrashReport) -> bool {
        let known = self.crashes.get(&report.incarnation).and_then(|crash| crash.reports.get(&report.reporter));
        let gone = known.into_iter().flatten().filter(|one| !report.suspects.contains(one)).copied();
        let gone: Vec<Fingerprint> = gone.collect();
        !self.clear_at(&report.incarnation, &gone).is_empty()
    }

    /// Requests that were answered after crashes at which they were in flight, by crash.
    pub fn answered(&self) -> impl Iterator<Item = (&UpstreamIncarnation, &IndexSet<Fingerprint>)> {
        let any = |(_, crash): &(&UpstreamIncarnation, &Crash)| !crash.answered.is_empty();
        self.crashes.iter().filter(any).map(|(incarnation, crash)| (incarnation, &crash.answered))
    }

    /// Removes a crash that was inferred from a lapsed registration, because the upstream is back without a restart
    /// and so never crashed. Returns whether there was one.
    pub fn retract(&mut self, incarnation: &UpstreamIncarnation) -> bool {
        let is_inferred = self.crashes.get(incarnation).is_some_and(|crash| crash.evidence == CrashEvidence::Lapsed);
        is_inferred && self.crashes.shift_remove(incarnation).is_some()
    }

    /// Keeps the crashes of a blocked request in memory for longer, because the request arrived again. Those of a part
    /// are not kept: different requests share it, and it would stay blocked after its cause was fixed.
    pub fn refresh(&mut self, now: Duration, fingerprint: &Fingerprint) {
        if fingerprint.is_part() {
            return;
        }
        let involved = self.crashes.values_mut().filter(|crash| crash.involves(fingerprint));
        involved.for_each(|crash| crash.last_needed = now + CRASH_MEMORY);
    }

    /// Removes crashes whose retention time is over. Returns whether there were any.
    pub fn expire(&mut self, now: Duration) -> bool {
        let before = self.crashes.len();
        self.crashes.retain(|_, crash| {
            let retention = if crash.suspects.is_empty() { CLEARED_CRASH_MEMORY } else { CRASH_MEMORY };
            now + CRASH_MEMORY < crash.last_needed + retention
        });
        before != self.crashes.len()
    }

    /// A gateway's report reduced to the suspects that are not cleared, with the time since it was last needed; `None` if
    /// no suspects remain.
    #[must_use]
    pub fn report(
        &self,
        now: Duration,
        incarnation: &UpstreamIncarnation,
        reporter: &InstanceId,
    ) -> Option<(CrashReport, Duration)> {
        let crash = self.crashes.get(incarnation)?;
        let suspects = crash.reports.get(reporter)?.iter().filter(|one| !crash.answered.contains(*one));
        let suspects: Vec<Fingerprint> = suspects.copied().collect();
        let (incarnation, reporter, evidence) = (incarnation.clone(), reporter.clone(), crash.evidence);
        let age = (now + CRASH_MEMORY).saturating_sub(crash.last_needed);
        (!suspects.is_empty()).then_some((CrashReport { incarnation, reporter, evidence, suspects }, age))
    }

    /// All reports that have suspects left, with the times since they were last needed.
    pub fn reports(&self, now: Duration) -> impl Iterator<Item = (CrashReport, Duration)> {
        self.reports_of(now, |_| true)
    }

    /// The same for the reporters that meet a condition.
    pub fn reports_of(
        &self,
        now: Duration,
        is_chosen: impl Fn(&InstanceId) -> bool + Copy,
    ) -> impl Iterator<Item = (CrashReport, Duration)> {
        let all = self.crashes.iter().flat_map(move |(incarnation, crash)| {
            let chosen = crash.reports.keys().filter(move |reporter| is_chosen(reporter));
            chosen.map(move |reporter| (incarnation, reporter))
        });
        all.filter_map(move |(incarnation, reporter)| self.report(now, incarnation, reporter))
    }

    /// Decides which requests and prompt parts caused the crashes.
    #[must_use]
    pub fn find_suspects(&self) -> Suspects {
        let all = self.crashes.values();
        verdict::find_suspects(all.map(|crash| CrashSuspects { at: crash.at, suspects: &crash.suspects }).collect())
    }

    // Removes the oldest crashes if there are too many; last of all, those that keep something blocked.
    fn trim(&mut self) {
        if self.crashes.len() <= MAX_CRASHES {
            return;
        }
        let suspects = self.find_suspects();
        let keeps_blocked = |crash: &Crash| crash.suspects.iter().any(|one| suspects.is_poison(one));
        let mut order: Vec<(bool, Duration, UpstreamIncarnation)> = self
            .crashes
            .iter()
            .map(|(incarnation, crash)| (keeps_blocked(crash), crash.last_needed, incarnation.clone()))
            .collect();
        order.sort();
        for (_, _, incarnation) in order.into_iter().take(self.crashes.len() + TRIM_RESERVE - MAX_CRASHES) {
            self.crashes.shift_remove(&incarnation);
        }
    }
}
