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

/// Part of the exposure allowed that the release gets while it is judged by a small share of the requests.
const CANARY_PART: f64 = 0.45;
/// Part of the exposure allowed that is left for the last stage, in which the release gets all requests. Both parts
/// together stay below the whole, so a release whose badness never shows stays within it, too.
const LAST_PART: f64 = 0.6;
/// Part of the time ordered after which the roll-out is declared complete; the rest is for the write to arrive.
const COMPLETE_AT: f64 = 0.97;
/// Time between an order and the first requests for its release, in which gateways tell each other which sessions are
/// under way.
pub const SETTLE_TIME: Duration = Duration::from_millis(700);
/// Answers of the new release without which the share doesn't grow.
const MIN_ANSWERS: u64 = 20;
/// Evidence at which a release is convicted: one false alarm in about e^8, or 3,000, beginnings.
const CONVICTION: f64 = 8.0;
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
/// Answers of one kind from which its usual pace is known.
const PACE_ANSWERS: u64 = 8;
/// Answers over which the usual pace is averaged.
const PACE_MEMORY: f64 = 40.0;
/// Least pace told apart from none.
const MIN_PACE: f64 = 1e-6;
/// Least variance of a logarithm of a pace.
const MIN_VARIANCE: f64 = 0.1;
/// Answers of one kind of each release from which their paces are compared.
const COMPARED_ANSWERS: u64 = 5;
/// Mean slowdown, as a logarithm, from which a release is bad: a fifth of the answers four times as slow. Sound
/// releases are faster than the old one while they get few requests.
const SLOW_SHIFT: f64 = 0.25;
/// Standard deviations by which the slowdown must differ from none.
const SLOW_DEVIATIONS: f64 = 3.5;
/// Times the usual pace from which an answer counts as slow; bad releases are several times slower.
const SLOW_TIMES: f64 = 4.0;

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

/// When the stages of a roll-out begin, and how many requests its release gets.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Schedule {
    /// Share of the requests in the first stage.
    pub canary: f64,
    full_at: f64,
}

impl Schedule {
    /// The schedule that keeps a release within a share of the requests, whatever comes of it.
    #[must_use]
    pub fn within(exposure: f64) -> Self {
        let last = (LAST_PART * exposure).clamp(0.02, 0.5);
        Self { canary: CANARY_PART * exposure, full_at: 1.0 - last }
    }
}

