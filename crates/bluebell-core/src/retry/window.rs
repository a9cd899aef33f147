//! The retry budget that all entries share: in any window of time, arrivals beyond the first of each request stay
//! below a share of the requests and a fixed allowance. Each entry keeps to the share of its own requests and to its
//! part of the allowance, so the sum keeps to the whole without a word between them. What a process spent is forgotten
//! with it, so the one that follows has little of the allowance for the length of a window.

use std::{collections::VecDeque, time::Duration};

/// Part of the declared ratio and allowance that is used, for requests that reach an upstream in another window than
/// they reached the entry.
const SAFETY: f64 = 0.9;
/// Part of its share of the allowance that a process has in the first window after its start: with the margin above, an
/// entry may start anew several times within a window.
const START_PART: f64 = 0.125;
/// Part of the budget that steps to a larger model leave for failures.
const RESERVED: f64 = 0.2;

/// The declared limit.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RetryLimit {
    /// Retries for each request.
    pub ratio: f64,
    /// Retries beyond those.
    pub slack: f64,
    /// Time over which both are counted.
    pub window: Duration,
}

/// Requests and retries of one service at one entry over the last window.
#[derive(Debug, Default)]
pub struct RetryWindow {
    // When the process started.
    started: Duration,
    requests: VecDeque<Duration>,
    retries: VecDeque<Duration>,
}

impl RetryWindow {
    /// The window of a process that started at a time.
    #[must_use]
    pub fn started(at: Duration) -> Self {
        Self { started: at, ..Self::default() }
    }

    /// Counts a request.
    pub fn request(&mut self, now: Duration) {
        self.requests.push_back(now);
    }

    /// Spends a retry after a failure, if there is one.
    pub fn retry(&mut self, now: Duration, limit: &RetryLimit, entries: usize) -> bool {
        self.take(now, limit, entries, 1.0)
    }

    /// Spends a retry on a larger model, if enough are left for failures.
    pub fn escalate(&mut self, now: Duration, limit: &RetryLimit, entries: usize) -> bool {
        self.take(now, limit, entries, 1.0 - RESERVED)
    }

    /// Whether a step to a larger model would be allowed now.
    pub fn may_escalate(&mut self, now: Duration, limit: &RetryLimit, entries: usize) -> bool {
        self.has_room(now, limit, entries, 1.0 - RESERVED)
    }

    /// Retries left.
    pub fn left(&mut self, now: Duration, limit: &RetryLimit, entries: usize) -> f64 {
        self.forget(now, limit.window);
        self.allowed(now, limit, entries) - self.retries.len() as f64
    }

    fn has_room(&mut self, now: Duration, limit: &RetryLimit, entries: usize, part: f64) -> bool {
        self.forget(now, limit.window);
        self.retries.len() as f64 + 1.0 <= self.allowed(now, limit, entries) * part
    }

    fn take(&mut self, now: Duration, limit: &RetryLimit, entries: usize, part: f64) -> bool {
        let has_room = self.has_room(now, limit, entries, part);
        if has_room {
            self.retries.push_back(now);
        }
        has_room
    }

    fn allowed(&self, now: Duration, limit: &RetryLimit, entries: usize) -> f64 {
        // The process that was here before may have spent its part of the allowance just before it ended.
        let part = if now < self.started + limit.window { START_PART } else { 1.0 };
        let shared = part * limit.slack / entries.max(1) as f64;
        SAFETY * (limit.ratio * self.requests.len() as f64 + shared)
    }

    fn forget(&mut self, now: Duration, window: Duration) {
        for queue in [&mut self.requests, &mut self.retries] {
            while queue.front().is_some_and(|at| *at + window < now) {
                queue.pop_front();
            }
        }
    }
}
