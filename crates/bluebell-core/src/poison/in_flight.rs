//! What runs at which upstream, and what was under way there when it ended.
//!
//! A lost connection alone doesn't show that an upstream ended. That it did shows by nobody listening at its address,
//! by an entry of a later start, or by silence while its entry lapses. An upstream that was leaving ended as planned.

use std::{collections::VecDeque, fmt, net::SocketAddr, time::Duration};

use indexmap::{IndexMap, IndexSet};
use serde::{Deserialize, Serialize};

use super::Fingerprint;
use crate::{
    ids::UpstreamId,
    upstreams::{Life, Phase, Upstream},
};

/// Time for which unanswered requests are remembered: entries lapse within about four seconds of an end.
const MEMORY: Duration = Duration::from_secs(15);
/// Time before the first sign of an end within which a request that was left unanswered may have caused it.
const LINGER: Duration = Duration::from_millis(200);
/// Time between two questions whether anybody listens at an upstream's address.
const PROBE_PAUSE: Duration = Duration::from_millis(500);
/// Absence of an entry after which its silent upstream has ended: the platform restores lapsed entries within two.
const LAPSE_TIME: Duration = Duration::from_millis(2500);
/// Time after an answer in which no end is put down to the same request.
const ANSWERED_TIME: Duration = Duration::from_secs(10);
/// Answered requests that are remembered.
const MAX_ANSWERED: usize = 10_000;
/// Unanswered requests that are remembered for one upstream, and reported when it ends.
const MAX_SUSPECTS: usize = 128;

/// How a request ended at an upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum AttemptOutcome {
    /// Without a whole answer.
    #[default]
    Unanswered,
    /// It was not run, or failed while the upstream lived on.
    UpstreamAlive,
    /// With a whole answer.
    Answered,
}

/// How an answer was lost.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ResponseLoss {
    /// Its connection broke, or brought what is no answer to the request.
    Broken,
    /// Nothing came in time.
    TimedOut,
}

/// What shows that an upstream ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum CrashEvidence {
    /// Nobody listens at its address.
    Refused,
    /// It has started anew, or another one has its address.
    Restarted,
    /// It fell silent and its entry lapsed.
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

/// An upstream that ended, with what was under way there.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CrashedUpstream {
    /// The upstream.
    pub life: Life,
    /// What shows it.
    pub evidence: CrashEvidence,
    /// Requests under way there, the newest first.
    pub suspects: Vec<Fingerprint>,
}

#[derive(Debug)]
struct Left {
    fingerprint: Fingerprint,
    at: Duration,
}

#[derive(Debug, Default)]
struct Under {
    running: IndexMap<Fingerprint, u32>,
    left: VecDeque<Left>,
    alive: Duration,
    lost: Option<Duration>,
    probed: Option<Duration>,
    unlisted: Option<Duration>,
    restarted: bool,
    // Since when it leaves.
    leaving: Option<Duration>,
    reported: bool,
}

impl Under {
    fn is_idle(&self, now: Duration) -> bool {
        let old = |at: Duration| now >= at + MEMORY;
        let was_used = self.left.back().is_some_and(|left| !old(left.at));
        let has_news = [self.lost, self.leaving].into_iter().flatten().any(|at| !old(at));
        self.running.is_empty() && !was_used && !has_news
    }
}

/// What runs at which upstream, at one gateway.
#[derive(Debug, Default)]
pub struct InFlightTracker {
    upstreams: IndexMap<Life, Under>,
    answered: IndexMap<Fingerprint, Duration>,
    ended: Vec<CrashedUpstream>,
    cleared: Vec<Fingerprint>,
    held: IndexSet<Fingerprint>,
}

impl InFlightTracker {
    /// A request goes to an upstream.
    pub fn start(&mut self, at: &Life, fingerprint: Fingerprint) {
        let under = self.upstreams.entry(at.clone()).or_default();
        *under.running.entry(fingerprint).or_default() += 1;
    }

    /// A request ended at an upstream.
    pub fn finish(&mut self, now: Duration, at: &Life, fingerprint: Fingerprint, landing: AttemptOutcome) {
        if landing == AttemptOutcome::Answered {
            self.answered.shift_remove(&fingerprint);
            self.answered.insert(fingerprint, now);
        }
        let Some(under) = self.upstreams.get_mut(at) else { return };
        if landing == AttemptOutcome::Answered {
            (under.alive, under.lost) = (now, None);
        }
        if let Some(count) = under.running.get_mut(&fingerprint) {
            *count -= 1;
            if *count == 0 {
                under.running.shift_remove(&fingerprint);
            }
        }
        if landing == AttemptOutcome::Unanswered {
            if under.left.len() == MAX_SUSPECTS {
                under.left.pop_front();
            }
            under.left.push_back(Left { fingerprint, at: now });
        }
    }

    /// An upstream lost an answer; tells whether to ask if anybody listens there.
    pub fn record_loss(&mut self, now: Duration, at: &Life, loss: ResponseLoss) -> bool {
        let Some(under) = self.upstreams.get_mut(at) else { return false };
        if under.leaving.is_some() || under.reported {
            return false;
        }
        if under.lost.is_none_or(|lost| now >= lost + MEMORY) {
            under.lost = Some(now);
        }
        if under.restarted {
            self.conclude(now, at, CrashEvidence::Restarted);
            return false;
        }
        let is_due = loss == ResponseLoss::Broken && under.probed.is_none_or(|probed| now >= probed + PROBE_PAUSE);
        if is_due {
            under.probed = Some(now);
        }
        is_due
    }

