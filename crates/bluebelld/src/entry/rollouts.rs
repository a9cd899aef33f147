//! Driving roll-outs: one entry holds the lease and commits the steps as they fall due.

use std::{sync::Arc, time::Duration};

use bluebell_core::{
    ids::ChangeId,
    lease::{self, LeaseStep},
    rollout::Driver,
    settings::{Action, State},
    units::Percent,
};
use bluebell_platform::settings::{HeldLease, Proposal};

use super::Entry;

/// Time between two looks at the roll-outs.
const PERIOD: Duration = Duration::from_millis(1000);
/// Author of the steps in the history.
const AUTHOR: &str = "roll-out";

/// Drives roll-outs until the process ends.
pub async fn drive(entry: Arc<Entry>) {
    let mut driver = Driver::default();
    loop {
        tokio::time::sleep(PERIOD).await;
        let state = Arc::clone(&entry.shared.published.load().state);
        let under_way = state.rollouts.values().any(|rollout| rollout.share < Percent::FULL);
        if !under_way || !may_drive(&entry) {
            continue;
        }
        let Some(lease) = hold(&entry).await else { continue };
        step(&entry, &mut driver, &state, &lease).await;
    }
}

fn may_drive(entry: &Entry) -> bool {
    let own = &entry.shared.config.instance;
    !entry.shared.is_leaving() && entry.shared.members.load().is_poller(&own.id, &own.zone)
}

async fn hold(entry: &Entry) -> Option<HeldLease> {
    let platform = &entry.shared.platform;
    let found = platform.rollout_lease().await.ok()?;
    let own = &entry.shared.config.instance.id;
    let wall = entry.shared.clock.wall();
    let LeaseStep::Write(row) = lease::next_step(found.as_ref().map(|held| &held.row), own, wall) else {
        return None;
    };
    let written = platform.write_lease(&row, found.map(|held| held.version)).await;
    if let Err(error) = &written {
        log::debug!("the lease on roll-outs can't be written: {error}");
    }
    // Reading back gives the row's version, and tells whose it is when the answer to the write was lost.
    platform.rollout_lease().await.ok()?.filter(|held| held.row.holder == *own)
}

async fn step(entry: &Entry, driver: &mut Driver, state: &State, lease: &HeldLease) {
    let due = match driver.due_step(entry.shared.clock.now(), state) {
        Ok(due) => due,
        Err(error) => {
            log::error!("a roll-out can't go on: {error}");
            return;
        }
    };
    let Some((action, revision)) = due else { return };
    let Action::Step { model, step, .. } = &action else { return };
    // The id makes a step that was committed, but whose answer was lost, apply once.
    let Ok(change) = format!("step-{model}-{step}-{revision}").parse::<ChangeId>() else { return };
    let proposal = Proposal { change, author: AUTHOR.to_owned(), action };
    match entry.shared.platform.commit(state, &proposal, Some(lease)).await {
        Ok(revision) => log::info!(revision = revision.0, fence = lease.row.fence.0; "roll-out moved on"),
        Err(error) => log::warn!("a roll-out did not move on: {error}"),
    }
}
