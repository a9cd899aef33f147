//! Circuit breaker of one upstream, driven by the outcome of its requests. Consecutive failures, or a high failure
//! rate, eject the upstream for a period that doubles each time; afterwards single trial requests probe it.

use std::time::Duration;

/// Ejection period after the first ejection.
const MIN_EJECTION: Duration = Duration::from_millis(500);
/// Upper bound of the ejection period.
const MAX_EJECTION: Duration = Duration::from_secs(8);
/// Consecutive failures that eject an upstream.
const MAX_CONSECUTIVE_FAILURES: u32 = 3;
/// Failure rate that ejects an upstream.
const MAX_FAILURE_RATE: f64 = 0.4;
/// Weight of one outcome in the moving average of the failure rate.
const OUTCOME_WEIGHT: f64 = 0.05;

/// Outcome of a request at an upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum HealthEvent {
    /// The upstream answered successfully.
    Good,
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
    trial_in_flight: bool,
}

impl Health {
    /// Records the outcome of a request. Returns whether it ejects the upstream.
    pub fn record(&mut self, now: Duration, event: HealthEvent) -> bool {
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

    /// Whether the upstream may receive a new request: it is not ejected, or its ejection period is over and no trial
    /// request is in flight.
    #[must_use]
    pub fn is_available(&self, now: Duration) -> bool {
        self.ejection.is_zero() || (now >= self.ejected_until && !self.trial_in_flight)
    }

    /// Records that a request is sent. After an ejection period it becomes the only trial request.
    pub fn record_send(&mut self, now: Duration) {
        if !self.ejection.is_zero() && now >= self.ejected_until {
            self.trial_in_flight = true;
        }
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