    /// Nobody listens at an upstream's address.
    pub fn connection_refused(&mut self, now: Duration, at: &Life) {
        self.conclude(now, at, CrashEvidence::Refused);
    }

    /// An upstream took a connection, so what was lost was a connection only.
    pub fn connection_accepted(&mut self, now: Duration, at: &Life) {
        if let Some(under) = self.upstreams.get_mut(at) {
            (under.alive, under.lost) = (now, None);
        }
    }

    /// An upstream's entry came: it lives on or leaves, or one that ended before has its id or address.
    pub fn entry_updated(
        &mut self,
        now: Duration,
        upstream: &Upstream,
        addresses: impl Fn(&UpstreamId) -> Option<SocketAddr>,
    ) {
        let own = upstream.life();
        if upstream.phase == Phase::Leaving {
            // Requests that were sent before this was known may still begin there.
            self.upstreams.entry(own.clone()).or_default().leaving.get_or_insert(now);
        } else if let Some(under) = self.upstreams.get_mut(&own) {
            (under.unlisted, under.leaving) = (None, None);
        }
        let mut restarted = Vec::new();
        for (at, under) in self.upstreams.iter_mut().filter(|(at, _)| **at != own) {
            if at.upstream == own.upstream || addresses(&at.upstream) == Some(upstream.address) {
                under.restarted = true;
                restarted.extend(under.lost.map(|_| at.clone()));
            }
        }
        for at in restarted {
            self.conclude(now, &at, CrashEvidence::Restarted);
        }
    }

    /// An upstream's entry is gone: one that showed no sign of an end before leaves.
    pub fn entry_removed(&mut self, now: Duration, at: &Life) {
        let under = self.upstreams.entry(at.clone()).or_default();
        under.unlisted.get_or_insert(now);
        if under.lost.is_none() {
            under.leaving.get_or_insert(now);
        }
    }

    /// Takes what has ended since the last call.
    pub fn take_crashed(&mut self, now: Duration) -> Vec<CrashedUpstream> {
        let is_lapsed = |under: &Under| under.unlisted.is_some_and(|at| now >= at + LAPSE_TIME) && under.lost.is_some();
        let lapsed = self.upstreams.iter().filter(|(_, under)| !under.reported && is_lapsed(under));
        let lapsed: Vec<Life> = lapsed.map(|(at, _)| at.clone()).collect();
        for at in lapsed {
            self.conclude(now, &at, CrashEvidence::Lapsed);
        }
        std::mem::take(&mut self.ended)
    }

    /// A request under which upstreams ended was answered.
    pub fn clear(&mut self, fingerprint: Fingerprint) {
        self.cleared.push(fingerprint);
    }

    /// Takes requests that were cleared since the last call.
    pub fn take_cleared(&mut self) -> Vec<Fingerprint> {
        std::mem::take(&mut self.cleared)
    }

    /// A request was held back.
    pub fn record_blocked(&mut self, fingerprint: Fingerprint) {
        self.held.insert(fingerprint);
    }

    /// Takes requests that were held back since the last call.
    pub fn take_blocked(&mut self) -> IndexSet<Fingerprint> {
        std::mem::take(&mut self.held)
    }

    /// Whether a request was answered lately.
    #[must_use]
    pub fn was_answered(&self, now: Duration, fingerprint: &Fingerprint) -> bool {
        self.answered.get(fingerprint).is_some_and(|at| now < *at + ANSWERED_TIME)
    }

    /// Requests under way at an upstream that some condition holds for.
    #[must_use]
    pub fn count_running(&self, at: &Life, condition: impl Fn(&Fingerprint) -> bool) -> usize {
        let running = self.upstreams.get(at).map(|under| under.running.keys());
        running.map_or(0, |all| all.filter(|one| condition(one)).count())
    }

    /// Forgets what is too old to matter.
    pub fn expire(&mut self, now: Duration) {
        self.upstreams.retain(|_, under| !under.is_idle(now));
        let old = self.answered.values().take_while(|at| now >= **at + ANSWERED_TIME).count();
        let surplus = self.answered.len().saturating_sub(MAX_ANSWERED);
        self.answered.drain(..old.max(surplus));
    }

    fn conclude(&mut self, now: Duration, at: &Life, evidence: CrashEvidence) {
        let Some(under) = self.upstreams.get_mut(at) else { return };
        if under.leaving.is_some() || std::mem::replace(&mut under.reported, true) {
            return;
        }
        let since = under.lost.unwrap_or(under.alive).saturating_sub(LINGER);
        let running = under.running.keys().rev().copied();
        let left = under.left.iter().rev().take_while(|left| left.at >= since).map(|left| left.fingerprint);
        let all: IndexSet<Fingerprint> = running.chain(left).collect();
        let suspects: Vec<Fingerprint> =
            all.into_iter().filter(|one| !self.was_answered(now, one)).take(MAX_SUSPECTS).collect();
        self.ended.push(CrashedUpstream { life: at.clone(), evidence, suspects });
    }
}
