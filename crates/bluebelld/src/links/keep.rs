//! Keeping a connection: connect, exchange heartbeats, and begin anew when it breaks.

use std::{sync::Arc, time::Duration};

use bluebell_core::{
    kernel::Input,
    members::{Listed, MembersEvent, Role},
};
use bluebell_wire::{Connection, Route, WireError, messages::Standing};
use tokio::task::spawn_local;

use super::Link;
use crate::{
    control::ControlHandle,
    peers::{Exchange, Pace, exchange},
    shared::Shared,
};

/// Pause before the first new try.
const FIRST_PAUSE: Duration = Duration::from_millis(50);
/// Longest pause between tries.
const LONGEST_PAUSE: Duration = Duration::from_secs(1);

/// Starts to keep a connection to an instance.
pub fn start(shared: &Arc<Shared>, control: &ControlHandle, listed: &Listed) -> Arc<Link> {
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
        link.report(beat.load, beat.standing == Standing::Open);
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
