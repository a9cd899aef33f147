//! Writing reports of upstreams that ended.

use std::sync::Arc;

use bluebell_core::replica::{Origin, Row};
use bluebell_platform::store::{Committed, Put, RowKey, Transaction};

use super::event::{Event, Events};
use crate::gateway::state::Gateway;

/// Writes reports, and tells the control thread once they are written.
pub async fn write(gateway: Arc<Gateway>, events: Events, transaction: Transaction) {
    match gateway.store.transact(&transaction).await {
        Ok(Committed::Done { version, clock }) => {
            let put = |put: &Put| (put.at.key.clone(), Some(put.value.clone()));
            let gone = |at: &RowKey| (at.key.clone(), None);
            let written = transaction.puts.iter().map(put).chain(transaction.deletes.iter().map(gone));
            let row = |(key, value)| Row { origin: Origin::Fleet, key, value, version };
            // The control thread is gone only when the process ends.
            let _ = events.send(Event::Changes { rows: written.map(row).collect(), clock });
        }
        Ok(Committed::Conflict) => log::info!("another gateway wrote reports of ended upstreams; looking again"),
        Err(error) => log::warn!("reports of ended upstreams not written: {error}"),
    }
}
