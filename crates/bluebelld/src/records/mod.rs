//! What the product keeps in the platform's store: settings, intents, session pins and bills, and what it reads there
//! of instances and ratings. Content is JSON, so that operators can read it.

mod instances;
mod intents;
mod objects;
mod ratings;
mod settings;

use std::time::Duration;

use bluebell_core::replica::{Origin, Row};
use bluebell_platform::{
    PlatformError,
    store::{Committed, Put, RowKey, Store, Transaction},
};
pub use ratings::Rating;
use serde::{Serialize, de::DeserializeOwned};
pub use settings::{CommitError, HeldLease, Proposal};
use snafu::{ResultExt, Snafu};

/// The store answers at once, whether or not there is something new: the caller has its own period.
const NO_WAIT: Duration = Duration::ZERO;

/// A record that can't be read or written.
#[derive(Debug, Snafu)]
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
        matches!(self, Self::Store { source } if source.is_unknown())
    }
}

/// The product's records; clones share connections.
#[derive(Debug, Clone)]
pub struct Records {
    store: Store,
}

/// Condition of a write.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Expect {
    /// The record is not there.
    Absent,
    /// The record has this version.
    Version(u64),
}

impl Expect {
    fn from_seen(version: Option<u64>) -> Self {
        version.map_or(Self::Absent, Self::Version)
    }

    // The store takes zero for a row that must not exist.
    fn version(self) -> u64 {
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

    // Writes one record on its condition; tells whether the condition held.
    async fn write<T: Serialize>(&self, at: RowKey, expect: Expect, value: &T) -> Result<bool, RecordError> {
        let transaction = Transaction {
            expected: vec![(at.clone(), expect.version())],
            puts: vec![put(at, value)?],
            ..Transaction::default()
        };
        self.commits(&transaction).await
    }

    async fn commits(&self, transaction: &Transaction) -> Result<bool, RecordError> {
        Ok(matches!(self.store.transact(transaction).await?, Committed::Done { .. }))
    }
}

fn record(part: impl Into<String>, key: impl Into<String>) -> RowKey {
    RowKey { origin: Origin::Records, part: part.into(), key: key.into() }
}

fn put<T: Serialize>(at: RowKey, value: &T) -> Result<Put, RecordError> {
    let value = serde_json::to_vec(value).context(FormSnafu { key: at.key.as_str() })?;
    Ok(Put { at, value })
}

fn parse<T: DeserializeOwned>(row: &Row) -> Result<T, RecordError> {
    let content = row.value.as_deref().unwrap_or_default();
    serde_json::from_slice(content).context(FormSnafu { key: row.key.as_str() })
}
