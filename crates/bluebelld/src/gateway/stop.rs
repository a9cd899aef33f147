//! A planned stop: the balancer is told first, requests in flight are finished, then the process ends.

use std::{sync::atomic::Ordering, time::Duration};

use tokio::signal::unix::{SignalKind, signal};

use super::state::Gateway;
use crate::shutdown;

/// Time in which the balancer notices: it asks once a second and believes the second refusal.
const NOTICE: Duration = Duration::from_millis(2300);
/// Time before the end at which requests still in flight are given up.
const END_MARGIN: Duration = Duration::from_millis(700);

/// Time for connections to close after their last answers.
const CLOSE_TIME: Duration = Duration::from_millis(100);

/// Waits for the order to stop, then until callers have had time to notice.
pub async fn ordered(gateway: &Gateway) {
    shutdown::signalled().await;
    let in_flight = *gateway.working.borrow();
    log::info!(in_flight = in_flight; "stop ordered");
    // The order comes once; whoever waits for it a second time finds it set.
    let _ = gateway.end.set(gateway.now() + gateway.settings.drain_seconds.saturating_sub(END_MARGIN));
    gateway.leaving.send_replace(true);
    tokio::time::sleep(NOTICE).await;
}

/// Waits until requests in flight are done, or the time for the stop is over. A request that comes once there are none
/// is refused, so that none is taken and then cut by the end.
pub async fn last_answers(gateway: &Gateway) {
    let left = gateway.settings.drain_seconds.saturating_sub(NOTICE + END_MARGIN);
    let mut working = gateway.working.subscribe();
    let idle = async {
        // The sender lives as long as the gateway.
        let _ = working.wait_for(|count| *count == 0).await;
        gateway.closed.store(true, Ordering::Relaxed);
        tokio::time::sleep(CLOSE_TIME).await;
        let _ = working.wait_for(|count| *count == 0).await;
    };
    if tokio::time::timeout(left, idle).await.is_err() {
        gateway.closed.store(true, Ordering::Relaxed);
        log::warn!(in_flight = *gateway.working.borrow(); "requests are given up at the end of the drain time");
        tokio::time::sleep(CLOSE_TIME).await;
    }
}

/// Logs orders to read the settings again: all of a gateway's settings hold for the life of its process.
pub fn watch_reload() {
    let Ok(mut hangups) = signal(SignalKind::hangup()) else {
        log::error!("no handler for the reload signal");
        return;
    };
    tokio::spawn(async move {
        while hangups.recv().await.is_some() {
            log::info!("reload ordered; the settings in force were read at the start and stay");
        }
    });
}
