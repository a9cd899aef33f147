//! The platform's table in the small: the sequence of changes, intents and bills, with faults.

use std::collections::HashMap;

use bluebell_core::{billing::BillRow, ids::RequestId, intent::IntentRow, settings::Record};

/// Fault of the table.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fault {
    None,
    Down,
    Lose,
}

/// Why a call gave nothing.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Failure {
    NotDone,
    Unknown,
}

/// An intent with the version of its row.
#[derive(Debug, Clone)]
pub struct Stored {
    pub row: IntentRow,
    pub version: u64,
}

/// The platform's table.
pub struct Table {
    pub fault: Fault,
    pub records: Vec<Record>,
    pub bills: HashMap<RequestId, BillRow>,
    intents: HashMap<String, Stored>,
    version: u64,
}

impl Table {
    pub fn new() -> Self {
        Self { fault: Fault::None, records: Vec::new(), bills: HashMap::new(), intents: HashMap::new(), version: 0 }
    }

    fn reachable(&self) -> Result<(), Failure> {
        if self.fault == Fault::Down { Err(Failure::NotDone) } else { Ok(()) }
    }

    fn answer<T>(&self, value: T) -> Result<T, Failure> {
        if self.fault == Fault::Lose { Err(Failure::Unknown) } else { Ok(value) }
    }

    pub fn intent(&self, key: &str) -> Result<Option<Stored>, Failure> {
        self.reachable()?;
        Ok(self.intents.get(key).cloned())
    }

    /// Writes an intent if it is absent, or has not moved since a version.
    pub fn write_intent(&mut self, key: &str, row: &IntentRow, before: Option<u64>) -> Result<bool, Failure> {
        self.reachable()?;
        let held = self.intents.get(key).map(|stored| stored.version) == before;
        if held {
            self.version += 1;
            self.intents.insert(key.to_owned(), Stored { row: row.clone(), version: self.version });
        }
        self.answer(held)
    }

    /// Inserts the bills that are absent.
    pub fn insert_bills(&mut self, rows: &[BillRow]) -> Result<(), Failure> {
        self.reachable()?;
        for row in rows {
            self.bills.entry(row.request.clone()).or_insert_with(|| row.clone());
        }
        self.answer(())
    }
}
