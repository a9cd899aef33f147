//! Permanent connections to peers: connect, exchange heartbeats, and reconnect after a failure.

use std::{sync::Arc, time::Duration};

use bluebell_core::{
    ids::InstanceId,
    kernel::Input,
    members::{Listed, Members, MembersEvent, Role},
};
use bluebell_wire::{Connection, Route, WireError, messages::Readiness};
use indexmap::IndexMap;
use tokio::task::spawn_local;

use super::heartbeats::{HeartbeatContext, HeartbeatTiming, exchange_heartbeats};
use crate::shared::{ControlHandle, Link, Shared};

/// Pause before the first reconnection attempt.
const MIN_BACKOFF: Duration = Duration::from_millis(50);
/// Longest pause between reconnection attempts.
const MAX_BACKOFF: Duration = Duration::from_secs(1);

/// Updates the links to match the members: opens those that are missing and closes those no longer wanted.
pub fn update_links(shared: &Arc<Shared>, control: &ControlHandle, members: &Members) {
    let own = &shared.config.instance;
    let mut wanted: Vec<InstanceId> = Vec::new();
    if own.role == Role::Entry {
        wanted.extend(shared.subset.load().members());
    }
    wanted.extend(members.followed(&own.id, &own.zone, own.role).iter().map(|item| item.instance.clone()));
    let before = shared.links.all();
    let mut after: IndexMap<InstanceId, Arc<Link>> = IndexMap::new();
    for peer in wanted {
        let Some(listed) = members.get(&peer) else { continue };
        let known = before.get(&peer).filter(|link| link.address() == listed.address);
        let link = known.cloned().unwrap_or_else(|| open_link(shared, control, listed));
        after.insert(peer, link);
    }
    for (peer, link) in before.iter() {
        if !after.get(peer).is_some_and(|kept| Arc::ptr_eq(kept, link)) {
            link.close();
        }
    }
    shared.links.replace(after);
}

/// Returns a connection to any instance: the permanent one if it is open, else a new temporary one.
pub async fn connection(shared: &Shared, peer: &InstanceId) -> Option<Connection> {
    if let Some(connection) = shared.links.open_connection(peer) {
        return Some(connection);
    }
    let address = shared.members.load().get(peer)?.address.clone();
    let opened = Connection::open(&address, Arc::clone(&shared.identity), shared.config.timing.connect).await;
    opened.map_err(|error| log::debug!("connecting to {peer} failed: {error}")).ok()
}

// Starts a task that maintains a connection to an instance.
fn open_link(shared: &Arc<Shared>, control: &ControlHandle, listed: &Listed) -> Arc<Link> {
    let link = Arc::new(Link::new(listed));
    spawn_local(maintain(Arc::clone(shared), control.clone(), Arc::clone(&link)));
    link
}

async fn maintain(shared: Arc<Shared>, control: ControlHandle, link: Arc<Link>) {
    tokio::select! {
        () = link.wait_closed() => {}
        () = connect_loop(&shared, &control, &link) => {}
    }
    link.set_connection(None);
}

async fn connect_loop(shared: &Arc<Shared>, control: &ControlHandle, link: &Arc<Link>) {
    let mut backoff = MIN_BACKOFF;
    loop {
        match run_connection(shared, control, link).await {
            Ok(()) => backoff = MIN_BACKOFF,
            Err(error) => {
                log::debug!("connection to {} failed: {error}", link.peer());
                backoff = (backoff * 2).min(MAX_BACKOFF);
            }
        }
        link.set_connection(None);
        tokio::time::sleep(backoff).await;
    }
}

async fn run_connection(shared: &Arc<Shared>, control: &ControlHandle, link: &Arc<Link>) -> Result<(), WireError> {
    let route = if link.role() == Role::Entry { Route::Follow } else { Route::Watch };
    let time_limit = shared.config.timing.connect;
    let connection = Connection::open(link.address(), Arc::clone(&shared.identity), time_limit).await?;
    let (writer, reader) = connection.stream(route).await?;
    let timing = HeartbeatTiming::of(route, &shared.config.timing);
    let context = HeartbeatContext { shared, control, peer: link.peer(), timing };
    let mut unused = Some(connection);
    let result = exchange_heartbeats(&context, reader, writer, |heartbeat| {
        link.update_status(heartbeat.load, heartbeat.readiness == Readiness::Ready);
        // The connection is used for work only after the peer's first heartbeat.
        if let Some(connection) = unused.take() {
            link.set_connection(Some(connection));
        }
    });
    let result = result.await;
    if shared.members.load().get(link.peer()).is_none() {
        control.input(Input::Members(MembersEvent::Leaving(link.peer().clone())));
    }
    result
}
