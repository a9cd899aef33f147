//! The entry role: accepts HTTP requests from callers and operators, and runs them at sidecars.

mod active_request;
mod admin;
mod attempt;
mod auth;
mod body;
mod call_states;
mod chat;
mod generation;
mod graceful_shutdown;
mod models;
mod poison;
mod propagation;
mod quality_monitor;
mod request_error;
mod rollouts;
mod service;
mod session;
mod sse;
mod state;

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

/// Maximum number of incoming peer streams that wait to be handled.
const PEER_STREAM_BACKLOG: usize = 256;
/// Time after which an idle client connection is closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(75);

/// Runs an entry until it is shut down.
///
/// # Errors
/// If a listener or thread can't be started.
pub async fn run(shared: Arc<Shared>) -> Result<(), DaemonError> {
    let kernel = Kernel::default()
        .with(Service::Settings(Box::<Follower>::default()))
        .with(Service::Members(Box::<Members>::default()))
        .with(Service::Billing(Box::<Outbox>::default()));
    let listener = listen(shared.config.listen.peers)?;
    let (control, _thread) = control::start(Arc::clone(&shared), kernel)?;
    let entry = Entry::new(Arc::clone(&shared), control.clone());
    let (streams, incoming) = mpsc::channel(PEER_STREAM_BACKLOG);
    let server = PeerServer::new(Arc::clone(&shared.identity), streams, watch::channel(false).1);
    tokio::spawn(server.run(listener));
    tokio::spawn(serve_peers(Arc::clone(&shared), control, incoming));
    tokio::spawn(rollouts::run(Arc::clone(&entry)));
    tokio::spawn(quality_monitor::follow_estimates(Arc::clone(&entry)));
    tokio::spawn(poison::follow_reports(Arc::clone(&entry.poison)));
    tokio::spawn(poison::write_reports(Arc::clone(&entry.poison)));
    serve_public(&entry).await?;
    graceful_shutdown::flush_billing(&entry).await;
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
                log::debug!("peer stream failed: {error}");
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
        .at("/v1/services/:name/*path", get(service::handle_call).post(service::handle_call).put(service::handle_call))
        .at("/admin/settings", get(admin::settings))
        .at("/admin/explain/:branch", get(admin::explain))
        .at("/admin/history", get(admin::history))
        .at("/admin/changes", post(admin::change))
        .at("/admin/in-force", get(propagation::show))
        .at("/admin/members", get(admin::members))
        .at("/admin/status", get(admin::entry_status))
        .data(Arc::clone(shared))
        .data(Arc::clone(entry));
    let address = shared.config.listen.public;
    log::info!(address = address.to_string().as_str(); "entry is listening");
    let server = Server::new_with_acceptor(public_acceptor(address)?).idle_timeout(IDLE_TIMEOUT);
    let drained = graceful_shutdown::wait_for_drain(Arc::clone(entry));
    let context = ListenSnafu { address: address.to_string() };
    server.run_with_graceful_shutdown(app, drained, Some(shared.config.timing.drain)).await.context(context)
}
