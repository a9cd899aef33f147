//! Circuit breaker of one upstream, driven by the outcome of its requests. Consecutive failures, or a high failure
//! rate, eject the upstream for a period that doubles each time; afterwards single trial requests probe it. A pause that the
//! upstream asked for is followed by trial requests as well, until it accepts one.

use std::time::Duration;

/// Ejection period after the first ejection.
const MIN_EJECTION: Duration = Duration::from_millis(500);
/// Upper bound of the ejection period.
const MAX_EJECTION: Duration = Duration::from_secs(8);
/// Consecutive failures that eject an upstream.
const MAX_CONSECUTIVE_FAILURES: u32 = 3;
/// Failure rate that ejects an upstream.
const MAX_FAILURE_RATE: f64 = 0.4;
/// Upper bound of the pause that an upstream may ask for.
pub const MAX_PAUSE: Duration = Duration::from_secs(60);
/// Weight of one outcome in the moving average of the failure rate.
const OUTCOME_WEIGHT: f64 = 0.05;

/// Outcome of a request at an upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum HealthEvent {
    /// The upstream answered successfully.
    Good,
    /// The upstream accepted the request; its answer has begun.
    Accepted,
    /// The upstream reported an internal failure.
    Failed,
    /// The upstream could not be reached, broke the connection off or timed out.
    Lost,
    /// The upstream rejected the request without executing it.
    Refused,
}

/// Circuit breaker state of one upstream.
#[derive(Debug, Clone, Default)]
pub struct Health {
    consecutive_failures: u32,
    failure_rate: f64,
    ejection: Duration,
    ejected_until: Duration,
    paused_until: Duration,
    // Whether the upstream has accepted no request since its pause.
    on_probation: bool,
    trial_in_flight: bool,
}

impl Health {
    /// Records the outcome of a request. Returns whether it ejects the upstream.
    pub fn record(&mut self, now: Duration, event: HealthEvent) -> bool {
        if event == HealthEvent::Accepted {
            self.on_probation &= !self.trial_in_flight;
            return false;
        }
        let was_trial = std::mem::take(&mut self.trial_in_flight);
        if event == HealthEvent::Good {
            self.consecutive_failures = 0;
            self.failure_rate *= 1.0 - OUTCOME_WEIGHT;
            if self.failure_rate < MAX_FAILURE_RATE / 2.0 {
                self.ejection = Duration::ZERO;
            }
            return false;
        }
        // A lost request counts as two failures.
        let weight = if event == HealthEvent::Lost { 2.0 } else { 1.0 };
        self.failure_rate += OUTCOME_WEIGHT * weight * (1.0 - self.failure_rate);
        self.consecutive_failures += weight as u32;
        let must_eject =
            self.consecutive_failures >= MAX_CONSECUTIVE_FAILURES || self.failure_rate >= MAX_FAILURE_RATE || was_trial;
        if !must_eject || now < self.ejected_until {
            return false;
        }
        self.ejection = (self.ejection * 2).clamp(MIN_EJECTION, MAX_EJECTION);
        self.ejected_until = now + self.ejection;
        true
    }

    /// Records that the upstream asked for a pause, which is limited to [`MAX_PAUSE`]. Returns whether one begins; a
    /// pause in progress is only ever extended.
    pub fn pause(&mut self, now: Duration, delay: Duration) -> bool {
        let was_paused = self.is_paused(now);
        self.paused_until = self.paused_until.max(now + delay.min(MAX_PAUSE));
        let begins = !was_paused && self.is_paused(now);
        self.on_probation |= begins;
        begins
    }

    /// Whether the upstream asked for a pause that is not over.
    #[must_use]
    pub fn is_paused(&self, now: Duration) -> bool {
        now < self.paused_until
    }

    /// Time left of the pause that the upstream asked for; zero if it is over.
    #[must_use]
    pub fn pause_left(&self, now: Duration) -> Duration {
        self.paused_until.saturating_sub(now)
    }

    /// Whether the upstream may receive a new request: it is neither ejected nor paused, or that period is over and no
    /// trial request is in flight.
    #[must_use]
    pub fn is_available(&self, now: Duration) -> bool {
        self.has_no_trials() || (self.may_try(now) && !self.trial_in_flight)
    }

    /// Records that a request is sent. After an ejection period or a pause it becomes the only trial request. Returns
    /// whether it is the first one after a pause.
    pub fn record_send(&mut self, now: Duration) -> bool {
        if self.has_no_trials() || !self.may_try(now) {
            return false;
        }
        let is_first = self.on_probation && !self.trial_in_flight;
        self.trial_in_flight = true;
        is_first
    }

    fn has_no_trials(&self) -> bool {
        self.ejection.is_zero() && !self.on_probation
    }

    fn may_try(&self, now: Duration) -> bool {
        now >= self.ejected_until && !self.is_paused(now)
    }

    /// Records that the trial request ended without an outcome, which permits another one.
    pub fn clear_trial(&mut self) {
        self.trial_in_flight = false;
    }

    /// Exponential moving average of the failure rate.
    #[must_use]
    pub fn failure_rate(&self) -> f64 {
        self.failure_rate
    }
}
