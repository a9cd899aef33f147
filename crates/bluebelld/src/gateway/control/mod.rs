//! The control thread. It alone owns the replica of the store's rows and the state derived from it, handles one event
//! at a time, and publishes the routing state for the traffic thread.

mod cold_starts;
mod crashes;
mod drive;
mod evacuations;
mod event;
mod feeds;
mod incarnations;
mod links;
mod load;
mod members;
mod peer_status;
mod read_mode;
mod reading;
mod recency;
mod reports;
mod restored;
mod rollouts;
mod rows;
mod state;
mod status;

use std::sync::Arc;

use snafu::ResultExt;
use tokio::task::LocalSet;

use super::state::Gateway;
use crate::error::{DaemonError, ListenSnafu, RuntimeSnafu};
use state::Control;

/// Starts the control thread.
///
/// # Errors
/// If the thread or its runtime can't be created, or the address for peers can't be bound.
pub fn start(gateway: Arc<Gateway>) -> Result<(), DaemonError> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().context(RuntimeSnafu)?;
    let address = gateway.settings.listen.peers;
    let listener = {
        let _entered = runtime.enter();
        bluebell_wire::listen(address).context(ListenSnafu { address: address.to_string() })?
    };
    let (events, inbox) = event::event_queue(Arc::clone(&gateway.clock));
    let run = move || {
        LocalSet::new().block_on(&runtime, async move {
            let control = Control::new(gateway, events);
            links::listen(&control.gateway, listener, control.events.clone());
            control.run(inbox).await;
        });
    };
    std::thread::Builder::new().name("control".to_owned()).spawn(run).context(RuntimeSnafu)?;
    Ok(())
}
