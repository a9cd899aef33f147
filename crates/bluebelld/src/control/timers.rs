//! Periodic tasks of the control thread: poll the settings' head revision, list the instances, and tick the kernel.

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

/// Period of the kernel's tick.
const TICK: Duration = Duration::from_millis(100);
/// Factor by which a sidecar lists the instances less often than an entry: it needs the list only to find entries to
/// receive settings from.
const SIDECAR_LIST_FACTOR: u32 = 5;

/// Runs the periodic tasks; never returns.
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
        Role::Sidecar => shared.config.timing.list * SIDECAR_LIST_FACTOR,
    };
    let mut version = None;
    loop {
        match shared.records.instances(version).await {
            Ok(listing) => {
                version = Some(listing.version);
                control.input(Input::Members(listing.event));
            }
            Err(error) => log::warn!("listing instances failed: {error}"),
        }
        let known = version.is_some();
        tokio::time::sleep(if known { period } else { shared.config.timing.poll }).await;
    }
}

async fn poll_head(shared: Arc<Shared>, control: ControlHandle) {
    loop {
        if should_poll(&shared) {
            match shared.records.head().await {
                Ok(revision) => {
                    control.input(Input::Settings(FollowerEvent::Seen { origin: Origin::Table, revision }));
                }
                Err(error) => {
                    log::debug!("reading the settings' head revision failed: {error}");
                    control.input(Input::Settings(FollowerEvent::TableDown));
                }
            }
        }
        tokio::time::sleep(shared.config.timing.poll).await;
    }
}

// Until its settings are current, every instance polls the store itself. Afterwards a few entries of each zone take
// turns, and the other instances get new settings from them.
fn should_poll(shared: &Shared) -> bool {
    let own = &shared.config.instance;
    if !shared.settings_current.load(std::sync::atomic::Ordering::Relaxed) {
        return true;
    }
    if own.role == Role::Sidecar {
        return false;
    }
    let turn = shared.members.load().poll_turn(&own.id, &own.zone);
    turn.is_some_and(|turn| turn.is_now(shared.identity.since_epoch(), shared.config.timing.poll))
}
