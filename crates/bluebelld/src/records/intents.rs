//! Rows that later sends of a request find: intents of calls that may not be repeated, session pins, and bills.

use bluebell_core::{
    billing::BillRow,
    ids::{AttemptId, OrgId, VersionId},
    intent::{IntentRow, StoredReply},
    routing::rendezvous,
};

use bluebell_platform::store::{RowKey, Transaction};
use futures_util::future::join_all;
use indexmap::IndexMap;

use super::table::{Expect, RecordError, Records, parse, put, record};

/// Partitions of bills: as many as use up the store's writes, 400/s in all and 200/s in a partition.
const BILL_PARTS: u64 = 2;
/// Bills of one transaction: each is a condition and a row, and the store takes 100 of both together.
const BILL_ROWS: usize = 50;

/// An intent with the version of its row.
#[derive(Debug, Clone, PartialEq)]
pub struct StoredIntent {
    /// The row.
    pub row: IntentRow,
    /// Version of the row.
    pub version: u64,
}

fn intent_at(org: &OrgId, key: &str) -> RowKey {
    record(format!("intent/{org}"), key)
}

fn session_at(org: &OrgId, session: &str) -> RowKey {
    record(format!("session/{org}"), session)
}

// A request has the same partition at whichever instance its bill is written.
fn bill_at(row: &BillRow) -> RowKey {
    let part = rendezvous::score(row.request.as_str(), "bill") % BILL_PARTS;
    record(format!("bill/{part}"), row.request.to_string())
}

impl Records {
    /// The intent under an organisation's idempotency key.
    ///
    /// # Errors
    /// When the store can't be read.
    pub async fn intent(&self, org: &OrgId, key: &str) -> Result<Option<StoredIntent>, RecordError> {
        let Some(row) = self.store.row(&intent_at(org, key)).await? else {
            return Ok(None);
        };
        Ok(Some(StoredIntent { row: parse(&row)?, version: row.version }))
    }

    /// Writes an intent, on condition that it is absent or has not moved; tells whether it was written.
    ///
    /// # Errors
    /// When the write did not take effect, or it is not known whether it did.
    pub async fn write_intent(
        &self,
        org: &OrgId,
        key: &str,
        next: &IntentRow,
        before: Option<u64>,
    ) -> Result<bool, RecordError> {
        self.write(intent_at(org, key), Expect::from_seen(before), next).await
    }

    /// Stores the reply of an attempt, unless another attempt has taken the key over.
    ///
    /// # Errors
    /// When it is not known that the reply is stored.
    pub async fn complete_intent(
        &self,
        org: &OrgId,
        key: &str,
        attempt: &AttemptId,
        reply: &StoredReply,
    ) -> Result<(), RecordError> {
        let Some(found) = self.intent(org, key).await? else {
            return Ok(());
        };
        if found.row.reply.is_some() || found.row.reservation.attempt != *attempt {
            return Ok(());
        }
        let row = IntentRow { reply: Some(reply.clone()), ..found.row };
        // Whoever moved the row meanwhile stored the same reply.
        self.write_intent(org, key, &row, Some(found.version)).await.map(|_| ())
    }

    /// Version to which a session is pinned, pinning it to the one proposed if it has none.
    ///
    /// # Errors
    /// When the store can't be read or written.
    pub async fn pin_session(
        &self,
        org: &OrgId,
        session: &str,
        proposed: &VersionId,
    ) -> Result<VersionId, RecordError> {
        // Whether or not the write took effect, the row says which version the session has.
        if self.write(session_at(org, session), Expect::Absent, proposed).await? {
            return Ok(proposed.clone());
        }
        self.session(org, session).await.map(|found| found.unwrap_or_else(|| proposed.clone()))
    }

    /// Version to which a session is pinned.
    ///
    /// # Errors
    /// When the store can't be read.
    pub async fn session(&self, org: &OrgId, session: &str) -> Result<Option<VersionId>, RecordError> {
        self.store.row(&session_at(org, session)).await?.map(|row| parse(&row)).transpose()
    }

    /// Inserts each billing row that is absent.
    ///
    /// # Errors
    /// When it is not known that all rows are there.
    pub async fn insert_bills(&self, rows: &[BillRow]) -> Result<(), RecordError> {
        let mut parts: IndexMap<String, Vec<&BillRow>> = IndexMap::new();
        for row in rows {
            parts.entry(bill_at(row).part).or_default().push(row);
        }
        // Each transaction is tried whatever becomes of the others.
        let chunks = parts.values().flat_map(|rows| rows.chunks(BILL_ROWS));
        let results = join_all(chunks.map(|rows| self.insert_chunk(rows))).await;
        results.into_iter().collect()
    }

    async fn insert_chunk(&self, rows: &[&BillRow]) -> Result<(), RecordError> {
        if self.insert_absent(rows).await? {
            return Ok(());
        }
        // Some of them are there already; the others still have to be.
        for row in rows {
            self.insert_absent(&[row]).await?;
        }
        Ok(())
    }

    // Tells whether all rows were absent and are now written.
    async fn insert_absent(&self, rows: &[&BillRow]) -> Result<bool, RecordError> {
        let puts = rows.iter().map(|row| put(bill_at(row), row)).collect::<Result<Vec<_>, _>>()?;
        let expected = rows.iter().map(|row| (bill_at(row), Expect::Absent.version())).collect();
        self.commits(&Transaction { expected, puts, ..Transaction::default() }).await
    }
}
