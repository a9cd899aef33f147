//! Messages queued for one peer. Store rows go before all others: most gateways of a large fleet hear of changes from peers
//! alone, and when many upstreams crash, the reports to a peer with little processor time queue up for seconds. Rows that
//! hold crash reports go last, as peers hear of the crashes by messages as well. Statuses go before reports, and tell the age
//! of the store's answer as of the time at which they are sent, since peers rely on it. Messages of one kind that are queued
//! one behind the other are sent as one, so that a peer that is slow to acknowledge gets fewer of them.

use std::{sync::Arc, time::Duration};

use bluebell_core::{clock::Clock, replica::Row};
use bluebell_wire::messages::{ExchangeMessage, GatewayStatus};
use tokio::sync::mpsc;

use crate::records::is_report;

/// Messages of each kind that may be queued. Further ones are dropped: such a connection is expected to time out.
const CAPACITY: usize = 512;
/// Rows up to which queued messages with rows are sent as one.
pub const MAX_ROWS: usize = 256;

/// Reports, or crashes of which requests were cleared, up to which queued messages are sent as one.
pub const MAX_REPORTS: usize = 32;
/// Answered requests up to which queued messages are sent as one.
const MAX_ANSWERED: usize = 256;

/// Sender of messages to one peer.
pub struct Outbox {
    rows: mpsc::Sender<Vec<Row>>,
    statuses: mpsc::Sender<QueuedStatus>,
    others: mpsc::Sender<ExchangeMessage>,
    reports: mpsc::Sender<Vec<Row>>,
    clock: Arc<dyn Clock>,
}

struct QueuedStatus {
    status: Box<GatewayStatus>,
    // When it was queued.
    at: Duration,
}

/// Queued messages for one peer.
pub struct OutboxQueue {
    rows: mpsc::Receiver<Vec<Row>>,
    statuses: mpsc::Receiver<QueuedStatus>,
    others: mpsc::Receiver<ExchangeMessage>,
    // Taken from `others`, but of another kind than the message before it.
    held: Option<ExchangeMessage>,
    reports: mpsc::Receiver<Vec<Row>>,
    clock: Arc<dyn Clock>,
}

impl Outbox {
    /// Creates an empty queue.
    #[must_use]
    pub fn new(clock: Arc<dyn Clock>) -> (Self, OutboxQueue) {
        let (rows, queued_rows) = mpsc::channel(CAPACITY);
        let (statuses, queued_statuses) = mpsc::channel(CAPACITY);
        let (others, queued_others) = mpsc::channel(CAPACITY);
        let (reports, queued_reports) = mpsc::channel(CAPACITY);
        let queue = OutboxQueue {
            rows: queued_rows,
            statuses: queued_statuses,
            others: queued_others,
            held: None,
            reports: queued_reports,
            clock: Arc::clone(&clock),
        };
        (Self { rows, statuses, others, reports, clock }, queue)
    }

    /// Queues a message. Returns whether there was room.
    #[must_use]
    pub fn send(&self, message: ExchangeMessage) -> bool {
        match message {
            ExchangeMessage::Rows(rows) => {
                let (reports, rows): (Vec<Row>, Vec<Row>) = rows.into_iter().partition(is_report);
                let send =
                    |lane: &mpsc::Sender<Vec<Row>>, rows: Vec<Row>| rows.is_empty() || lane.try_send(rows).is_ok();
                send(&self.rows, rows) & send(&self.reports, reports)
            }
            ExchangeMessage::Status(status) => {
                self.statuses.try_send(QueuedStatus { status, at: self.clock.now() }).is_ok()
            }
            other => self.others.try_send(other).is_ok(),
        }
    }
}

impl OutboxQueue {
    /// Whether the sender is gone.
    #[must_use]
    pub fn is_closed(&self) -> bool {
        self.others.is_closed()
    }

    /// Drops all queued messages.
    pub fn clear(&mut self) {
        while self.rows.try_recv().is_ok() {}
        while self.statuses.try_recv().is_ok() {}
        self.held = None;
        while self.others.try_recv().is_ok() {}
        while self.reports.try_recv().is_ok() {}
    }

    /// Next message: rows first, then statuses, rows with crash reports last; none once the sender is gone.
    pub async fn next(&mut self) -> Option<ExchangeMessage> {
        if let Ok(rows) = self.rows.try_recv() {
            return Some(merge_rows(rows, &mut self.rows));
        }
        if let Ok(queued) = self.statuses.try_recv() {
            return Some(self.status(queued));
        }
        if let Some(message) = self.held.take() {
            return Some(self.merge_queued(message));
        }
        tokio::select! {
            biased;
            Some(rows) = self.rows.recv() => Some(merge_rows(rows, &mut self.rows)),
            Some(queued) = self.statuses.recv() => Some(self.status(queued)),
            message = self.others.recv() => message.map(|message| self.merge_queued(message)),
            Some(rows) = self.reports.recv() => Some(merge_rows(rows, &mut self.reports)),
        }
    }

    // A status, with the time for which it was queued in the age that it tells.
    fn status(&self, queued: QueuedStatus) -> ExchangeMessage {
        let mut status = queued.status;
        let waited = self.clock.now().saturating_sub(queued.at);
        if let Some(age) = status.reading.as_mut().and_then(|reading| reading.answer_age.as_mut()) {
            *age = age.saturating_add(waited);
        }
        ExchangeMessage::Status(status)
    }

    // Adds the messages of the same kind that are queued behind a message.
    fn merge_queued(&mut self, mut message: ExchangeMessage) -> ExchangeMessage {
        while let Ok(next) = self.others.try_recv() {
            self.held = merge(&mut message, next);
            if self.held.is_some() {
                break;
            }
        }
        message
    }
}

// Adds a message to one of the same kind. Returns it if it is of another kind, or if there would be too much in one.
fn merge(message: &mut ExchangeMessage, next: ExchangeMessage) -> Option<ExchangeMessage> {
    match (message, next) {
        (ExchangeMessage::Crashes(all), ExchangeMessage::Crashes(more)) if all.len() + more.len() <= MAX_REPORTS => {
            all.extend(more);
        }
        (ExchangeMessage::Cleared(all), ExchangeMessage::Cleared(more)) if all.len() + more.len() <= MAX_REPORTS => {
            all.extend(more);
        }
        (ExchangeMessage::Answered(all), ExchangeMessage::Answered(more)) if all.len() + more.len() <= MAX_ANSWERED => {
            all.extend(more);
        }
        (_, next) => return Some(next),
    }
    None
}

// Adds the rows that are queued behind the given ones.
fn merge_rows(mut rows: Vec<Row>, queue: &mut mpsc::Receiver<Vec<Row>>) -> ExchangeMessage {
    while rows.len() < MAX_ROWS
        && let Ok(more) = queue.try_recv()
    {
        rows.extend(more);
    }
    ExchangeMessage::Rows(rows)
}
