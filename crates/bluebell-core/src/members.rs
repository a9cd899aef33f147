//! Which instances there are. The platform's list lags behind reality, so direct evidence goes first: an open
//! connection shows that an instance lives, a broken one or its own word shows that it is going.

use std::time::Duration;

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

use crate::{
    ids::{InstanceId, ZoneId},
    routing::{Node, rendezvous},
};

/// Time for which a word of leaving outweighs the list.
pub const LEAVING_MEMORY: Duration = Duration::from_secs(60);
/// Entries of a zone that read the settings' revision from the table.
pub const ZONE_POLLERS: usize = 6;
/// Entries that each instance follows for settings.
pub const FOLLOWED_ENTRIES: usize = 2;

/// What an instance does.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Role {
    /// Takes callers' requests.
    Entry,
    /// Stands beside a runner.
    Sidecar,
}

/// Whether the platform means an instance to stay.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Phase {
    /// It is to stay.
    #[default]
    Live,
    /// It is to go.
    Leaving,
}

/// An instance as the platform lists it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Listed {
    /// The instance.
    pub instance: InstanceId,
    /// What it does.
    pub role: Role,
    /// Its zone.
    pub zone: ZoneId,
    /// Address for its peers, IP and port.
    pub address: String,
    /// Versions and services that its runner serves.
    #[serde(default)]
    pub serves: Vec<String>,
    /// Whether it is to stay.
    #[serde(default)]
    pub phase: Phase,
}

/// Turn of an instance among the pollers of its zone.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PollTurn {
    position: usize,
    count: usize,
}

impl PollTurn {
    /// Whether it is this instance's turn at a time of day, where turns are so long. Clocks that differ only make
    /// turns overlap.
    #[must_use]
    pub fn is_now(self, since_epoch: Duration, turn: Duration) -> bool {
        let number = since_epoch.as_nanos() / turn.as_nanos().max(1);
        number % self.count as u128 == self.position as u128
    }
}

/// What the member table is told.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum MembersEvent {
    /// The platform's list, whole.
    List(Vec<Listed>),
    /// What changed in the platform's list.
    Changes {
        /// Instances that came or changed.
        set: Vec<Listed>,
        /// Instances that went.
        gone: Vec<InstanceId>,
    },
    /// An instance said that it leaves.
    Leaving(InstanceId),
    /// An instance said that it takes work, so one of its id has come back.
    Open(InstanceId),
}

/// All instances known here.
#[derive(Debug, Clone, Default)]
pub struct Members {
    listed: IndexMap<InstanceId, Listed>,
    leaving: IndexMap<InstanceId, Duration>,
}

impl Members {
    /// Takes an event; tells whether anything changed.
    pub fn handle(&mut self, now: Duration, event: MembersEvent) -> bool {
        match event {
            MembersEvent::List(list) => {
                let listed: IndexMap<_, _> = list.into_iter().map(|item| (item.instance.clone(), item)).collect();
                let changed = listed != self.listed;
                self.listed = listed;
                self.forget_old(now) || changed
            }
            MembersEvent::Changes { set, gone } => {
                let changed = !set.is_empty() || !gone.is_empty();
                self.listed.extend(set.into_iter().map(|item| (item.instance.clone(), item)));
                gone.iter().for_each(|instance| drop(self.listed.shift_remove(instance)));
                self.forget_old(now) || changed
            }
            MembersEvent::Leaving(instance) => self.leaving.insert(instance, now).is_none(),
            MembersEvent::Open(instance) => self.leaving.shift_remove(&instance).is_some(),
        }
    }

    // Tells whether a word of leaving was forgotten.
    fn forget_old(&mut self, now: Duration) -> bool {
        let before = self.leaving.len();
        self.leaving.retain(|_, since| now < *since + LEAVING_MEMORY);
        before != self.leaving.len()
    }

    /// Whether an instance is on its way out.
    #[must_use]
    pub fn is_leaving(&self, instance: &InstanceId) -> bool {
        let listed = self.listed.get(instance).is_some_and(|item| item.phase == Phase::Leaving);
        listed || self.leaving.contains_key(instance)
    }

    /// Whether an instance itself said that it is on its way out.
    #[must_use]
    pub fn said_leaving(&self, instance: &InstanceId) -> bool {
        self.leaving.contains_key(instance)
    }

    /// An instance as listed.
    #[must_use]
    pub fn get(&self, instance: &InstanceId) -> Option<&Listed> {
        self.listed.get(instance)
    }

    /// All instances listed.
    pub fn all(&self) -> impl Iterator<Item = &Listed> {
        self.listed.values()
    }

    /// Sidecars that the platform means to stay. One that said it leaves is among them: the connection to it is kept,
    /// since only there is it heard when it comes back.
    #[must_use]
    pub fn listed_sidecars(&self) -> Vec<Node> {
        let open = |item: &&Listed| item.role == Role::Sidecar && item.phase == Phase::Live;
        let node = |item: &Listed| Node {
            instance: item.instance.clone(),
            zone: item.zone.clone(),
            serves: item.serves.clone(),
        };
        self.listed.values().filter(open).map(node).collect()
    }

    fn entries(&self, zone: Option<&ZoneId>) -> impl Iterator<Item = &Listed> {
        let here = move |item: &&Listed| item.role == Role::Entry && zone.is_none_or(|zone| item.zone == *zone);
        self.listed.values().filter(here)
    }

    /// Entries of a zone that poll the table.
    #[must_use]
    pub fn pollers(&self, zone: &ZoneId) -> Vec<&Listed> {
        rendezvous::top(zone.as_str(), self.entries(Some(zone)), |item| item.instance.as_str(), ZONE_POLLERS)
    }

    /// Whether an instance polls the table for its zone.
    #[must_use]
    pub fn is_poller(&self, own: &InstanceId, zone: &ZoneId) -> bool {
        self.poll_turn(own, zone).is_some()
    }

    /// The turn of an instance among the pollers of its zone, if it is one.
    #[must_use]
    pub fn poll_turn(&self, own: &InstanceId, zone: &ZoneId) -> Option<PollTurn> {
        let pollers = self.pollers(zone);
        let position = pollers.iter().position(|item| item.instance == *own)?;
        Some(PollTurn { position, count: pollers.len() })
    }

    /// Entries that an instance follows for settings: an entry follows pollers, a sidecar any entries, both in their
    /// own zone where there are some.
    #[must_use]
    pub fn followed(&self, own: &InstanceId, zone: &ZoneId, role: Role) -> Vec<&Listed> {
        let other = |item: &&Listed| item.instance != *own && item.phase == Phase::Live;
        let near: Vec<&Listed> = match role {
            Role::Entry => self.pollers(zone).into_iter().filter(other).collect(),
            Role::Sidecar => self.entries(Some(zone)).filter(other).collect(),
        };
        let pool = if near.is_empty() { self.entries(None).filter(other).collect() } else { near };
        let name = |item: &&Listed| item.instance.clone();
        let mut ranked = pool;
        ranked.sort_by_key(|item| std::cmp::Reverse(rendezvous::score(own.as_str(), name(item).as_str())));
        ranked.truncate(FOLLOWED_ENTRIES);
        ranked
    }
}
