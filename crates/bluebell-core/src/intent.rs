//! At-most-once execution of calls that may not be repeated.
//!
//! One row of the platform's table stands for each idempotency key of an organisation. It is inserted only if
//! absent, between the reservation of a place at a runner and the order to run. Whoever meets the row later either
//! returns the stored reply, waits, or asks the sidecar that holds the reservation what became of it.

use serde::{Deserialize, Serialize};

use crate::ids::{AttemptId, Incarnation, InstanceId, Permit};

/// Reply of a plain service, kept for repeated sends.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoredReply {
    /// HTTP status.
    pub status: u16,
    /// Media type of the body.
    pub content: String,
    /// Body, byte for byte.
    pub body: Vec<u8>,
}

/// Place reserved for an attempt.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Reservation {
    /// The attempt.
    pub attempt: AttemptId,
    /// Sidecar that reserved the place.
    pub sidecar: InstanceId,
    /// Start of that sidecar; a later one knows nothing of the reservation.
    pub incarnation: Incarnation,
    /// Number of the reservation.
    pub permit: Permit,
}

/// The row of an idempotency key.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct IntentRow {
    /// Digest of the request; another request under the same key is an error.
    pub digest: String,
    /// Latest attempt.
    pub reservation: Reservation,
    /// Reply, once known.
    pub reply: Option<StoredReply>,
}

/// What a sidecar says of an attempt that it once reserved.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Resolution {
    /// It did not run, and will not: the reservation is gone.
    NeverRan,
    /// It is running now.
    Running,
    /// It ran and gave this reply.
    Done(StoredReply),
    /// This incarnation can't tell.
    Unknown,
    /// A place is reserved for it, and the order to run may come any moment.
    Reserved,
}

/// What to do with a request whose key has a row already.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum IntentStep {
    /// The row is this attempt's own: give the order to run.
    Start,
    /// Answer with the stored reply.
    Reply(StoredReply),
    /// The key belongs to another request.
    Mismatch,
    /// Ask the sidecar of the earlier attempt.
    Resolve(Reservation),
}

/// Decides what a row found under the key means for an attempt.
#[must_use]
pub fn next_step(row: &IntentRow, digest: &str, own: &AttemptId) -> IntentStep {
    if row.digest != digest {
        return IntentStep::Mismatch;
    }
    if let Some(reply) = &row.reply {
        return IntentStep::Reply(reply.clone());
    }
    if row.reservation.attempt == *own {
        return IntentStep::Start;
    }
    IntentStep::Resolve(row.reservation.clone())
}

/// What follows from a sidecar's word on an earlier attempt.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ResolvedStep {
    /// Replace the row by one's own, on condition that it has not moved.
    TakeOver,
    /// Answer with this reply and store it.
    Reply(StoredReply),
    /// Answer that the outcome is not known yet.
    Wait,
    /// Answer that the outcome can't be known.
    Unknown,
}

/// Decides from the sidecar's word, or its silence, what may be done.
#[must_use]
pub fn resolved_step(word: Option<Resolution>) -> ResolvedStep {
    match word {
        Some(Resolution::NeverRan) => ResolvedStep::TakeOver,
        Some(Resolution::Done(reply)) => ResolvedStep::Reply(reply),
        Some(Resolution::Running | Resolution::Reserved) | None => ResolvedStep::Wait,
        Some(Resolution::Unknown) => ResolvedStep::Unknown,
    }
}
