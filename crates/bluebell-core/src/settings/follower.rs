//! Replication of the change log: from the platform's table if this instance polls it, and from peers in any case.
//!
//! Messages between peers carry the sender's revision. An instance that is behind fetches the missing records, or the
//! whole state if the gap is too long. A lower revision is never applied, whatever its source.

use std::{collections::VecDeque, sync::Arc, time::Duration};

use indexmap::IndexSet;
use serde::{Deserialize, Serialize};

use super::{Record, SettingsError, State};
use crate::ids::{InstanceId, Revision};

/// Number of recent records kept for peers that are a few revisions behind.
pub const MAX_KEPT_RECORDS: usize = 256;
/// Time after which another fetch may start although the previous one has neither succeeded nor failed.
pub const FETCH_TIMEOUT: Duration = Duration::from_millis(500);

/// Settings sent to an instance that is behind.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum SettingsUpdate {
    /// The records after the requested revision.
    Records(Vec<Record>),
    /// The complete state.
    Whole(Arc<State>),
}

/// Source of records.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Origin {
    /// The platform's table.
    Table,
    /// Another instance.
    Peer(InstanceId),
}

/// Input of the follower.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum FollowerEvent {
    /// A source reported its revision.
    Seen {
        /// Source that reported it.
        origin: Origin,
        /// Revision of that source.
        revision: Revision,
    },
    /// A fetch succeeded with this result.
    Fetched(SettingsUpdate),
    /// A fetch failed.
    Failed,
    /// The platform's table can't be read.
    TableDown,
    /// Number of reachable peers.
    Peers(usize),
}

/// Action that the caller of [`Follower::handle`] has to carry out.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum FollowerEffect {
    /// Fetch the changes after a revision.
    Fetch {
        /// Source to fetch from.
        origin: Origin,
        /// Revision of the local state.
        after: Revision,
    },
    /// Put a newer state into effect on this instance.
    Publish(Arc<State>),
}

/// Local replica of the settings.
///
/// Nothing is published until the state is first confirmed to be current: its revision is at least the highest reported,
/// and the table has reported or, while the table is down, as many peers as are reachable (at least one) have.
#[derive(Debug, Default)]
pub struct Follower {
    state: Arc<State>,
    records: VecDeque<Record>,
    fetch_started: Option<Duration>,
    highest_seen: Revision,
    reported: IndexSet<Origin>,
    reachable_peers: usize,
    table_down: bool,
    confirmed: bool,
    published: Revision,
}

impl Follower {
    /// Local state.
    #[must_use]
    pub fn state(&self) -> &Arc<State> {
        &self.state
    }

    /// Whether the state has been confirmed to be current; once true it stays true.
    #[must_use]
    pub fn is_confirmed(&self) -> bool {
        self.confirmed
    }

    /// Update that brings a peer from revision `after` up to date: the missing records, or the whole state if they are
    /// no longer kept.
    #[must_use]
    pub fn update_since(&self, after: Revision) -> SettingsUpdate {
        let newer: Vec<Record> = self.records.iter().filter(|record| record.revision > after).cloned().collect();
        match newer.first() {
            Some(first) if first.revision == after.next() => SettingsUpdate::Records(newer),
            None if after >= self.state.revision => SettingsUpdate::Records(newer),
            _ => SettingsUpdate::Whole(Arc::clone(&self.state)),
        }
    }

    /// Processes an event and returns the actions to carry out, in order.
    ///
    /// # Errors
    /// When a fetched record can't be applied; the state before that record stays in effect.
    pub fn handle(&mut self, now: Duration, event: FollowerEvent) -> Result<Vec<FollowerEffect>, SettingsError> {
        let mut effects = Vec::new();
        match event {
            FollowerEvent::Seen { origin, revision } => effects.extend(self.handle_seen(now, origin, revision)),
            FollowerEvent::Fetched(update) => {
                self.fetch_started = None;
                self.apply_fetched(update)?;
            }
            FollowerEvent::Failed => self.fetch_started = None,
            FollowerEvent::TableDown => self.table_down = true,
            FollowerEvent::Peers(count) => self.reachable_peers = count,
        }
        effects.extend(self.publish());
        Ok(effects)
    }

    fn handle_seen(&mut self, now: Duration, origin: Origin, revision: Revision) -> Option<FollowerEffect> {
        self.table_down &= origin != Origin::Table;
        self.highest_seen = self.highest_seen.max(revision);
        self.reported.insert(origin.clone());
        let in_progress = self.fetch_started.is_some_and(|started| now < started + FETCH_TIMEOUT);
        if revision <= self.state.revision || in_progress {
            return None;
        }
        self.fetch_started = Some(now);
        Some(FollowerEffect::Fetch { origin, after: self.state.revision })
    }

    fn publish(&mut self) -> Option<FollowerEffect> {
        self.confirmed = self.confirmed || self.is_current();
        if !self.confirmed || self.state.revision <= self.published {
            return None;
        }
        self.published = self.state.revision;
        Some(FollowerEffect::Publish(Arc::clone(&self.state)))
    }

    fn is_current(&self) -> bool {
        let table_reported = self.reported.contains(&Origin::Table);
        let peers = self.reported.iter().filter(|origin| **origin != Origin::Table).count();
        let enough_reported = table_reported || self.table_down && peers >= self.reachable_peers.max(1);
        enough_reported && self.state.revision >= self.highest_seen
    }

    fn apply_fetched(&mut self, update: SettingsUpdate) -> Result<(), SettingsError> {
        match update {
            SettingsUpdate::Whole(state) => {
                self.replace(state);
                Ok(())
            }
            SettingsUpdate::Records(records) => self.append(records),
        }
    }

    fn replace(&mut self, state: Arc<State>) {
        if state.revision > self.state.revision {
            self.state = state;
            self.records.clear();
        }
    }

    fn append(&mut self, records: Vec<Record>) -> Result<(), SettingsError> {
        for record in records {
            if record.revision <= self.state.revision {
                continue;
            }
            // The records before this one are missing, as the fetch was made for another local revision. A later fetch
            // gets them.
            if record.revision > self.state.revision.next() {
                break;
            }
            Arc::make_mut(&mut self.state).apply(&record)?;
            self.records.push_back(record);
            if self.records.len() > MAX_KEPT_RECORDS {
                self.records.pop_front();
            }
        }
        Ok(())
    }
}
