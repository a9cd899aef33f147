//! Prompt parts of requests that were answered, which speaks against their having caused a crash soon after.
//!
//! An answer excuses a part from the first event after it only, because a part may start to crash upstreams, for example
//! with a new release.

use std::time::Duration;

use indexmap::IndexMap;

use super::{Fingerprint, verdict::EVENT_DURATION};

/// Time for which an answer excuses a part.
pub(super) const RETENTION: Duration = Duration::from_secs(300);
/// Maximum number of parts that are remembered.
const MAX_PARTS: usize = 4096;

#[derive(Debug)]
struct PartAnswer {
    at: Duration,
    // Start of the event from which the part was excused.
    event_start: Option<Duration>,
}

/// Parts of answered requests, from least to most recently answered.
#[derive(Debug, Default)]
pub(super) struct PartAnswers(IndexMap<Fingerprint, PartAnswer>);

impl PartAnswers {
    /// Records a complete answer to a request with the part.
    pub(super) fn record(&mut self, now: Duration, part: Fingerprint) {
        self.0.shift_remove(&part);
        self.0.insert(part, PartAnswer { at: now, event_start: None });
    }

    /// Whether an answer within the given time, at most [`RETENTION`], excuses the part from a crash that is reported now.
    pub(super) fn excuse(&mut self, now: Duration, part: &Fingerprint, within: Duration) -> bool {
        let Some(answer) = self.0.get_mut(part).filter(|answer| now < answer.at + within) else { return false };
        let event_start = *answer.event_start.get_or_insert(now);
        now < event_start + EVENT_DURATION
    }

    /// Removes parts whose retention time is over or that exceed the maximum.
    pub(super) fn expire(&mut self, now: Duration) {
        let old = self.0.values().take_while(|answer| now >= answer.at + RETENTION).count();
        let surplus = self.0.len().saturating_sub(MAX_PARTS);
        self.0.drain(..old.max(surplus));
    }
}
