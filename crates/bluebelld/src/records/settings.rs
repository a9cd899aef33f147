//! The log of settings changes, stored as rows of one partition, with a snapshot of the settings as an object.
//!
//! There is one row for the head revision, one for each record and one for each change id. A change writes all three in
//! one transaction, so that it is stored completely or not at all, and a repeated change is recognised by its id.

use bluebell_core::{
    ids::{ChangeId, Revision},
    lease::LeaseRow,
    settings::{Action, Record, SettingsError, State},
};
use bluebell_platform::store::{RowKey, Transaction};
use serde::{Deserialize, Serialize};
use snafu::{Snafu, ensure};

use super::table::{Precondition, RecordError, Records, parse, put, row_key};

/// Partition of the settings. The roll-out lease is stored there too, because changes made under the lease are
/// conditional on the version of its row.
const PARTITION: &str = "settings";
const HEAD_KEY: &str = "head";
const LEASE_KEY: &str = "lease";
/// Lower and upper bound of the keys of records.
const RECORD_KEYS: (&str, &str) = ("record/", "record/~");
const SNAPSHOT_KEY: &str = "settings-latest";
/// Maximum number of records read in one call.
const READ_LIMIT: usize = 200;
/// Number of revisions between two snapshots.
const SNAPSHOT_PERIOD: u64 = 64;
/// Maximum number of attempts at a commit that conflicts with other commits.
const MAX_COMMIT_ATTEMPTS: u32 = 20;

/// Failure of a commit; in some cases it is unknown whether the change was committed.
#[derive(Debug, Snafu)]
pub enum CommitError {
    /// The change is invalid or conflicts with the current settings.
    #[snafu(display("{source}"), context(false))]
    Settings {
        /// Reason of the rejection.
        source: SettingsError,
    },
    /// Reading or writing the store failed.
    #[snafu(display("{source}"), context(false))]
    Record {
        /// Underlying error.
        source: RecordError,
    },
    /// Every attempt conflicted with another commit.
    #[snafu(display("other changes came first {attempts} times; send the change again"))]
    Contention {
        /// Number of attempts made.
        attempts: u32,
    },
    /// The row of the roll-out lease under which the change was made has changed since.
    #[snafu(display("the lease on roll-outs is no longer held"))]
    LeaseLost,
}

/// A change to commit.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Proposal {
    /// Id of the change, by which a repeated proposal is applied only once.
    pub change: ChangeId,
    /// Author of the change.
    pub author: String,
    /// The change itself.
    pub action: Action,
}

/// The roll-out lease with the version of its row.
#[derive(Debug, Clone, PartialEq)]
pub struct HeldLease {
    /// Content of the row.
    pub row: LeaseRow,
    /// Version of the row.
    pub version: u64,
}

fn settings_key(key: impl Into<String>) -> RowKey {
    row_key(PARTITION, key)
}

// Zero-padded, so that the order of keys is the order of revisions.
fn record_key(revision: Revision) -> RowKey {
    settings_key(format!("{}{:020}", RECORD_KEYS.0, revision.0))
}

fn change_key(change: &ChangeId) -> RowKey {
    settings_key(format!("change/{change}"))
}

impl Records {
    /// Revision of the latest committed change.
    ///
    /// # Errors
    /// When the store can't be read.
    pub async fn head(&self) -> Result<Revision, RecordError> {
        let row = self.store.row(&settings_key(HEAD_KEY)).await?;
        row.map_or(Ok(Revision::default()), |row| parse(&row))
    }

    /// Records after a revision, oldest first; at most a few hundred of them.
    ///
    /// # Errors
    /// When the store can't be read.
    pub async fn records(&self, after: Revision) -> Result<Vec<Record>, RecordError> {
        let rows = self.store.range(&record_key(after.next()), RECORD_KEYS.1, READ_LIMIT).await?;
        rows.iter().map(parse).collect()
    }

    /// The settings at the head revision, derived from an earlier state and the records since.
    ///
    /// # Errors
    /// When the store can't be read or a record can't be applied.
    pub async fn latest_state(&self, known: &State) -> Result<State, CommitError> {
        let mut state = known.clone();
        if state.revision == Revision::default() {
            state = self.read_snapshot().await.unwrap_or(state);
        }
        loop {
            let records = self.records(state.revision).await?;
            if records.is_empty() {
                return Ok(state);
            }
            for record in &records {
                state.apply(record)?;
            }
        }
    }

