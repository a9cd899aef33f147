//! Graceful stop: the readiness check fails first, then requests in flight are finished, then the process exits.

use std::{sync::atomic::Ordering, time::Duration};

use tokio::signal::unix::{SignalKind, signal};

use super::state::Gateway;
use crate::shutdown;

/// Time for the load balancer to notice: it checks once a second and removes a gateway after two failed checks.
const NOTICE_TIME: Duration = Duration::from_millis(2300);
/// Time before the exit at which requests still in flight are given up.
const EXIT_MARGIN: Duration = Duration::from_millis(700);
/// Time for connections to close after their last answers were sent.
const CLOSE_TIME: Duration = Duration::from_millis(100);

/// Waits for the signal to stop, fails the readiness check from then on, and waits until the load balancer has noticed.
pub async fn wait_for_signal(gateway: &Gateway) {
    shutdown::signalled().await;
    let in_flight = *gateway.in_flight.borrow();
    log::info!(in_flight = in_flight; "stop signal received");
    // Fails only if it is already set, but this function is called once per process.
    let _ = gateway.give_up_at.set(gateway.now() + gateway.settings.drain_seconds.saturating_sub(EXIT_MARGIN));
    gateway.leaving.send_replace(true);
    tokio::time::sleep(NOTICE_TIME).await;
}

/// Waits until no request is in flight, or the drain time is over. From then on requests are refused, so that none is
/// accepted and then aborted by the exit.
pub async fn drain(gateway: &Gateway) {
    let left = gateway.settings.drain_seconds.saturating_sub(NOTICE_TIME + EXIT_MARGIN);
    let mut in_flight = gateway.in_flight.subscribe();
    let idle = async {
        // The sender lives as long as the gateway.
        let _ = in_flight.wait_for(|count| *count == 0).await;
        gateway.closed.store(true, Ordering::Relaxed);
        tokio::time::sleep(CLOSE_TIME).await;
        let _ = in_flight.wait_for(|count| *count == 0).await;
    };
    if tokio::time::timeout(left, idle).await.is_err() {
        gateway.closed.store(true, Ordering::Relaxed);
        log::warn!(in_flight = *gateway.in_flight.borrow(); "drain time is over; aborting the requests in flight");
        gateway.aborted.send_replace(true);
        tokio::time::sleep(CLOSE_TIME).await;
    }
}

/// Logs reload signals, which have no other effect: a gateway reads its settings only at the start.
pub fn watch_reload() {
    let Ok(mut hangups) = signal(SignalKind::hangup()) else {
        log::error!("failed to install the handler of the reload signal");
        return;
    };
    tokio::spawn(async move {
        while hangups.recv().await.is_some() {
            log::info!("reload ordered, but ignored: settings are read only at the start");
        }
    });
}
