//! Reading and writing records, each on a condition.

use std::time::Duration;

use bluebell_core::replica::{Origin, Row};
use bluebell_platform::{
    PlatformError,
    store::{Put, RowKey, Store, Transaction, TransactionOutcome},
};
use serde::{Serialize, de::DeserializeOwned};
use snafu::{ResultExt, Snafu};

/// The store answers at once, whether or not there is something new: the caller has its own period.
pub(super) const NO_WAIT: Duration = Duration::ZERO;

/// A record that can't be read or written.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(super)))]
pub enum RecordError {
    /// The store failed.
    #[snafu(display("{source}"), context(false))]
    Store {
        /// How.
        source: PlatformError,
    },
    /// A record has another form than expected.
    #[snafu(display("record {key}: {source}"))]
    Form {
        /// Its key.
        key: String,
        /// What the parser said.
        source: serde_json::Error,
    },
    /// A record is missing just after it was written.
    #[snafu(display("record {key} is not there"))]
    Missing {
        /// Its key.
        key: String,
    },
}

impl RecordError {
    /// Whether a write may have taken effect.
    #[must_use]
    pub fn is_unknown(&self) -> bool {
        matches!(self, Self::Store { source } if source.is_outcome_unknown())
    }
}

/// The product's records; clones share connections.
#[derive(Debug, Clone)]
pub struct Records {
    pub(super) store: Store,
}

/// Condition of a write.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Expect {
    /// The record is not there.
    Absent,
    /// The record has this version.
    Version(u64),
}

impl Expect {
    /// On what was seen of a record.
    pub(super) fn from_seen(version: Option<u64>) -> Self {
        version.map_or(Self::Absent, Self::Version)
    }

    /// Version for the store, which takes zero for a row that must not exist.
    pub(super) fn version(self) -> u64 {
        match self {
            Self::Absent => 0,
            Self::Version(version) => version,
        }
    }
}

impl Records {
    /// The records in a store.
    #[must_use]
    pub fn new(store: Store) -> Self {
        Self { store }
    }

    /// Writes one record on its condition; tells whether the condition held.
    pub(super) async fn write<T: Serialize>(&self, at: RowKey, expect: Expect, value: &T) -> Result<bool, RecordError> {
        let transaction = Transaction {
            expected: vec![(at.clone(), expect.version())],
            puts: vec![put(at, value)?],
            ..Transaction::default()
        };
        self.commits(&transaction).await
    }

    /// Commits a transaction; tells whether its conditions held.
    pub(super) async fn commits(&self, transaction: &Transaction) -> Result<bool, RecordError> {
        Ok(matches!(self.store.transact(transaction).await?, TransactionOutcome::Committed { .. }))
    }
}

/// Where a record lies.
pub(super) fn record(part: impl Into<String>, key: impl Into<String>) -> RowKey {
    RowKey { origin: Origin::Records, part: part.into(), key: key.into() }
}

/// A record to write.
pub(super) fn put<T: Serialize>(at: RowKey, value: &T) -> Result<Put, RecordError> {
    let value = serde_json::to_vec(value).context(FormSnafu { key: at.key.as_str() })?;
    Ok(Put { at, value })
}

/// A record's content.
pub(super) fn parse<T: DeserializeOwned>(row: &Row) -> Result<T, RecordError> {
    let content = row.value.as_deref().unwrap_or_default();
    serde_json::from_slice(content).context(FormSnafu { key: row.key.as_str() })
}
