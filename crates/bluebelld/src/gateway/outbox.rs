//! Messages queued for one peer. Store rows go before all others: most gateways of a large fleet hear of changes from peers
//! alone, and when many upstreams crash, the reports to a peer with little processor time queue up for seconds. Rows that
//! hold crash reports go last, as peers hear of the crashes by messages as well.

use bluebell_core::replica::Row;
use bluebell_wire::messages::ExchangeMessage;
use tokio::sync::mpsc;

use crate::records::is_report;

/// Messages of each kind that may be queued. Further ones are dropped: such a connection is expected to time out.
const CAPACITY: usize = 512;
/// Rows up to which queued messages with rows are sent as one.
pub const MAX_ROWS: usize = 256;

/// Sender of messages to one peer.
pub struct Outbox {
    rows: mpsc::Sender<Vec<Row>>,
    others: mpsc::Sender<ExchangeMessage>,
    reports: mpsc::Sender<Vec<Row>>,
}

/// Queued messages for one peer.
pub struct OutboxQueue {
    rows: mpsc::Receiver<Vec<Row>>,
    others: mpsc::Receiver<ExchangeMessage>,
    reports: mpsc::Receiver<Vec<Row>>,
}

impl Outbox {
    /// Creates an empty queue.
    #[must_use]
    pub fn new() -> (Self, OutboxQueue) {
        let (rows, queued_rows) = mpsc::channel(CAPACITY);
        let (others, queued_others) = mpsc::channel(CAPACITY);
        let (reports, queued_reports) = mpsc::channel(CAPACITY);
        let queue = OutboxQueue { rows: queued_rows, others: queued_others, reports: queued_reports };
        (Self { rows, others, reports }, queue)
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
        while self.others.try_recv().is_ok() {}
        while self.reports.try_recv().is_ok() {}
    }

    /// Next message: rows first, rows with crash reports last; none once the sender is gone.
    pub async fn next(&mut self) -> Option<ExchangeMessage> {
        tokio::select! {
            biased;
            Some(rows) = self.rows.recv() => Some(merge(rows, &mut self.rows)),
            message = self.others.recv() => message,
            Some(rows) = self.reports.recv() => Some(merge(rows, &mut self.reports)),
        }
    }
}

// Adds the rows that are queued behind the given ones.
fn merge(mut rows: Vec<Row>, queue: &mut mpsc::Receiver<Vec<Row>>) -> ExchangeMessage {
    while rows.len() < MAX_ROWS
        && let Ok(more) = queue.try_recv()
    {
        rows.extend(more);
    }
    ExchangeMessage::Rows(rows)
}
