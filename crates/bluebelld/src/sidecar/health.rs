//! Health of the runner: after a failure it gets no work until it accepts connections again.

use std::{
    sync::{Arc, atomic::Ordering},
    time::Duration,
};

use bluebell_core::gate::GateEvent;
use tokio::{net::TcpStream, time::timeout};

use super::state::Sidecar;

/// Time between two connection attempts to a runner that failed.
const PROBE_PERIOD: Duration = Duration::from_millis(100);
/// Longest time to wait until a runner accepts a connection.
const PROBE_TIMEOUT: Duration = Duration::from_millis(500);
/// Scheme of a runner's URL, in front of its address.
const SCHEME: &str = "http://";

/// Marks the runner as down and probes it until it accepts connections again.
pub fn runner_failed(sidecar: &Arc<Sidecar>) {
    sidecar.notify_gate(GateEvent::RunnerDown);
    if sidecar.shared.runner_up.swap(false, Ordering::Relaxed) {
        log::warn!(runner = sidecar.runner.id.as_str(); "runner failed");
        sidecar.shared.notify_peers();
        tokio::spawn(wait_until_up(Arc::clone(sidecar)));
    }
}

/// Whether the runner's process has exited, judged by whether its address refuses connections. A probe that times out
/// doesn't count.
pub async fn has_ended(sidecar: &Sidecar) -> bool {
    let connected = timeout(PROBE_TIMEOUT, TcpStream::connect(address(sidecar))).await;
    matches!(connected, Ok(Err(error)) if error.kind() == std::io::ErrorKind::ConnectionRefused)
}

fn address(sidecar: &Sidecar) -> &str {
    sidecar.runner.url.trim_start_matches(SCHEME).trim_end_matches('/')
}

async fn wait_until_up(sidecar: Arc<Sidecar>) {
    loop {
        tokio::time::sleep(PROBE_PERIOD).await;
        if matches!(timeout(PROBE_TIMEOUT, TcpStream::connect(address(&sidecar))).await, Ok(Ok(_))) {
            break;
        }
    }
    sidecar.shared.runner_up.store(true, Ordering::Relaxed);
    sidecar.notify_gate(GateEvent::RunnerUp);
    sidecar.shared.notify_peers();
    log::info!(runner = sidecar.runner.id.as_str(); "runner accepts connections again");
}
