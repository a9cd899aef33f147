//! Keeping connections to peers: connect, exchange heartbeats, and begin anew when one breaks.

use std::{sync::Arc, time::Duration};

use bluebell_core::{
    ids::InstanceId,
    kernel::Input,
    members::{Listed, Members, MembersEvent, Role},
};
use bluebell_wire::{Connection, Route, WireError, messages::Readiness};
use indexmap::IndexMap;
use tokio::task::spawn_local;

use super::exchange::{Exchange, Pace, exchange};
use crate::shared::{ControlHandle, Link, Shared};

/// Pause before the first new try.
const FIRST_PAUSE: Duration = Duration::from_millis(50);
/// Longest pause between tries.
const LONGEST_PAUSE: Duration = Duration::from_secs(1);

/// Brings the links in line with the members: opens those that are missing, drops those not wanted any more.
pub fn adopt(shared: &Arc<Shared>, control: &ControlHandle, members: &Members) {
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
        let link = known.cloned().unwrap_or_else(|| start(shared, control, listed));
        after.insert(peer, link);
    }
    for (peer, link) in before.iter() {
        if !after.get(peer).is_some_and(|kept| Arc::ptr_eq(kept, link)) {
            link.drop_soon();
        }
    }
    shared.links.replace(after);
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

// Starts to keep a connection to an instance.
fn start(shared: &Arc<Shared>, control: &ControlHandle, listed: &Listed) -> Arc<Link> {
    let link = Arc::new(Link::new(listed));
    spawn_local(keep(Arc::clone(shared), control.clone(), Arc::clone(&link)));
    link
}

async fn keep(shared: Arc<Shared>, control: ControlHandle, link: Arc<Link>) {
    tokio::select! {
        () = link.wait_dropped() => {}
        () = reconnect(&shared, &control, &link) => {}
    }
    link.set_connection(None);
}

async fn reconnect(shared: &Arc<Shared>, control: &ControlHandle, link: &Arc<Link>) {
    let mut pause = FIRST_PAUSE;
    loop {
        match follow(shared, control, link).await {
            Ok(()) => pause = FIRST_PAUSE,
            Err(error) => {
                log::debug!("link to {}: {error}", link.peer());
                pause = (pause * 2).min(LONGEST_PAUSE);
            }
        }
        link.set_connection(None);
        tokio::time::sleep(pause).await;
    }
}

async fn follow(shared: &Arc<Shared>, control: &ControlHandle, link: &Arc<Link>) -> Result<(), WireError> {
    let route = if link.role() == Role::Entry { Route::Follow } else { Route::Watch };
    let patience = shared.config.timing.connect;
    let connection = Connection::open(link.address(), Arc::clone(&shared.identity), patience).await?;
    let (writer, reader) = connection.stream(route).await?;
    let pace = Pace::of(route, &shared.config.timing);
    let seen = Exchange { shared, control, peer: link.peer(), pace };
    let mut first = Some(connection);
    let result = exchange(&seen, reader, writer, |beat| {
        link.report(beat.load, beat.readiness == Readiness::Ready);
        // Work is given only to a peer that has spoken.
        if let Some(connection) = first.take() {
            link.set_connection(Some(connection));
        }
    });
    let result = result.await;
    if shared.members.load().get(link.peer()).is_none() {
        control.input(Input::Members(MembersEvent::Leaving(link.peer().clone())));
    }
    result
}
