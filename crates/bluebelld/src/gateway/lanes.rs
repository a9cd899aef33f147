//! A queue with two lanes, of which the urgent one goes first. While many upstreams crash, thousands of reports are queued at a
//! gateway, and changes of declarations must not wait behind them.

use snafu::{OptionExt, Snafu};
use tokio::sync::mpsc;

/// Lane of a queued item.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Lane {
    /// Taken before all deferred items.
    Urgent,
    /// Taken when there are no urgent items.
    Deferred,
}

/// The receiver is gone.
#[derive(Debug, Snafu)]
#[snafu(display("the receiver of the queue is gone"))]
pub struct LaneClosed;

/// Sender of a queue with two lanes.
#[derive(Debug)]
pub struct LaneSender<T> {
    urgent: mpsc::UnboundedSender<T>,
    deferred: mpsc::UnboundedSender<T>,
}

/// Receiver of a queue with two lanes.
#[derive(Debug)]
pub struct LaneQueue<T> {
    urgent: mpsc::UnboundedReceiver<T>,
    deferred: mpsc::UnboundedReceiver<T>,
}

/// Creates an empty queue.
#[must_use]
pub fn lanes<T>() -> (LaneSender<T>, LaneQueue<T>) {
    let (urgent_sender, urgent) = mpsc::unbounded_channel();
    let (deferred_sender, deferred) = mpsc::unbounded_channel();
    (LaneSender { urgent: urgent_sender, deferred: deferred_sender }, LaneQueue { urgent, deferred })
}

impl<T> Clone for LaneSender<T> {
    fn clone(&self) -> Self {
        Self { urgent: self.urgent.clone(), deferred: self.deferred.clone() }
    }
}

impl<T> LaneSender<T> {
    /// Queues an item.
    ///
    /// # Errors
    /// When the receiver is gone.
    pub fn send(&self, lane: Lane, item: T) -> Result<(), LaneClosed> {
        let sender = match lane {
            Lane::Urgent => &self.urgent,
            Lane::Deferred => &self.deferred,
        };
        sender.send(item).ok().context(LaneClosedSnafu)
    }
}

impl<T> LaneQueue<T> {
    /// Waits for the next item; none once all senders are gone.
    pub async fn next(&mut self) -> Option<T> {
        tokio::select! {
            biased;
            Some(item) = self.urgent.recv() => Some(item),
            Some(item) = self.deferred.recv() => Some(item),
            else => None,
        }
    }

    /// The next item, if there is one.
    pub fn try_next(&mut self) -> Option<T> {
        self.urgent.try_recv().or_else(|_| self.deferred.try_recv()).ok()
    }

    /// Number of queued items.
    #[must_use]
    pub fn len(&self) -> usize {
        self.urgent.len() + self.deferred.len()
    }

    /// Whether no items are queued.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }
}
