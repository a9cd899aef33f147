//! Role sidecar: a proxy in front of one runner. It admits attempts through the admission gate and forwards the
//! runner's answers to the entry.

mod admit;
mod attempt;
mod calls;
mod engine;
mod health;
mod service;
mod state;

use std::{
    sync::{Arc, Mutex},
    time::Duration,
};

use bluebell_core::{
    billing::Outbox,
    gate::GateEvent,
    kernel::{Kernel, Service},
    members::Members,
    settings::Follower,
};
use bluebell_wire::{Incoming, Route as PeerRoute, Server as PeerServer, WireError};
use poem::{EndpointExt, Route, Server, get, listener::TcpAcceptor};
use state::Sidecar;
use tokio::{
    sync::{mpsc, watch},
    time::MissedTickBehavior,
};

use crate::{
    control,
    error::{ConfigValueSnafu, DaemonError},
    listen::{listen, public_acceptor},
    peers, probe,
    shared::Shared,
    shutdown,
};

/// Incoming streams of peers that may queue until they are served.
const PEER_BACKLOG: usize = 256;
/// Period of the admission gate's tick.
const TICK: Duration = Duration::from_millis(100);

/// Runs a sidecar until SIGTERM or SIGINT.
///
/// # Errors
/// When it can't listen on its addresses or start its threads.
pub async fn run(shared: Arc<Shared>) -> Result<(), DaemonError> {
    let Some(runner) = shared.config.runner.clone() else {
        return ConfigValueSnafu { path: "", key: "runner", reason: "a sidecar has a runner" }.fail();
    };
    let kernel = Kernel::default()
        .with(Service::Settings(Box::<Follower>::default()))
        .with(Service::Members(Box::<Members>::default()))
        .with(Service::Billing(Box::<Outbox>::default()));
    let address = shared.config.listen.peers;
    let listener = listen(address)?;
    let probes = public_acceptor(shared.config.listen.public)?;
    let (control, _thread) = control::start(Arc::clone(&shared), kernel)?;
    let (streams, incoming) = mpsc::channel(PEER_BACKLOG);
    let (closing, closed) = watch::channel(false);
    let server = PeerServer::new(Arc::clone(&shared.identity), streams, closed);
    tokio::spawn(server.run(listener));
    // A runner's answers don't name their requests: on a kept connection, a copy of an earlier one would pass for the
    // answer to the next.
    let client = reqwest::Client::builder().tcp_nodelay(true).pool_max_idle_per_host(0).build()?;
    let sidecar = Arc::new(Sidecar {
        shared: Arc::clone(&shared),
        control,
        runner,
        client,
        calls: Mutex::default(),
        in_progress: watch::Sender::new(0),
    });
    tokio::spawn(serve_peers(Arc::clone(&sidecar), incoming));
    tokio::spawn(tick(Arc::clone(&sidecar)));
    tokio::spawn(serve_public(Arc::clone(&shared), probes));
    log::info!(address = address.to_string().as_str(); "sidecar is listening");
    shutdown::signalled().await;
    shut_down(&sidecar, &closing).await;
    Ok(())
}

// Sends the gate a periodic tick, on which it refuses attempts that have waited too long.
async fn tick(sidecar: Arc<Sidecar>) {
    let mut ticks = tokio::time::interval(TICK);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Skip);
    loop {
        ticks.tick().await;
        sidecar.notify_gate(GateEvent::Tick);
    }
}

async fn shut_down(sidecar: &Arc<Sidecar>, closing: &watch::Sender<bool>) {
    log::info!("leaving");
    sidecar.notify_gate(GateEvent::Leave);
    sidecar.shared.start_shutdown();
    let mut in_progress = sidecar.in_progress.subscribe();
    let idle = in_progress.wait_for(|count| *count == 0);
    if tokio::time::timeout(sidecar.shared.config.timing.drain, idle).await.is_err() {
        log::error!("drain timed out with attempts still running");
    }
    control::flush_billing_rows(&sidecar.shared, &sidecar.control).await;
    closing.send_replace(true);
    log::info!("left");
}

async fn serve_public(shared: Arc<Shared>, acceptor: TcpAcceptor) {
    let app = Route::new()
        .at("/healthz", get(probe::health))
        .at("/readyz", get(probe::ready))
        .at("/metrics", get(probe::metrics))
        .data(Arc::clone(&shared));
    if let Err(error) = Server::new_with_acceptor(acceptor).run(app).await {
        log::error!("HTTP server for health and metrics failed: {error}");
    }
}

async fn serve_peers(sidecar: Arc<Sidecar>, mut incoming: mpsc::Receiver<Incoming>) {
    while let Some(stream) = incoming.recv().await {
        let sidecar = Arc::clone(&sidecar);
        tokio::spawn(async move {
            if let Err(error) = serve(&sidecar, stream).await {
                log::debug!("stream of a peer failed: {error}");
            }
        });
    }
}

async fn serve(sidecar: &Arc<Sidecar>, incoming: Incoming) -> Result<(), WireError> {
    match incoming.route {
        PeerRoute::Run => admit::serve(sidecar, incoming).await,
        PeerRoute::Resolve => calls::resolve(sidecar, incoming).await,
        _ => peers::serve(&sidecar.shared, &sidecar.control, incoming).await,
    }
}
