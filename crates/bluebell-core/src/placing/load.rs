//! Estimated load of one upstream: the requests of this gateway, plus the load of other callers as last reported by the
//! upstream or by other gateways.

use std::time::Duration;

use crate::units::Tokens;

/// Half-life of the weight of reports about the load of other callers.
const REPORT_HALF_LIFE: Duration = Duration::from_millis(700);

/// Load that an upstream reports about itself.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Report {
    /// Requests being processed.
    pub running: u32,
    /// Queued requests.
    pub waiting: u32,
    /// Maximum number of requests processed concurrently.
    pub slots: u32,
}

/// Estimated load of one upstream.
#[derive(Debug, Clone, Default)]
pub struct Load {
    own: u32,
    unread: u64,
    other_requests: f64,
    other_unread: u64,
    reported_at: Duration,
}

impl Load {
    /// Records a request that was sent; `unread` is its number of prompt tokens that need prefill.
    pub fn begin(&mut self, unread: Tokens) {
        self.own += 1;
        self.unread += unread.0;
    }

    /// Records that the prefill of a request is complete, because the first part of its answer arrived.
    pub fn read(&mut self, unread: Tokens) {
        self.unread = self.unread.saturating_sub(unread.0);
    }

    /// Records that a request ended.
    pub fn end(&mut self) {
        self.own = self.own.saturating_sub(1);
    }

    /// Applies a load report of the upstream.
    pub fn report(&mut self, now: Duration, report: Report) {
        let total = report.running + report.waiting;
        self.other_requests = f64::from(total.saturating_sub(self.own));
        self.reported_at = now;
    }

    /// Applies the load that the other gateways together have at the upstream.
    pub fn peers(&mut self, now: Duration, requests: u32, unread: Tokens) {
        self.other_requests = f64::from(requests);
        self.other_unread = unread.0;
        self.reported_at = now;
    }

    /// Requests in flight from this gateway.
    #[must_use]
    pub fn own(&self) -> u32 {
        self.own
    }

    /// Prompt tokens of this gateway's requests that wait for prefill.
    #[must_use]
    pub fn own_unread(&self) -> Tokens {
        Tokens(self.unread)
    }

    /// Estimated requests of all callers.
    #[must_use]
    pub fn requests(&self, now: Duration) -> f64 {
        f64::from(self.own) + self.other_requests * self.report_weight(now)
    }

    /// Estimated prompt tokens of all callers that wait for prefill.
    #[must_use]
    pub fn unread(&self, now: Duration) -> f64 {
        self.unread as f64 + self.other_unread as f64 * self.report_weight(now)
    }

    fn report_weight(&self, now: Duration) -> f64 {
        let age = now.saturating_sub(self.reported_at).as_secs_f64();
        0.5f64.powf(age / REPORT_HALF_LIFE.as_secs_f64())
    }
}
