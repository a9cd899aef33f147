//! Roll-out of a new release to the upstreams of a service: a small share of the requests first, judged by failures
//! and pace against the old release, then all of them.
//!
//! The stage lies in one row of the store. Any entry may drive it on; conditional writes keep two drivers from
//! stepping on each other. Every entry judges by the counts of all, and stops sending to a convicted release at
//! once, before the stage says so.

use std::time::Duration;

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

use crate::{
    ids::{InstanceId, ReleaseId, ServiceId, SessionId},
    routing::rendezvous,
};

/// Share of requests that a release gets while it is judged. The platforms in use allow 10 to 15 per cent over the whole
/// time ordered, of which the judgement takes half.
pub const CANARY_SHARE: f64 = 0.1;
/// Share of requests that a release gets before it gets all.
pub const RAMP_SHARE: f64 = 0.25;
/// Part of the time ordered after which the share grows.
const RAMP_AFTER: f64 = 0.52;
/// Part of the time ordered after which the new release gets all requests.
const FULL_AFTER: f64 = 0.58;
/// Part of the time ordered after which the roll-out is declared complete.
const COMPLETE_AFTER: f64 = 0.8;
/// Answers of the new release without which the share doesn't grow.
const MIN_ANSWERS: u64 = 12;
/// Evidence at which a release is convicted: one false alarm in about e^8, or 3,000, beginnings.
const CONVICTION: f64 = 8.0;
/// Failure rate of a sound release at least assumed.
const SOUND_FAILURES: f64 = 0.02;
/// Failure rate of a bad release at least assumed.
const BAD_FAILURES: f64 = 0.4;
/// Times that a bad release fails more often than a sound one.
const BAD_FACTOR: f64 = 3.0;
/// Answers of one kind from which its pace is compared.
const PACE_ANSWERS: u64 = 8;
/// Times that a bad release is slower than a sound one, as a logarithm.
const SLOW_LOG: f64 = 1.1;

/// An operator's order to bring in a release.
#[derive(Debug, Clone, PartialEq)]
pub struct Order {
    /// The service.
    pub service: ServiceId,
    /// The release to bring in.
    pub to: ReleaseId,
    /// Time in which it has to be done.
    pub within: Duration,
    /// Version of the store at which it was ordered.
    pub version: u64,
}

/// How far a roll-out is.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Stage {
    /// A small share of the requests goes to the new release.
    Canary,
    /// A larger share does.
    Ramp,
    /// All requests go to the new release.
    Full,
    /// The old release is not needed any more.
    Completed,
    /// The new release is bad and gets nothing.
    Reverted,
}

impl Stage {
    /// Whether the roll-out is over.
    #[must_use]
    pub fn is_final(self) -> bool {
        matches!(self, Self::Completed | Self::Reverted)
    }
}

/// The row of a roll-out.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct StageRow {
    /// Version of the store at which it was ordered.
    pub order: u64,
    /// The release.
    pub to: ReleaseId,
    /// How far it is.
    pub stage: Stage,
    /// Time of the store's clock at which it began.
    pub began: Duration,
    /// Entry that wrote the row last.
    pub holder: InstanceId,
}

/// Releases of a service that may get requests.
#[derive(Debug, Clone, Default, PartialEq)]
pub enum Split {
    /// Any release.
    #[default]
    Any,
    /// Only this release.
    Only(ReleaseId),
    /// Any but this release.
    Without(ReleaseId),
    /// A share of the requests goes to the release, the others to the rest.
    Share {
        /// The release.
        to: ReleaseId,
        /// The share, 0 to 1.
        share: f64,
        /// Whether sessions under way stay on the release that they are on.
        holds: bool,
    },
}

impl Split {
    /// The split that a roll-out stands at.
    #[must_use]
    pub fn of(order: &Order, stage: Option<Stage>, convicted: bool) -> Self {
        let to = order.to.clone();
        match stage {
            Some(Stage::Completed) => Self::Only(to),
            _ if convicted => Self::Without(to),
            Some(Stage::Full) => Self::Share { to, share: 1.0, holds: false },
            Some(Stage::Ramp) => Self::Share { to, share: RAMP_SHARE, holds: false },
            Some(Stage::Canary) => Self::Share { to, share: CANARY_SHARE, holds: true },
            None | Some(Stage::Reverted) => Self::Without(to),
        }
    }

    /// Whether a request may go to a release, by a key that it shares with its session, and by the release that the
    /// session is on.
    #[must_use]
    pub fn admits(&self, key: &str, pinned: Option<&ReleaseId>, release: &ReleaseId) -> bool {
        match self {
            Self::Any => true,
            Self::Only(to) => release == to,
            Self::Without(to) => release != to,
            Self::Share { to, share, holds } => {
                let moves = match pinned {
                    Some(pinned) if pinned == to => true,
                    Some(_) if *holds => false,
                    _ => rendezvous::fraction(key) < *share,
                };
                moves == (release == to)
            }
        }
    }
}

/// Releases that sessions are on.
#[derive(Debug, Default)]
pub struct SessionPins {
    pins: IndexMap<SessionId, (ReleaseId, Duration)>,
}

impl SessionPins {
    /// The release that a session is on, if its last request is not too long ago.
    #[must_use]
    pub fn get(&self, now: Duration, session: &SessionId, life: Duration) -> Option<&ReleaseId> {
        let (release, at) = self.pins.get(session)?;
        (now < *at + life).then_some(release)
    }

