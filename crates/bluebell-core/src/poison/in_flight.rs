//! Requests in flight at each upstream, and detection of upstreams that crashed.
//!
//! A lost connection alone doesn't prove a crash. An upstream has crashed if its address refuses connections, if its
//! registration shows a later start, or if it is silent until its registration lapses. An upstream that was leaving
//! ended as planned, which is no crash.

use std::{collections::VecDeque, fmt, net::SocketAddr, time::Duration};

use indexmap::{IndexMap, IndexSet};
use serde::{Deserialize, Serialize};

use super::{
    Fingerprint,
    part_answers::{self, PartAnswers},
};
use crate::{
    ids::UpstreamId,
    upstreams::{Phase, Upstream, UpstreamIncarnation},
};

/// Time for which unanswered requests are remembered. Registrations lapse within about four seconds of a crash.
const UNANSWERED_RETENTION: Duration = Duration::from_secs(15);
/// A request that was left unanswered at most this long before the first sign of a crash may have caused it.
const SUSPECT_LOOKBACK: Duration = Duration::from_millis(200);
/// Minimum time between two probes of whether an upstream still accepts connections.
const PROBE_INTERVAL: Duration = Duration::from_millis(500);
/// Time without a registration after which a silent upstream counts as crashed. The platform restores registrations
/// that lapsed with its store within two seconds.
const SILENT_LAPSE_TIMEOUT: Duration = Duration::from_millis(2500);
/// Time after an answer in which the same request is not suspected of any crash.
const ANSWERED_RETENTION: Duration = Duration::from_secs(10);
/// Maximum number of answered requests that are remembered.
const MAX_ANSWERED: usize = 10_000;
/// Maximum number of unanswered requests that are remembered for one upstream, and of suspected requests reported when
/// it crashes. The same maximum applies to prompt parts.
const MAX_SUSPECTS: usize = 128;

/// How an attempt at an upstream ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum AttemptOutcome {
    /// No complete answer came.
    #[default]
    Unanswered,
    /// The request was not run, or failed without crashing the upstream.
    UpstreamAlive,
    /// A complete answer came that is neither a success nor a failure of the upstream. It clears the request, but not
    /// the parts of its prompt, which may not have been processed.
    Rejected,
    /// A complete answer came.
    Answered,
}

/// How an answer was lost while the request was in flight.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ResponseLoss {
    /// The connection broke, or delivered something that is no answer to the request.
    Broken,
    /// Nothing came in time.
    TimedOut,
}

/// How the crash of an upstream was detected.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum CrashEvidence {
    /// Its address refuses connections.
    Refused,
    /// It restarted, or another upstream has its address.
    Restarted,
    /// It fell silent and its registration lapsed.
    Lapsed,
}

impl fmt::Display for CrashEvidence {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Refused => "connection refused",
            Self::Restarted => "started anew",
            Self::Lapsed => "silent and its entry lapsed",
        })
    }
}

/// An upstream that crashed, with the requests that may have caused it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CrashedUpstream {
    /// The upstream.
    pub incarnation: UpstreamIncarnation,
    /// How the crash was detected.
    pub evidence: CrashEvidence,
    /// Requests in flight there and requests lost just before; each group newest first. Then the parts of their prompts.
    pub suspects: Vec<Fingerprint>,
}

#[derive(Debug)]
struct UnansweredRequest {
    fingerprint: Fingerprint,
    ended_at: Duration,
}

#[derive(Debug, Default)]
struct UpstreamActivity {
    running: IndexMap<Fingerprint, u32>,
    unanswered: VecDeque<UnansweredRequest>,
    unanswered_parts: VecDeque<UnansweredRequest>,
    last_alive: Duration,
    // First lost answer since the upstream last proved alive, unless older than the retention time.
    first_loss: Option<Duration>,
    last_probe: Option<Duration>,
    unlisted_since: Option<Duration>,
    restarted: bool,
    leaving_since: Option<Duration>,
    reported: bool,
}

impl UpstreamActivity {
    fn is_idle(&self, now: Duration) -> bool {
        let old = |at: Duration| now >= at + UNANSWERED_RETENTION;
        let was_used = self.unanswered.back().is_some_and(|request| !old(request.ended_at));
        let changed = [self.first_loss, self.leaving_since].into_iter().flatten().any(|at| !old(at));
        self.running.is_empty() && !was_used && !changed
    }
}

/// One gateway's requests in flight at each upstream, and the crashes detected among these upstreams.
#[derive(Debug, Default)]
pub struct InFlightTracker {
    upstreams: IndexMap<UpstreamIncarnation, UpstreamActivity>,
    answered: IndexMap<Fingerprint, Duration>,
    part_answers: PartAnswers,
    crashed: Vec<CrashedUpstream>,
    cleared: Vec<Fingerprint>,
    blocked: IndexSet<Fingerprint>,
}

