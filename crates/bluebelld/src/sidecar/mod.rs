//! The sidecar: stands before one runner, admits attempts through the gate, and passes the runner's answers on.

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
use bluebell_wire::{Incoming, Route as Kind, Server as PeerServer, WireError};
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

/// Streams of peers that wait to be looked at.
const PEER_BACKLOG: usize = 256;
/// Time between two ticks of the gate.
const TICK: Duration = Duration::from_millis(100);

/// Runs a sidecar until it is told to stop.
///
/// # Errors
/// When it can't listen or start its threads.
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
    let client = reqwest::Client::builder().tcp_nodelay(true).pool_max_idle_per_host(runner.slots).build()?;
    let sidecar = Arc::new(Sidecar {
        shared: Arc::clone(&shared),
        control,
        runner,
        client,
        calls: Mutex::default(),
        working: watch::Sender::new(0),
    });
    tokio::spawn(serve_peers(Arc::clone(&sidecar), incoming));
    tokio::spawn(tick(Arc::clone(&sidecar)));
    tokio::spawn(serve_public(Arc::clone(&shared), probes));
    log::info!(address = address.to_string().as_str(); "sidecar listens");
    shutdown::ordered().await;
    leave(&sidecar, &closing).await;
    Ok(())
}

// Lets the gate see that time has passed.
async fn tick(sidecar: Arc<Sidecar>) {
    let mut ticks = tokio::time::interval(TICK);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Skip);
    loop {
        ticks.tick().await;
        sidecar.tell(GateEvent::Tick);
    }
}

async fn leave(sidecar: &Arc<Sidecar>, closing: &watch::Sender<bool>) {
    log::info!("leaving");
    sidecar.tell(GateEvent::Leave);
    sidecar.shared.leave();
    let mut working = sidecar.working.subscribe();
    let idle = working.wait_for(|count| *count == 0);
    if tokio::time::timeout(sidecar.shared.config.timing.drain, idle).await.is_err() {
        log::error!("attempts were still running at the end of the drain time");
    }
    control::settle_rows(&sidecar.shared, &sidecar.control).await;
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
        log::error!("health and metrics can't be served: {error}");
    }
}

async fn serve_peers(sidecar: Arc<Sidecar>, mut incoming: mpsc::Receiver<Incoming>) {
    while let Some(stream) = incoming.recv().await {
        let sidecar = Arc::clone(&sidecar);
        tokio::spawn(async move {
            if let Err(error) = serve(&sidecar, stream).await {
                log::debug!("a peer's conversation ended: {error}");
            }
        });
    }
}

async fn serve(sidecar: &Arc<Sidecar>, incoming: Incoming) -> Result<(), WireError> {
    match incoming.route {
        Kind::Run => admit::serve(sidecar, incoming).await,
        Kind::Resolve => calls::resolve(sidecar, incoming).await,
        _ => peers::serve(&sidecar.shared, &sidecar.control, incoming).await,
    }
}
