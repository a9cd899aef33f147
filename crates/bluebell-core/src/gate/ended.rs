//! Ids of attempts that have ended at this gate, kept so that a late or duplicated message can't start one again.

use std::{
    collections::{HashSet, VecDeque},
    time::Duration,
};

use crate::ids::AttemptId;

/// Retention period of an id.
pub const ID_RETENTION: Duration = Duration::from_secs(600);
/// Maximum number of ids kept; beyond it the oldest are evicted.
pub const MAX_IDS: usize = 100_000;

/// Bounded, time-limited set of ended attempt ids.
#[derive(Debug, Default)]
pub struct EndedAttempts {
    ids: HashSet<AttemptId>,
    order: VecDeque<(Duration, AttemptId)>,
}

impl EndedAttempts {
    /// Whether the id is among the retained ones.
    #[must_use]
    pub fn contains(&self, attempt: &AttemptId) -> bool {
        self.ids.contains(attempt)
    }

    /// Adds an id and evicts the ids that are expired or exceed the capacity. An id already present keeps its time.
    pub fn insert(&mut self, attempt: &AttemptId, now: Duration) {
        if self.ids.insert(attempt.clone()) {
            self.order.push_back((now, attempt.clone()));
        }
        let is_expired = |(ended_at, _): &(Duration, AttemptId)| now > *ended_at + ID_RETENTION;
        while self.order.len() > MAX_IDS || self.order.front().is_some_and(is_expired) {
            if let Some((_, oldest)) = self.order.pop_front() {
                self.ids.remove(&oldest);
            }
        }
    }
}
