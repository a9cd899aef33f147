//! Billing rows at a planned stop: stored, or handed to a peer.

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

/// Time given to the store before rows are handed to a peer.
const STORE_TIME: Duration = Duration::from_secs(3);
/// Time between two looks at the rows that are left.
const LOOK_PERIOD: Duration = Duration::from_millis(50);

/// Stores all billing rows, or hands them to a peer while the store is down.
pub async fn settle_rows(shared: &Shared, control: &ControlHandle) {
    let begun = tokio::time::Instant::now();
    while begun.elapsed() < shared.config.timing.drain {
        control.input(Input::Billing(BillingEvent::Flush));
        let rows = rows_left(control).await;
        if rows.is_empty() {
            return;
        }
        if begun.elapsed() > STORE_TIME && hand_over(shared, rows).await {
            return;
        }
        tokio::time::sleep(LOOK_PERIOD).await;
    }
    let rows = rows_left(control).await;
    log::error!("{} billing rows could neither be stored nor handed over: {rows:?}", rows.len());
}

async fn rows_left(control: &ControlHandle) -> Vec<BillRow> {
    let rows = control.query(|kernel| kernel.billing().map(|outbox| outbox.rows().cloned().collect())).await;
    rows.flatten().unwrap_or_default()
}

async fn hand_over(shared: &Shared, rows: Vec<BillRow>) -> bool {
    let own = &shared.config.instance.id;
    let members = shared.members.load_full();
    let other = |item: &&bluebell_core::members::Listed| {
        item.role == Role::Entry && item.instance != *own && !members.is_leaving(&item.instance)
    };
    for peer in members.all().filter(other) {
        let Some(connection) = peers::connection(shared, &peer.instance).await else { continue };
        let reply = connection.ask(Route::Bills, &BillsRequest::HandOver(rows.clone())).await;
        if matches!(reply, Ok(BillsReply::Accepted)) {
            log::info!(rows = rows.len(), peer = peer.instance.as_str(); "billing rows handed over");
            return true;
        }
    }
    false
}
