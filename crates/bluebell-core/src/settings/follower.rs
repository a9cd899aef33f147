//! Following the sequence of changes: from the table where this instance polls it, from peers everywhere.
//!
//! Every peer's message carries its revision. Whoever is behind fetches the difference, records one by one, or the
//! whole state when the gap is long. A lower revision is never applied, whoever offers it.

use std::{collections::VecDeque, sync::Arc, time::Duration};

use indexmap::IndexSet;
use serde::{Deserialize, Serialize};

use super::{Record, SettingsError, State};
use crate::ids::{InstanceId, Revision};

/// Records kept for peers that are a little behind.
pub const KEPT_RECORDS: usize = 256;
/// Time after which a fetch that brought nothing is tried again.
pub const FETCH_PATIENCE: Duration = Duration::from_millis(500);

/// Settings handed from one instance to another.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Snapshot {
    /// The records after the one that was asked from.
    Records(Vec<Record>),
    /// The whole state.
    Whole(Arc<State>),
}

/// Where the next records can be had.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Origin {
    /// The platform's table.
    Table,
    /// A peer.
    Peer(InstanceId),
}

/// What the follower is told.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum FollowerEvent {
    /// Somewhere a revision was seen.
    Seen {
        /// Where.
        origin: Origin,
        /// The revision.
        revision: Revision,
    },
    /// A fetch brought this.
    Fetched(Snapshot),
    /// A fetch failed.
    Failed,
    /// The table can't be read.
    TableDown,
    /// So many peers can be heard.
    Peers(usize),
}

/// What the follower asks for.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum FollowerEffect {
    /// Fetch what came after a revision.
    Fetch {
        /// Where.
        origin: Origin,
        /// Revision that is here.
        after: Revision,
    },
    /// A newer state is in force here.
    Publish(Arc<State>),
}

/// Settings as far as this instance knows them.
///
/// Nothing is published before the state is known to be current: confirmed by the table, or, while the table is
/// down, as high as every peer that can be heard.
#[derive(Debug, Default)]
pub struct Follower {
    state: Arc<State>,
    records: VecDeque<Record>,
    fetching: Option<Duration>,
    highest: Revision,
    heard: IndexSet<Origin>,
    peers: usize,
    table_down: bool,
    confirmed: bool,
    published: Revision,
}

impl Follower {
    /// State in force here.
    #[must_use]
    pub fn state(&self) -> &Arc<State> {
        &self.state
    }

    /// Whether the state was found to be current.
    #[must_use]
    pub fn is_confirmed(&self) -> bool {
        self.confirmed
    }

    /// What a peer at a revision needs to catch up.
    #[must_use]
    pub fn since(&self, after: Revision) -> Snapshot {
        let newer: Vec<Record> = self.records.iter().filter(|record| record.revision > after).cloned().collect();
        match newer.first() {
            Some(first) if first.revision == after.next() => Snapshot::Records(newer),
            None if after >= self.state.revision => Snapshot::Records(newer),
            _ => Snapshot::Whole(Arc::clone(&self.state)),
        }
    }

    /// Takes an event.
    ///
    /// # Errors
    /// When a fetched record can't be applied; the state before it stays in force.
    pub fn handle(&mut self, now: Duration, event: FollowerEvent) -> Result<Vec<FollowerEffect>, SettingsError> {
        let mut effects = Vec::new();
        match event {
            FollowerEvent::Seen { origin, revision } => effects.extend(self.seen(now, origin, revision)),
            FollowerEvent::Fetched(snapshot) => {
                self.fetching = None;
                self.take(snapshot)?;
            }
            FollowerEvent::Failed => self.fetching = None,
            FollowerEvent::TableDown => self.table_down = true,
            FollowerEvent::Peers(count) => self.peers = count,
        }
        effects.extend(self.publish());
        Ok(effects)
    }

    fn seen(&mut self, now: Duration, origin: Origin, revision: Revision) -> Option<FollowerEffect> {
        self.table_down &= origin != Origin::Table;
        self.highest = self.highest.max(revision);
        self.heard.insert(origin.clone());
        let waiting = self.fetching.is_some_and(|since| now < since + FETCH_PATIENCE);
        if revision <= self.state.revision || waiting {
            return None;
        }
        self.fetching = Some(now);
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
        let table = self.heard.contains(&Origin::Table);
        let peers = self.heard.iter().filter(|origin| **origin != Origin::Table).count();
        let heard = table || self.table_down && peers >= self.peers.max(1);
        heard && self.state.revision >= self.highest
    }

    fn take(&mut self, snapshot: Snapshot) -> Result<(), SettingsError> {
        match snapshot {
            Snapshot::Whole(state) => {
                self.replace(state);
                Ok(())
            }
            Snapshot::Records(records) => self.append(records),
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
            // Records that were fetched for an earlier state don't follow on; a later fetch brings what is missing.
            if record.revision > self.state.revision.next() {
                break;
            }
            Arc::make_mut(&mut self.state).apply(&record)?;
            self.records.push_back(record);
            if self.records.len() > KEPT_RECORDS {
                self.records.pop_front();
            }
        }
        Ok(())
    }
}
