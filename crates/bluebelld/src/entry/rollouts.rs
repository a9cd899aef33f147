//! Executes roll-outs. The entry that holds the lease commits each step when it is due, and monitors the quality of
//! versions.

use std::{sync::Arc, time::Duration};

use bluebell_core::{
    ids::ChangeId,
    lease::{self, LeaseStep},
    rollout::Driver,
    settings::Action,
    units::Percent,
};

use super::{quality_monitor::QualityMonitor, state::Entry};
use crate::records::{HeldLease, Proposal};

const CHECK_INTERVAL: Duration = Duration::from_millis(1000);
/// Author of roll-out steps in the settings history.
const AUTHOR: &str = "roll-out";

/// Executes roll-outs and monitors version quality whenever this entry holds the lease, until the process ends.
pub async fn run(entry: Arc<Entry>) {
    let mut driver = Driver::default();
    let mut monitor = QualityMonitor::default();
    loop {
        tokio::time::sleep(CHECK_INTERVAL).await;
        let lease = if may_hold_lease(&entry) { acquire_lease(&entry).await } else { None };
        let Some(lease) = lease else {
            monitor.reset();
            continue;
        };
        let state = Arc::clone(&entry.shared.published.load().state);
        monitor.update(&entry, &state, &lease).await;
        if state.rollouts.values().any(|rollout| rollout.share < Percent::FULL) {
            commit_due_step(&entry, &mut driver, &monitor, &lease).await;
        }
    }
}

// Only the few entries of each zone that poll for settings compete for the lease.
fn may_hold_lease(entry: &Entry) -> bool {
    let own = &entry.shared.config.instance;
    entry.shared.is_ready() && entry.shared.members.load().is_poller(&own.id, &own.zone)
}

async fn acquire_lease(entry: &Entry) -> Option<HeldLease> {
    let records = &entry.shared.records;
    let found = read_lease(entry).await?;
    let own = &entry.shared.config.instance.id;
    let wall = entry.shared.clock.wall();
    let LeaseStep::Write(row) = lease::next_step(found.as_ref().map(|lease| &lease.row), own, wall) else {
        return None;
    };
    let written = records.write_lease(&row, found.map(|lease| lease.version)).await;
    if let Err(error) = &written {
        log::debug!("can't write the roll-out lease: {error}");
    }
    // Reading the row back returns its version, and shows who holds the lease if the reply to the write was lost.
    read_lease(entry).await?.filter(|lease| lease.row.holder == *own)
}

// Returns `None` if the lease can't be read; roll-outs don't proceed then.
async fn read_lease(entry: &Entry) -> Option<Option<HeldLease>> {
    let found = entry.shared.records.rollout_lease().await;
    found.map_err(|error| log::debug!("can't read the roll-out lease: {error}")).ok()
}

async fn commit_due_step(entry: &Entry, driver: &mut Driver, monitor: &QualityMonitor, lease: &HeldLease) {
    let state = Arc::clone(&entry.shared.published.load().state);
    let due = match driver.due_step(entry.shared.clock.now(), &state, monitor.quality()) {
        Ok(due) => due,
        Err(error) => {
            log::error!("can't determine the next roll-out step: {error}");
            return;
        }
    };
    let Some(action) = due else { return };
    let Action::Step { model, step, .. } = &action else { return };
    // The change id is the same on a retry, so a step that was committed is not applied again if the reply was lost.
    let Ok(change) = format!("step-{model}-{step}-{}", state.revision).parse::<ChangeId>() else { return };
    let proposal = Proposal { change, author: AUTHOR.to_owned(), action };
    match entry.shared.records.commit(&state, &proposal, Some(lease)).await {
        Ok(revision) => log::info!(revision = revision.0, fence = lease.row.fence.0; "roll-out moved on"),
        Err(error) => log::warn!("can't commit a roll-out step: {error}"),
    }
}
