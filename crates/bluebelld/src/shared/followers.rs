//! Instances that receive settings from this one.

use std::sync::{Mutex, MutexGuard, PoisonError};

use bluebell_core::ids::{InstanceId, Revision};
use bluebell_wire::messages::Confirmation;
use indexmap::IndexMap;

/// Instances that receive settings from this one, with the revision that each has confirmed.
#[derive(Default)]
pub struct Followers(Mutex<IndexMap<InstanceId, Revision>>);

impl Followers {
    fn lock(&self) -> MutexGuard<'_, IndexMap<InstanceId, Revision>> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Records the revision that a follower has in force.
    pub fn confirm(&self, follower: InstanceId, revision: Revision) {
        self.lock().insert(follower, revision);
    }

    /// Removes a follower whose connection has ended.
    pub fn remove(&self, follower: &InstanceId) {
        self.lock().swap_remove(follower);
    }

    /// The revision that each follower confirmed last.
    pub fn confirmations(&self) -> Vec<Confirmation> {
        let confirm = |(instance, revision): (&InstanceId, &Revision)| Confirmation {
            instance: instance.clone(),
            revision: *revision,
        };
        self.lock().iter().map(confirm).collect()
    }
}
