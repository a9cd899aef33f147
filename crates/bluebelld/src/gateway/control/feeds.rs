//! Reads the store's change feeds. Each origin is read by consecutive long polls from the last version seen, starting
//! with a snapshot. A new snapshot is read whenever the store doesn't have the changes since that version.
//!
//! In large fleets most gateways read rarely and without waiting, see [`bluebell_core::dissemination::readers`]. When a
//! gateway has to read again, its feeds do so at once.

use std::{sync::Arc, time::Duration};

use bluebell_core::{
    dissemination::{MAX_READ_PAUSE, OPERATOR_POLL_TIME, ReadMode, poll_time, read_pause, slow_read_pause},
    replica::Origin,
};
use bluebell_platform::store::Changes;
use rand::Rng;
use tokio::{
    sync::{Notify, watch},
    task::spawn_local,
};

use super::{
    event::{Event, EventSender},
    reading::Reading,
};
use crate::gateway::state::Gateway;

/// Origins that gateways use.
const ORIGINS: [Origin; 3] = [Origin::Operator, Origin::Upstreams, Origin::Fleet];
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
pub(super) fn start(gateway: &Arc<Gateway>, events: &EventSender, reading: &mut Reading) {
    for (index, origin) in ORIGINS.into_iter().enumerate() {
        let (mode, refresh) = (reading.subscribe(), reading.refreshes(origin));
        let turn = Turn { index: index as u32, origin, mode, refresh, was_slow: false };
        spawn_local(follow(Arc::clone(gateway), events.clone(), turn));
    }
}

// When a feed reads.
struct Turn {
    // Number of the feed.
    index: u32,
    origin: Origin,
    mode: watch::Receiver<ReadMode>,
    // Has it read at once.
    refresh: Arc<Notify>,
    // Whether the previous read was one of the rare ones.
    was_slow: bool,
}

impl Turn {
    fn is_slow(&mut self) -> bool {
        *self.mode.borrow_and_update() == ReadMode::Slow
    }

    // Waits until the next read is due. Returns the time for which it asks the store to wait.
    async fn wait(&mut self, gateway: &Gateway) -> Duration {
        let count = ORIGINS.len() as u32;
        while self.is_slow() {
            let jitter = rand::rng().random_range(0.8..1.2);
            let pause = slow_read_pause(self.index, count, !std::mem::replace(&mut self.was_slow, true), jitter);
            tokio::select! {
                changed = tokio::time::timeout(pause, self.mode.changed()) => if changed.is_err() {
                    return Duration::ZERO;
                },
                () = self.refresh.notified() => return Duration::ZERO,
            }
        }
        let mode = *self.mode.borrow();
        if std::mem::take(&mut self.was_slow) {
            // The feed may have changed since the last of the rare reads.
            return Duration::ZERO;
        }
        match (mode, self.origin) {
            (ReadMode::Reader, Origin::Operator) => OPERATOR_POLL_TIME,
            (ReadMode::Reader, _) => poll_time(gateway.now(), self.index, count),
            (ReadMode::All | ReadMode::Slow, _) => LONG_POLL_TIME,
        }
    }

    // Pause after a read of a busy feed.
    fn busy_pause(&self, gateway: &Gateway) -> Duration {
        match *self.mode.borrow() {
            ReadMode::All => read_pause(gateway.routing.load().gateways),
            ReadMode::Reader | ReadMode::Slow => MAX_READ_PAUSE,
        }
    }
}

async fn follow(gateway: Arc<Gateway>, events: EventSender, mut turn: Turn) {
    let origin = turn.origin;
    let mut last_version = None;
    let mut backoff = MIN_BACKOFF;
    let mut has_failed = false;
    let mut is_refreshed = false;
    loop {
        let is_due = last_version.is_none() || std::mem::take(&mut is_refreshed);
        let wait = if is_due { Duration::ZERO } else { turn.wait(&gateway).await };
        // After a failure the store may have been restored meanwhile, which only an answer tells.
        let wait = if has_failed { Duration::ZERO } else { wait };
        let result = tokio::select! {
            result = read(&gateway, origin, &mut last_version, wait) => result,
            () = turn.refresh.notified(), if !wait.is_zero() => {
                is_refreshed = true;
                continue;
            }
        };
        match result {
            Ok(Some(event)) => {
                (backoff, has_failed) = (MIN_BACKOFF, false);
                let is_busy = origin == Origin::Upstreams && event.has_rows() && !turn.is_slow();
                if events.send(event).is_err() {
                    return;
                }
                if is_busy {
                    let jitter = rand::rng().random_range(0.5..1.0);
                    let pause = turn.busy_pause(&gateway).mul_f64(jitter);
                    is_refreshed = tokio::time::timeout(pause, turn.refresh.notified()).await.is_ok();
                }
            }
            Ok(None) => {
                log::warn!("the store has no changes of {origin:?} after the last ones read; reading a snapshot");
            }
            Err(reason) => {
                if events.send(Event::StoreFailed { origin, reason }).is_err() {
                    return;
                }
                has_failed = true;
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
            let (rows, version, clock) = (changed.rows, changed.version, changed.clock);
            Ok(Some(Event::FeedRead { origin, rows, version, clock }))
        }
        Changes::Unavailable => {
            *last_version = None;
            Ok(None)
        }
    }
}
