//! What this gateway knows of its peers' status, and what it has told them of its own.

use std::time::Duration;

use bluebell_core::{ids::UpstreamId, units::Rate, upstreams::UpstreamIncarnation};
use bluebell_wire::messages::{GatewayStatus, ReadStatus, ReleaseTally};

/// Latest status of a peer.
#[derive(Debug, Default)]
pub(super) struct PeerStatus {
    pub(super) received_at: Duration,
    // Whether the peer reaches the store.
    pub(super) has_store: bool,
    // How the peer reads the store; none if its version does not say.
    pub(super) reading: Option<ReadStatus>,
    // Whether the peer tells this gateway its load.
    pub(super) tells_loads: bool,
    // All tallies that it has sent, each in its latest state.
    pub(super) tallies: Vec<ReleaseTally>,
}

impl PeerStatus {
    pub(super) fn merge_tallies(&mut self, changed: Vec<ReleaseTally>) {
        for row in changed {
            let is_same = |known: &&mut ReleaseTally| {
                (&known.service, &known.release, &known.work) == (&row.service, &row.release, &row.work)
            };
            match self.tallies.iter_mut().find(is_same) {
                Some(known) => *known = row,
                None => self.tallies.push(row),
            }
        }
    }
}

/// What this gateway has told its peers about the roll-out in progress.
#[derive(Debug, Default)]
pub(super) struct SentStatus {
    // Time from which sessions are sent.
    pub(super) sessions_from: Duration,
    pub(super) tallies: Vec<ReleaseTally>,
    // What all peers must hear of at once.
    pub(super) urgent: Urgent,
}

/// The part of a status that all peers must hear of as soon as it changes, without ages.
#[derive(Debug, Clone, Default, PartialEq)]
pub(super) struct Urgent {
    connected: bool,
    reads: bool,
    rejected: Vec<u64>,
    limits: Vec<(UpstreamIncarnation, Option<Rate>)>,
    departures: Vec<UpstreamIncarnation>,
    suspects: Vec<(UpstreamId, u32)>,
}

impl Urgent {
    pub(super) fn of(status: &GatewayStatus) -> Self {
        let suspected = status.loads.iter().filter(|load| load.suspects > 0);
        Self {
            connected: status.connected,
            reads: status.reading.as_ref().is_some_and(|reading| reading.reads),
            rejected: status.rejected.clone(),
            limits: status.limits.iter().map(|limit| (limit.incarnation.clone(), limit.limit)).collect(),
            departures: status.departures.iter().map(|(incarnation, _)| incarnation.clone()).collect(),
            suspects: suspected.map(|load| (load.upstream.clone(), load.suspects)).collect(),
        }
    }
}