    /// A request of a session goes to a release, or was answered by it.
    pub fn set(&mut self, now: Duration, session: &SessionId, release: &ReleaseId) {
        self.pins.insert(session.clone(), (release.clone(), now));
    }

    /// Forgets sessions that are over.
    pub fn sweep(&mut self, now: Duration, life: Duration) {
        self.pins.retain(|_, (_, at)| now < *at + life);
    }
}

/// What is counted of one release in one kind of work.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize, Deserialize)]
pub struct Tally {
    /// Answers, good or bad.
    pub answers: u64,
    /// Failures that the upstream itself reported.
    pub failures: u64,
    /// Sum of the logarithms of the time per piece of work.
    pub log_pace: f64,
    /// Answers of which the pace is known.
    pub paced: u64,
}

impl Tally {
    /// Adds what another counter holds.
    pub fn add(&mut self, other: &Self) {
        self.answers += other.answers;
        self.failures += other.failures;
        self.log_pace += other.log_pace;
        self.paced += other.paced;
    }

    fn since(&self, earlier: &Self) -> Self {
        Self {
            answers: self.answers.saturating_sub(earlier.answers),
            failures: self.failures.saturating_sub(earlier.failures),
            log_pace: self.log_pace - earlier.log_pace,
            paced: self.paced.saturating_sub(earlier.paced),
        }
    }

    fn mean_log(&self) -> f64 {
        self.log_pace / self.paced.max(1) as f64
    }
}

/// Counts by kind of work, of the old release and of the new one.
pub type Tallies = IndexMap<String, (Tally, Tally)>;

#[derive(Debug, Clone, Default)]
struct Evidence {
    failing: f64,
    slow: f64,
    last: Tally,
}

/// Why a release was convicted.
#[derive(Debug, Clone, PartialEq)]
pub struct Conviction {
    /// Kind of work in which it showed.
    pub work: String,
    /// Whether answers failed; otherwise they were slow.
    pub failing: bool,
    /// Answers of the new release seen.
    pub answers: u64,
    /// Failures among them.
    pub failures: u64,
}

/// Judges one release against the old one, by cumulative sums.
#[derive(Debug, Default)]
pub struct Judge {
    evidence: IndexMap<String, Evidence>,
}

impl Judge {
    /// Takes the counts as they are now; gives a conviction once the evidence allows it.
    pub fn weigh(&mut self, tallies: &Tallies) -> Option<Conviction> {
        let mut total = (Tally::default(), Tally::default());
        for (old, new) in tallies.values() {
            total.0.add(old);
            total.1.add(new);
        }
        let all = std::iter::once(("all", &total, false));
        let kinds = tallies.iter().map(|(work, pair)| (work.as_str(), pair, true));
        for (work, (old, new), by_pace) in all.chain(kinds) {
            let evidence = self.evidence.entry(work.to_owned()).or_default();
            if let Some(failing) = evidence.take(old, new, by_pace) {
                let work = work.to_owned();
                return Some(Conviction { work, failing, answers: new.answers, failures: new.failures });
            }
        }
        None
    }
}

impl Evidence {
    // Some(true) for a conviction by failures, Some(false) for one by pace.
    fn take(&mut self, old: &Tally, new: &Tally, by_pace: bool) -> Option<bool> {
        let fresh = new.since(&self.last);
        self.last = *new;
        let count = old.answers as f64 + 5.0;
        let rate = (old.failures as f64 + 0.5) / count;
        // A rate that a few answers show too low would convict a release that merely fails like the old one.
        let sound = (rate + 2.0 * (rate * (1.0 - rate) / count).sqrt()).max(SOUND_FAILURES);
        let bad = (sound * BAD_FACTOR).clamp(BAD_FAILURES, 0.95);
        let passed = fresh.answers.saturating_sub(fresh.failures) as f64;
        let step = fresh.failures as f64 * (bad / sound).ln() + passed * ((1.0 - bad) / (1.0 - sound)).ln();
        self.failing = (self.failing + step).max(0.0);
        if self.failing >= CONVICTION {
            return Some(true);
        }
        if by_pace && old.paced >= PACE_ANSWERS && fresh.paced > 0 {
            let excess = fresh.mean_log() - old.mean_log() - SLOW_LOG;
            self.slow = (self.slow + excess.clamp(-1.0, 1.0) * fresh.paced as f64).max(0.0);
            return (self.slow >= PACE_ANSWERS as f64 / 2.0).then_some(false);
        }
        None
    }
}

/// What to do next about a roll-out.
#[must_use]
pub fn next_stage(order: &Order, row: &StageRow, now: Duration, convicted: bool, answers: u64) -> Option<Stage> {
    if row.stage.is_final() {
        return None;
    }
    if convicted {
        return Some(Stage::Reverted);
    }
    let passed = now.saturating_sub(row.began).as_secs_f64() / order.within.as_secs_f64().max(0.001);
    let judged = answers >= MIN_ANSWERS;
    match row.stage {
        Stage::Canary if passed >= RAMP_AFTER && judged => Some(Stage::Ramp),
        Stage::Ramp if passed >= FULL_AFTER && judged => Some(Stage::Full),
        Stage::Full if passed >= COMPLETE_AFTER => Some(Stage::Completed),
        _ => None,
    }
}
