//! The steps of a call that may not be repeated, as an entry takes them.

use bluebell_core::{
    ids::AttemptId,
    intent::{self, IntentRow, IntentStep, Reservation, Resolution, ResolvedStep},
};

use crate::table::{Failure, Stored, Table};

/// Where a call stands.
#[derive(Debug, Clone)]
pub enum Stage {
    /// The row is read first.
    Read,
    /// A place is asked for.
    Place { before: Option<u64> },
    /// The sidecar's answer is awaited.
    Placing { before: Option<u64> },
    /// The intent is stored.
    Store { reservation: Reservation, before: Option<u64> },
    /// The row is read back.
    ReadBack { reservation: Reservation },
    /// The order to run is given.
    Go { reservation: Reservation },
    /// An earlier attempt's sidecar is asked.
    Resolve { reservation: Reservation, version: u64 },
    /// Its word is awaited.
    Resolving { version: u64, about: AttemptId },
    /// The call has its answer.
    Over,
}

/// A call under way at an entry.
#[derive(Debug, Clone)]
pub struct Flow {
    pub key: String,
    pub attempt: AttemptId,
    pub stage: Stage,
}

impl Flow {
    /// Takes a step that needs only the table; others are left as they are.
    pub fn step(&mut self, table: &mut Table) {
        self.stage = match self.stage.clone() {
            Stage::Read => self.read(table.intent(&self.key)),
            Stage::Store { reservation, before } => self.store(table, reservation, before),
            Stage::ReadBack { reservation } => self.read_back(table.intent(&self.key), reservation),
            other => other,
        };
    }

    fn read(&self, row: Result<Option<Stored>, Failure>) -> Stage {
        match row {
            Err(_) => Stage::Over,
            Ok(None) => Stage::Place { before: None },
            Ok(Some(stored)) => self.other(&stored),
        }
    }

    fn other(&self, stored: &Stored) -> Stage {
        match intent::next_step(&stored.row, &self.key, &self.attempt) {
            IntentStep::Resolve(reservation) => Stage::Resolve { reservation, version: stored.version },
            _ => Stage::Over,
        }
    }

    fn store(&self, table: &mut Table, reservation: Reservation, before: Option<u64>) -> Stage {
        let row = IntentRow { digest: self.key.clone(), reservation: reservation.clone(), reply: None };
        match table.write_intent(&self.key, &row, before) {
            Err(Failure::NotDone) => Stage::Over,
            _ => Stage::ReadBack { reservation },
        }
    }

    fn read_back(&self, row: Result<Option<Stored>, Failure>, reservation: Reservation) -> Stage {
        match row {
            Ok(Some(stored)) => match intent::next_step(&stored.row, &self.key, &self.attempt) {
                IntentStep::Start => Stage::Go { reservation },
                _ => self.other(&stored),
            },
            _ => Stage::Over,
        }
    }

    /// Takes the word of an earlier attempt's sidecar.
    pub fn resolved(&mut self, asked: &AttemptId, word: &Resolution) {
        let Stage::Resolving { version, about } = &self.stage else { return };
        if about != asked {
            return;
        }
        self.stage = match intent::resolved_step(Some(word.clone())) {
            ResolvedStep::TakeOver => Stage::Place { before: Some(*version) },
            _ => Stage::Over,
        };
    }
}
