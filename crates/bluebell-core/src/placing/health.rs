//! Health of one upstream by what its answers show. Failures in a row take it out of use for a time that doubles;
//! afterwards single requests try it again.

use std::time::Duration;

/// Time for which an upstream is left out after it failed.
const FIRST_PAUSE: Duration = Duration::from_millis(500);
/// Longest time for which an upstream is left out.
const MAX_PAUSE: Duration = Duration::from_secs(8);
/// Failures in a row that take an upstream out of use.
const FAILURES_IN_ROW: u32 = 3;
/// Share of failures that takes an upstream out of use.
const FAILING_SHARE: f64 = 0.4;
/// Weight of one more answer in the share of failures.
const SHARE_WEIGHT: f64 = 0.05;

/// What an upstream's answer shows.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum HealthEvent {
    /// A good answer.
    Good,
    /// It reported a failure of its own.
    Failed,
    /// It could not be reached, broke off or stayed silent.
    Lost,
    /// It refused the request without running it.
    Refused,
}

/// Health of one upstream.
#[derive(Debug, Clone, Default)]
pub struct Health {
    in_row: u32,
    failing: f64,
    pause: Duration,
    until: Duration,
    trying: bool,
}

impl Health {
    /// Takes what an answer shows; tells whether the upstream goes out of use now.
    pub fn note(&mut self, now: Duration, event: HealthEvent) -> bool {
        let was_trying = std::mem::take(&mut self.trying);
        if event == HealthEvent::Good {
            self.in_row = 0;
            self.failing *= 1.0 - SHARE_WEIGHT;
            if self.failing < FAILING_SHARE / 2.0 {
                self.pause = Duration::ZERO;
            }
            return false;
        }
        let weight = if event == HealthEvent::Lost { 2.0 } else { 1.0 };
        self.failing += SHARE_WEIGHT * weight * (1.0 - self.failing);
        self.in_row += weight as u32;
        let out = self.in_row >= FAILURES_IN_ROW || self.failing >= FAILING_SHARE || was_trying;
        if !out || now < self.until {
            return false;
        }
        self.pause = (self.pause * 2).clamp(FIRST_PAUSE, MAX_PAUSE);
        self.until = now + self.pause;
        true
    }

    /// Whether new work may go there.
    #[must_use]
    pub fn is_open(&self, now: Duration) -> bool {
        self.pause.is_zero() || (now >= self.until && !self.trying)
    }

    /// A request goes there; while the upstream is on trial, it is the only one.
    pub fn begin(&mut self, now: Duration) {
        if !self.pause.is_zero() && now >= self.until {
            self.trying = true;
        }
    }

    /// The only request on trial ended without showing anything.
    pub fn end(&mut self) {
        self.trying = false;
    }

    /// Share of failures, recent ones weighing most.
    #[must_use]
    pub fn failing(&self) -> f64 {
        self.failing
    }
}
