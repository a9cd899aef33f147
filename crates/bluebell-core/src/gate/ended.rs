//! Ids of attempts that ended here, so that a message which comes late or twice starts nothing.

use std::{
    collections::{HashSet, VecDeque},
    time::Duration,
};

use crate::ids::AttemptId;

/// Time for which an id is remembered.
pub const MEMORY: Duration = Duration::from_secs(600);
/// Ids remembered at most.
pub const MOST_IDS: usize = 100_000;

/// Ids of attempts that ended here.
#[derive(Debug, Default)]
pub struct Ended {
    ids: HashSet<AttemptId>,
    order: VecDeque<(Duration, AttemptId)>,
}

impl Ended {
    /// Whether an attempt ended here.
    #[must_use]
    pub fn contains(&self, attempt: &AttemptId) -> bool {
        self.ids.contains(attempt)
    }

    /// Remembers an attempt, and forgets what is old.
    pub fn insert(&mut self, attempt: &AttemptId, now: Duration) {
        if self.ids.insert(attempt.clone()) {
            self.order.push_back((now, attempt.clone()));
        }
        let old = |(since, _): &(Duration, AttemptId)| now > *since + MEMORY;
        while self.order.len() > MOST_IDS || self.order.front().is_some_and(old) {
            if let Some((_, oldest)) = self.order.pop_front() {
                self.ids.remove(&oldest);
            }
        }
    }
}
