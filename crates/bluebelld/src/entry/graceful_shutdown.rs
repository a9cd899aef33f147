//! Graceful shutdown of an entry: it first reports that it is leaving, then waits for the requests in flight.

use std::sync::Arc;

use super::state::Entry;
use crate::{control, shutdown};

/// Waits for a termination signal, then for the notice period, in which callers can react to the failing readiness
/// check, and then until all requests in flight are done or the drain time is over.
pub async fn wait_for_drain(entry: Arc<Entry>) {
    shutdown::signalled().await;
    log::info!("leaving");
    entry.shared.start_shutdown();
    tokio::time::sleep(entry.shared.config.timing.notice).await;
    let mut active_work = entry.active_work.subscribe();
    let idle = active_work.wait_for(|count| *count == 0);
    if tokio::time::timeout(entry.shared.config.timing.drain, idle).await.is_err() {
        log::error!("drain time is over, but requests are still in flight");
    }
}

/// Stores the remaining billing rows, or hands them to another instance while the store is down.
pub async fn flush_billing(entry: &Entry) {
    control::flush_billing_rows(&entry.shared, &entry.control).await;
    log::info!("left");
}
