//! At-most-once execution of non-idempotent calls.
//!
//! Each idempotency key of an organisation has one intent row in the platform's table. The row is inserted only if
//! absent, after a slot at a runner has been reserved and before the call is started there. A later request that finds
//! the row returns the stored reply, waits, or asks the sidecar that holds the reservation for the outcome.

use serde::{Deserialize, Serialize};

use crate::ids::{AttemptId, Incarnation, InstanceId, Permit};

/// Reply of a plain service, stored so that a repeated request gets the same reply.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoredReply {
    /// HTTP status.
    pub status: u16,
    /// `Content-Type` of the body.
    pub content: String,
    /// Body, unmodified.
    pub body: Vec<u8>,
}

/// Slot at a runner that is reserved for an attempt.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Reservation {
    /// The attempt.
    pub attempt: AttemptId,
    /// Sidecar that made the reservation.
    pub sidecar: InstanceId,
    /// Incarnation of that sidecar; the reservation is lost when the sidecar restarts.
    pub incarnation: Incarnation,
    /// Number of the reservation within that incarnation.
    pub permit: Permit,
}

/// Row stored for an idempotency key.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct IntentRow {
    /// Digest of the request; reusing the key for a different request is an error.
    pub digest: String,
    /// Reservation of the latest attempt.
    pub reservation: Reservation,
    /// Reply, once the call has completed.
    pub reply: Option<StoredReply>,
}

/// A sidecar's answer about the state of an attempt for which it reserved a slot.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Resolution {
    /// The call did not run and never will: its reservation is cancelled.
    NeverRan,
    /// The call is running.
    Running,
    /// The call completed with this reply.
    Done(StoredReply),
    /// This incarnation of the sidecar can't determine the outcome.
    Unknown,
    /// A slot is reserved, and the call may be started at any moment.
    Reserved,
}

/// What to do with a request whose idempotency key already has a row.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum IntentStep {
    /// The row belongs to this attempt: start the call.
    Start,
    /// Answer with the stored reply.
    Reply(StoredReply),
    /// Reject: the key was used for a different request.
    Mismatch,
    /// Ask the sidecar of the earlier attempt for its outcome.
    Resolve(Reservation),
}

/// Decides how the attempt `own` proceeds, given the row found under its key.
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

/// How a request proceeds after the outcome of an earlier attempt was asked for.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ResolvedStep {
    /// Replace the row by one for this attempt, provided that the row is unchanged since it was read.
    TakeOver,
    /// Store this reply and answer with it.
    Reply(StoredReply),
    /// Answer that the outcome is not known yet.
    Wait,
    /// Answer that the outcome can't be determined.
    Unknown,
}

/// Decides from the sidecar's answer how a request proceeds; `None` means that the sidecar did not answer.
#[must_use]
pub fn resolved_step(resolution: Option<Resolution>) -> ResolvedStep {
    match resolution {
        Some(Resolution::NeverRan) => ResolvedStep::TakeOver,
        Some(Resolution::Done(reply)) => ResolvedStep::Reply(reply),
        Some(Resolution::Running | Resolution::Reserved) | None => ResolvedStep::Wait,
        Some(Resolution::Unknown) => ResolvedStep::Unknown,
    }
}