impl InFlightTracker {
    /// Records that a request is sent to an upstream. Also called for each shared part of its prompt.
    pub fn start(&mut self, incarnation: &UpstreamIncarnation, fingerprint: Fingerprint) {
        let activity = self.upstreams.entry(incarnation.clone()).or_default();
        *activity.running.entry(fingerprint).or_default() += 1;
    }

    /// Records how a request ended at an upstream. Also called for each shared part of its prompt.
    pub fn finish(
        &mut self,
        now: Duration,
        incarnation: &UpstreamIncarnation,
        fingerprint: Fingerprint,
        outcome: AttemptOutcome,
    ) {
        let is_answered = matches!(outcome, AttemptOutcome::Answered | AttemptOutcome::Rejected);
        if outcome == AttemptOutcome::Answered && fingerprint.is_part() {
            self.part_answers.record(now, fingerprint);
        } else if is_answered && !fingerprint.is_part() {
            self.answered.shift_remove(&fingerprint);
            self.answered.insert(fingerprint, now);
        }
        let Some(activity) = self.upstreams.get_mut(incarnation) else { return };
        if is_answered {
            (activity.last_alive, activity.first_loss) = (now, None);
        }
        if let Some(count) = activity.running.get_mut(&fingerprint) {
            *count -= 1;
            if *count == 0 {
                activity.running.shift_remove(&fingerprint);
            }
        }
        if outcome == AttemptOutcome::Unanswered {
            let unanswered = if fingerprint.is_part() {
                activity.unanswered_parts.retain(|part| part.fingerprint != fingerprint);
                &mut activity.unanswered_parts
            } else {
                &mut activity.unanswered
            };
            if unanswered.len() == MAX_SUSPECTS {
                unanswered.pop_front();
            }
            unanswered.push_back(UnansweredRequest { fingerprint, ended_at: now });
        }
    }

    /// Records that an upstream lost an answer. Returns whether the caller should probe if it still accepts
    /// connections.
    pub fn record_loss(&mut self, now: Duration, incarnation: &UpstreamIncarnation, loss: ResponseLoss) -> bool {
        let Some(activity) = self.upstreams.get_mut(incarnation) else { return false };
        if activity.leaving_since.is_some() || activity.reported {
            return false;
        }
        if activity.first_loss.is_none_or(|lost| now >= lost + UNANSWERED_RETENTION) {
            activity.first_loss = Some(now);
        }
        if activity.restarted {
            self.conclude_crash(now, incarnation, CrashEvidence::Restarted);
            return false;
        }
        let is_due =
            loss == ResponseLoss::Broken && activity.last_probe.is_none_or(|probed| now >= probed + PROBE_INTERVAL);
        if is_due {
            activity.last_probe = Some(now);
        }
        is_due
    }

    /// Records that an upstream's address refused a connection.
    pub fn connection_refused(&mut self, now: Duration, incarnation: &UpstreamIncarnation) {
        self.conclude_crash(now, incarnation, CrashEvidence::Refused);
    }

    /// Records that an upstream accepted a connection: only a connection was lost, the upstream is alive.
    pub fn connection_accepted(&mut self, now: Duration, incarnation: &UpstreamIncarnation) {
        if let Some(activity) = self.upstreams.get_mut(incarnation) {
            (activity.last_alive, activity.first_loss) = (now, None);
        }
    }

    /// Records an upstream's registration. It shows that the upstream is alive or leaving, and that an earlier start
    /// of it, or another upstream with the same address, has ended.
    pub fn registration_updated(
        &mut self,
        now: Duration,
        upstream: &Upstream,
        addresses: impl Fn(&UpstreamId) -> Option<SocketAddr>,
    ) {
        let own = upstream.incarnation();
        if upstream.phase == Phase::Leaving {
            // Tracked even if nothing is in flight: requests sent before this was known may still start there.
            self.upstreams.entry(own.clone()).or_default().leaving_since.get_or_insert(now);
        } else if let Some(activity) = self.upstreams.get_mut(&own) {
            (activity.unlisted_since, activity.leaving_since) = (None, None);
        }
        let mut restarted = Vec::new();
        for (incarnation, activity) in self.upstreams.iter_mut().filter(|(incarnation, _)| **incarnation != own) {
            if incarnation.upstream == own.upstream || addresses(&incarnation.upstream) == Some(upstream.address) {
                activity.restarted = true;
                restarted.extend(activity.first_loss.map(|_| incarnation.clone()));
            }
        }
        for incarnation in restarted {
            self.conclude_crash(now, &incarnation, CrashEvidence::Restarted);
        }
    }

    /// Records that an upstream's registration is gone. An upstream that showed no sign of a crash before is leaving.
    pub fn registration_removed(&mut self, now: Duration, incarnation: &UpstreamIncarnation) {
        let activity = self.upstreams.entry(incarnation.clone()).or_default();
        activity.unlisted_since.get_or_insert(now);
        if activity.first_loss.is_none() {
            activity.leaving_since.get_or_insert(now);
        }
    }

