//! Life cycle of a non-idempotent call as a typestate: reserved, intent stored, running. Each type has only the
//! operations valid in that state, so a call can't be executed before its intent is stored.

use bluebell_core::{
    ids::{AttemptId, OrgId},
    intent::{self, IntentRow, IntentStep, Reservation, StoredReply},
};
use bluebell_wire::{
    WireError,
    messages::{FromSidecar, ToSidecar},
};

use super::attempt::AttemptStream;
use crate::records::{RecordError, Records};

/// Idempotency key and digest of a call.
#[derive(Debug, Clone)]
pub struct CallKey {
    /// Organisation that the key belongs to.
    pub org: OrgId,
    pub key: String,
    /// Digest of the request; reusing the key for a different request is an error.
    pub digest: String,
}

/// A call for which a slot is reserved; it has not run.
pub struct Reserved {
    stream: AttemptStream,
    reservation: Reservation,
}

/// A call whose intent is stored; it may be executed.
pub struct IntentStored {
    stream: AttemptStream,
    reservation: Reservation,
}

/// A call that the sidecar was ordered to execute.
pub struct Running {
    stream: AttemptStream,
    reservation: Reservation,
}

/// Result of storing an intent.
pub enum StoreOutcome {
    /// The row is this call's own.
    Own(IntentStored),
    /// The key has the row of another attempt.
    Conflict {
        /// How to proceed, given that row.
        step: IntentStep,
        /// Version of that row.
        version: u64,
        /// The call, whose slot is still reserved.
        reserved: Reserved,
    },
}

impl Reserved {
    /// Creates the first state from a sidecar's reservation.
    pub fn new(stream: AttemptStream, reservation: Reservation) -> Self {
        Self { stream, reservation }
    }

    /// Stores the intent. `expected_version` is the version of the row to replace, or `None` to insert a row only if
    /// there is none.
    ///
    /// # Errors
    /// If the intent is not stored, or it can't be determined whose row is stored.
    pub async fn store_intent(
        self,
        records: &Records,
        key: &CallKey,
        expected_version: Option<u64>,
    ) -> Result<StoreOutcome, RecordError> {
        let row = IntentRow { digest: key.digest.clone(), reservation: self.reservation.clone(), reply: None };
        let written = records.write_intent(&key.org, &key.key, &row, expected_version).await;
        if let Err(error) = written
            && !error.is_unknown()
        {
            return Err(error);
        }
        // Reading the row back shows whose it is, even if the reply to the write was lost.
        let Some(found) = records.intent(&key.org, &key.key).await? else {
            return Err(RecordError::Missing { key: key.key.clone() });
        };
        let version = found.version;
        match intent::next_step(&found.row, &key.digest, &self.reservation.attempt) {
            IntentStep::Start => {
                Ok(StoreOutcome::Own(IntentStored { stream: self.stream, reservation: self.reservation }))
            }
            step => Ok(StoreOutcome::Conflict { step, version, reserved: self }),
        }
    }
}

impl IntentStored {
    /// Orders the sidecar to execute the call.
    ///
    /// # Errors
    /// If the connection failed; the order may have arrived nevertheless.
    pub async fn execute(mut self) -> Result<Running, WireError> {
        self.stream.writer.send(&ToSidecar::Execute(self.reservation.permit)).await?;
        Ok(Running { stream: self.stream, reservation: self.reservation })
    }
}

/// Outcome of a call that was ordered to execute.
pub enum CallOutcome {
    /// The service replied.
    Reply(StoredReply),
    /// The sidecar refused it. It did not run, except if the refusal's reason is `Repeated`.
    Refused(bluebell_core::gate::Refusal),
    /// The call may have run.
    Unknown,
}

impl Running {
    /// Waits for the outcome of the call.
    pub async fn wait(&mut self) -> CallOutcome {
        loop {
            match self.stream.receive().await {
                Ok(FromSidecar::Started) => {}
                Ok(FromSidecar::Reply(reply)) => return CallOutcome::Reply(reply),
                Ok(FromSidecar::Refused(refusal)) => return CallOutcome::Refused(refusal),
                _ => return CallOutcome::Unknown,
            }
        }
    }

    /// Id of the running attempt.
    pub fn attempt(&self) -> &AttemptId {
        &self.reservation.attempt
    }
}
