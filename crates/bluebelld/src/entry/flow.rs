//! What each request holds while it is worked on: a place among the organisation's requests, and its share of the
//! count that a planned stop waits for.

use std::{sync::Arc, time::Duration};

use bluebell_core::{ids::OrgId, units::Priority};

use super::{
    auth::Caller,
    fault::{Fault, NotReadySnafu, TooManySnafu},
    state::{Entry, lock},
};
use crate::metrics::Outcome;

/// A request under way; its outcome is counted when it is dropped.
pub struct Flow {
    entry: Arc<Entry>,
    org: OrgId,
    priority: Priority,
    begun: Duration,
    outcome: Outcome,
    first: bool,
}

impl Flow {
    /// Takes a request on.
    ///
    /// # Errors
    /// When the organisation has too many requests in flight, or the entry can't take work.
    pub fn begin(entry: &Arc<Entry>, caller: &Caller, priority: Priority) -> Result<Self, Fault> {
        if entry.shared.billing_full.load(std::sync::atomic::Ordering::Relaxed) {
            return NotReadySnafu { reason: "billing rows can't be stored" }.fail();
        }
        let limit = caller.policy.limits.in_flight;
        let mut in_flight = lock(&entry.in_flight);
        let count = in_flight.entry(caller.org.clone()).or_default();
        if *count >= limit {
            return TooManySnafu { limit }.fail();
        }
        *count += 1;
        drop(in_flight);
        entry.working.send_modify(|count| *count += 1);
        Ok(Self {
            begun: entry.shared.clock.now(),
            entry: Arc::clone(entry),
            org: caller.org.clone(),
            priority,
            outcome: Outcome::Abandoned,
            first: false,
        })
    }

    /// The entry.
    pub fn entry(&self) -> &Arc<Entry> {
        &self.entry
    }

    /// Time since the request came.
    pub fn age(&self) -> Duration {
        self.entry.shared.clock.now().saturating_sub(self.begun)
    }

    /// Takes note of the first token.
    pub fn first_token(&mut self) {
        if !self.first {
            self.first = true;
            self.entry.shared.metrics.first_token(&self.org, self.priority, self.age());
        }
    }

    /// Takes note of how the request ended.
    pub fn end(&mut self, outcome: Outcome) {
        self.outcome = outcome;
    }
}

impl Drop for Flow {
    fn drop(&mut self) {
        self.entry.shared.metrics.request(&self.org, self.priority, self.outcome, self.age());
        let mut in_flight = lock(&self.entry.in_flight);
        if let Some(count) = in_flight.get_mut(&self.org) {
            *count -= 1;
            if *count == 0 {
                in_flight.remove(&self.org);
            }
        }
        drop(in_flight);
        self.entry.working.send_modify(|count| *count -= 1);
    }
}
