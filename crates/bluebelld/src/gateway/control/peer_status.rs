//! What this gateway knows of its peers' status, and what it has told them of its own.

use std::time::Duration;

use bluebell_wire::messages::{ReadStatus, ReleaseTally};

/// Latest status of a peer.
#[derive(Debug, Default)]
pub(super) struct PeerStatus {
    pub(super) received_at: Duration,
    // Whether the peer reaches the store.
    pub(super) has_store: bool,
    // How the peer reads the store; none if its version does not say.
    pub(super) reading: Option<ReadStatus>,
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
}
