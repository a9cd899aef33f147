//! What the control thread does again and again: look at the table and the list of instances, and let time pass.

use std::{sync::Arc, time::Duration};

use bluebell_core::{
    ids::InstanceId,
    kernel::Input,
    members::{MembersEvent, Role},
    settings::{FollowerEvent, follower::Origin},
};
use tokio::{
    task::spawn_local,
    time::{MissedTickBehavior, interval},
};

use super::ControlHandle;
use crate::shared::Shared;

/// Time between two ticks of the kernel.
const TICK: Duration = Duration::from_millis(100);

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
    loop {
        match shared.platform.instances().await {
            Ok(list) => control.input(Input::Members(MembersEvent::List(list))),
            Err(error) => log::warn!("instances can't be listed: {error}"),
        }
        tokio::time::sleep(shared.config.timing.list).await;
    }
}

async fn poll_head(shared: Arc<Shared>, control: ControlHandle) {
    loop {
        if polls(&shared) {
            match shared.platform.head().await {
                Ok(revision) => {
                    control.input(Input::Settings(FollowerEvent::Seen { origin: Origin::Table, revision }));
                }
                Err(error) => {
                    log::debug!("the table can't be read: {error}");
                    control.input(Input::Settings(FollowerEvent::TableDown));
                }
            }
        }
        tokio::time::sleep(shared.config.timing.poll).await;
    }
}

// Until its settings are current every instance asks the table itself; then only a few entries of each zone do.
fn polls(shared: &Shared) -> bool {
    let own: &InstanceId = &shared.config.instance.id;
    let current = shared.current.load(std::sync::atomic::Ordering::Relaxed);
    let poller = || shared.members.load().is_poller(own, &shared.config.instance.zone);
    !current || shared.config.instance.role == Role::Entry && poller()
}
