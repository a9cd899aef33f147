//! Subset of runners that an entry connects to. For each version and service it selects a limited number of runners,
//! most of them in its own availability zone. Rendezvous hashing keeps most connections in place when the set of
//! runners changes.

use indexmap::{IndexMap, IndexSet};

use super::rendezvous;
use crate::ids::{InstanceId, ZoneId};

/// Maximum number of runners per version or service that an entry selects in its own zone.
pub const SAME_ZONE_RUNNERS: usize = 12;
/// Number of runners per version or service that an entry selects in other zones; more if its own zone has too few.
pub const OTHER_ZONE_RUNNERS: usize = 4;

/// Properties of a sidecar that routing uses.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Node {
    /// Instance id of the sidecar.
    pub instance: InstanceId,
    /// Availability zone of the sidecar.
    pub zone: ZoneId,
    /// Versions and services that the runner serves.
    pub serves: Vec<String>,
}

/// Sidecars that an entry connects to.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Subset {
    /// Sidecars by version or service; those in the entry's own zone come first.
    pub by_target: IndexMap<String, Vec<InstanceId>>,
}

impl Subset {
    /// Selects the subset for the entry `own` in `zone`.
    #[must_use]
    pub fn choose(own: &InstanceId, zone: &ZoneId, nodes: &[Node]) -> Self {
        let mut targets: IndexMap<&str, Vec<&Node>> = IndexMap::new();
        for node in nodes {
            for target in &node.serves {
                targets.entry(target).or_default().push(node);
            }
        }
        let choose = |(target, nodes): (&str, Vec<&Node>)| (target.to_owned(), select(own, zone, &nodes));
        Self { by_target: targets.into_iter().map(choose).collect() }
    }

    /// All sidecars of the subset, without duplicates.
    #[must_use]
    pub fn members(&self) -> IndexSet<InstanceId> {
        self.by_target.values().flatten().cloned().collect()
    }
}

fn select(own: &InstanceId, zone: &ZoneId, nodes: &[&Node]) -> Vec<InstanceId> {
    let top = |same_zone: bool, count: usize| {
        let candidates = nodes.iter().filter(move |node| (node.zone == *zone) == same_zone);
        rendezvous::top(own.as_str(), candidates, |node| node.instance.as_str(), count)
    };
    let in_zone = top(true, SAME_ZONE_RUNNERS);
    let other_zones = top(false, OTHER_ZONE_RUNNERS + SAME_ZONE_RUNNERS - in_zone.len());
    in_zone.into_iter().chain(other_zones).map(|node| node.instance.clone()).collect()
}
