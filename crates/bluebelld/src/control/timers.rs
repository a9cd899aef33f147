//! What the control thread does again and again: look at the settings and the list of instances, and let time pass.

use std::{sync::Arc, time::Duration};

use bluebell_core::{
    kernel::Input,
    members::Role,
    settings::{FollowerEvent, follower::Origin},
};
use tokio::{
    task::spawn_local,
    time::{MissedTickBehavior, interval},
};

use crate::shared::{ControlHandle, Shared};

/// Time between two ticks of the kernel.
const TICK: Duration = Duration::from_millis(100);

/// A sidecar needs the list only to find entries to follow, so it looks this many times less often than an entry.
const SIDECAR_LIST_PERIODS: u32 = 5;

/// Runs the timers until the process ends.
pub async fn run(shared: Arc<Shared>, control: ControlHandle) {
    spawn_local(list_instances(Arc::clone(&shared), control.clone()));
    spawn_local(poll_head(Arc::clone(&shared), control.clone()));
    let mut ticks = interval(TICK);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Skip);
    loop {
        ticks.tick().await;
        control.input(Input::Tick);
        let rows = control.query(|kernel| kernel.billing().map_or(0, |outbox| outbox.len())).await;
        shared.metrics.set_unbilled(rows.unwrap_or_default());
    }
}

async fn list_instances(shared: Arc<Shared>, control: ControlHandle) {
    let period = match shared.config.instance.role {
        Role::Entry => shared.config.timing.list,
        Role::Sidecar => shared.config.timing.list * SIDECAR_LIST_PERIODS,
    };
    let mut version = None;
    loop {
        match shared.records.instances(version).await {
            Ok(listing) => {
                version = Some(listing.version);
                control.input(Input::Members(listing.event));
            }
            Err(error) => log::warn!("instances can't be listed: {error}"),
        }
        let known = version.is_some();
        tokio::time::sleep(if known { period } else { shared.config.timing.poll }).await;
    }
}

async fn poll_head(shared: Arc<Shared>, control: ControlHandle) {
    loop {
        if polls(&shared) {
            match shared.records.head().await {
                Ok(revision) => {
                    control.input(Input::Settings(FollowerEvent::Seen { origin: Origin::Table, revision }));
                }
                Err(error) => {
                    log::debug!("the store can't be read: {error}");
                    control.input(Input::Settings(FollowerEvent::TableDown));
                }
            }
        }
        tokio::time::sleep(shared.config.timing.poll).await;
    }
}

// Until its settings are current every instance asks the store itself; then a few entries of each zone take turns.
fn polls(shared: &Shared) -> bool {
    let own = &shared.config.instance;
    if !shared.current.load(std::sync::atomic::Ordering::Relaxed) {
        return true;
    }
    if own.role == Role::Sidecar {
        return false;
    }
    let turn = shared.members.load().poll_turn(&own.id, &own.zone);
    turn.is_some_and(|turn| turn.is_now(shared.identity.since_epoch(), shared.config.timing.poll))
}
