//! Rows per request or session that repeated requests look up: intents of calls that are not idempotent, session pins,
//! and billing rows.

use bluebell_core::{
    billing::BillRow,
    ids::{AttemptId, OrgId, VersionId},
    intent::{IntentRow, StoredReply},
    routing::rendezvous,
};

use bluebell_platform::store::{RowKey, Transaction};
use futures_util::future::join_all;
use indexmap::IndexMap;

use super::table::{Precondition, RecordError, Records, parse, put, row_key};

/// Number of partitions of billing rows. Two suffice to use the store's whole write rate: it allows 400 writes/s in
/// total and 200 writes/s per partition.
const BILL_PARTITIONS: u64 = 2;
/// Maximum number of billing rows in one transaction. Each takes one condition and one row, and the store accepts 100
/// of both together.
const MAX_TRANSACTION_BILLS: usize = 50;

/// An intent row with its version in the store.
#[derive(Debug, Clone, PartialEq)]
pub struct StoredIntent {
    /// Content of the row.
    pub row: IntentRow,
    /// Version of the row.
    pub version: u64,
}

fn intent_key(org: &OrgId, key: &str) -> RowKey {
    row_key(format!("intent/{org}"), key)
}

fn session_key(org: &OrgId, session: &str) -> RowKey {
    row_key(format!("session/{org}"), session)
}

// The partition depends only on the request, so every instance that writes its billing row uses the same key.
fn bill_key(row: &BillRow) -> RowKey {
    let part = rendezvous::score(row.request.as_str(), "bill") % BILL_PARTITIONS;
    row_key(format!("bill/{part}"), row.request.to_string())
}

impl Records {
    /// Reads the intent stored under an organisation's idempotency key.
    ///
    /// # Errors
    /// When the store can't be read.
    pub async fn intent(&self, org: &OrgId, key: &str) -> Result<Option<StoredIntent>, RecordError> {
        let Some(row) = self.store.row(&intent_key(org, key)).await? else {
            return Ok(None);
        };
        Ok(Some(StoredIntent { row: parse(&row)?, version: row.version }))
    }

    /// Writes an intent if its row still has the version `before`, or is still absent if `before` is none; returns
    /// whether it was written.
    ///
    /// # Errors
    /// When the write failed, or its outcome is unknown.
    pub async fn write_intent(
        &self,
        org: &OrgId,
        key: &str,
        next: &IntentRow,
        before: Option<u64>,
    ) -> Result<bool, RecordError> {
        self.write(intent_key(org, key), Precondition::unchanged(before), next).await
    }

    /// Stores the reply of an attempt, unless another attempt has taken over the idempotency key.
    ///
    /// # Errors
    /// When the reply may not have been stored.
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
        // On a conflict, whoever changed the row in the meantime stored the same reply.
        self.write_intent(org, key, &row, Some(found.version)).await.map(|_| ())
    }

    /// Pins a session to the proposed version unless it is already pinned, and returns the version that it is pinned
    /// to.
    ///
    /// # Errors
    /// When the store can't be read or written.
    pub async fn pin_session(
        &self,
        org: &OrgId,
        session: &str,
        proposed: &VersionId,
    ) -> Result<VersionId, RecordError> {
        // On a conflict the row holds the version that the session is pinned to.
        if self.write(session_key(org, session), Precondition::Absent, proposed).await? {
            return Ok(proposed.clone());
        }
        self.session(org, session).await.map(|found| found.unwrap_or_else(|| proposed.clone()))
    }

    /// Returns the version that a session is pinned to.
    ///
    /// # Errors
    /// When the store can't be read.
    pub async fn session(&self, org: &OrgId, session: &str) -> Result<Option<VersionId>, RecordError> {
        self.store.row(&session_key(org, session)).await?.map(|row| parse(&row)).transpose()
    }

    /// Inserts those billing rows that are absent.
    ///
    /// # Errors
    /// When some of the rows may not have been stored.
    pub async fn insert_bills(&self, rows: &[BillRow]) -> Result<(), RecordError> {
        let mut parts: IndexMap<String, Vec<&BillRow>> = IndexMap::new();
        for row in rows {
            parts.entry(bill_key(row).part).or_default().push(row);
        }
        // All transactions are attempted even if some fail.
        let chunks = parts.values().flat_map(|rows| rows.chunks(MAX_TRANSACTION_BILLS));
        let results = join_all(chunks.map(|rows| self.insert_chunk(rows))).await;
        results.into_iter().collect()
    }

    async fn insert_chunk(&self, rows: &[&BillRow]) -> Result<(), RecordError> {
        if self.insert_absent(rows).await? {
            return Ok(());
        }
        // At least one row exists already: insert the others one by one.
        for row in rows {
            self.insert_absent(&[row]).await?;
        }
        Ok(())
    }

    // Inserts the rows in one transaction; returns false, without an insert, if one of them exists already.
    async fn insert_absent(&self, rows: &[&BillRow]) -> Result<bool, RecordError> {
        let puts = rows.iter().map(|row| put(bill_key(row), row)).collect::<Result<Vec<_>, _>>()?;
        let expected = rows.iter().map(|row| (bill_key(row), Precondition::Absent.version())).collect();
        self.try_commit(&Transaction { expected, puts, ..Transaction::default() }).await
    }
}
