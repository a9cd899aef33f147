//! Estimated load of one upstream: the requests of this gateway, plus the load of other callers as last reported by the
//! upstream or by other gateways.

use std::time::Duration;

use crate::units::{Slowdown, Tokens};

/// Half-life of the weight of reports about the load of other callers.
const REPORT_HALF_LIFE: Duration = Duration::from_millis(700);

/// Half-life of the average number of requests. Shorter, single long streams would decide it; longer, requests would keep
/// away from an upstream for seconds after it has become idle.
const AVERAGE_HALF_LIFE: Duration = Duration::from_millis(2000);

/// Load that an upstream reports about itself.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Report {
    /// Requests being processed.
    pub running: u32,
    /// Queued requests.
    pub waiting: u32,
    /// Maximum number of requests processed concurrently.
    pub slots: u32,
    /// How much longer than usual work takes on its machine at this moment, if it says so.
    pub slowdown: Option<Slowdown>,
}

/// Estimated load of one upstream at a moment, by all callers.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct LoadEstimate {
    /// Requests.
    pub requests: f64,
    /// Prompt tokens that wait for prefill.
    pub pending_prefill: f64,
    /// Average number of requests over the last seconds.
    pub average: f64,
}

/// Estimated load of one upstream.
#[derive(Debug, Clone, Default)]
pub struct Load {
    own_requests: u32,
    pending_prefill: u64,
    other_requests: f64,
    other_pending_prefill: u64,
    reported_at: Duration,
    average: f64,
    averaged_at: Duration,
}

impl Load {
    /// Records a request that was sent; `pending_prefill` is its number of prompt tokens that need prefill.
    pub fn start_request(&mut self, pending_prefill: Tokens) {
        self.own_requests += 1;
        self.pending_prefill += pending_prefill.0;
    }

    /// Records that the prefill of a request is complete, because the first part of its answer arrived.
    pub fn finish_prefill(&mut self, pending_prefill: Tokens) {
        self.pending_prefill = self.pending_prefill.saturating_sub(pending_prefill.0);
    }

    /// Records that a request ended.
    pub fn finish_request(&mut self) {
        self.own_requests = self.own_requests.saturating_sub(1);
    }

    /// Applies a load report of the upstream.
    pub fn apply_report(&mut self, now: Duration, report: Report) {
        self.update_average(now);
        let total = report.running.saturating_add(report.waiting);
        self.other_requests = f64::from(total.saturating_sub(self.own_requests));
        self.reported_at = now;
    }

    /// Applies the load that the other gateways together have at the upstream.
    pub fn apply_peer_load(&mut self, now: Duration, requests: u32, pending_prefill: Tokens) {
        self.update_average(now);
        self.other_requests = f64::from(requests);
        self.other_pending_prefill = pending_prefill.0;
        self.reported_at = now;
    }

    /// Requests in flight from this gateway.
    #[must_use]
    pub fn own_requests(&self) -> u32 {
        self.own_requests
    }

    /// Prompt tokens of this gateway's requests that wait for prefill.
    #[must_use]
    pub fn own_pending_prefill(&self) -> Tokens {
        Tokens(self.pending_prefill)
    }

    /// Estimated requests of all callers.
    #[must_use]
    pub fn requests(&self, now: Duration) -> f64 {
        f64::from(self.own_requests) + self.other_requests * self.report_weight(now)
    }

    /// Estimated prompt tokens of all callers that wait for prefill.
    #[must_use]
    pub fn pending_prefill(&self, now: Duration) -> f64 {
        self.pending_prefill as f64 + self.other_pending_prefill as f64 * self.report_weight(now)
    }

    /// Estimates that a choice needs. Cheaper than each of them alone, as the age of the last report is weighed once.
    #[must_use]
    pub fn estimate(&self, now: Duration) -> LoadEstimate {
        let reported = self.report_weight(now);
        let requests = f64::from(self.own_requests) + self.other_requests * reported;
        let pending_prefill = self.pending_prefill as f64 + self.other_pending_prefill as f64 * reported;
        let age = now.saturating_sub(self.averaged_at).as_secs_f64();
        let weight = (-age / AVERAGE_HALF_LIFE.as_secs_f64()).exp2();
        let average = weight * self.average + (1.0 - weight) * requests;
        LoadEstimate { requests, pending_prefill, average }
    }

    // The estimate before a new report stands for the time since the one before it.
    fn update_average(&mut self, now: Duration) {
        self.average = self.estimate(now).average;
        self.averaged_at = self.averaged_at.max(now);
    }

    fn report_weight(&self, now: Duration) -> f64 {
        let age = now.saturating_sub(self.reported_at).as_secs_f64();
        0.5f64.powf(age / REPORT_HALF_LIFE.as_secs_f64())
    }
}
