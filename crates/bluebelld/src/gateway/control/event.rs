//! Events handled by the control thread.

use std::time::Duration;

use bluebell_core::{
    ids::InstanceId,
    poison::Fingerprint,
    replica::{Origin, Row},
    upstreams::UpstreamIncarnation,
};
use bluebell_wire::messages::{AgedCrashReport, GatewayAddress, GatewayStatus};
use tokio::sync::mpsc;

/// An event handled by the control thread.
#[derive(Debug)]
pub enum Event {
    /// Rows that changed in the store, as a read of the change feed of an origin answered.
    FeedRead {
        /// Origin of the rows.
        origin: Origin,
        /// Changed rows, which may be none.
        rows: Vec<Row>,
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
    /// Whether the event brings rows from the store.
    pub fn has_rows(&self) -> bool {
        matches!(self, Self::FeedRead { rows, .. } | Self::Snapshot { rows, .. } if !rows.is_empty())
    }
}

/// Sender of events to the control thread.
pub type EventSender = mpsc::UnboundedSender<Event>;
