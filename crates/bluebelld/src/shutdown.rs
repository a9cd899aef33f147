//! Waiting for a signal to shut down.

use tokio::signal::unix::{SignalKind, signal};

/// Waits for SIGTERM or SIGINT.
pub async fn signalled() {
    let term = signal(SignalKind::terminate());
    let interrupt = signal(SignalKind::interrupt());
    match (term, interrupt) {
        (Ok(mut term), Ok(mut interrupt)) => {
            tokio::select! {
                _ = term.recv() => {}
                _ = interrupt.recv() => {}
            }
        }
        // Without handlers, the default action of the signals ends the process, so there is nothing to wait for.
        _ => std::future::pending().await,
    }
}
