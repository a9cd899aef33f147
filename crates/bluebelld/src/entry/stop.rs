//! A planned stop of an entry: callers are told first, and work in flight is finished.

use std::sync::Arc;

use super::state::Entry;
use crate::{control, shutdown};

/// Waits for the order to stop, then until callers have had time to notice and requests in flight are done.
pub async fn ordered(entry: Arc<Entry>) {
    shutdown::signalled().await;
    log::info!("leaving");
    entry.shared.start_shutdown();
    tokio::time::sleep(entry.shared.config.timing.notice).await;
    let mut working = entry.working.subscribe();
    let idle = working.wait_for(|count| *count == 0);
    if tokio::time::timeout(entry.shared.config.timing.drain, idle).await.is_err() {
        log::error!("requests were still in flight at the end of the drain time");
    }
}

/// Stores or hands over all billing rows.
pub async fn settle(entry: &Entry) {
    control::flush_billing_rows(&entry.shared, &entry.control).await;
    log::info!("left");
}
