//! How this gateway reads the store's change feeds: its own contact with the store, and the decision that the feeds follow.

use std::{sync::Arc, time::Duration};

use bluebell_core::{
    dissemination::{MemberContact, ReadMode, ReadSchedule},
    replica::Origin,
    store_version,
};
use indexmap::{IndexMap, IndexSet};
use tokio::sync::{Notify, watch};

/// Time for which a gateway reads after it was in sync for the first time, and after it lost a connection, as messages to it
/// or by way of that peer may be lost.
const CATCH_UP_TIME: Duration = Duration::from_secs(2);
/// Time for which a gateway reads after a peer has read a store that was restored from an older copy. In that time the
/// writers write again what the store lacks.
const RESTORE_TIME: Duration = Duration::from_secs(10);

/// How this gateway reads the store.
#[derive(Debug, Default)]
pub(super) struct Reading {
    schedule: ReadSchedule,
    mode: watch::Sender<ReadMode>,
    // When the store last answered a read, by origin.
    answered_at: IndexMap<Origin, Duration>,
    // Origins of which the latest read failed.
    failing: IndexSet<Origin>,
    era: u64,
    // Have the feeds read at once, whatever they wait for.
    refreshes: IndexMap<Origin, Arc<Notify>>,
}

impl Reading {
    /// The mode that the feeds follow.
    pub(super) fn subscribe(&self) -> watch::Receiver<ReadMode> {
        self.mode.subscribe()
    }

    /// What has the feed of an origin read at once.
    pub(super) fn refreshes(&mut self, origin: Origin) -> Arc<Notify> {
        Arc::clone(self.refreshes.entry(origin).or_default())
    }

    /// Has the feed of an origin read at once, also if the store is late to answer its present read.
    pub(super) fn refresh(&mut self, origin: Origin) {
        self.refreshes(origin).notify_one();
    }

    pub(super) fn record_snapshot(&mut self, version: u64) {
        self.era = self.era.max(store_version::era(version));
    }

    pub(super) fn record_answer(&mut self, now: Duration, origin: Origin) {
        self.answered_at.insert(origin, now);
        self.failing.swap_remove(&origin);
    }

    pub(super) fn record_failure(&mut self, origin: Origin) {
        self.failing.insert(origin);
    }

    /// Has the gateway read for a while, as messages of peers may be lost.
    pub(super) fn catch_up(&mut self, now: Duration) {
        self.schedule.read_until(now + CATCH_UP_TIME);
    }

    /// Has the gateway read until the store's writers have written again what it lacks.
    pub(super) fn follow_restore(&mut self, now: Duration) {
        self.schedule.read_until(now + RESTORE_TIME);
    }

    /// Decides anew how this gateway reads. Returns the mode if it changes.
    pub(super) fn decide(
        &mut self,
        now: Duration,
        own: MemberContact<'_>,
        peers: &[MemberContact<'_>],
        fleet: usize,
    ) -> Option<ReadMode> {
        let before = self.schedule.mode();
        let mode = self.schedule.decide(now, own, peers, fleet);
        if mode == before {
            return None;
        }
        self.mode.send_replace(mode);
        Some(mode)
    }

    /// Era of the store, as of the latest snapshot.
    pub(super) fn era(&self) -> u64 {
        self.era
    }

    /// How it reads.
    pub(super) fn mode(&self) -> ReadMode {
        self.schedule.mode()
    }

    /// Whether it reads by long polls.
    pub(super) fn reads(&self) -> bool {
        self.schedule.mode() != ReadMode::Slow
    }

    /// Time since the store last answered a read; none if reads fail. At a reader, only answers about the operators' table
    /// count: others rely on it for the declarations, and one table may fail alone.
    pub(super) fn answer_age(&self, now: Duration) -> Option<Duration> {
        if !self.failing.is_empty() {
            return None;
        }
        let at = if self.reads() { self.answered_at.get(&Origin::Operator) } else { self.answered_at.values().max() };
        at.map(|at| now.saturating_sub(*at))
    }
}
