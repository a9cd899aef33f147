//! The entry: takes callers' and operators' requests over HTTP and sends work to sidecars.

mod admin;
mod answer;
mod attempt;
mod auth;
mod body;
mod chat;
mod fault;
mod flow;
mod held;
mod in_force;
mod judge;
mod models;
mod rollouts;
mod service;
mod session;
mod sse;
mod stages;
mod state;
mod stop;

use std::{sync::Arc, time::Duration};

use bluebell_core::{
    billing::Outbox,
    kernel::{Kernel, Service},
    members::Members,
    settings::Follower,
};
use bluebell_wire::Server as PeerServer;
use poem::{EndpointExt, Route, Server, get, post};
use snafu::ResultExt;
use state::Entry;
use tokio::sync::{mpsc, watch};

use crate::{
    control,
    error::{DaemonError, ListenSnafu},
    listen::{listen, public_acceptor},
    peers, probe,
    shared::{ControlHandle, Shared},
};

/// Streams of peers that wait to be looked at.
const PEER_BACKLOG: usize = 256;
/// Time that an idle connection of a caller is kept.
const IDLE_TIME: Duration = Duration::from_secs(75);

/// Runs an entry until it is told to stop.
///
/// # Errors
/// When it can't listen or start its threads.
pub async fn run(shared: Arc<Shared>) -> Result<(), DaemonError> {
    let kernel = Kernel::default()
        .with(Service::Settings(Box::<Follower>::default()))
        .with(Service::Members(Box::<Members>::default()))
        .with(Service::Billing(Box::<Outbox>::default()));
    let listener = listen(shared.config.listen.peers)?;
    let (control, _thread) = control::start(Arc::clone(&shared), kernel)?;
    let entry = Entry::new(Arc::clone(&shared), control.clone());
    let (streams, incoming) = mpsc::channel(PEER_BACKLOG);
    let server = PeerServer::new(Arc::clone(&shared.identity), streams, watch::channel(false).1);
    tokio::spawn(server.run(listener));
    tokio::spawn(serve_peers(Arc::clone(&shared), control, incoming));
    tokio::spawn(rollouts::drive(Arc::clone(&entry)));
    tokio::spawn(judge::follow(Arc::clone(&entry)));
    tokio::spawn(held::follow(Arc::clone(&entry.held)));
    tokio::spawn(held::keep(Arc::clone(&entry.held)));
    serve_public(&entry).await?;
    stop::settle(&entry).await;
    Ok(())
}

async fn serve_peers(
    shared: Arc<Shared>,
    control: ControlHandle,
    mut incoming: mpsc::Receiver<bluebell_wire::Incoming>,
) {
    while let Some(stream) = incoming.recv().await {
        let (shared, control) = (Arc::clone(&shared), control.clone());
        tokio::spawn(async move {
            if let Err(error) = peers::serve(&shared, &control, stream).await {
                log::debug!("a peer's conversation ended: {error}");
            }
        });
    }
}

async fn serve_public(entry: &Arc<Entry>) -> Result<(), DaemonError> {
    let shared = &entry.shared;
    let app = Route::new()
        .at("/healthz", get(probe::health))
        .at("/readyz", get(probe::ready))
        .at("/metrics", get(probe::metrics))
        .at("/v1/models", get(models::list))
        .at("/v1/chat/completions", post(chat::complete))
        .at("/v1/services/:name/*path", get(service::answer).post(service::answer).put(service::answer))
        .at("/admin/settings", get(admin::settings))
        .at("/admin/explain/:branch", get(admin::explain))
        .at("/admin/history", get(admin::history))
        .at("/admin/changes", post(admin::change))
        .at("/admin/in-force", get(in_force::show))
        .at("/admin/members", get(admin::members))
        .at("/admin/status", get(admin::standing))
        .data(Arc::clone(shared))
        .data(Arc::clone(entry));
    let address = shared.config.listen.public;
    log::info!(address = address.to_string().as_str(); "entry listens");
    let server = Server::new_with_acceptor(public_acceptor(address)?).idle_timeout(IDLE_TIME);
    let stop = stop::ordered(Arc::clone(entry));
    let context = ListenSnafu { address: address.to_string() };
    server.run_with_graceful_shutdown(app, stop, Some(shared.config.timing.drain)).await.context(context)
}
