//! Connections to peers by instance: an entry has one to each sidecar of its subset, and every instance has one to each
//! entry that it follows for settings.

use std::{
    collections::HashMap,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
};

use arc_swap::ArcSwap;
use bluebell_core::ids::{InstanceId, RequestId};
use bluebell_wire::Connection;
use indexmap::IndexMap;

use super::link::Link;

/// Connections to peers by instance.
#[derive(Default)]
pub struct Links {
    open: ArcSwap<IndexMap<InstanceId, Arc<Link>>>,
    holders: Mutex<HashMap<RequestId, InstanceId>>,
}

impl Links {
    /// All links.
    pub fn all(&self) -> Arc<IndexMap<InstanceId, Arc<Link>>> {
        self.open.load_full()
    }

    /// Replaces the links.
    pub fn replace(&self, links: IndexMap<InstanceId, Arc<Link>>) {
        self.open.store(Arc::new(links));
    }

    /// The link to a peer.
    pub fn get(&self, peer: &InstanceId) -> Option<Arc<Link>> {
        self.open.load().get(peer).cloned()
    }

    /// An open connection to a peer, if there is one.
    pub fn open_connection(&self, peer: &InstanceId) -> Option<Connection> {
        self.get(peer)?.connection()
    }

    fn holders(&self) -> MutexGuard<'_, HashMap<RequestId, InstanceId>> {
        self.holders.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Remembers which sidecar holds the billing row of a request.
    pub fn set_holder(&self, request: RequestId, sidecar: InstanceId) {
        self.holders().insert(request, sidecar);
    }

    /// Forgets which sidecar holds the billing row of a request, and tells it.
    pub fn take_holder(&self, request: &RequestId) -> Option<InstanceId> {
        self.holders().remove(request)
    }
}
