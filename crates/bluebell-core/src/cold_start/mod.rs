//! Requests to an upstream that is cold: one that has started during traffic, or whose zone has just been taken back after
//! an evacuation. It accepts only a declared rate from all gateways together and crashes well above that.
//!
//! Addresses this workload: nine gateways in three zones, 45 engines that accept 23 requests per second while cold, and a
//! zone of 15 engines that all turn cold at once while the other zones are busy. No message is exchanged to send a request.
//! A few gateways own a share of the rate, see [`ColdFleet`], and each spends it through a token bucket. The others send
//! nothing to the upstream until it is warm.

mod fleet;

use std::time::Duration;

pub use fleet::{ColdFleet, Contact};

use crate::{ids::UpstreamId, rate_limit::Share, units::Rate};

/// Part of the tolerance that the buckets of all owners may use together. The rest is for gateways whose view of the fleet
/// differs, and for requests that reach the upstream closer together than they were sent.
const BURST_PART: f64 = 0.5;
/// Part of what the bound leaves beside one request that is used as the rate.
const RATE_PART: f64 = 0.75;
/// Time of its share that an owner can spend at once after it sent nothing.
const BURST_TIME: Duration = Duration::from_millis(250);
/// Time after the choice of an upstream in which a request may be sent with the token that was taken then. Longer delays,
/// such as that of a slow connection, could make the requests of several seconds arrive in one.
const TOKEN_LIFETIME: Duration = Duration::from_millis(150);

/// What the upstreams of a service accept while they are cold.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ColdLimit {
    rate: Rate,
    owners: usize,
    burst: f64,
}

impl ColdLimit {
    /// Derives the limit from the declared rate, and from the factor and the number of requests by which it may be exceeded
    /// in any second.
    #[must_use]
    pub fn new(rate: Rate, over: f64, slack: f64) -> Self {
        let bound = rate.value() * over.max(1.0) + slack.max(0.0);
        // Each owner's bucket holds at least one request.
        let used = rate.value().min(RATE_PART * (bound - 1.0)).max(0.0);
        let burst = ((bound - used) * BURST_PART).max(1.0);
        Self { rate: Rate::per_second(used), owners: burst as usize, burst }
    }

    /// Rate that all owners together may send.
    #[must_use]
    pub fn rate(&self) -> Rate {
        self.rate
    }

    /// Largest number of gateways that own a share.
    #[must_use]
    pub fn owners(&self) -> usize {
        self.owners
    }
}

/// Why an upstream turns cold.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ColdCause {
    /// Its registration says so. What it got before is not known.
    Registered,
    /// Its incarnation was first seen while traffic runs.
    FirstSeen,
    /// The evacuation of its zone has ended.
    TakenBack,
}

/// Cold state of one incarnation of an upstream, as one gateway knows it.
#[derive(Debug, Clone, Default)]
pub struct ColdStart {
    limit: Option<ColdLimit>,
    until: Duration,
    // Whether the upstream may be cold without this gateway's knowledge.
    is_uncertain: bool,
    began: Duration,
    share: Share,
    tokens: f64,
    refilled_at: Duration,
}

impl ColdStart {
    /// Sets what the upstream accepts while it is cold; none if there is no limit.
    pub fn set_limit(&mut self, limit: Option<ColdLimit>) {
        self.limit = limit;
    }

    /// Records that the upstream is cold for the given time, at least. Returns whether it was not known to be cold.
    pub fn begin(&mut self, now: Duration, left: Duration, cause: ColdCause) -> bool {
        if left.is_zero() || self.limit.is_none() {
            return false;
        }
        let is_new = !self.is_cold(now);
        self.until = self.until.max(now.saturating_add(left));
        if is_new {
            self.reset(now, if cause == ColdCause::Registered { 0.0 } else { 1.0 });
        }
        is_new
    }

    fn reset(&mut self, now: Duration, tokens: f64) {
        (self.began, self.share, self.tokens, self.refilled_at) = (now, Share::default(), tokens, now);
    }

    /// Brings this gateway's share up to date. To be called when the upstream turns cold, and periodically.
    pub fn assign(&mut self, now: Duration, upstream: &UpstreamId, fleet: &ColdFleet) {
        let Some(limit) = self.limit else { return };
        if fleet.is_isolated() && !self.is_cold(now) {
            self.reset(now, 0.0);
        }
        self.is_uncertain = fleet.is_isolated();
        if self.is_cold(now) {
            let tokens = self.room(now);
            self.share = fleet.share(now, upstream, &limit, &self.share);
            (self.tokens, self.refilled_at) = (tokens.min(self.capacity()), now);
        }
    }

    /// Whether the limit holds at present.
    #[must_use]
    pub fn is_cold(&self, now: Duration) -> bool {
        self.limit.is_some() && (now < self.until || self.is_uncertain)
    }

    /// Rate at which this gateway may send while the upstream is cold; zero if it owns no share.
    #[must_use]
    pub fn share(&self) -> Rate {
        self.share.rate()
    }

    /// Whether a request may be sent.
    #[must_use]
    pub fn has_room(&self, now: Duration) -> bool {
        !self.is_cold(now) || self.room(now) >= 1.0
    }

    /// Number of requests that may be sent at once; none if the upstream is warm.
    #[must_use]
    pub fn available(&self, now: Duration) -> Option<usize> {
        self.is_cold(now).then(|| self.room(now) as usize)
    }

    /// Counts a request that is about to be sent.
    pub fn take(&mut self, now: Duration) {
        if self.is_cold(now) {
            (self.tokens, self.refilled_at) = (self.room(now) - 1.0, now);
        }
    }

    /// Whether a request may be sent for which the upstream was chosen, and the request counted, at `chosen_at`. Counts it
    /// again if that was too long ago, or before the upstream turned cold.
    pub fn confirm(&mut self, now: Duration, chosen_at: Duration) -> bool {
        if !self.is_cold(now) || (chosen_at >= self.began && now <= chosen_at + TOKEN_LIFETIME) {
            return true;
        }
        let has_room = self.room(now) >= 1.0;
        if has_room {
            self.take(now);
        }
        has_room
    }

    /// Time until a request may be sent; none if that is not foreseeable.
    #[must_use]
    pub fn wait(&self, now: Duration) -> Option<Duration> {
        if self.has_room(now) {
            return Some(Duration::ZERO);
        }
        let warm = (!self.is_uncertain).then(|| self.until.saturating_sub(now));
        let rate = self.share().value();
        let token = (rate > 0.0).then(|| Duration::from_secs_f64((1.0 - self.room(now)) / rate));
        warm.into_iter().chain(token).min()
    }

    // Requests that the bucket holds. All owners' buckets together stay within the limit's burst.
    fn capacity(&self) -> f64 {
        let Some(limit) = self.limit.filter(|limit| limit.rate.value() > 0.0) else { return 0.0 };
        let rate = self.share().value();
        if rate <= 0.0 {
            return 0.0;
        }
        let part = limit.burst * (rate / limit.rate.value()).min(1.0);
        (rate * BURST_TIME.as_secs_f64()).min(part).max(1.0)
    }

    fn room(&self, now: Duration) -> f64 {
        let refill = self.share().value() * now.saturating_sub(self.refilled_at).as_secs_f64();
        (self.tokens + refill).min(self.capacity()).max(0.0)
    }
}
