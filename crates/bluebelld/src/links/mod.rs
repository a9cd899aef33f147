//! Connections to peers: an entry keeps one to each sidecar of its subset, and every instance keeps one to each
//! entry that it follows for settings.

mod keep;
mod link;

use std::{
    collections::HashMap,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
};

use arc_swap::ArcSwap;
use bluebell_core::{
    ids::{InstanceId, RequestId},
    members::{Members, Role},
};
use bluebell_wire::Connection;
use indexmap::IndexMap;
pub use link::{InUse, Link};

use crate::{control::ControlHandle, shared::Shared};

/// Connections to peers by instance.
#[derive(Default)]
pub struct Links {
    open: ArcSwap<IndexMap<InstanceId, Arc<Link>>>,
    holders: Mutex<HashMap<RequestId, InstanceId>>,
}

impl Links {
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

/// Brings the links in line with the members: opens those that are missing, drops those not wanted any more.
pub fn adopt(shared: &Arc<Shared>, control: &ControlHandle, members: &Members) {
    let own = &shared.config.instance;
    let mut wanted: Vec<InstanceId> = Vec::new();
    if own.role == Role::Entry {
        wanted.extend(shared.subset.load().members());
    }
    wanted.extend(members.followed(&own.id, &own.zone, own.role).iter().map(|item| item.instance.clone()));
    let before = shared.links.open.load_full();
    let mut after: IndexMap<InstanceId, Arc<Link>> = IndexMap::new();
    for peer in wanted {
        let Some(listed) = members.get(&peer) else { continue };
        let known = before.get(&peer).filter(|link| link.address() == listed.address);
        let link = known.cloned().unwrap_or_else(|| keep::start(shared, control, listed));
        after.insert(peer, link);
    }
    for (peer, link) in before.iter() {
        if !after.get(peer).is_some_and(|kept| Arc::ptr_eq(kept, link)) {
            link.drop_soon();
        }
    }
    shared.links.open.store(Arc::new(after));
}

/// A connection to any instance: the one that is open, or else one made for the occasion.
pub async fn connection(shared: &Shared, peer: &InstanceId) -> Option<Connection> {
    if let Some(connection) = shared.links.open_connection(peer) {
        return Some(connection);
    }
    let address = shared.members.load().get(peer)?.address.clone();
    let opened = Connection::open(&address, Arc::clone(&shared.identity), shared.config.timing.connect).await;
    opened.map_err(|error| log::debug!("{peer} can't be reached: {error}")).ok()
}
