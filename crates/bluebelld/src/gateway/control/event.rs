//! What the control thread takes.

use std::time::Duration;

use bluebell_core::{
    ids::InstanceId,
    poison::Fingerprint,
    replica::{Origin, Row},
    upstreams::Life,
};
use bluebell_wire::messages::{AgedCrashReport, GatewayAddress, GatewayStatus};
use tokio::sync::mpsc;

/// What the control thread takes.
#[derive(Debug)]
pub enum Event {
    /// Rows that changed, from the store.
    Changes {
        /// The rows.
        rows: Vec<Row>,
        /// Time on the store's clock.
        clock: Duration,
    },
    /// All rows of an origin.
    Snapshot {
        /// The origin.
        origin: Origin,
        /// The rows.
        rows: Vec<Row>,
        /// Version of the store.
        version: u64,
        /// Time on the store's clock.
        clock: Duration,
    },
    /// The store could not be read or written.
    StoreFailed(String),
    /// A peer named itself.
    Hello(GatewayAddress),
    /// Rows that a peer learnt.
    PeerRows {
        /// The peer.
        peer: InstanceId,
        /// The rows.
        rows: Vec<Row>,
        /// Versions of its snapshots, where these are all of its rows.
        snapshots: Vec<(Origin, u64)>,
    },
    /// What a peer does.
    Standing(InstanceId, Box<GatewayStatus>),
    /// What a peer tells of upstreams that ended.
    Crashes(InstanceId, Vec<AgedCrashReport>),
    /// Requests that a peer saw answered.
    Answered(InstanceId, Vec<Fingerprint>),
    /// Requests that were answered after the ends of these upstreams, by a peer.
    Cleared(InstanceId, Vec<(Life, Vec<Fingerprint>)>),
    /// A connection to a peer opened or broke.
    Link(InstanceId, bool),
    /// This process is leaving.
    Leave,
}

/// Sends events to the control thread.
pub type Events = mpsc::UnboundedSender<Event>;