    /// Returns the crashes detected since the last call.
    pub fn take_crashed(&mut self, now: Duration) -> Vec<CrashedUpstream> {
        let is_lapsed = |activity: &UpstreamActivity| {
            activity.unlisted_since.is_some_and(|at| now >= at + SILENT_LAPSE_TIMEOUT) && activity.first_loss.is_some()
        };
        let lapsed = self.upstreams.iter().filter(|(_, activity)| !activity.reported && is_lapsed(activity));
        let lapsed: Vec<UpstreamIncarnation> = lapsed.map(|(incarnation, _)| incarnation.clone()).collect();
        for incarnation in lapsed {
            self.conclude_crash(now, &incarnation, CrashEvidence::Lapsed);
        }
        std::mem::take(&mut self.crashed)
    }

    /// Records that a suspected request was answered.
    pub fn clear(&mut self, fingerprint: Fingerprint) {
        self.cleared.push(fingerprint);
    }

    /// Returns the requests cleared since the last call.
    pub fn take_cleared(&mut self) -> Vec<Fingerprint> {
        std::mem::take(&mut self.cleared)
    }

    /// Records that a request was blocked.
    pub fn record_blocked(&mut self, fingerprint: Fingerprint) {
        self.blocked.insert(fingerprint);
    }

    /// Returns the requests blocked since the last call.
    pub fn take_blocked(&mut self) -> IndexSet<Fingerprint> {
        std::mem::take(&mut self.blocked)
    }

    /// Whether a request was answered recently.
    #[must_use]
    pub fn was_answered(&self, now: Duration, fingerprint: &Fingerprint) -> bool {
        self.answered.get(fingerprint).is_some_and(|at| now < *at + ANSWERED_RETENTION)
    }

    /// Whether a recent answer excuses a suspect of a crash that another gateway reports now. It excuses a prompt part from
    /// the first crashes only, which are noted here.
    pub fn excuse_reported(&mut self, now: Duration, suspect: &Fingerprint) -> bool {
        if suspect.is_part() {
            self.part_answers.excuse(now, suspect, ANSWERED_RETENTION)
        } else {
            self.was_answered(now, suspect)
        }
    }

    /// Number of distinct requests in flight at an upstream that meet a condition.
    #[must_use]
    pub fn count_running(&self, incarnation: &UpstreamIncarnation, condition: impl Fn(&Fingerprint) -> bool) -> usize {
        let running = self.upstreams.get(incarnation).map(|activity| activity.running.keys());
        running.map_or(0, |all| all.filter(|one| !one.is_part() && condition(one)).count())
    }

    /// Removes idle upstreams and answered requests whose retention time is over or that exceed the maximum.
    pub fn expire(&mut self, now: Duration) {
        self.upstreams.retain(|_, activity| !activity.is_idle(now));
        self.part_answers.expire(now);
        let old = self.answered.values().take_while(|at| now >= **at + ANSWERED_RETENTION).count();
        let surplus = self.answered.len().saturating_sub(MAX_ANSWERED);
        self.answered.drain(..old.max(surplus));
    }

    fn conclude_crash(&mut self, now: Duration, incarnation: &UpstreamIncarnation, evidence: CrashEvidence) {
        let Some(activity) = self.upstreams.get_mut(incarnation) else { return };
        if activity.leaving_since.is_some() || std::mem::replace(&mut activity.reported, true) {
            return;
        }
        let since = activity.first_loss.unwrap_or(activity.last_alive).saturating_sub(SUSPECT_LOOKBACK);
        let recent = |unanswered: &VecDeque<UnansweredRequest>| {
            let recent = unanswered.iter().rev().take_while(|request| request.ended_at >= since);
            recent.map(|request| request.fingerprint).collect::<Vec<_>>()
        };
        let unanswered = [recent(&activity.unanswered), recent(&activity.unanswered_parts)].concat();
        let all: IndexSet<Fingerprint> = activity.running.keys().rev().copied().chain(unanswered).collect();
        let (parts, requests): (Vec<Fingerprint>, Vec<Fingerprint>) = all.into_iter().partition(|one| one.is_part());
        let mut suspects: Vec<Fingerprint> =
            requests.into_iter().filter(|one| !self.was_answered(now, one)).take(MAX_SUSPECTS).collect();
        let mut is_excused = |part: &Fingerprint| self.part_answers.excuse(now, part, part_answers::RETENTION);
        suspects.extend(parts.into_iter().filter(|part| !is_excused(part)).take(MAX_SUSPECTS));
        self.crashed.push(CrashedUpstream { incarnation: incarnation.clone(), evidence, suspects });
    }
}
