//! Retry budget shared by all gateways. In any time window, the number of retries that reach upstreams stays below a
//! ratio of the requests plus a fixed slack. Each gateway limits itself to the ratio of its own requests plus an equal
//! part of the slack, so the sum stays within the limit without coordination. The count of spent retries is lost when a
//! process ends, so its successor gets only a small part of the slack during its first window.

use std::{collections::VecDeque, time::Duration};

/// Fraction of the configured limit that is used. The margin covers requests that reach the upstream in a later window
/// than the one in which they reached the gateway.
const SAFETY_FACTOR: f64 = 0.9;
/// Fraction of its part of the slack that a process may use in the first window after its start. Together with the
/// safety margin, this lets a gateway restart several times within a window.
const STARTUP_FRACTION: f64 = 0.125;
/// Fraction of the budget that escalations to a larger model leave for retries after failures.
const FAILURE_RESERVE: f64 = 0.2;

/// Configured limit on retries within a time window.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RetryLimit {
    /// Retries permitted per request.
    pub ratio: f64,
    /// Fixed number of retries permitted in addition, over all gateways.
    pub slack: f64,
    /// Length of the sliding window.
    pub window: Duration,
}

/// Sliding window over the requests and retries of one service at one gateway.
#[derive(Debug, Default)]
pub struct RetryWindow {
    started: Duration,
    requests: VecDeque<Duration>,
    retries: VecDeque<Duration>,
}

impl RetryWindow {
    /// Creates the window of a process that started at the given time.
    #[must_use]
    pub fn started(at: Duration) -> Self {
        Self { started: at, ..Self::default() }
    }

    /// Records a request.
    pub fn request(&mut self, now: Duration) {
        self.requests.push_back(now);
    }

    /// Spends a retry after a failure. Returns false if the budget is exhausted.
    pub fn retry(&mut self, now: Duration, limit: &RetryLimit, gateways: usize) -> bool {
        self.take(now, limit, gateways, 1.0)
    }

    /// Whether `retry` would succeed now.
    pub fn may_retry(&mut self, now: Duration, limit: &RetryLimit, gateways: usize) -> bool {
        self.has_room(now, limit, gateways, 1.0)
    }

    /// Spends a retry on an escalation to a larger model. Returns false if that would use the part of the budget that
    /// is reserved for failures.
    pub fn escalate(&mut self, now: Duration, limit: &RetryLimit, gateways: usize) -> bool {
        self.take(now, limit, gateways, 1.0 - FAILURE_RESERVE)
    }

    /// Whether `escalate` would succeed now.
    pub fn may_escalate(&mut self, now: Duration, limit: &RetryLimit, gateways: usize) -> bool {
        self.has_room(now, limit, gateways, 1.0 - FAILURE_RESERVE)
    }

    /// Remaining retries; negative if the budget has shrunk since they were spent.
    pub fn left(&mut self, now: Duration, limit: &RetryLimit, gateways: usize) -> f64 {
        self.evict_expired(now, limit.window);
        self.allowed(now, limit, gateways) - self.retries.len() as f64
    }

    fn has_room(&mut self, now: Duration, limit: &RetryLimit, gateways: usize, fraction: f64) -> bool {
        self.evict_expired(now, limit.window);
        self.retries.len() as f64 + 1.0 <= self.allowed(now, limit, gateways) * fraction
    }

    fn take(&mut self, now: Duration, limit: &RetryLimit, gateways: usize, fraction: f64) -> bool {
        let has_room = self.has_room(now, limit, gateways, fraction);
        if has_room {
            self.retries.push_back(now);
        }
        has_room
    }

    fn allowed(&self, now: Duration, limit: &RetryLimit, gateways: usize) -> f64 {
        // The previous process of this instance may have spent its part of the slack just before it ended.
        let fraction = if now < self.started + limit.window { STARTUP_FRACTION } else { 1.0 };
        let slack = fraction * limit.slack / gateways.max(1) as f64;
        SAFETY_FACTOR * (limit.ratio * self.requests.len() as f64 + slack)
    }

    fn evict_expired(&mut self, now: Duration, window: Duration) {
        for queue in [&mut self.requests, &mut self.retries] {
            while queue.front().is_some_and(|at| *at + window < now) {
                queue.pop_front();
            }
        }
    }
}
