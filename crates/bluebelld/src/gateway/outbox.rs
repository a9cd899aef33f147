//! Messages queued for one peer. Store rows go before all others: most gateways of a large fleet hear of changes from peers
//! alone, and when many upstreams crash, the reports to a peer with little processor time queue up for seconds.

use bluebell_core::replica::Row;
use bluebell_wire::messages::ExchangeMessage;
use tokio::sync::mpsc;

/// Messages of each kind that may be queued. Further ones are dropped: such a connection is expected to time out.
const CAPACITY: usize = 512;
/// Rows up to which queued messages with rows are sent as one.
pub const MAX_ROWS: usize = 256;

/// Sender of messages to one peer.
pub struct Outbox {
    rows: mpsc::Sender<Vec<Row>>,
    others: mpsc::Sender<ExchangeMessage>,
}

/// Queued messages for one peer.
pub struct OutboxQueue {
    rows: mpsc::Receiver<Vec<Row>>,
    others: mpsc::Receiver<ExchangeMessage>,
}

impl Outbox {
    /// Creates an empty queue.
    #[must_use]
    pub fn new() -> (Self, OutboxQueue) {
        let (rows, queued_rows) = mpsc::channel(CAPACITY);
        let (others, queued_others) = mpsc::channel(CAPACITY);
        (Self { rows, others }, OutboxQueue { rows: queued_rows, others: queued_others })
    }

    /// Queues a message. Returns whether there was room.
    #[must_use]
    pub fn send(&self, message: ExchangeMessage) -> bool {
        match message {
            ExchangeMessage::Rows(rows) => self.rows.try_send(rows).is_ok(),
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
    }

    /// Next message, rows first; none once the sender is gone.
    pub async fn next(&mut self) -> Option<ExchangeMessage> {
        tokio::select! {
            biased;
            Some(mut rows) = self.rows.recv() => {
                while rows.len() < MAX_ROWS && let Ok(more) = self.rows.try_recv() {
                    rows.extend(more);
                }
                Some(ExchangeMessage::Rows(rows))
            }
            message = self.others.recv() => message,
        }
    }
}
