//! State of one upstream, and whether it may receive a request.

use std::time::Duration;

use bluebell_core::{
    cold_start::ColdStart,
    ids::UpstreamId,
    placing::{Admission, Capacity, Departure, Health, Liveness, Load, PartCache, RampUp},
    rate_limit::RateLimit,
    units::Tokens,
};

/// State of one upstream.
#[derive(Debug, Clone, Default)]
pub struct UpstreamState {
    /// Load, by this gateway and by its peers.
    pub load: Load,
    /// Speed, as learnt from its answers and reports.
    pub capacity: Capacity,
    /// Health, as seen by this gateway.
    pub health: Health,
    /// Its departure, as it announced it to this gateway.
    pub departure: Departure,
    /// Prompt parts that it is assumed to have cached.
    pub parts: PartCache,
    /// Its latest activity.
    pub liveness: Liveness,
    /// Rate limit that it named.
    pub limit: RateLimit,
    /// Whether it is cold, and what it may get then.
    pub cold: ColdStart,
    /// Its ramp-up after a start or a recovery.
    pub ramp: RampUp,
    pub(super) started_at_ms: u64,
}

impl UpstreamState {
    /// Whether the upstream may receive a new request. An ejected one may, if there is no healthy one.
    #[must_use]
    pub fn admission(&self, now: Duration) -> Admission {
        let has_room = self.limit.has_room(now) && self.cold.has_room(now);
        if has_room { self.admission_of_chosen(now) } else { Admission::Closed }
    }

    /// Whether a request for which the upstream was chosen may be sent.
    #[must_use]
    pub fn admission_of_chosen(&self, now: Duration) -> Admission {
        if self.health.is_paused(now) { Admission::Closed } else { self.departure.admission(now) }
    }

    // Time until it takes a new request, and what it is that has to end first; none if it takes no more.
    pub(super) fn wait(&self, now: Duration) -> Option<(Duration, WaitCause)> {
        let pause = (self.health.pause_left(now), WaitCause::Pause);
        let limit = (self.limit.wait(now)?, WaitCause::RateLimit);
        let wait = pause.max(limit).max((self.cold.wait(now)?, WaitCause::Cold));
        (self.departure.admission(now + wait.0) != Admission::Closed).then_some(wait)
    }

    // Counts a request that is about to be sent.
    pub(super) fn take(&mut self, now: Duration) {
        self.limit.take(now);
        self.cold.take(now);
    }

    // Whether there is a limit on its requests at present.
    pub(super) fn is_limited(&self, now: Duration) -> bool {
        self.limit.limit().is_some() || self.cold.is_cold(now)
    }

    // Number of requests that may be sent at once; none if there is no limit.
    pub(super) fn available(&self, now: Duration) -> Option<usize> {
        self.limit.available(now).into_iter().chain(self.cold.available(now)).min()
    }

    // Rate at which this gateway may send, if there is a limit; zero if others send there.
    pub(super) fn share(&self, now: Duration) -> f64 {
        let limit = self.limit.limit().map(|_| self.limit.share().value());
        let cold = self.cold.is_cold(now).then(|| self.cold.share().value());
        limit.into_iter().chain(cold).reduce(f64::min).unwrap_or(0.0)
    }

    pub(super) fn is_available(&self, now: Duration) -> bool {
        self.health.is_available(now) && self.admission(now) == Admission::Open
    }
}

/// Why an upstream takes no request for a while.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum WaitCause {
    /// It asked for a pause.
    Pause,
    /// Its rate limit is used up.
    RateLimit,
    /// It is cold, and what it may get then is used up.
    Cold,
}

/// The upstream that is the first to take a request again.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct UpstreamWait {
    /// The upstream.
    pub upstream: UpstreamId,
    /// Why it takes no request before.
    pub cause: WaitCause,
    /// Time until then.
    pub left: Duration,
}

/// Speed of an upstream when it was chosen for a request.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ChosenSpeed {
    /// Relative to the usual speed of the service.
    pub speed: f64,
    /// Age of the upstream's latest report; none if it has not reported yet.
    pub report_age: Option<Duration>,
}

/// The first event of an answer.
#[derive(Debug, Clone, Copy)]
pub struct FirstEvent {
    /// Weighted prompt tokens of the request that the upstream had not cached.
    pub prefill: Tokens,
    /// Weighted prompt tokens that were pending at the upstream when the request was sent.
    pub queued: Tokens,
    /// Time since the request was sent.
    pub took: Duration,
}
