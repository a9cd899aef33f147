//! Events handled by the control thread, and their queue.

use std::{sync::Arc, time::Duration};

use bluebell_core::{
    clock::Clock,
    ids::InstanceId,
    poison::Fingerprint,
    replica::{Origin, Row},
    upstreams::UpstreamIncarnation,
};
use bluebell_wire::messages::{AgedCrashReport, GatewayAddress, GatewayStatus};

use crate::{
    gateway::lanes::{Lane, LaneClosed, LaneQueue, LaneSender, lanes},
    records::is_report,
};

/// An event handled by the control thread.
#[derive(Debug)]
pub enum Event {
    /// Rows that changed in the store, as a read of the change feed of an origin answered.
    FeedRead {
        /// Origin of the rows.
        origin: Origin,
        /// Changed rows, which may be none.
        rows: Vec<Row>,
        /// Store version up to which all changes are known with these.
        version: u64,
        /// Current time on the store's clock.
        clock: Duration,
    },
    /// Rows that this gateway has written to the store.
    Changes {
        /// Changed rows.
        rows: Vec<Row>,
        /// Current time on the store's clock.
        clock: Duration,
    },
    /// Snapshot of all rows of an origin, from the store.
    Snapshot {
        /// Origin of the rows.
        origin: Origin,
        /// All rows of the origin.
        rows: Vec<Row>,
        /// Store version of the snapshot.
        version: u64,
        /// Current time on the store's clock.
        clock: Duration,
    },
    /// The rows of an origin could not be read from the store.
    StoreFailed {
        /// Origin of the rows.
        origin: Origin,
        /// Reason for the failure.
        reason: String,
    },
    /// A peer announced its id and address.
    Hello(GatewayAddress),
    /// Rows received from a peer.
    PeerRows {
        /// Peer that sent them.
        peer: InstanceId,
        /// Rows that changed, or all rows of the peer.
        rows: Vec<Row>,
        /// Versions of the peer's snapshots if `rows` are all of its rows, otherwise empty.
        snapshots: Vec<(Origin, u64)>,
    },
    /// A peer's periodic status.
    Status(InstanceId, Box<GatewayStatus>),
    /// Crash reports received from a peer.
    Crashes(InstanceId, Vec<AgedCrashReport>),
    /// Requests that a peer saw answered.
    Answered(InstanceId, Vec<Fingerprint>),
    /// Requests that were answered after the given crashes, received from a peer.
    CrashesCleared(InstanceId, Vec<(UpstreamIncarnation, Vec<Fingerprint>)>),
    /// A peer asks for the rows of these origins that are later than the given versions.
    Fetch(InstanceId, Vec<(Origin, u64)>),
    /// The connection to a peer was opened or lost.
    ConnectionChanged {
        /// Peer at the other end.
        peer: InstanceId,
        /// Whether it is connected now.
        connected: bool,
    },
    /// This process is leaving.
    Leave,
}

impl Event {
    /// Name of the kind of event.
    pub fn kind(&self) -> &'static str {
        match self {
            Self::FeedRead { .. } => "feed_read",
            Self::Changes { .. } => "changes",
            Self::Snapshot { .. } => "snapshot",
            Self::StoreFailed { .. } => "store_failed",
            Self::Hello(_) => "hello",
            Self::PeerRows { .. } => "peer_rows",
            Self::Status(..) => "status",
            Self::Crashes(..) => "crashes",
            Self::Answered(..) => "answered",
            Self::CrashesCleared(..) => "crashes_cleared",
            Self::Fetch(..) => "fetch",
            Self::ConnectionChanged { .. } => "connection",
            Self::Leave => "leave",
        }
    }

    // Reports of crashes are deferred, and so are all rows of a peer: the peer's reports must be known before these rows.
    fn lane(&self) -> Lane {
        match self {
            Self::Crashes(..) | Self::Answered(..) | Self::CrashesCleared(..) => Lane::Deferred,
            Self::PeerRows { rows, snapshots, .. } if !snapshots.is_empty() || rows.iter().all(is_report) => {
                Lane::Deferred
            }
            _ => Lane::Urgent,
        }
    }

    /// Whether the event brings rows from the store.
    pub fn has_rows(&self) -> bool {
        matches!(self, Self::FeedRead { rows, .. } | Self::Snapshot { rows, .. } if !rows.is_empty())
    }
}

/// An event in the queue.
#[derive(Debug)]
pub struct Queued {
    /// The event.
    pub event: Event,
    /// When it was queued.
    pub at: Duration,
}

/// Sender of events to the control thread.
#[derive(Clone)]
pub struct EventSender {
    queue: LaneSender<Queued>,
    clock: Arc<dyn Clock>,
}

/// Queue of the control thread's events.
pub type EventQueue = LaneQueue<Queued>;

/// Creates an empty queue. The clock tells when each event was queued.
#[must_use]
pub fn event_queue(clock: Arc<dyn Clock>) -> (EventSender, EventQueue) {
    let (queue, events) = lanes();
    (EventSender { queue, clock }, events)
}

impl EventSender {
    /// Queues an event.
    ///
    /// # Errors
    /// When the control thread is gone, which happens only while the process exits.
    pub fn send(&self, event: Event) -> Result<(), LaneClosed> {
        self.queue.send(event.lane(), Queued { event, at: self.clock.now() })
    }
}
