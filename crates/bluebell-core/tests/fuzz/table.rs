//! In-memory model of the platform's table: setting changes, intent rows and bills, with injected faults.

use std::collections::HashMap;

use bluebell_core::{billing::BillRow, ids::RequestId, intent::IntentRow, settings::Record};

/// Fault injected into the table.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fault {
    None,
    /// Requests fail and are not executed.
    Down,
    /// Writes are executed, but their responses are lost.
    LoseResponses,
}

/// Failure of a request to the table.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Failure {
    /// The request was not executed.
    NotExecuted,
    /// The response was lost: the request may have been executed.
    OutcomeUnknown,
}

/// An intent row with its version.
#[derive(Debug, Clone)]
pub struct StoredIntent {
    pub row: IntentRow,
    pub row_version: u64,
}

/// The platform's table.
pub struct Table {
    pub fault: Fault,
    pub records: Vec<Record>,
    pub bills: HashMap<RequestId, BillRow>,
    intents: HashMap<String, StoredIntent>,
    last_row_version: u64,
}

impl Table {
    pub fn new() -> Self {
        Self {
            fault: Fault::None,
            records: Vec::new(),
            bills: HashMap::new(),
            intents: HashMap::new(),
            last_row_version: 0,
        }
    }

    fn check_reachable(&self) -> Result<(), Failure> {
        if self.fault == Fault::Down { Err(Failure::NotExecuted) } else { Ok(()) }
    }

    fn respond<T>(&self, value: T) -> Result<T, Failure> {
        if self.fault == Fault::LoseResponses { Err(Failure::OutcomeUnknown) } else { Ok(value) }
    }

    pub fn intent(&self, key: &str) -> Result<Option<StoredIntent>, Failure> {
        self.check_reachable()?;
        Ok(self.intents.get(key).cloned())
    }

    /// Writes an intent row if its version is the expected one; `None` expects that there is no row. Returns whether it
    /// was written.
    pub fn write_intent(&mut self, key: &str, row: &IntentRow, expected_version: Option<u64>) -> Result<bool, Failure> {
        self.check_reachable()?;
        let unchanged = self.intents.get(key).map(|stored| stored.row_version) == expected_version;
        if unchanged {
            self.last_row_version += 1;
            self.intents.insert(key.to_owned(), StoredIntent { row: row.clone(), row_version: self.last_row_version });
        }
        self.respond(unchanged)
    }

    /// Inserts the rows that are not in the table yet.
    pub fn insert_bills(&mut self, rows: &[BillRow]) -> Result<(), Failure> {
        self.check_reachable()?;
        for row in rows {
            self.bills.entry(row.request.clone()).or_insert_with(|| row.clone());
        }
        self.respond(())
    }
}
