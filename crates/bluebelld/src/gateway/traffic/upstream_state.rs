//! State of one upstream, and whether it may receive a request.

use std::time::Duration;

use bluebell_core::{
    ids::UpstreamId,
    placing::{Admission, Departure, Health, Liveness, Load, PartCache, RampUp},
    rate_limit::RateLimit,
};

/// State of one upstream.
#[derive(Debug, Clone, Default)]
pub struct UpstreamState {
    /// Load, by this gateway and by its peers.
    pub load: Load,
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
    /// Its ramp-up after a start or a recovery.
    pub ramp: RampUp,
    pub(super) started_at_ms: u64,
}

impl UpstreamState {
    /// Whether the upstream may receive a new request. An ejected one may, if there is no healthy one.
    #[must_use]
    pub fn admission(&self, now: Duration) -> Admission {
        if self.limit.has_room(now) { self.admission_of_chosen(now) } else { Admission::Closed }
    }

    /// Whether a request for which the upstream was chosen may be sent.
    #[must_use]
    pub fn admission_of_chosen(&self, now: Duration) -> Admission {
        if self.health.is_paused(now) { Admission::Closed } else { self.departure.admission(now) }
    }

    // Time until it takes a new request, and what it is that has to end first; none if it takes no more.
    pub(super) fn wait(&self, now: Duration) -> Option<(Duration, WaitCause)> {
        let pause = (self.health.pause_left(now), WaitCause::Pause);
        let wait = pause.max((self.limit.wait(now)?, WaitCause::RateLimit));
        (self.departure.admission(now + wait.0) != Admission::Closed).then_some(wait)
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
