//! The entry: takes callers' and operators' requests over HTTP and sends work to sidecars.

mod admin;
mod answer;
mod attempt;
mod auth;
mod body;
mod chat;
mod fault;
mod flow;
mod in_force;
mod judge;
mod models;
mod rollouts;
mod service;
mod session;
mod sse;
mod stages;
mod stop;

pub use stop::settle_rows;

use std::{
    collections::HashMap,
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use bluebell_core::{
    billing::Outbox,
    ids::{AttemptId, OrgId, RequestId},
    kernel::{Kernel, Service},
    members::Members,
    retry::Budget,
    settings::Follower,
};
use bluebell_wire::Server as PeerServer;
use poem::{EndpointExt, Route, Server, get, post};
use snafu::ResultExt;
use tokio::sync::{mpsc, watch};

use crate::{
    control::{self, ControlHandle},
    error::{DaemonError, ListenSnafu},
    listen::{listen, public_acceptor},
    peers, probe,
    shared::Shared,
};

/// Streams of peers that wait to be looked at.
const PEER_BACKLOG: usize = 256;
/// Time that an idle connection of a caller is kept.
const IDLE_TIME: Duration = Duration::from_secs(75);

/// State of an entry.
pub struct Entry {
    shared: Arc<Shared>,
    control: ControlHandle,
    budget: Mutex<Budget>,
    in_flight: Mutex<HashMap<OrgId, u32>>,
    working: watch::Sender<u64>,
    attempts: AtomicU64,
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl Entry {
    fn new(shared: Arc<Shared>, control: ControlHandle) -> Arc<Self> {
        Arc::new(Self {
            shared,
            control,
            budget: Mutex::default(),
            in_flight: Mutex::default(),
            working: watch::Sender::new(0),
            attempts: AtomicU64::new(0),
        })
    }

    // The incarnation keeps the ids of a restarted entry apart from its earlier ones.
    fn next_attempt(&self, request: &RequestId) -> Result<AttemptId, bluebell_core::ids::IdError> {
        let number = self.attempts.fetch_add(1, Ordering::Relaxed);
        let salt = bluebell_core::routing::rendezvous::score(
            self.shared.config.instance.id.as_str(),
            &self.shared.incarnation.to_string(),
        );
        format!("{request}.{salt:x}.{number}").parse()
    }
}

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
