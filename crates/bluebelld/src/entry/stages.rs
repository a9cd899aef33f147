//! Life cycle of a call that may not be repeated. Each stage has only the steps that may follow it, so the order to
//! run can't be given before the intent is stored.

use bluebell_core::{
    ids::{AttemptId, OrgId},
    intent::{self, IntentRow, IntentStep, Reservation, StoredReply},
};
use bluebell_wire::{
    WireError,
    messages::{FromSidecar, ToSidecar},
};

use super::attempt::Conversation;
use crate::records::{RecordError, Records};

/// Key and digest of a call.
#[derive(Debug, Clone)]
pub struct CallKey {
    /// Organisation.
    pub org: OrgId,
    /// The caller's idempotency key.
    pub key: String,
    /// Digest of the request.
    pub digest: String,
}

/// A place is reserved; nothing has run.
pub struct Reserved {
    talk: Conversation,
    reservation: Reservation,
}

/// The intent is stored; the call may be told to run.
pub struct Intended {
    talk: Conversation,
    reservation: Reservation,
}

/// The order to run was given.
pub struct Running {
    talk: Conversation,
    reservation: Reservation,
}

/// What came of storing an intent.
pub enum Stored {
    /// It is this call's own.
    Own(Intended),
    /// The key has another row.
    Other {
        /// What that row means.
        step: IntentStep,
        /// Its version.
        version: u64,
        /// The place, still reserved.
        reserved: Reserved,
    },
}

impl Reserved {
    /// A place that a sidecar reserved.
    pub fn new(talk: Conversation, reservation: Reservation) -> Self {
        Self { talk, reservation }
    }

    /// Stores the intent, if the key has no row, or in place of a row of this version.
    ///
    /// # Errors
    /// When the store can't say whose the row is.
    pub async fn store(self, records: &Records, key: &CallKey, before: Option<u64>) -> Result<Stored, RecordError> {
        let row = IntentRow { digest: key.digest.clone(), reservation: self.reservation.clone(), reply: None };
        let written = records.write_intent(&key.org, &key.key, &row, before).await;
        if let Err(error) = written
            && !error.is_unknown()
        {
            return Err(error);
        }
        // Reading back tells whose row it is, also when the answer to the write was lost.
        let Some(found) = records.intent(&key.org, &key.key).await? else {
            return Err(RecordError::Missing { key: key.key.clone() });
        };
        let version = found.version;
        match intent::next_step(&found.row, &key.digest, &self.reservation.attempt) {
            IntentStep::Start => Ok(Stored::Own(Intended { talk: self.talk, reservation: self.reservation })),
            step => Ok(Stored::Other { step, version, reserved: self }),
        }
    }
}

impl Intended {
    /// Gives the order to run.
    ///
    /// # Errors
    /// When the connection broke; the order may have arrived.
    pub async fn go(mut self) -> Result<Running, WireError> {
        self.talk.writer.send(&ToSidecar::Execute(self.reservation.permit)).await?;
        Ok(Running { talk: self.talk, reservation: self.reservation })
    }
}

/// How a running call ended.
pub enum Ended {
    /// With a reply.
    Reply(StoredReply),
    /// The sidecar says that it did not run.
    NotRun(bluebell_core::gate::Refusal),
    /// It may have run.
    Unknown,
}

impl Running {
    /// Waits for the call to end.
    pub async fn wait(&mut self) -> Ended {
        loop {
            match self.talk.receive().await {
                Ok(FromSidecar::Started) => {}
                Ok(FromSidecar::Reply(reply)) => return Ended::Reply(reply),
                Ok(FromSidecar::Refused(refusal)) => return Ended::NotRun(refusal),
                _ => return Ended::Unknown,
            }
        }
    }

    /// The attempt that runs.
    pub fn attempt(&self) -> &AttemptId {
        &self.reservation.attempt
    }
}
