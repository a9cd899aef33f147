//! State of the two-step calls at a sidecar: a slot is reserved first, and the call runs only after a separate start
//! message. The registry decides the race between that start message and a query from another sender that cancels the
//! reservation: whichever is handled first wins.

use std::time::Duration;

use indexmap::IndexMap;

use crate::{
    ids::AttemptId,
    intent::{Resolution, StoredReply},
};

/// Time for which the state of a call is kept.
pub const RETENTION: Duration = Duration::from_secs(3600);
/// Time within which a reserved call is expected to be started; a query doesn't cancel the reservation sooner.
pub const START_TIMEOUT: Duration = Duration::from_secs(2);

#[derive(Debug, Clone)]
enum CallState {
    Reserved,
    Cancelled,
    Running,
    Done(StoredReply),
    Unknown,
}

#[derive(Debug)]
struct CallEntry {
    state: CallState,
    since: Duration,
}

/// Registry of the two-step calls of a sidecar.
#[derive(Debug, Default)]
pub struct CallRegistry(IndexMap<AttemptId, CallEntry>);

impl CallRegistry {
    fn set(&mut self, attempt: &AttemptId, state: CallState, now: Duration) {
        let expired = self.0.values().take_while(|entry| now > entry.since + RETENTION).count();
        self.0.drain(..expired);
        self.0.insert(attempt.clone(), CallEntry { state, since: now });
    }

    /// Records that a slot was reserved for the call.
    pub fn reserve(&mut self, attempt: &AttemptId, now: Duration) {
        self.set(attempt, CallState::Reserved, now);
    }

    /// Handles the start message and returns whether the call may run; only a call whose reservation still stands may.
    pub fn start(&mut self, attempt: &AttemptId) -> bool {
        let Some(entry) = self.0.get_mut(attempt) else { return false };
        let may_run = matches!(entry.state, CallState::Reserved);
        if may_run {
            entry.state = CallState::Running;
        }
        may_run
    }

    /// Cancels a reservation whose start message is no longer awaited. A call that was already started is left
    /// unchanged.
    pub fn cancel(&mut self, attempt: &AttemptId, now: Duration) {
        let started = |entry: &CallEntry| !matches!(entry.state, CallState::Reserved | CallState::Cancelled);
        if !self.0.get(attempt).is_some_and(started) {
            self.set(attempt, CallState::Cancelled, now);
        }
    }

    /// Records that the call certainly did not run, even if its start message was received.
    pub fn mark_not_run(&mut self, attempt: &AttemptId, now: Duration) {
        self.set(attempt, CallState::Cancelled, now);
    }

    /// Records that the call ended; without a reply its outcome is unknown.
    pub fn finish(&mut self, attempt: &AttemptId, reply: Option<StoredReply>, now: Duration) {
        self.set(attempt, reply.map_or(CallState::Unknown, CallState::Done), now);
    }

    /// Returns the state of a call, and cancels its reservation if the start message is overdue. If a query cancelled
    /// reservations at once, concurrent senders of the same call could cancel each other's reservations for ever.
    pub fn resolve(&mut self, attempt: &AttemptId, now: Duration) -> Resolution {
        let Some(entry) = self.0.get_mut(attempt) else { return Resolution::Unknown };
        match &entry.state {
            CallState::Reserved if now < entry.since + START_TIMEOUT => Resolution::Reserved,
            CallState::Reserved | CallState::Cancelled => {
                entry.state = CallState::Cancelled;
                Resolution::NeverRan
            }
            CallState::Running => Resolution::Running,
            CallState::Done(reply) => Resolution::Done(reply.clone()),
            CallState::Unknown => Resolution::Unknown,
        }
    }
}
