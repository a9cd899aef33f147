//! Crash reports in the store: which requests were in flight when a runner or upstream ended. They are stored for
//! processes that start later.
//!
//! Only the reporting gateway rewrites its reports; those of a gateway that is gone are maintained by the first of the
//! remaining gateways. Entries, which have no connections to each other, exchange the reports through the store.

use std::time::Duration;

use bluebell_core::{
    poison::CrashReport,
    replica::{Origin, Row},
};
use bluebell_platform::{
    describe_json,
    store::{Changes, Put, RowKey, Snapshot, Transaction, TransactionOutcome},
};
use indexmap::{IndexMap, IndexSet};
use serde::{Deserialize, Serialize};
use serde_with::{DurationMilliSeconds, serde_as};

use super::table::{RecordError, Records};

/// Prefix of the keys of crash reports.
pub const PREFIX: &str = "crash/";
/// Time for which a written report may take to show up in the store's change feed before it is written again.
const WRITE_TIMEOUT: Duration = Duration::from_millis(1500);
/// Minimum time between two writes of the same report; a report is rewritten when requests in it have been answered.
const REWRITE_PAUSE: Duration = Duration::from_secs(5);
/// Maximum lag of the time in a stored report at which it was last needed; beyond it the report is rewritten.
const RENEWAL_PERIOD: Duration = Duration::from_secs(600);
/// Maximum number of reports written, and of reports deleted, in one transaction.
const MAX_BATCH: usize = 32;

/// Whether a row holds a crash report, or is the deletion of one.
#[must_use]
pub fn is_report(row: &Row) -> bool {
    row.origin == Origin::Fleet && row.key.starts_with(PREFIX)
}

/// A crash report as stored.
#[serde_as]
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct StoredReport {
    /// The report.
    pub report: CrashReport,
    /// Time at which the report was last needed, on the store's clock.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub needed: Duration,
}

/// Local copy of the crash reports in the store, and the times of own writes.
#[derive(Debug, Default)]
pub struct ReportRows {
    stored: IndexMap<String, (StoredReport, u64)>,
    last_written: IndexMap<String, Duration>,
    // Versions of the rows whose content can't be parsed.
    damaged: IndexMap<String, u64>,
}

impl ReportRows {
    /// Adds or replaces a row and returns its report; none if the row is deleted or can't be parsed.
    pub fn insert(&mut self, row: &Row) -> Option<StoredReport> {
        let content = row.value.as_ref()?;
        match serde_json::from_slice::<StoredReport>(content) {
            Ok(found) => {
                self.stored.insert(row.key.clone(), (found.clone(), row.version));
                self.damaged.shift_remove(&row.key);
                Some(found)
            }
            Err(error) => {
                let reason = describe_json(&error);
                log::error!(key = row.key.as_str(), row = row.version; "crash report can't be parsed: {reason}");
                self.stored.shift_remove(&row.key);
                self.damaged.insert(row.key.clone(), row.version);
                None
            }
        }
    }

    /// Removes a row that was deleted from the store and returns its report.
    pub fn remove(&mut self, row: &Row) -> Option<StoredReport> {
        self.damaged.shift_remove(&row.key);
        self.stored.shift_remove(&row.key).map(|(report, _)| report)
    }

    /// Replaces a row by what the store holds of it, which may be a deletion.
    pub fn replace(&mut self, row: &Row) {
        if row.value.is_some() {
            self.insert(row);
        } else {
            self.remove(row);
        }
        self.last_written.shift_remove(&row.key);
    }

    /// Deletions of the rows that are known here but missing from a snapshot of the store.
    #[must_use]
    pub fn missing_from(&self, snapshot: &Snapshot) -> Vec<Row> {
        let present: IndexSet<&str> = snapshot.rows.iter().map(|row| row.key.as_str()).collect();
        let known = self.stored.keys().chain(self.damaged.keys());
        let missing = known.filter(|key| !present.contains(key.as_str())).cloned();
        missing.map(|key| Row { origin: Origin::Fleet, key, value: None, version: snapshot.version }).collect()
    }

