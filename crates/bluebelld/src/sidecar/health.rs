//! Whether the runner can be reached: after a failure nothing is given to it until it accepts connections again.

use std::{
    sync::{Arc, atomic::Ordering},
    time::Duration,
};

use bluebell_core::gate::GateEvent;
use tokio::{net::TcpStream, time::timeout};

use super::state::Sidecar;

/// Time between two looks at a runner that failed.
const PROBE_PERIOD: Duration = Duration::from_millis(100);
/// Time that a runner has to accept a connection.
const PROBE_TIME: Duration = Duration::from_millis(500);
/// Part of a runner's address before its IP number.
const SCHEME: &str = "http://";

/// Keeps work from a runner that failed, and looks for its return.
pub fn runner_failed(sidecar: &Arc<Sidecar>) {
    sidecar.tell(GateEvent::RunnerDown);
    if sidecar.shared.runner_up.swap(false, Ordering::Relaxed) {
        log::warn!(runner = sidecar.runner.id.as_str(); "the runner failed");
        sidecar.shared.tell_news();
        tokio::spawn(wait_for_return(Arc::clone(sidecar)));
    }
}

/// Whether nobody listens at the runner's address any more.
pub async fn has_ended(sidecar: &Sidecar) -> bool {
    let connected = timeout(PROBE_TIME, TcpStream::connect(address(sidecar))).await;
    matches!(connected, Ok(Err(error)) if error.kind() == std::io::ErrorKind::ConnectionRefused)
}

fn address(sidecar: &Sidecar) -> &str {
    sidecar.runner.url.trim_start_matches(SCHEME).trim_end_matches('/')
}

async fn wait_for_return(sidecar: Arc<Sidecar>) {
    loop {
        tokio::time::sleep(PROBE_PERIOD).await;
        if matches!(timeout(PROBE_TIME, TcpStream::connect(address(&sidecar))).await, Ok(Ok(_))) {
            break;
        }
    }
    sidecar.shared.runner_up.store(true, Ordering::Relaxed);
    sidecar.tell(GateEvent::RunnerUp);
    sidecar.shared.tell_news();
    log::info!(runner = sidecar.runner.id.as_str(); "the runner is back");
}
