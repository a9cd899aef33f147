//! Rate limits that upstreams name in their answers. A limit holds for all gateways together, for as long as the answers
//! name it.
//!
//! The limit is divided among a few gateways, its owners, so that no messages are needed to send a request: see
//! [`Fleet`]. Each owner spends its share through a token bucket; the others send nothing to that upstream. Gateways tell
//! each other the limits that they were named, as an upstream may have answered only some of them.
//!
//! Answers may overtake each other, so a limit ends or rises only by the answer to a request that was sent after the limit
//! had last been named. It falls at once.

mod fleet;
mod returns;
mod urgency;

use std::time::Duration;

pub use fleet::{Fleet, Share};
pub use returns::ReturnQueue;
pub use urgency::UrgencyOrder;

use crate::{ids::UpstreamId, units::Rate};

/// Time of its share that an owner can spend at once after it sent nothing.
const BURST_TIME: Duration = Duration::from_millis(500);
/// Lowest rate that is used. An upstream that takes nothing has to be tried now and then, as only an answer ends its limit.
const TRIAL_RATE: f64 = 0.1;
/// Time without word from an upstream after which other gateways become the owners of its limit, as the present ones may
/// have no requests for it or not reach it.
const ROTATION_PERIOD: Duration = Duration::from_secs(10);
/// Time for which peers are told that a limit has ended.
const END_REPORT_PERIOD: Duration = Duration::from_secs(5);
/// Time by which the word of a peer can seem newer than it is.
const PEER_DELAY: Duration = Duration::from_millis(500);
/// Time for which a limit is remembered once its upstream is no longer registered, as its registration may reappear.
const MEMORY: Duration = Duration::from_secs(60);
/// Relative change of a limit that is worth a log line.
const NOTABLE_CHANGE: f64 = 0.1;

/// How a word about a limit changed it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LimitChange {
    /// Not at all, or hardly.
    None,
    /// There was no limit before.
    Began,
    /// It has risen or fallen.
    Adjusted,
    /// There is no limit any more.
    Ended,
}

/// What an upstream last said about its limit.
#[derive(Debug, Clone, Copy)]
struct Word {
    limit: Option<Rate>,
    heard_at: Duration,
    changed_at: Duration,
    // Limit of the last notable change.
    noted: Rate,
    // Whether the upstream said so to this gateway, rather than to a peer.
    own: bool,
}

/// What a gateway tells its peers about the limit of an upstream.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct LimitReport {
    /// The limit; none if it has ended.
    pub limit: Option<Rate>,
    /// Time since the upstream said so.
    pub age: Duration,
}

/// Rate limit of one incarnation of an upstream, as one gateway knows it.
#[derive(Debug, Clone, Default)]
pub struct RateLimit {
    word: Option<Word>,
    share: Share,
    tokens: f64,
    refilled_at: Duration,
}

impl RateLimit {
    /// Records what an answer says: the limit that it names, or none. `sent_at` is when its request was sent.
    pub fn record_answer(&mut self, now: Duration, sent_at: Duration, limit: Option<Rate>) -> LimitChange {
        let Some(word) = self.word else {
            return if limit.is_some() { self.adopt(now, now, limit, true) } else { LimitChange::None };
        };
        let relaxes = relaxes(word.limit, limit);
        if relaxes && sent_at <= word.heard_at {
            return LimitChange::None;
        }
        self.adopt(now, now, limit, true)
    }

    /// Records what a peer was told.
    pub fn record_report(&mut self, now: Duration, report: LimitReport) -> LimitChange {
        let heard_at = now.saturating_sub(report.age);
        let Some(word) = self.word else {
            let is_news = report.limit.is_some() && report.age < MEMORY;
            return if is_news { self.adopt(now, heard_at, report.limit, false) } else { LimitChange::None };
        };
        let delay = if relaxes(word.limit, report.limit) { PEER_DELAY } else { Duration::ZERO };
        if heard_at <= word.heard_at + delay {
            return LimitChange::None;
        }
        self.adopt(now, heard_at, report.limit, false)
    }

