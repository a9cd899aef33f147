//! Reading the store: one long call after the other for each origin, from the version reached; a snapshot first, and
//! whenever the store has forgotten what lies between.

use std::{sync::Arc, time::Duration};

use bluebell_core::replica::Origin;
use bluebell_platform::store::Changes;
use rand::Rng;
use tokio::task::spawn_local;

use super::event::{Event, Events};
use crate::gateway::state::Gateway;

/// Time for which the store is asked to wait for a change. A call that a dead connection swallows must be noticed
/// soon enough for the next one to bring the news within the platform's bounds of two seconds.
const WAIT: Duration = Duration::from_millis(2000);
/// Shortest pause after a call that failed.
const MIN_PAUSE: Duration = Duration::from_millis(80);
/// Longest pause after a call that failed.
const MAX_PAUSE: Duration = Duration::from_millis(400);
/// Silence of the store after which it counts as out of reach: a call with its margin.
pub const SILENCE: Duration = Duration::from_millis(3200);

/// Starts to read all origins.
pub fn start(gateway: &Arc<Gateway>, events: &Events) {
    for origin in [Origin::Operator, Origin::Upstreams, Origin::Fleet] {
        spawn_local(follow(Arc::clone(gateway), events.clone(), origin));
    }
}

async fn follow(gateway: Arc<Gateway>, events: Events, origin: Origin) {
    let mut reached = None;
    let mut pause = MIN_PAUSE;
    loop {
        match read(&gateway, origin, &mut reached).await {
            Ok(Some(event)) => {
                pause = MIN_PAUSE;
                if events.send(event).is_err() {
                    return;
                }
            }
            Ok(None) => {
                log::warn!("the store has forgotten changes of {origin:?}; reading all rows");
            }
            Err(reason) => {
                if events.send(Event::StoreFailed(reason)).is_err() {
                    return;
                }
                let jitter = rand::rng().random_range(0.5..1.0);
                tokio::time::sleep(pause.mul_f64(jitter)).await;
                pause = (pause * 2).min(MAX_PAUSE);
            }
        }
    }
}

// None when the history is gone and a snapshot comes next.
async fn read(gateway: &Gateway, origin: Origin, reached: &mut Option<u64>) -> Result<Option<Event>, String> {
    let Some(after) = *reached else {
        let found = gateway.store.snapshot(origin).await.map_err(|error| error.to_string())?;
        *reached = Some(found.version);
        let (rows, version, clock) = (found.rows, found.version, found.clock);
        return Ok(Some(Event::Snapshot { origin, rows, version, clock }));
    };
    match gateway.store.changes(origin, after, WAIT).await.map_err(|error| error.to_string())? {
        Changes::Rows(found) => {
            *reached = Some(after.max(found.version));
            Ok(Some(Event::Changes { rows: found.rows, clock: found.clock }))
        }
        Changes::Compacted => {
            *reached = None;
            Ok(None)
        }
    }
}
