//! The runners that one entry knows. No entry keeps connections to all of them: for each version and service it
//! takes a few, most of them in its own zone, chosen by rendezvous hashing so that changes move little.

use indexmap::{IndexMap, IndexSet};

use super::rendezvous;
use crate::ids::{InstanceId, ZoneId};

/// Runners of one version or service that an entry knows in its own zone.
pub const NEAR_RUNNERS: usize = 12;
/// Runners of one version or service that an entry knows in other zones.
pub const FAR_RUNNERS: usize = 4;

/// A sidecar as the routing sees it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Node {
    /// The sidecar.
    pub instance: InstanceId,
    /// Its zone.
    pub zone: ZoneId,
    /// Versions and services that its runner serves.
    pub serves: Vec<String>,
}

/// Sidecars that an entry knows, by what their runners serve.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Subset {
    /// Sidecars by version or service; those in the own zone come first.
    pub by_target: IndexMap<String, Vec<InstanceId>>,
}

impl Subset {
    /// Chooses the subset of an entry.
    #[must_use]
    pub fn choose(own: &InstanceId, zone: &ZoneId, nodes: &[Node]) -> Self {
        let mut targets: IndexMap<&str, Vec<&Node>> = IndexMap::new();
        for node in nodes {
            for target in &node.serves {
                targets.entry(target).or_default().push(node);
            }
        }
        let choose = |(target, nodes): (&str, Vec<&Node>)| (target.to_owned(), nearest(own, zone, &nodes));
        Self { by_target: targets.into_iter().map(choose).collect() }
    }

    /// All sidecars of the subset.
    #[must_use]
    pub fn members(&self) -> IndexSet<InstanceId> {
        self.by_target.values().flatten().cloned().collect()
    }
}

fn nearest(own: &InstanceId, zone: &ZoneId, nodes: &[&Node]) -> Vec<InstanceId> {
    let take = |near: bool, count: usize| {
        let side = nodes.iter().filter(move |node| (node.zone == *zone) == near);
        rendezvous::top(own.as_str(), side, |node| node.instance.as_str(), count)
    };
    let near = take(true, NEAR_RUNNERS);
    let far = take(false, FAR_RUNNERS + NEAR_RUNNERS - near.len());
    near.into_iter().chain(far).map(|node| node.instance.clone()).collect()
}
