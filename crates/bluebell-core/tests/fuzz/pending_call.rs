//! The steps that an entry takes for a call to a non-idempotent service.

use bluebell_core::{
    ids::AttemptId,
    intent::{self, IntentRow, IntentStep, Reservation, Resolution, ResolvedStep},
};

use crate::table::{Failure, StoredIntent, Table};

/// Next step of a call.
#[derive(Debug, Clone)]
pub enum Stage {
    /// Read the intent row of the idempotency key.
    ReadIntent,
    /// Ask a sidecar to reserve a slot.
    RequestReservation { expected_version: Option<u64> },
    /// Wait for the reservation.
    AwaitReservation { expected_version: Option<u64> },
    /// Write the intent row, provided that its version is still the expected one (`None`: no row).
    WriteIntent { reservation: Reservation, expected_version: Option<u64> },
    /// Read the row back: the response to the write may have been lost, or another attempt may have won.
    VerifyIntent { reservation: Reservation },
    /// Tell the sidecar to start the call.
    Start { reservation: Reservation },
    /// Ask the sidecar of an earlier attempt for the outcome.
    RequestResolution { reservation: Reservation, version: u64 },
    /// Wait for that outcome.
    AwaitResolution { version: u64, queried: AttemptId },
    /// The call was started, answered or given up.
    Done,
}

/// A call in progress at an entry.
#[derive(Debug, Clone)]
pub struct PendingCall {
    pub key: String,
    pub attempt: AttemptId,
    pub stage: Stage,
}

impl PendingCall {
    /// Takes the next step if it needs only the table; other steps are left to the caller.
    pub fn advance(&mut self, table: &mut Table) {
        self.stage = match self.stage.clone() {
            Stage::ReadIntent => self.read_intent(table.intent(&self.key)),
            Stage::WriteIntent { reservation, expected_version } => {
                self.write_intent(table, reservation, expected_version)
            }
            Stage::VerifyIntent { reservation } => self.verify_intent(table.intent(&self.key), reservation),
            stage => stage,
        };
    }

    fn read_intent(&self, row: Result<Option<StoredIntent>, Failure>) -> Stage {
        match row {
            Err(_) => Stage::Done,
            Ok(None) => Stage::RequestReservation { expected_version: None },
            Ok(Some(stored)) => self.follow_row(&stored),
        }
    }

    fn follow_row(&self, stored: &StoredIntent) -> Stage {
        match intent::next_step(&stored.row, &self.key, &self.attempt) {
            IntentStep::Resolve(reservation) => Stage::RequestResolution { reservation, version: stored.row_version },
            _ => Stage::Done,
        }
    }

    fn write_intent(&self, table: &mut Table, reservation: Reservation, expected_version: Option<u64>) -> Stage {
        let row = IntentRow { digest: self.key.clone(), reservation: reservation.clone(), reply: None };
        match table.write_intent(&self.key, &row, expected_version) {
            Err(Failure::NotExecuted) => Stage::Done,
            _ => Stage::VerifyIntent { reservation },
        }
    }

    fn verify_intent(&self, row: Result<Option<StoredIntent>, Failure>, reservation: Reservation) -> Stage {
        match row {
            Ok(Some(stored)) => match intent::next_step(&stored.row, &self.key, &self.attempt) {
                IntentStep::Start => Stage::Start { reservation },
                _ => self.follow_row(&stored),
            },
            _ => Stage::Done,
        }
    }

    /// Handles the response about an earlier attempt; a response about any other attempt is ignored.
    pub fn handle_resolution(&mut self, answered: &AttemptId, resolution: &Resolution) {
        let Stage::AwaitResolution { version, queried } = &self.stage else { return };
        if queried != answered {
            return;
        }
        self.stage = match intent::resolved_step(Some(resolution.clone())) {
            ResolvedStep::TakeOver => Stage::RequestReservation { expected_version: Some(*version) },
            _ => Stage::Done,
        };
    }
}