    /// Returns the next transaction needed to make the store hold exactly the reports in `kept`; none if there is
    /// nothing to write. Only reports for which `is_responsible` holds are written or deleted; others may be missing from
    /// `kept`.
    pub fn next_transaction(
        &mut self,
        now: Duration,
        kept: impl Iterator<Item = StoredReport>,
        is_responsible: impl Fn(&CrashReport) -> bool,
    ) -> Option<Transaction> {
        let mut transaction = Transaction::default();
        let mut current = IndexSet::new();
        for row in kept {
            let key = format!("{PREFIX}{}", row.report.key());
            if is_responsible(&row.report) && self.needs_write(now, &key, &row) {
                match serde_json::to_vec(&row) {
                    Ok(value) => transaction.puts.push(Put { at: RowKey::unpartitioned(Origin::Fleet, &key), value }),
                    Err(error) => log::error!(key = key.as_str(); "crash report can't be serialized: {error}"),
                }
            }
            current.insert(key);
        }
        let stale = self.stored.iter().filter(|(key, (row, _))| is_responsible(&row.report) && !current.contains(*key));
        let stale = stale.filter(|(key, _)| self.no_write_pending(now, key));
        transaction.deletes.extend(stale.map(|(key, _)| RowKey::unpartitioned(Origin::Fleet, key)));
        transaction.puts.truncate(MAX_BATCH);
        transaction.deletes.truncate(MAX_BATCH);
        self.add_conditions(now, &mut transaction);
        (!transaction.expected.is_empty()).then_some(transaction)
    }

    fn needs_write(&self, now: Duration, key: &str, row: &StoredReport) -> bool {
        let Some((stored, _)) = self.stored.get(key) else { return self.no_write_pending(now, key) };
        let is_pause_over = self.last_written.get(key).is_none_or(|at| now >= *at + REWRITE_PAUSE);
        let has_changed = stored.report.suspects.len() != row.report.suspects.len();
        is_pause_over && (has_changed || row.needed > stored.needed + RENEWAL_PERIOD)
    }

    fn no_write_pending(&self, now: Duration, key: &str) -> bool {
        self.last_written.get(key).is_none_or(|at| now >= *at + WRITE_TIMEOUT)
    }

    // Makes the transaction conditional on the known versions of its rows, and records the time of these writes.
    fn add_conditions(&mut self, now: Duration, transaction: &mut Transaction) {
        self.last_written.retain(|_, at| now < *at + REWRITE_PAUSE);
        let keys = transaction.puts.iter().map(|put| &put.at).chain(&transaction.deletes);
        for at in keys.cloned().collect::<Vec<_>>() {
            let stored = self.stored.get(&at.key).map(|(_, version)| version);
            let version = stored.or(self.damaged.get(&at.key)).copied().unwrap_or_default();
            self.last_written.insert(at.key.clone(), now);
            transaction.expected.push((at, version));
        }
    }
}

/// Rows that a committed transaction wrote or deleted.
#[must_use]
pub fn committed_rows(transaction: &Transaction, version: u64) -> Vec<Row> {
    let put = |put: &Put| (put.at.key.clone(), Some(put.value.clone()));
    let deleted = |at: &RowKey| (at.key.clone(), None);
    let written = transaction.puts.iter().map(put).chain(transaction.deletes.iter().map(deleted));
    written.map(|(key, value)| Row { origin: Origin::Fleet, key, value, version }).collect()
}

/// Result of reading the crash reports from the store.
#[derive(Debug, Clone)]
pub enum FoundReports {
    /// Only the rows that changed.
    Changes(Snapshot),
    /// All rows; rows that are not listed were deleted.
    All(Snapshot),
}

impl Records {
    /// Waits for reports that change after a version, for at most `wait`, and returns them. Without a version, or if
    /// the store no longer holds the changes after it, returns all reports at once.
    ///
    /// # Errors
    /// When the store can't be read.
    pub async fn reports(&self, after: Option<u64>, wait: Duration) -> Result<FoundReports, RecordError> {
        let only_reports = |mut found: Snapshot| {
            found.rows.retain(|row| row.key.starts_with(PREFIX));
            found
        };
        if let Some(after) = after
            && let Changes::Rows(found) = self.store.changes(Origin::Fleet, after, wait).await?
        {
            return Ok(FoundReports::Changes(only_reports(found)));
        }
        Ok(FoundReports::All(only_reports(self.store.snapshot(Origin::Fleet).await?)))
    }

    /// Executes a transaction that writes or deletes reports, unless another process has changed them.
    ///
    /// # Errors
    /// When the write failed, or its outcome is unknown.
    pub async fn write_reports(&self, transaction: &Transaction) -> Result<TransactionOutcome, RecordError> {
        Ok(self.store.transact(transaction).await?)
    }
}