    /// Commits a change and returns its revision. A committed change is durable and never reverted. For a change that
    /// was already committed under the same id, the earlier revision is returned.
    ///
    /// # Errors
    /// When the change is invalid or conflicts with others, the lease is no longer held, or the store failed; in the
    /// last case the outcome may be unknown.
    pub async fn commit(
        &self,
        known: &State,
        proposal: &Proposal,
        lease: Option<&HeldLease>,
    ) -> Result<Revision, CommitError> {
        let mut known = known.clone();
        for _ in 0..MAX_COMMIT_ATTEMPTS {
            if let Some(committed) = self.store.row(&change_key(&proposal.change)).await.map_err(RecordError::from)? {
                return Ok(parse(&committed)?);
            }
            let head = self.store.row(&settings_key(HEAD_KEY)).await.map_err(RecordError::from)?;
            let revision: Revision = head.as_ref().map_or(Ok(Revision::default()), parse)?;
            if revision > known.revision {
                known = self.latest_state(&known).await?;
            }
            if known.revision != revision {
                continue;
            }
            let record = Record {
                revision: revision.next(),
                change: proposal.change.clone(),
                author: proposal.author.clone(),
                action: proposal.action.clone(),
            };
            let mut next = known.clone();
            next.apply(&record)?;
            let transaction = commit_transaction(head.map(|row| row.version), &record, lease)?;
            match self.try_commit(&transaction).await {
                Ok(true) => {
                    self.write_snapshot_if_due(&next).await;
                    return Ok(record.revision);
                }
                Ok(false) => self.ensure_lease_held(lease).await?,
                // The outcome is unknown: the next attempt looks for the row of the change id.
                Err(error) if error.is_unknown() => {}
                Err(error) => return Err(error.into()),
            }
        }
        ContentionSnafu { attempts: MAX_COMMIT_ATTEMPTS }.fail()
    }

    // A missing snapshot only means that more records have to be read.
    async fn read_snapshot(&self) -> Option<State> {
        match self.object(SNAPSHOT_KEY).await {
            Ok(found) => found,
            Err(error) => {
                log::warn!("reading the settings snapshot failed: {error}");
                None
            }
        }
    }

    async fn write_snapshot_if_due(&self, state: &State) {
        if state.revision.0.is_multiple_of(SNAPSHOT_PERIOD) {
            // A failure is not an error of the commit: the records are stored, and a new instance only has to read more
            // of them.
            if let Err(error) = self.put_object(SNAPSHOT_KEY, state).await {
                log::warn!(revision = state.revision.0; "writing the settings snapshot failed: {error}");
            }
        }
    }

    /// Reads the roll-out lease.
    ///
    /// # Errors
    /// When the store can't be read.
    pub async fn rollout_lease(&self) -> Result<Option<HeldLease>, RecordError> {
        let Some(row) = self.store.row(&settings_key(LEASE_KEY)).await? else {
            return Ok(None);
        };
        Ok(Some(HeldLease { row: parse(&row)?, version: row.version }))
    }

    /// Writes the roll-out lease if its row still has the version `before`, or is still absent if `before` is none;
    /// returns whether it was written.
    ///
    /// # Errors
    /// When the write failed, or its outcome is unknown.
    pub async fn write_lease(&self, next: &LeaseRow, before: Option<u64>) -> Result<bool, RecordError> {
        self.write(settings_key(LEASE_KEY), Precondition::unchanged(before), next).await
    }

    // Called after a conflict, to tell a concurrent change, after which the commit is repeated, from a change of the
    // lease, after which it is not.
    async fn ensure_lease_held(&self, lease: Option<&HeldLease>) -> Result<(), CommitError> {
        let Some(lease) = lease else { return Ok(()) };
        let found = self.rollout_lease().await?;
        ensure!(found.is_some_and(|found| found.version == lease.version), LeaseLostSnafu);
        Ok(())
    }
}

fn commit_transaction(
    head: Option<u64>,
    record: &Record,
    lease: Option<&HeldLease>,
) -> Result<Transaction, RecordError> {
    let (record_key, change_key) = (record_key(record.revision), change_key(&record.change));
    let mut expected = vec![
        (settings_key(HEAD_KEY), Precondition::unchanged(head).version()),
        (record_key.clone(), Precondition::Absent.version()),
        (change_key.clone(), Precondition::Absent.version()),
    ];
    expected.extend(lease.map(|lease| (settings_key(LEASE_KEY), lease.version)));
    let puts = vec![
        put(settings_key(HEAD_KEY), &record.revision)?,
        put(record_key, record)?,
        put(change_key, &record.revision)?,
    ];
    Ok(Transaction { expected, puts, ..Transaction::default() })
}
