//! Driving roll-outs: one entry holds the lease, commits the steps as they fall due, and judges versions.

use std::{sync::Arc, time::Duration};

use bluebell_core::{
    ids::ChangeId,
    lease::{self, LeaseStep},
    rollout::Driver,
    settings::Action,
    units::Percent,
};

use super::{judge::Judge, state::Entry};
use crate::records::{HeldLease, Proposal};

/// Time between two looks at the roll-outs.
const PERIOD: Duration = Duration::from_millis(1000);
/// Author of the steps in the history.
const AUTHOR: &str = "roll-out";

/// Drives roll-outs and judges versions until the process ends, while this entry holds the lease.
pub async fn drive(entry: Arc<Entry>) {
    let mut driver = Driver::default();
    let mut judge = Judge::default();
    loop {
        tokio::time::sleep(PERIOD).await;
        let lease = if may_drive(&entry) { hold(&entry).await } else { None };
        let Some(lease) = lease else {
            judge.rest();
            continue;
        };
        let state = Arc::clone(&entry.shared.published.load().state);
        judge.work(&entry, &state, &lease).await;
        if state.rollouts.values().any(|rollout| rollout.share < Percent::FULL) {
            step(&entry, &mut driver, &judge, &lease).await;
        }
    }
}

fn may_drive(entry: &Entry) -> bool {
    let own = &entry.shared.config.instance;
    entry.shared.is_ready() && entry.shared.members.load().is_poller(&own.id, &own.zone)
}

async fn hold(entry: &Entry) -> Option<HeldLease> {
    let records = &entry.shared.records;
    let found = read_lease(entry).await?;
    let own = &entry.shared.config.instance.id;
    let wall = entry.shared.clock.wall();
    let LeaseStep::Write(row) = lease::next_step(found.as_ref().map(|held| &held.row), own, wall) else {
        return None;
    };
    let written = records.write_lease(&row, found.map(|held| held.version)).await;
    if let Err(error) = &written {
        log::debug!("the lease on roll-outs can't be written: {error}");
    }
    // Reading back gives the row's version, and tells whose it is when the answer to the write was lost.
    read_lease(entry).await?.filter(|held| held.row.holder == *own)
}

// None when the lease can't be read; no roll-out moves on then.
async fn read_lease(entry: &Entry) -> Option<Option<HeldLease>> {
    let found = entry.shared.records.rollout_lease().await;
    found.map_err(|error| log::debug!("the lease on roll-outs can't be read: {error}")).ok()
}

async fn step(entry: &Entry, driver: &mut Driver, judge: &Judge, lease: &HeldLease) {
    let state = Arc::clone(&entry.shared.published.load().state);
    let due = match driver.due_step(entry.shared.clock.now(), &state, judge.quality()) {
        Ok(due) => due,
        Err(error) => {
            log::error!("a roll-out can't go on: {error}");
            return;
        }
    };
    let Some(action) = due else { return };
    let Action::Step { model, step, .. } = &action else { return };
    // The id makes a step that was committed, but whose answer was lost, apply once.
    let Ok(change) = format!("step-{model}-{step}-{}", state.revision).parse::<ChangeId>() else { return };
    let proposal = Proposal { change, author: AUTHOR.to_owned(), action };
    match entry.shared.records.commit(&state, &proposal, Some(lease)).await {
        Ok(revision) => log::info!(revision = revision.0, fence = lease.row.fence.0; "roll-out moved on"),
        Err(error) => log::warn!("a roll-out did not move on: {error}"),
    }
}
