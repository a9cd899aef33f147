//! Guard for a request in flight. It counts towards the organisation's concurrency limit, and towards the active
//! requests that a graceful shutdown waits for.

use std::{sync::Arc, time::Duration};

use bluebell_core::{ids::OrgId, units::Priority};

use super::{
    auth::Caller,
    request_error::{NotReadySnafu, RequestError, TooManyRequestsSnafu},
    state::{Entry, lock},
};
use crate::metrics::Outcome;

/// A request in flight. Dropping it releases its place and records its outcome in the metrics.
pub struct ActiveRequest {
    entry: Arc<Entry>,
    org: OrgId,
    priority: Priority,
    admitted_at: Duration,
    outcome: Outcome,
    first_token_recorded: bool,
}

impl ActiveRequest {
    /// Admits a request.
    ///
    /// # Errors
    /// If the organisation has too many requests in flight, or billing rows can't be stored.
    pub fn admit(entry: &Arc<Entry>, caller: &Caller, priority: Priority) -> Result<Self, RequestError> {
        if entry.shared.billing_full.load(std::sync::atomic::Ordering::Relaxed) {
            return NotReadySnafu { reason: "billing rows can't be stored" }.fail();
        }
        let limit = caller.policy.limits.in_flight;
        let mut in_flight = lock(&entry.in_flight_by_org);
        let count = in_flight.entry(caller.org.clone()).or_default();
        if *count >= limit {
            return TooManyRequestsSnafu { limit }.fail();
        }
        *count += 1;
        drop(in_flight);
        entry.active_work.send_modify(|count| *count += 1);
        Ok(Self {
            admitted_at: entry.shared.clock.now(),
            entry: Arc::clone(entry),
            org: caller.org.clone(),
            priority,
            outcome: Outcome::Abandoned,
            first_token_recorded: false,
        })
    }

    pub fn entry(&self) -> &Arc<Entry> {
        &self.entry
    }

    /// Time since the request was admitted.
    pub fn elapsed(&self) -> Duration {
        self.entry.shared.clock.now().saturating_sub(self.admitted_at)
    }

    /// Records the time to first token; only the first call has an effect.
    pub fn record_first_token(&mut self) {
        if !self.first_token_recorded {
            self.first_token_recorded = true;
            self.entry.shared.metrics.record_first_token(&self.org, self.priority, self.elapsed());
        }
    }

    /// Sets the outcome to record. Without it, the request counts as abandoned by the caller.
    pub fn set_outcome(&mut self, outcome: Outcome) {
        self.outcome = outcome;
    }
}

impl Drop for ActiveRequest {
    fn drop(&mut self) {
        self.entry.shared.metrics.record_request(&self.org, self.priority, self.outcome, self.elapsed());
        let mut in_flight = lock(&self.entry.in_flight_by_org);
        if let Some(count) = in_flight.get_mut(&self.org) {
            *count -= 1;
            if *count == 0 {
                in_flight.remove(&self.org);
            }
        }
        drop(in_flight);
        self.entry.active_work.send_modify(|count| *count -= 1);
    }
}