    fn adopt(&mut self, now: Duration, heard_at: Duration, limit: Option<Rate>, own: bool) -> LimitChange {
        let previous = self.word;
        let before = previous.and_then(|word| word.limit);
        let noted = previous.map_or(Rate::default(), |word| word.noted);
        let change = match (before, limit) {
            (None, None) => LimitChange::None,
            (None, Some(_)) => LimitChange::Began,
            (Some(_), None) => LimitChange::Ended,
            (Some(_), Some(limit)) => {
                let difference = (limit.value() - noted.value()).abs();
                if difference > NOTABLE_CHANGE * noted.value() { LimitChange::Adjusted } else { LimitChange::None }
            }
        };
        let noted = limit.filter(|_| change != LimitChange::None).unwrap_or(noted);
        let changed_at = previous.filter(|_| before == limit).map_or(now, |word| word.changed_at);
        self.word = Some(Word { limit, heard_at, changed_at, noted, own });
        if change == LimitChange::Began {
            // What the upstream got before it named the limit is not known.
            (self.share, self.tokens, self.refilled_at) = (Share::default(), 0.0, now);
        }
        change
    }

    /// Brings this gateway's share of the limit up to date. To be called after each change of the limit and periodically.
    pub fn assign(&mut self, now: Duration, upstream: &UpstreamId, fleet: &Fleet) {
        let Some((limit, heard_at)) = self.word.and_then(|word| Some((word.limit?, word.heard_at))) else { return };
        let limit = Rate::per_second(limit.value().max(TRIAL_RATE));
        let rotation = now.saturating_sub(heard_at).as_nanos() / ROTATION_PERIOD.as_nanos();
        let tokens = self.room(now);
        self.share = fleet.share(upstream, rotation as u64, limit, &self.share);
        (self.tokens, self.refilled_at) = (tokens.min(self.capacity()), now);
    }

    /// The limit, if there is one.
    #[must_use]
    pub fn limit(&self) -> Option<Rate> {
        self.word.and_then(|word| word.limit)
    }

    /// Rate at which this gateway may send; zero if it is no owner of the limit.
    #[must_use]
    pub fn share(&self) -> Rate {
        self.share.rate()
    }

    /// Whether a request may be sent.
    #[must_use]
    pub fn has_room(&self, now: Duration) -> bool {
        self.limit().is_none() || self.room(now) >= 1.0
    }

    /// Number of requests that may be sent at once; none if there is no limit.
    #[must_use]
    pub fn available(&self, now: Duration) -> Option<usize> {
        self.limit().map(|_| self.room(now).max(0.0) as usize)
    }

    /// Counts a request that is about to be sent.
    pub fn take(&mut self, now: Duration) {
        if self.limit().is_some() {
            (self.tokens, self.refilled_at) = (self.room(now) - 1.0, now);
        }
    }

    /// Time until a request may be sent; none if this gateway is no owner of the limit.
    #[must_use]
    pub fn wait(&self, now: Duration) -> Option<Duration> {
        if self.has_room(now) {
            return Some(Duration::ZERO);
        }
        let rate = self.share().value();
        (rate > 0.0).then(|| Duration::from_secs_f64((1.0 - self.room(now)) / rate))
    }

    /// What peers are to be told; none if there is nothing, or only peers know it.
    #[must_use]
    pub fn report(&self, now: Duration) -> Option<LimitReport> {
        let word = self.word.filter(|word| word.own)?;
        let is_news = word.limit.is_some() || now < word.changed_at + END_REPORT_PERIOD;
        is_news.then(|| LimitReport { limit: word.limit, age: now.saturating_sub(word.heard_at) })
    }

    /// Whether the limit has to be remembered although the upstream is no longer registered.
    #[must_use]
    pub fn is_remembered(&self, now: Duration) -> bool {
        self.word.is_some_and(|word| word.limit.is_some() && now < word.heard_at + MEMORY)
    }

    fn capacity(&self) -> f64 {
        (self.share().value() * BURST_TIME.as_secs_f64()).max(1.0)
    }

    fn room(&self, now: Duration) -> f64 {
        let refill = self.share().value() * now.saturating_sub(self.refilled_at).as_secs_f64();
        (self.tokens + refill).min(self.capacity())
    }
}

// Whether a limit would rise or end.
fn relaxes(known: Option<Rate>, limit: Option<Rate>) -> bool {
    match (known, limit) {
        (Some(known), Some(limit)) => limit > known,
        (Some(_), None) => true,
        (None, _) => false,
    }
}
