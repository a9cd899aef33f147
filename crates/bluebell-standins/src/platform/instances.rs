//! The list of instances with a version for each change of it.

use bluebell_core::{ids::InstanceId, members::Listed};
use bluebell_platform::instances::Changes;
use indexmap::IndexMap;

/// Changes kept for those who ask for what is new.
const KEPT_CHANGES: usize = 10_000;

#[derive(Debug, Clone)]
enum Change {
    Set(Listed),
    Gone(InstanceId),
}

/// The list of instances.
#[derive(Debug, Default)]
pub struct Instances {
    listed: IndexMap<InstanceId, Listed>,
    changes: Vec<(u64, Change)>,
    version: u64,
}

impl Instances {
    /// Replaces the list.
    pub fn replace(&mut self, list: Vec<Listed>) {
        let next: IndexMap<InstanceId, Listed> = list.into_iter().map(|item| (item.instance.clone(), item)).collect();
        self.version += 1;
        let gone = self.listed.keys().filter(|id| !next.contains_key(*id)).cloned().map(Change::Gone);
        let set = next.values().filter(|item| self.listed.get(&item.instance) != Some(*item));
        let set = set.cloned().map(Change::Set);
        let changes: Vec<Change> = gone.chain(set).collect();
        self.changes.extend(changes.into_iter().map(|change| (self.version, change)));
        let old = self.changes.len().saturating_sub(KEPT_CHANGES);
        self.changes.drain(..old);
        self.listed = next;
    }

    /// What changed after a version.
    pub fn after(&self, version: u64) -> Changes {
        let oldest = self.changes.first().map_or(self.version, |(version, _)| *version);
        let mut reply = Changes { version: self.version, whole: version < oldest, ..Changes::default() };
        if reply.whole {
            reply.set = self.listed.values().cloned().collect();
            return reply;
        }
        for (_, change) in self.changes.iter().filter(|(at, _)| *at > version) {
            match change {
                Change::Set(item) => reply.set.push(item.clone()),
                Change::Gone(instance) => reply.gone.push(instance.clone()),
            }
        }
        // An instance that went and came again stands in both; what it is now counts.
        reply.gone.retain(|instance| !self.listed.contains_key(instance));
        reply.set.retain(|item| self.listed.get(&item.instance) == Some(item));
        reply
    }
}
