//! Table of the known instances. The platform's instance list is updated with a delay, so direct evidence takes
//! precedence: an open connection shows that an instance is running, while a broken connection or the instance's own
//! notice shows that it is leaving.

use std::time::Duration;

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

use crate::{
    ids::{InstanceId, ZoneId},
    routing::{Node, rendezvous},
};

/// Time for which an instance's notice that it leaves takes precedence over the platform's list.
pub const LEAVING_MEMORY: Duration = Duration::from_secs(60);
/// Entries per availability zone that poll the stored settings for a new revision.
pub const ZONE_POLLERS: usize = 6;
/// Number of entries from which each instance receives settings updates.
pub const FOLLOWED_ENTRIES: usize = 2;

/// Role of an instance.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Role {
    /// Accepts requests from callers.
    Entry,
    /// Runs next to a runner and forwards requests to it.
    Sidecar,
}

/// Lifecycle phase of an instance according to the platform.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Phase {
    /// The instance is in service.
    #[default]
    Live,
    /// The platform is about to remove the instance.
    Leaving,
}

/// An instance as the platform lists it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Listed {
    /// Id of the instance.
    pub instance: InstanceId,
    /// Role of the instance.
    pub role: Role,
    /// Availability zone of the instance.
    pub zone: ZoneId,
    /// Address for connections from peers: IP and port.
    pub address: String,
    /// Versions and services that its runner serves.
    #[serde(default)]
    pub serves: Vec<String>,
    /// Lifecycle phase according to the platform.
    #[serde(default)]
    pub phase: Phase,
}

/// Time slot of an instance among the pollers of its zone, which poll in rotation.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PollTurn {
    position: usize,
    count: usize,
}

impl PollTurn {
    /// Whether the slot is active at the given time since the Unix epoch, with slots of length `turn`. Clock
    /// differences between instances only make slots overlap.
    #[must_use]
    pub fn is_now(self, since_epoch: Duration, turn: Duration) -> bool {
        let number = since_epoch.as_nanos() / turn.as_nanos().max(1);
        number % self.count as u128 == self.position as u128
    }
}

/// Update of the member table.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum MembersEvent {
    /// Complete list of the platform.
    List(Vec<Listed>),
    /// Changes to the platform's list.
    Changes {
        /// Instances that were added or changed.
        set: Vec<Listed>,
        /// Instances that were removed.
        gone: Vec<InstanceId>,
    },
    /// An instance announced that it is leaving.
    Leaving(InstanceId),
    /// An instance announced that it accepts work, so an instance with this id was started again.
    Open(InstanceId),
}

/// Member table: the platform's list and the announcements of instances.
#[derive(Debug, Clone, Default)]
pub struct Members {
    listed: IndexMap<InstanceId, Listed>,
    leaving: IndexMap<InstanceId, Duration>,
}

impl Members {
    /// Applies an update. Returns whether the table changed.
    pub fn handle(&mut self, now: Duration, event: MembersEvent) -> bool {
        match event {
            MembersEvent::List(list) => {
                let listed: IndexMap<_, _> = list.into_iter().map(|item| (item.instance.clone(), item)).collect();
                let changed = listed != self.listed;
                self.listed = listed;
                self.remove_expired_notices(now) || changed
            }
            MembersEvent::Changes { set, gone } => {
                let changed = !set.is_empty() || !gone.is_empty();
                self.listed.extend(set.into_iter().map(|item| (item.instance.clone(), item)));
                gone.iter().for_each(|instance| drop(self.listed.shift_remove(instance)));
                self.remove_expired_notices(now) || changed
            }
            MembersEvent::Leaving(instance) => self.leaving.insert(instance, now).is_none(),
            MembersEvent::Open(instance) => self.leaving.shift_remove(&instance).is_some(),
        }
    }

    // Removes expired notices of leaving. Returns whether there were any.
    fn remove_expired_notices(&mut self, now: Duration) -> bool {
        let before = self.leaving.len();
        self.leaving.retain(|_, since| now < *since + LEAVING_MEMORY);
        before != self.leaving.len()
    }

    /// Whether an instance is leaving, according to the platform or its own notice.
    #[must_use]
    pub fn is_leaving(&self, instance: &InstanceId) -> bool {
        let listed = self.listed.get(instance).is_some_and(|item| item.phase == Phase::Leaving);
        listed || self.leaving.contains_key(instance)
    }

    /// Whether an instance announced that it is leaving.
    #[must_use]
    pub fn announced_leaving(&self, instance: &InstanceId) -> bool {
        self.leaving.contains_key(instance)
    }

    /// The platform's list item for an instance.
    #[must_use]
    pub fn get(&self, instance: &InstanceId) -> Option<&Listed> {
        self.listed.get(instance)
    }

    /// All instances in the platform's list.
    pub fn all(&self) -> impl Iterator<Item = &Listed> {
        self.listed.values()
    }

    /// Sidecars that the platform lists as live. This includes sidecars that announced that they are leaving:
    /// connections to them are kept because only those carry the notice that they accept work again.
    #[must_use]
    pub fn listed_sidecars(&self) -> Vec<Node> {
        let is_live_sidecar = |item: &&Listed| item.role == Role::Sidecar && item.phase == Phase::Live;
        let node = |item: &Listed| Node {
            instance: item.instance.clone(),
            zone: item.zone.clone(),
            serves: item.serves.clone(),
        };
        self.listed.values().filter(is_live_sidecar).map(node).collect()
    }

    fn entries(&self, zone: Option<&ZoneId>) -> impl Iterator<Item = &Listed> {
        let matches = move |item: &&Listed| item.role == Role::Entry && zone.is_none_or(|zone| item.zone == *zone);
        self.listed.values().filter(matches)
    }

    /// Entries of a zone that poll for new settings.
    #[must_use]
    pub fn pollers(&self, zone: &ZoneId) -> Vec<&Listed> {
        rendezvous::top(zone.as_str(), self.entries(Some(zone)), |item| item.instance.as_str(), ZONE_POLLERS)
    }

    /// Whether an instance polls for new settings on behalf of its zone.
    #[must_use]
    pub fn is_poller(&self, own: &InstanceId, zone: &ZoneId) -> bool {
        self.poll_turn(own, zone).is_some()
    }

    /// Polling slot of an instance, or `None` if it is not a poller of the zone.
    #[must_use]
    pub fn poll_turn(&self, own: &InstanceId, zone: &ZoneId) -> Option<PollTurn> {
        let pollers = self.pollers(zone);
        let position = pollers.iter().position(|item| item.instance == *own)?;
        Some(PollTurn { position, count: pollers.len() })
    }

    /// Entries from which an instance receives settings updates: pollers for an entry, any entries for a sidecar.
    /// Entries of its own zone are preferred; other zones are used only if there are none.
    #[must_use]
    pub fn followed(&self, own: &InstanceId, zone: &ZoneId, role: Role) -> Vec<&Listed> {
        let other = |item: &&Listed| item.instance != *own && item.phase == Phase::Live;
        let same_zone: Vec<&Listed> = match role {
            Role::Entry => self.pollers(zone).into_iter().filter(other).collect(),
            Role::Sidecar => self.entries(Some(zone)).filter(other).collect(),
        };
        let pool = if same_zone.is_empty() { self.entries(None).filter(other).collect() } else { same_zone };
        let name = |item: &&Listed| item.instance.clone();
        let mut ranked = pool;
        ranked.sort_by_key(|item| std::cmp::Reverse(rendezvous::score(own.as_str(), name(item).as_str())));
        ranked.truncate(FOLLOWED_ENTRIES);
        ranked
    }
}