/// How far a roll-out is.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Stage {
    /// A small share of the requests goes to the new release.
    Canary,
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
    pub fn of(order: &Order, stage: Option<Stage>, convicted: bool, schedule: &Schedule) -> Self {
        let to = order.to.clone();
        match stage {
            Some(Stage::Completed) => Self::Only(to),
            _ if convicted => Self::Without(to),
            Some(Stage::Full) => Self::Share { to, share: 1.0, holds: false },
            Some(Stage::Canary) => Self::Share { to, share: schedule.canary, holds: true },
            None | Some(Stage::Reverted) => Self::Without(to),
        }
    }

    /// Whether a release is being judged.
    #[must_use]
    pub fn judges(&self, release: &ReleaseId) -> bool {
        matches!(self, Self::Share { to, .. } if to == release)
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

    /// A request of a session went to a release, or was answered by it, at a time; an older word changes nothing.
    pub fn set(&mut self, at: Duration, session: &SessionId, release: &ReleaseId) {
        let pin = self.pins.entry(session.clone()).or_insert_with(|| (release.clone(), at));
        if pin.1 <= at {
            *pin = (release.clone(), at);
        }
    }

    /// Sessions that a canary of a share would take up, with the time of their last request.
    pub fn within(&self, share: f64) -> impl Iterator<Item = (&SessionId, &ReleaseId, Duration)> {
        let taken = move |session: &SessionId| rendezvous::fraction(session.as_str()) < share;
        let pins = self.pins.iter().filter(move |(session, _)| taken(session));
        pins.map(|(session, (release, at))| (session, release, *at))
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
    /// Answers that took several times as long as is usual for their work.
    pub slow: u64,
    /// Time of the answers against what their size lets expect, as logarithms.
    pub pace: Spread,
}

/// Sums from which the mean and the spread of a quantity follow.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize, Deserialize)]
pub struct Spread {
    count: u64,
    sum: f64,
    squares: f64,
}

impl Spread {
    /// Takes a value.
    pub fn take(&mut self, value: f64) {
        self.count += 1;
        self.sum += value;
        self.squares += value * value;
    }

    fn add(&mut self, other: &Self) {
        self.count += other.count;
        self.sum += other.sum;
        self.squares += other.squares;
    }

    fn since(&self, earlier: &Self) -> Self {
        Self {
            count: self.count.saturating_sub(earlier.count),
            sum: self.sum - earlier.sum,
            squares: self.squares - earlier.squares,
        }
    }

    fn mean(&self) -> f64 {
        self.sum / self.count.max(1) as f64
    }

    // Variance of the mean; the least variance keeps a few equal values from looking certain.
    fn mean_variance(&self) -> f64 {
        let count = self.count.max(1) as f64;
        let variance = (self.squares / count - self.mean().powi(2)).max(MIN_VARIANCE);
        variance / count
    }
}

impl Tally {
    /// Adds what another counter holds.
    pub fn add(&mut self, other: &Self) {
        self.answers += other.answers;
        self.failures += other.failures;
        self.slow += other.slow;
        self.pace.add(&other.pace);
    }

    fn since(&self, earlier: &Self) -> Self {
        Self {
            answers: self.answers.saturating_sub(earlier.answers),
            failures: self.failures.saturating_sub(earlier.failures),
            slow: self.slow.saturating_sub(earlier.slow),
            pace: self.pace.since(&earlier.pace),
        }
    }
}

/// The usual time of a kind of work at the releases that are not being judged, against what its size lets expect.
#[derive(Debug, Clone, Copy, Default)]
pub struct UsualPace {
    mean_log: f64,
    count: u64,
}

impl UsualPace {
    /// Logarithm of a pace, as it is averaged.
    #[must_use]
    pub fn log(pace: f64) -> f64 {
        pace.max(MIN_PACE).ln()
    }

    /// Takes the pace of an answer: its time against the time that its size lets expect.
    pub fn take(&mut self, pace: f64) {
        self.count += 1;
        let weight = 1.0 / (self.count as f64).min(PACE_MEMORY);
        self.mean_log += weight * (pace.max(MIN_PACE).ln() - self.mean_log);
    }

    /// Whether an answer took several times as long as is usual.
    #[must_use]
    pub fn is_slow(&self, pace: f64) -> bool {
        self.count >= PACE_ANSWERS && pace.max(MIN_PACE).ln() - self.mean_log > SLOW_TIMES.ln()
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

impl Evidence {
    // Cumulative sum of the likelihood that so many of the answers are bad, against the old release's rate.
    fn add(sum: f64, old: (u64, u64), fresh: (u64, u64)) -> f64 {
        let count = old.1 as f64 + 5.0;
        let rate = (old.0 as f64 + 0.5) / count;
        // A rate that a few answers show too low would convict a release that merely fails like the old one.
        let sound = (rate + 2.0 * (rate * (1.0 - rate) / count).sqrt()).clamp(SOUND_FAILURES, MAX_SOUND);
        let bad = (sound * BAD_FACTOR).clamp(BAD_FAILURES, MAX_BAD);
        let passed = fresh.1.saturating_sub(fresh.0) as f64;
        let step = fresh.0 as f64 * (bad / sound).ln() + passed * ((1.0 - bad) / (1.0 - sound)).ln();
        (sum + step).max(0.0)
    }
}

/// Counts gathered from all entries. An entry that starts anew counts from zero; what it counted before stays.
#[derive(Debug, Default)]
pub struct Gathered {
    last: IndexMap<(InstanceId, String, bool), Tally>,
    totals: Tallies,
}

impl Gathered {
    /// Takes an entry's counts since its start, of the old release or the new one.
    pub fn take(&mut self, entry: &InstanceId, work: &str, is_new: bool, tally: &Tally) {
        let last = self.last.entry((entry.clone(), work.to_owned(), is_new)).or_default();
        let restarted = tally.answers < last.answers;
        let fresh = if restarted { *tally } else { tally.since(last) };
        *last = *tally;
        let pair = self.totals.entry(work.to_owned()).or_default();
        let side = if is_new { &mut pair.1 } else { &mut pair.0 };
        side.add(&fresh);
    }

    /// The counts of all entries.
    #[must_use]
    pub fn totals(&self) -> &Tallies {
        &self.totals
    }

    /// Answers of the new release.
    #[must_use]
    pub fn answers(&self) -> u64 {
        self.totals.values().map(|(_, new)| new.answers).sum()
    }
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
    /// Takes the counts as they are now; gives a conviction once the evidence allows it. Pace counts only while both
    /// releases get requests, since the load that one of them gets alone slows it as well.
    pub fn weigh(&mut self, tallies: &Tallies, by_pace: bool) -> Option<Conviction> {
        let mut total = (Tally::default(), Tally::default());
        for (old, new) in tallies.values() {
            total.0.add(old);
            total.1.add(new);
        }
        if by_pace
            && slowdown(tallies).is_some_and(|(shift, deviations)| shift >= SLOW_SHIFT && deviations >= SLOW_DEVIATIONS)
        {
            let (answers, failures) = (total.1.answers, total.1.failures);
            return Some(Conviction { work: "all".to_owned(), failing: false, answers, failures });
        }
        let kinds = tallies.iter().map(|(work, pair)| (work.as_str(), pair));
        for (work, (old, new)) in std::iter::once(("all", &total)).chain(kinds) {
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
        self.failing = Self::add(self.failing, (old.failures, old.answers), (fresh.failures, fresh.answers));
        if self.failing >= CONVICTION {
            return Some(true);
        }
        if !by_pace {
            return None;
        }
        self.slow = Self::add(self.slow, (old.slow, old.answers), (fresh.slow, fresh.answers));
        (self.slow >= CONVICTION).then_some(false)
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

/// What to do next about a roll-out.
#[must_use]
pub fn next_stage(
    order: &Order,
    row: &StageRow,
    now: Duration,
    schedule: &Schedule,
    verdict: Verdict,
) -> Option<Stage> {
    if row.stage.is_final() {
        return None;
    }
    if verdict.convicted {
        return Some(Stage::Reverted);
    }
    let passed = now.saturating_sub(row.began).as_secs_f64() / order.within.as_secs_f64().max(0.001);
    let judged = verdict.answers >= MIN_ANSWERS;
    match row.stage {
        Stage::Canary if passed >= schedule.full_at && judged => Some(Stage::Full),
        Stage::Full if passed >= COMPLETE_AT => Some(Stage::Completed),
        _ => None,
    }
}

/// What the counts say of a release so far.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Verdict {
    /// Whether it is bad.
    pub convicted: bool,
    /// Answers of it that were counted.
    pub answers: u64,
}
