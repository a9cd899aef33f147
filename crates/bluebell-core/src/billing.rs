//! Billing rows that are held until the platform's table has them.
//!
//! Each request has one row, inserted only if absent, so that writing it twice bills once. A row stays in the
//! outbox until a write is known to have taken effect; a write whose outcome is unknown is sent again. When the
//! outbox is full the entry refuses new work: no row is ever dropped.

use std::time::Duration;

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

use crate::{
    ids::{OrgId, RequestId, VersionId},
    units::{Cost, Priority, Tokens},
};

/// Rows that one write carries at most.
pub const BATCH_ROWS: usize = 512;
/// Rows that an outbox holds at most.
pub const OUTBOX_ROWS: usize = 200_000;
/// Time for which rows gather before they are written.
pub const FLUSH_PERIOD: Duration = Duration::from_millis(2000);
/// Time for which the row of a whole answer is held for the entry that is to store it.
pub const HOLD_PERIOD: Duration = Duration::from_secs(10);
/// Pause after a write that failed.
pub const RETRY_PAUSE: Duration = Duration::from_millis(500);

/// What one request is billed for.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct BillRow {
    /// The request.
    pub request: RequestId,
    /// Organisation that pays.
    pub org: OrgId,
    /// Version that gave the last tokens.
    pub version: VersionId,
    /// Rank it was served under.
    pub priority: Priority,
    /// Tokens read.
    pub prompt: Tokens,
    /// Tokens generated, over all attempts.
    pub output: Tokens,
    /// Cost of all attempts.
    pub cost: Cost,
    /// Attempts that started.
    pub attempts: u32,
}

/// What the outbox is told.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum BillingEvent {
    /// A request was answered.
    Add(BillRow),
    /// The batch on its way took effect.
    Stored,
    /// The batch on its way failed, or its outcome is unknown.
    Failed,
    /// Write what there is without waiting for the period, rows held for others included.
    Flush,
    /// A row that another instance stores; to be stored here if its word doesn't come in time.
    Hold {
        /// The row.
        row: BillRow,
        /// Time to wait.
        period: Duration,
    },
    /// Rows that the other instance has stored.
    Settled(Vec<RequestId>),
}

/// What the outbox asks for.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum BillingEffect {
    /// Insert each row if it is absent.
    Insert(Vec<BillRow>),
}

#[derive(Debug)]
struct Held {
    row: BillRow,
    until: Duration,
}

/// Rows not yet known to be stored.
#[derive(Debug, Default)]
pub struct Outbox {
    rows: IndexMap<RequestId, BillRow>,
    held: IndexMap<RequestId, Held>,
    sent: usize,
    due: Option<Duration>,
}

impl Outbox {
    /// Number of rows here.
    #[must_use]
    pub fn len(&self) -> usize {
        self.rows.len() + self.held.len()
    }

    /// Whether no row is here.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Whether new work has to be refused.
    #[must_use]
    pub fn is_full(&self) -> bool {
        self.len() >= OUTBOX_ROWS
    }

    /// All rows here, for handing them to a peer.
    pub fn rows(&self) -> impl Iterator<Item = &BillRow> {
        self.rows.values().chain(self.held.values().map(|held| &held.row))
    }

    /// Takes an event.
    pub fn handle(&mut self, now: Duration, event: BillingEvent) -> Option<BillingEffect> {
        match event {
            BillingEvent::Add(row) => self.add(now, row),
            BillingEvent::Stored => self.stored(now),
            BillingEvent::Failed => {
                self.sent = 0;
                self.due = Some(now + RETRY_PAUSE);
            }
            BillingEvent::Flush => {
                self.release(now, Duration::MAX);
                self.due = Some(now);
            }
            BillingEvent::Hold { row, period } => self.hold(now + period, row),
            BillingEvent::Settled(requests) => self.settle(&requests),
        }
        self.tick(now)
    }

    /// Sends the next batch when it is due.
    pub fn tick(&mut self, now: Duration) -> Option<BillingEffect> {
        self.release(now, now);
        let due = self.due.is_some_and(|due| due <= now) || self.due.is_some() && self.rows.len() >= BATCH_ROWS;
        if self.sent > 0 || !due || self.rows.is_empty() {
            return None;
        }
        self.sent = self.rows.len().min(BATCH_ROWS);
        self.due = None;
        Some(BillingEffect::Insert(self.rows.values().take(self.sent).cloned().collect()))
    }

    // A row that is already on its way keeps its first content: the table would keep that one too.
    fn add(&mut self, now: Duration, row: BillRow) {
        self.rows.entry(row.request.clone()).or_insert(row);
        if self.sent == 0 && self.due.is_none() {
            self.due = Some(now + FLUSH_PERIOD);
        }
    }

    fn hold(&mut self, until: Duration, row: BillRow) {
        self.held.insert(row.request.clone(), Held { row, until });
    }

    fn settle(&mut self, requests: &[RequestId]) {
        for request in requests {
            self.held.shift_remove(request);
        }
    }

    fn release(&mut self, now: Duration, due: Duration) {
        let overdue: Vec<BillRow> =
            self.held.extract_if(.., |_, held| held.until <= due).map(|(_, held)| held.row).collect();
        for row in overdue {
            self.add(now, row);
        }
    }

    fn stored(&mut self, now: Duration) {
        self.rows.drain(..self.sent);
        self.sent = 0;
        if !self.rows.is_empty() {
            self.due = Some(now + FLUSH_PERIOD);
        }
    }
}
