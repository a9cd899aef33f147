//! What became of calls that run only on a second order. The register decides between the order to run and a
//! question that closes the attempt: only one of them comes first.

use std::time::Duration;

use indexmap::IndexMap;

use crate::{
    ids::AttemptId,
    intent::{Resolution, StoredReply},
};

/// Time for which the fate of a call is remembered.
pub const MEMORY: Duration = Duration::from_secs(3600);
/// Time in which the order for a reserved place is expected; a question doesn't close the place sooner.
pub const ORDER_TIME: Duration = Duration::from_secs(2);

#[derive(Debug, Clone)]
enum Fate {
    Reserved,
    Closed,
    Running,
    Done(StoredReply),
    Unknown,
}

#[derive(Debug)]
struct Known {
    fate: Fate,
    since: Duration,
}

/// Calls that run only on a second order.
#[derive(Debug, Default)]
pub struct CallRegistry(IndexMap<AttemptId, Known>);

impl CallRegistry {
    fn set(&mut self, attempt: &AttemptId, fate: Fate, now: Duration) {
        let old = self.0.values().take_while(|known| now > known.since + MEMORY).count();
        self.0.drain(..old);
        self.0.insert(attempt.clone(), Known { fate, since: now });
    }

    /// A place was reserved.
    pub fn reserve(&mut self, attempt: &AttemptId, now: Duration) {
        self.set(attempt, Fate::Reserved, now);
    }

    /// The order to run came; tells whether it may be followed.
    pub fn start(&mut self, attempt: &AttemptId) -> bool {
        let Some(known) = self.0.get_mut(attempt) else { return false };
        let may = matches!(known.fate, Fate::Reserved);
        if may {
            known.fate = Fate::Running;
        }
        may
    }

    /// Nobody waits for the order any more; a call that got it already is left as it is.
    pub fn cancel(&mut self, attempt: &AttemptId, now: Duration) {
        let ordered = |known: &Known| !matches!(known.fate, Fate::Reserved | Fate::Closed);
        if !self.0.get(attempt).is_some_and(ordered) {
            self.set(attempt, Fate::Closed, now);
        }
    }

    /// It is certain that the call did not run, although it may have got its order.
    pub fn mark_not_run(&mut self, attempt: &AttemptId, now: Duration) {
        self.set(attempt, Fate::Closed, now);
    }

    /// The call ended with a reply, or nobody can tell.
    pub fn finish(&mut self, attempt: &AttemptId, reply: Option<StoredReply>, now: Duration) {
        self.set(attempt, reply.map_or(Fate::Unknown, Fate::Done), now);
    }

    /// What became of a call. The question closes one whose order is overdue; closed at once, senders of the same call
    /// could close each other's places for ever.
    pub fn resolve(&mut self, attempt: &AttemptId, now: Duration) -> Resolution {
        let Some(known) = self.0.get_mut(attempt) else { return Resolution::Unknown };
        match &known.fate {
            Fate::Reserved if now < known.since + ORDER_TIME => Resolution::Reserved,
            Fate::Reserved | Fate::Closed => {
                known.fate = Fate::Closed;
                Resolution::NeverRan
            }
            Fate::Running => Resolution::Running,
            Fate::Done(reply) => Resolution::Done(reply.clone()),
            Fate::Unknown => Resolution::Unknown,
        }
    }
}
