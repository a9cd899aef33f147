//! Writing reports of upstreams that ended.

use std::sync::Arc;

use bluebell_platform::store::{Transaction, TransactionOutcome};

use super::event::{Event, Events};
use crate::{gateway::state::Gateway, records::committed_rows};

/// Writes reports, and tells the control thread once they are written.
pub async fn write(gateway: Arc<Gateway>, events: Events, transaction: Transaction) {
    match gateway.store.transact(&transaction).await {
        Ok(TransactionOutcome::Committed { version, clock }) => {
            // The control thread is gone only when the process ends.
            let _ = events.send(Event::Changes { rows: committed_rows(&transaction, version), clock });
        }
        Ok(TransactionOutcome::Conflict) => {
            log::info!("another gateway wrote reports of ended upstreams; looking again");
        }
        Err(error) => log::warn!("reports of ended upstreams not written: {error}"),
    }
}
