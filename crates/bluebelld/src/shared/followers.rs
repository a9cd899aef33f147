//! Instances that follow this one for settings.

use std::sync::{Mutex, MutexGuard, PoisonError};

use bluebell_core::ids::{InstanceId, Revision};
use bluebell_wire::messages::Confirmation;
use indexmap::IndexMap;

/// Instances that follow this one, with the revision that each confirmed.
#[derive(Default)]
pub struct Followers(Mutex<IndexMap<InstanceId, Revision>>);

impl Followers {
    fn lock(&self) -> MutexGuard<'_, IndexMap<InstanceId, Revision>> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Takes note of what a follower confirmed.
    pub fn confirm(&self, follower: InstanceId, revision: Revision) {
        self.lock().insert(follower, revision);
    }

    /// Forgets a follower whose connection has ended.
    pub fn forget(&self, follower: &InstanceId) {
        self.lock().swap_remove(follower);
    }

    /// What each follower confirmed.
    pub fn confirmations(&self) -> Vec<Confirmation> {
        let confirm = |(instance, revision): (&InstanceId, &Revision)| Confirmation {
            instance: instance.clone(),
            revision: *revision,
        };
        self.lock().iter().map(confirm).collect()
    }
}
