//! Typed access to rows of the store, with conditional writes.

use std::time::Duration;

use bluebell_core::replica::{Origin, Row};
use bluebell_platform::{
    PlatformError, describe_json,
    store::{Put, RowKey, Store, Transaction, TransactionOutcome},
};
use serde::{Serialize, de::DeserializeOwned};
use snafu::{ResultExt, Snafu};

/// Makes the store answer a request for changes at once, even if there are none: the caller polls with its own period.
pub(super) const NO_WAIT: Duration = Duration::ZERO;

/// Failure to read or write a record.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(super)))]
pub enum RecordError {
    /// The request to the store failed.
    #[snafu(display("{source}"), context(false))]
    Store {
        /// Underlying error.
        source: PlatformError,
    },
    /// A record can't be parsed or serialized as JSON.
    #[snafu(display("record {key}: {}", describe_json(source)))]
    Json {
        /// Key of the record.
        key: String,
        /// Error of the JSON parser or serializer.
        source: serde_json::Error,
    },
    /// A record is missing right after it was written.
    #[snafu(display("record {key} is not there"))]
    Missing {
        /// Key of the record.
        key: String,
    },
}

impl RecordError {
    /// Whether a failed write may have taken effect.
    #[must_use]
    pub fn is_unknown(&self) -> bool {
        matches!(self, Self::Store { source } if source.is_outcome_unknown())
    }
}

/// Access to the product's records in the store; clones share connections.
#[derive(Debug, Clone)]
pub struct Records {
    pub(super) store: Store,
}

/// Condition of a write to a row.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Precondition {
    /// The row doesn't exist.
    Absent,
    /// The row has this version.
    Version(u64),
}

impl Precondition {
    /// Condition that the row still has the version with which it was read; none stands for an absent row.
    pub(super) fn unchanged(version: Option<u64>) -> Self {
        version.map_or(Self::Absent, Self::Version)
    }

    /// The condition as a version number, in which the store takes zero for a row that must not exist.
    pub(super) fn version(self) -> u64 {
        match self {
            Self::Absent => 0,
            Self::Version(version) => version,
        }
    }
}

impl Records {
    /// Creates the access to the records in a store.
    #[must_use]
    pub fn new(store: Store) -> Self {
        Self { store }
    }

    /// Writes one record on a condition; returns whether the condition held.
    pub(super) async fn write<T: Serialize>(
        &self,
        at: RowKey,
        condition: Precondition,
        value: &T,
    ) -> Result<bool, RecordError> {
        let transaction = Transaction {
            expected: vec![(at.clone(), condition.version())],
            puts: vec![put(at, value)?],
            ..Transaction::default()
        };
        self.try_commit(&transaction).await
    }

    /// Executes a transaction; returns whether its conditions held.
    pub(super) async fn try_commit(&self, transaction: &Transaction) -> Result<bool, RecordError> {
        Ok(matches!(self.store.transact(transaction).await?, TransactionOutcome::Committed { .. }))
    }
}

/// Key of a record's row.
pub(super) fn row_key(part: impl Into<String>, key: impl Into<String>) -> RowKey {
    RowKey { origin: Origin::Records, part: part.into(), key: key.into() }
}

/// Serializes a record into a write.
pub(super) fn put<T: Serialize>(at: RowKey, value: &T) -> Result<Put, RecordError> {
    let value = serde_json::to_vec(value).context(JsonSnafu { key: at.key.as_str() })?;
    Ok(Put { at, value })
}

/// Parses the content of a record.
pub(super) fn parse<T: DeserializeOwned>(row: &Row) -> Result<T, RecordError> {
    let content = row.value.as_deref().unwrap_or_default();
    serde_json::from_slice(content).context(JsonSnafu { key: row.key.as_str() })
}
