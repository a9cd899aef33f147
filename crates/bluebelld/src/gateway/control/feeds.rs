//! Reads the store's change feeds. Each origin is read by consecutive long polls from the last version seen, starting
//! with a snapshot. A new snapshot is read whenever the store doesn't have the changes since that version.

use std::{sync::Arc, time::Duration};

use bluebell_core::{dissemination::read_pause, replica::Origin};
use bluebell_platform::store::Changes;
use rand::Rng;
use tokio::task::spawn_local;

use super::event::{Event, EventSender};
use crate::gateway::state::Gateway;

/// Time for which the store holds a long poll open without changes. A poll lost on a dead connection must be detected
/// soon enough for the next one to deliver the changes within the platform's limit of two seconds.
const LONG_POLL_TIME: Duration = Duration::from_millis(2000);
/// Shortest pause after a failed call.
const MIN_BACKOFF: Duration = Duration::from_millis(80);
/// Longest pause after a failed call.
const MAX_BACKOFF: Duration = Duration::from_millis(400);
/// Time without a response after which the store counts as unreachable: the length of a long poll and a margin.
pub const STORE_TIMEOUT: Duration = Duration::from_millis(3200);

/// Starts to read the change feeds of all origins that gateways use.
pub fn start(gateway: &Arc<Gateway>, events: &EventSender) {
    for origin in [Origin::Operator, Origin::Upstreams, Origin::Fleet] {
        spawn_local(follow(Arc::clone(gateway), events.clone(), origin));
    }
}

async fn follow(gateway: Arc<Gateway>, events: EventSender, origin: Origin) {
    let mut last_version = None;
    let mut backoff = MIN_BACKOFF;
    let mut wait = LONG_POLL_TIME;
    loop {
        match read(&gateway, origin, &mut last_version, wait).await {
            Ok(Some(event)) => {
                (backoff, wait) = (MIN_BACKOFF, LONG_POLL_TIME);
                let is_busy = origin == Origin::Upstreams && event.has_rows();
                if events.send(event).is_err() {
                    return;
                }
                if is_busy {
                    let jitter = rand::rng().random_range(0.5..1.0);
                    tokio::time::sleep(read_pause(gateway.routing.load().gateways).mul_f64(jitter)).await;
                }
            }
            Ok(None) => {
                log::warn!("the store has no changes of {origin:?} after the last ones read; reading a snapshot");
            }
            Err(reason) => {
                if events.send(Event::StoreFailed(reason)).is_err() {
                    return;
                }
                // The store may have been restored meanwhile, which only an answer tells.
                wait = Duration::ZERO;
                let jitter = rand::rng().random_range(0.5..1.0);
                tokio::time::sleep(backoff.mul_f64(jitter)).await;
                backoff = (backoff * 2).min(MAX_BACKOFF);
            }
        }
    }
}

// Returns `None` if the store doesn't have the changes, so that the next call reads a snapshot.
async fn read(
    gateway: &Gateway,
    origin: Origin,
    last_version: &mut Option<u64>,
    wait: Duration,
) -> Result<Option<Event>, String> {
    let Some(after) = *last_version else {
        let snapshot = gateway.store.snapshot(origin).await.map_err(|error| error.to_string())?;
        *last_version = Some(snapshot.version);
        let (rows, version, clock) = (snapshot.rows, snapshot.version, snapshot.clock);
        return Ok(Some(Event::Snapshot { origin, rows, version, clock }));
    };
    match gateway.store.changes(origin, after, wait).await.map_err(|error| error.to_string())? {
        Changes::Rows(changed) => {
            *last_version = Some(after.max(changed.version));
            Ok(Some(Event::Changes { rows: changed.rows, clock: changed.clock }))
        }
        Changes::Unavailable => {
            *last_version = None;
            Ok(None)
        }
    }
}
