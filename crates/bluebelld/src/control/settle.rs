//! Flush of the billing rows at shutdown: they are stored, or handed over to another entry if the store is down.

use std::time::Duration;

use bluebell_core::{
    billing::{BillRow, BillingEvent},
    kernel::Input,
    members::Role,
};
use bluebell_wire::{
    Route,
    messages::{BillsReply, BillsRequest},
};

use crate::{
    peers,
    shared::{ControlHandle, Shared},
};

/// Time for which only the store is tried before rows are handed over to a peer.
const STORE_TIMEOUT: Duration = Duration::from_secs(3);
/// Time between two checks for rows that are still left.
const CHECK_PERIOD: Duration = Duration::from_millis(50);

/// Stores all billing rows, or hands them over to another entry if the store doesn't take them in time.
pub async fn flush_billing_rows(shared: &Shared, control: &ControlHandle) {
    let started = tokio::time::Instant::now();
    while started.elapsed() < shared.config.timing.drain {
        control.input(Input::Billing(BillingEvent::Flush));
        let rows = unstored_rows(control).await;
        if rows.is_empty() {
            return;
        }
        if started.elapsed() > STORE_TIMEOUT && hand_over(shared, rows).await {
            return;
        }
        tokio::time::sleep(CHECK_PERIOD).await;
    }
    let rows = unstored_rows(control).await;
    log::error!("{} billing rows were neither stored nor handed over before the drain timeout: {rows:?}", rows.len());
}

async fn unstored_rows(control: &ControlHandle) -> Vec<BillRow> {
    let rows = control.query(|kernel| kernel.billing().map(|outbox| outbox.rows().cloned().collect())).await;
    rows.flatten().unwrap_or_default()
}

async fn hand_over(shared: &Shared, rows: Vec<BillRow>) -> bool {
    let own = &shared.config.instance.id;
    let members = shared.members.load_full();
    let running_entry = |item: &&bluebell_core::members::Listed| {
        item.role == Role::Entry && item.instance != *own && !members.is_leaving(&item.instance)
    };
    for peer in members.all().filter(running_entry) {
        let Some(connection) = peers::connection(shared, &peer.instance).await else { continue };
        let reply = connection.ask(Route::Bills, &BillsRequest::HandOver(rows.clone())).await;
        if matches!(reply, Ok(BillsReply::Accepted)) {
            log::info!(rows = rows.len(), peer = peer.instance.as_str(); "billing rows handed over to another entry");
            return true;
        }
    }
    false
}
