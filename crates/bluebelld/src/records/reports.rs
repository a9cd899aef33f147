//! Reports of runners that ended, as they stand in the store for processes that start later.
//!
//! A gateway alone rewrites its own reports; those of a gateway that is gone are looked after by the first of those
//! that remain. Entries, which have no connections to each other, read the reports from here.

use std::time::Duration;

use bluebell_core::{
    poison::CrashReport,
    replica::{Origin, Row},
};
use bluebell_platform::store::{Changes, Put, RowKey, Snapshot, Transaction, TransactionOutcome};
use indexmap::{IndexMap, IndexSet};
use serde::{Deserialize, Serialize};
use serde_with::{DurationMilliSeconds, serde_as};

use super::table::{RecordError, Records};

/// Start of the keys of reports.
pub const PREFIX: &str = "crash/";
/// Time for a written report to come back before it is written again.
const WRITE_TIME: Duration = Duration::from_millis(1500);
/// Pause between two writes of a report from which answered requests are taken.
const REWRITE_PAUSE: Duration = Duration::from_secs(5);
/// Time by which a report in the store may lag behind in when it was last needed.
const RENEW_TIME: Duration = Duration::from_secs(600);
/// Reports written or deleted in one transaction.
const BATCH: usize = 32;

/// A report as it stands in the store.
#[serde_as]
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct StoredReport {
    /// The report.
    pub report: CrashReport,
    /// When it was last needed, on the store's clock.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub needed: Duration,
}

/// What is known of the reports in the store.
#[derive(Debug, Default)]
pub struct ReportRows {
    stored: IndexMap<String, (StoredReport, u64)>,
    written: IndexMap<String, Duration>,
}

impl ReportRows {
    /// Takes a row that is news; gives the report that it holds.
    pub fn learn(&mut self, row: &Row) -> Option<StoredReport> {
        let content = row.value.as_ref()?;
        match serde_json::from_slice::<StoredReport>(content) {
            Ok(found) => {
                self.stored.insert(row.key.clone(), (found.clone(), row.version));
                Some(found)
            }
            Err(error) => {
                log::error!(key = row.key.as_str(), row = row.version; "report not understood: {error}");
                None
            }
        }
    }

    /// Takes a row that was deleted; gives the report that it held.
    pub fn unlearn(&mut self, row: &Row) -> Option<StoredReport> {
        self.stored.shift_remove(&row.key).map(|(report, _)| report)
    }

    /// Rows known here that the store doesn't hold any more, as deleted.
    #[must_use]
    pub fn missing(&self, all: &Snapshot) -> Vec<Row> {
        let present: IndexSet<&str> = all.rows.iter().map(|row| row.key.as_str()).collect();
        let missing = self.stored.keys().filter(|key| !present.contains(key.as_str())).cloned();
        missing.map(|key| Row { origin: Origin::Fleet, key, value: None, version: all.version }).collect()
    }

    /// What to write, so that the store holds just the reports that are kept here; only those looked after here count.
    pub fn due(
        &mut self,
        now: Duration,
        kept: impl Iterator<Item = StoredReport>,
        looks_after: impl Fn(&CrashReport) -> bool,
    ) -> Option<Transaction> {
        let mut transaction = Transaction::default();
        let mut current = IndexSet::new();
        for row in kept {
            let key = format!("{PREFIX}{}", row.report.key());
            if looks_after(&row.report) && self.is_due(now, &key, &row) {
                match serde_json::to_vec(&row) {
                    Ok(value) => transaction.puts.push(Put { at: RowKey::unpartitioned(Origin::Fleet, &key), value }),
                    Err(error) => log::error!(key = key.as_str(); "report can't be written as text: {error}"),
                }
            }
            current.insert(key);
        }
        let stale = self.stored.iter().filter(|(key, (row, _))| !current.contains(*key) && looks_after(&row.report));
        let stale = stale.filter(|(key, _)| self.is_free(now, key));
        transaction.deletes.extend(stale.map(|(key, _)| RowKey::unpartitioned(Origin::Fleet, key)));
        transaction.puts.truncate(BATCH);
        transaction.deletes.truncate(BATCH);
        self.note_written(now, &mut transaction);
        (!transaction.expected.is_empty()).then_some(transaction)
    }

    fn is_due(&self, now: Duration, key: &str, row: &StoredReport) -> bool {
        let Some((stored, _)) = self.stored.get(key) else { return self.is_free(now, key) };
        let is_rested = self.written.get(key).is_none_or(|at| now >= *at + REWRITE_PAUSE);
        let has_changed = stored.report.suspects.len() != row.report.suspects.len();
        is_rested && (has_changed || row.needed > stored.needed + RENEW_TIME)
    }

    fn is_free(&self, now: Duration, key: &str) -> bool {
        self.written.get(key).is_none_or(|at| now >= *at + WRITE_TIME)
    }

    fn note_written(&mut self, now: Duration, transaction: &mut Transaction) {
        self.written.retain(|_, at| now < *at + REWRITE_PAUSE);
        let keys = transaction.puts.iter().map(|put| &put.at).chain(&transaction.deletes);
        for at in keys.cloned().collect::<Vec<_>>() {
            let version = self.stored.get(&at.key).map_or(0, |(_, version)| *version);
            self.written.insert(at.key.clone(), now);
            transaction.expected.push((at, version));
        }
    }
}

/// Rows that a committed transaction left in the store, or deleted from it.
#[must_use]
pub fn committed_rows(transaction: &Transaction, version: u64) -> Vec<Row> {
    let put = |put: &Put| (put.at.key.clone(), Some(put.value.clone()));
    let gone = |at: &RowKey| (at.key.clone(), None);
    let written = transaction.puts.iter().map(put).chain(transaction.deletes.iter().map(gone));
    written.map(|(key, value)| Row { origin: Origin::Fleet, key, value, version }).collect()
}

/// Reports read from the store.
#[derive(Debug, Clone)]
pub enum FoundReports {
    /// Rows that changed.
    Changes(Snapshot),
    /// All rows; others were deleted.
    All(Snapshot),
}

impl Records {
    /// Reports that changed after a version, once there are any; all of them without one, or when the store has
    /// forgotten what lies between.
    ///
    /// # Errors
    /// When the store can't be read.
    pub async fn reports(&self, after: Option<u64>, wait: Duration) -> Result<FoundReports, RecordError> {
        let ours = |mut found: Snapshot| {
            found.rows.retain(|row| row.key.starts_with(PREFIX));
            found
        };
        if let Some(after) = after
            && let Changes::Rows(found) = self.store.changes(Origin::Fleet, after, wait).await?
        {
            return Ok(FoundReports::Changes(ours(found)));
        }
        Ok(FoundReports::All(ours(self.store.snapshot(Origin::Fleet).await?)))
    }

    /// Writes reports on the condition that nobody else did.
    ///
    /// # Errors
    /// When nothing was written, or it is not known whether it was.
    pub async fn write_reports(&self, transaction: &Transaction) -> Result<TransactionOutcome, RecordError> {
        Ok(self.store.transact(transaction).await?)
    }
}
