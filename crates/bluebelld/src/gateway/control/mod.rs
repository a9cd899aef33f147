//! The control thread: it alone holds the copy of the store's rows and what follows from them, takes one event after
//! the other, and publishes beliefs for the traffic thread.

mod drive;
mod ends;
mod event;
mod feeds;
mod links;
mod members;
mod reports;
mod rollouts;
mod rows;
mod state;

use std::sync::Arc;

use snafu::ResultExt;
use tokio::{sync::mpsc, task::LocalSet};

use super::state::Gateway;
use crate::error::{DaemonError, ListenSnafu, RuntimeSnafu};
use state::Control;

/// Starts the control thread.
///
/// # Errors
/// When the thread's runtime can't be built, or peers can't be listened to.
pub fn start(gateway: Arc<Gateway>) -> Result<(), DaemonError> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().context(RuntimeSnafu)?;
    let address = gateway.settings.listen.peers;
    let listener = {
        let _entered = runtime.enter();
        bluebell_wire::listen(address).context(ListenSnafu { address: address.to_string() })?
    };
    let (events, inbox) = mpsc::unbounded_channel();
    let work = move || {
        LocalSet::new().block_on(&runtime, async move {
            let control = Control::new(gateway, events);
            links::listen(&control.gateway, listener, control.events.clone());
            control.run(inbox).await;
        });
    };
    std::thread::Builder::new().name("control".to_owned()).spawn(work).context(RuntimeSnafu)?;
    Ok(())
}
