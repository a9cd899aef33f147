//! Writes crash reports to the store.

use std::sync::Arc;

use bluebell_platform::store::{Transaction, TransactionOutcome};

use super::event::{Event, EventSender};
use crate::{gateway::state::Gateway, records::committed_rows};

/// Runs a transaction on crash reports, and passes the committed rows to the control thread.
pub async fn write(gateway: Arc<Gateway>, events: EventSender, transaction: Transaction) {
    match gateway.store.transact(&transaction).await {
        Ok(TransactionOutcome::Committed { version, clock }) => {
            // Fails only while the process exits, when the control thread is gone.
            let _ = events.send(Event::Changes { rows: committed_rows(&transaction, version), clock });
        }
        Ok(TransactionOutcome::Conflict) => {
            log::info!("conflict with another gateway's crash reports; retrying once they are read");
        }
        Err(error) => log::warn!("failed to write crash reports: {error}"),
    }
}
