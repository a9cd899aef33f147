//! Permanent connections to peers. An entry has one to each sidecar of its subset, and every instance has one to each
//! entry from which it receives settings.

use std::{
    collections::HashMap,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
};

use arc_swap::ArcSwap;
use bluebell_core::ids::{InstanceId, RequestId};
use bluebell_wire::Connection;
use indexmap::IndexMap;

use super::link::Link;

/// Permanent connections to peers, by instance, and the sidecars that hold billing rows.
#[derive(Default)]
pub struct Links {
    by_peer: ArcSwap<IndexMap<InstanceId, Arc<Link>>>,
    billing_holders: Mutex<HashMap<RequestId, InstanceId>>,
}

impl Links {
    /// All links, by peer.
    pub fn all(&self) -> Arc<IndexMap<InstanceId, Arc<Link>>> {
        self.by_peer.load_full()
    }

    /// Replaces the set of links.
    pub fn replace(&self, links: IndexMap<InstanceId, Arc<Link>>) {
        self.by_peer.store(Arc::new(links));
    }

    /// The link to a peer.
    pub fn get(&self, peer: &InstanceId) -> Option<Arc<Link>> {
        self.by_peer.load().get(peer).cloned()
    }

    /// An open connection to a peer, if there is one.
    pub fn open_connection(&self, peer: &InstanceId) -> Option<Connection> {
        self.get(peer)?.connection()
    }

    fn billing_holders(&self) -> MutexGuard<'_, HashMap<RequestId, InstanceId>> {
        self.billing_holders.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Records which sidecar holds a copy of the billing row of a request.
    pub fn set_billing_holder(&self, request: RequestId, sidecar: InstanceId) {
        self.billing_holders().insert(request, sidecar);
    }

    /// Removes and returns the sidecar that holds a copy of the billing row of a request.
    pub fn take_billing_holder(&self, request: &RequestId) -> Option<InstanceId> {
        self.billing_holders().remove(request)
    }
}
