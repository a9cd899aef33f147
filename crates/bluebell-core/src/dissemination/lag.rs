//! How far a gateway's copy of the store's rows lags behind those of its peers.
//!
//! Rows reach most gateways of a large fleet by way of a few others, and each link of that way may lose or delay them. The
//! status messages of peers come on other ways: each says up to which version its sender knows the rows of each
//! origin. A gateway that hears of a later version and isn't brought it within [`LAG_GRACE`] gets the rows itself.

use std::time::Duration;

use indexmap::{IndexMap, map::Entry};

use crate::{ids::InstanceId, replica::Origin};

/// Time that forwarded rows have to arrive after a peer's word of them.
pub const LAG_GRACE: Duration = Duration::from_millis(250);
/// Time between two attempts to get the rows.
const RETRY_PAUSE: Duration = Duration::from_millis(500);

/// A version of an origin's rows that a peer knows and this gateway doesn't.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Lag {
    /// Origin of the rows.
    pub origin: Origin,
    /// Version that the peer knows.
    pub version: u64,
    /// The peer that told of it first.
    pub peer: InstanceId,
    /// Time since it did.
    pub age: Duration,
}

#[derive(Debug, Clone)]
struct Awaited {
    version: u64,
    peer: InstanceId,
    since: Duration,
    // When the rows are to be asked for next.
    due: Duration,
}

/// Compares what this gateway knows with what its peers know.
#[derive(Debug, Clone, Default)]
pub struct LagMonitor {
    // Version of the latest row known, by origin.
    latest: IndexMap<Origin, u64>,
    // Version up to which the store has told all rows, by origin.
    complete: IndexMap<Origin, u64>,
    awaited: IndexMap<Origin, Awaited>,
}

impl LagMonitor {
    /// Records that a row of this version is known.
    pub fn record_row(&mut self, origin: Origin, version: u64) {
        raise(&mut self.latest, origin, version);
        self.settle(origin);
    }

    /// Records that the store has told all rows up to a version.
    pub fn record_read(&mut self, origin: Origin, version: u64) {
        raise(&mut self.complete, origin, version);
        self.settle(origin);
    }

    /// Records a peer's word of the latest row that it knows.
    pub fn record_peer(&mut self, now: Duration, peer: &InstanceId, origin: Origin, version: u64) {
        if version <= self.known(origin) {
            return;
        }
        // The first one stays until it is known, so that rows which change all the time are asked for as well.
        if let Entry::Vacant(entry) = self.awaited.entry(origin) {
            entry.insert(Awaited { version, peer: peer.clone(), since: now, due: now + LAG_GRACE });
        }
    }

    /// Rows to be asked for now.
    pub fn take_due(&mut self, now: Duration) -> Vec<Lag> {
        let due = self.awaited.iter_mut().filter(|(_, awaited)| now >= awaited.due);
        due.map(|(origin, awaited)| {
            awaited.due = now + RETRY_PAUSE;
            let age = now.saturating_sub(awaited.since);
            Lag { origin: *origin, version: awaited.version, peer: awaited.peer.clone(), age }
        })
        .collect()
    }

    /// Version of the latest row known, by origin.
    pub fn latest(&self) -> impl Iterator<Item = (Origin, u64)> {
        self.latest.iter().map(|(origin, version)| (*origin, *version))
    }

    /// Version up to which the rows of an origin are known, as far as this gateway can tell; zero if none are.
    #[must_use]
    pub fn known(&self, origin: Origin) -> u64 {
        let version = |versions: &IndexMap<Origin, u64>| versions.get(&origin).copied().unwrap_or_default();
        version(&self.latest).max(version(&self.complete))
    }

    fn settle(&mut self, origin: Origin) {
        let known = self.known(origin);
        if self.awaited.get(&origin).is_some_and(|awaited| awaited.version <= known) {
            self.awaited.swap_remove(&origin);
        }
    }
}

fn raise(versions: &mut IndexMap<Origin, u64>, origin: Origin, version: u64) {
    let latest = versions.entry(origin).or_default();
    *latest = version.max(*latest);
}
