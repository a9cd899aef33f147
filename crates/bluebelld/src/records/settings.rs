//! The sequence of configuration changes as rows of one partition, with snapshots as an object.
//!
//! One row holds the head revision, one row stands for each record, one for each change id. All three are written in
//! one transaction, so a change is there whole or not at all, and a change sent again finds its own id.

use bluebell_core::{
    ids::{ChangeId, Revision},
    lease::LeaseRow,
    settings::{Action, Record, SettingsError, State},
};
use bluebell_platform::store::{RowKey, Transaction};
use serde::{Deserialize, Serialize};
use snafu::{Snafu, ensure};

use super::table::{Expect, RecordError, Records, parse, put, record};

/// Partition of the settings. The lease on roll-outs lies there too, as changes under it are written on condition that
/// it has not moved.
const PART: &str = "settings";
const HEAD_KEY: &str = "head";
const LEASE_KEY: &str = "lease";
/// First and last key that a record can have.
const RECORD_KEYS: (&str, &str) = ("record/", "record/~");
const SNAPSHOT_KEY: &str = "settings-latest";
/// Records read in one call.
const READ_ROWS: usize = 200;
/// Records between two snapshots.
const SNAPSHOT_PERIOD: u64 = 64;
/// Times that a commit begins anew because another one came first.
const COMMIT_TRIES: u32 = 20;

/// A change that was not committed, or can't be told.
#[derive(Debug, Snafu)]
pub enum CommitError {
    /// The change is not acceptable.
    #[snafu(display("{source}"), context(false))]
    Settings {
        /// Why.
        source: SettingsError,
    },
    /// The records can't be read or written.
    #[snafu(display("{source}"), context(false))]
    Record {
        /// How.
        source: RecordError,
    },
    /// Other changes kept coming first.
    #[snafu(display("other changes came first {tries} times; send the change again"))]
    Contention {
        /// Times it was tried.
        tries: u32,
    },
    /// The lease under which the change was made has moved.
    #[snafu(display("the lease on roll-outs is no longer held"))]
    LeaseLost,
}

/// A change to commit.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Proposal {
    /// Id that makes a repeated change apply once.
    pub change: ChangeId,
    /// Who makes it.
    pub author: String,
    /// What it does.
    pub action: Action,
}

/// The lease on roll-outs with the version of its row.
#[derive(Debug, Clone, PartialEq)]
pub struct HeldLease {
    /// The row as written.
    pub row: LeaseRow,
    /// Version of the row.
    pub version: u64,
}

fn at(key: impl Into<String>) -> RowKey {
    record(PART, key)
}

// Padded, so that keys stand in the order of their revisions.
fn record_at(revision: Revision) -> RowKey {
    at(format!("{}{:020}", RECORD_KEYS.0, revision.0))
}

fn change_at(change: &ChangeId) -> RowKey {
    at(format!("change/{change}"))
}

impl Records {
    /// Revision of the latest accepted change.
    ///
    /// # Errors
    /// When the store can't be read.
    pub async fn head(&self) -> Result<Revision, RecordError> {
        let row = self.store.row(&at(HEAD_KEY)).await?;
        row.map_or(Ok(Revision::default()), |row| parse(&row))
    }

    /// Records after a revision, oldest first; at most a few hundred.
    ///
    /// # Errors
    /// When the store can't be read.
    pub async fn records(&self, after: Revision) -> Result<Vec<Record>, RecordError> {
        let rows = self.store.range(&record_at(after.next()), RECORD_KEYS.1, READ_ROWS).await?;
        rows.iter().map(parse).collect()
    }

    /// The state at the head, starting from one that is known.
    ///
    /// # Errors
    /// When the store can't be read or a record can't be applied.
    pub async fn latest_state(&self, known: &State) -> Result<State, CommitError> {
        let mut state = known.clone();
        if state.revision == Revision::default() {
            state = self.snapshot().await.unwrap_or(state);
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

    /// Commits a change: durable, and never to be reverted.
    ///
    /// # Errors
    /// When the change is not acceptable, conflicts, or the store can't say what became of it.
    pub async fn commit(
        &self,
        known: &State,
        proposal: &Proposal,
        lease: Option<&HeldLease>,
    ) -> Result<Revision, CommitError> {
        let mut known = known.clone();
        for _ in 0..COMMIT_TRIES {
            if let Some(done) = self.store.row(&change_at(&proposal.change)).await.map_err(RecordError::from)? {
                return Ok(parse(&done)?);
            }
            let head = self.store.row(&at(HEAD_KEY)).await.map_err(RecordError::from)?;
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
            match self.commits(&transaction).await {
                Ok(true) => {
                    self.keep_snapshot(&next).await;
                    return Ok(record.revision);
                }
                Ok(false) => self.ensure_held(lease).await?,
                // The answer was lost: the change's own row tells what became of it.
                Err(error) if error.is_unknown() => {}
                Err(error) => return Err(error.into()),
            }
        }
        ContentionSnafu { tries: COMMIT_TRIES }.fail()
    }

    // Without a snapshot more records have to be read, no more than that.
    async fn snapshot(&self) -> Option<State> {
        match self.object(SNAPSHOT_KEY).await {
            Ok(found) => found,
            Err(error) => {
                log::warn!("snapshot of the settings can't be read: {error}");
                None
            }
        }
    }

    async fn keep_snapshot(&self, state: &State) {
        if state.revision.0.is_multiple_of(SNAPSHOT_PERIOD) {
            // The records stand in the store; without this snapshot a new instance only reads more of them.
            if let Err(error) = self.put_object(SNAPSHOT_KEY, state).await {
                log::warn!(revision = state.revision.0; "snapshot of the settings is not written: {error}");
            }
        }
    }

    /// The lease on roll-outs as it stands.
    ///
    /// # Errors
    /// When the store can't be read.
    pub async fn rollout_lease(&self) -> Result<Option<HeldLease>, RecordError> {
        let Some(row) = self.store.row(&at(LEASE_KEY)).await? else {
            return Ok(None);
        };
        Ok(Some(HeldLease { row: parse(&row)?, version: row.version }))
    }

    /// Writes the lease on roll-outs on condition that it has not moved.
    ///
    /// # Errors
    /// When the store can't be written or gave no answer.
    pub async fn write_lease(&self, next: &LeaseRow, before: Option<u64>) -> Result<bool, RecordError> {
        self.write(at(LEASE_KEY), Expect::from_seen(before), next).await
    }

    // A transaction that conflicts was behind another change, or under a lease that has moved.
    async fn ensure_held(&self, lease: Option<&HeldLease>) -> Result<(), CommitError> {
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
    let (record_at, change_at) = (record_at(record.revision), change_at(&record.change));
    let mut expected = vec![
        (at(HEAD_KEY), Expect::from_seen(head).version()),
        (record_at.clone(), Expect::Absent.version()),
        (change_at.clone(), Expect::Absent.version()),
    ];
    expected.extend(lease.map(|lease| (at(LEASE_KEY), lease.version)));
    let puts = vec![put(at(HEAD_KEY), &record.revision)?, put(record_at, record)?, put(change_at, &record.revision)?];
    Ok(Transaction { expected, puts, ..Transaction::default() })
}
