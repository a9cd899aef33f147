//! The gateway: accepts callers' requests and forwards them directly to upstreams. Durable state is kept in the
//! platform's store; gateways forward the changes that they read there to each other.
//!
//! The control thread keeps a replica of the store and publishes the routing state, by which the traffic thread routes
//! requests.

mod attempt;
mod attempt_guard;
mod control;
mod crash_detection;
mod front;
mod job;
pub mod lanes;
mod metrics;
pub mod outbox;
mod pool;
mod read_limit;
mod ready;
mod response_buffer;
mod routing_state;
mod settings;
mod state;
mod stop;
mod traffic;

use std::{path::Path, sync::Arc};

use bluebell_core::clock::Clock;
pub use settings::GatewaySettings;
use snafu::ResultExt;

use crate::{
    clock::SystemClock,
    error::{DaemonError, RuntimeSnafu},
    logs,
};
use state::Gateway;

/// Runs a gateway until it is told to stop. With `check`, only validates the settings.
///
/// # Errors
/// If the settings are invalid, or the gateway can't start.
pub fn run(path: &Path, check: bool) -> Result<(), DaemonError> {
    let settings = GatewaySettings::load(path)?;
    if check {
        return Ok(());
    }
    logs::start(settings.instance.id.as_str(), &settings.log);
    let clock: Arc<dyn Clock> = Arc::new(SystemClock::start());
    let gateway = Gateway::new(settings, clock)?;
    log::info!(zone = gateway.settings.instance.zone.as_str(); "gateway starting");
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().context(RuntimeSnafu)?;
    runtime.block_on(serve(gateway))
}

async fn serve(gateway: Arc<Gateway>) -> Result<(), DaemonError> {
    control::start(Arc::clone(&gateway))?;
    ready::start(&gateway)?;
    stop::watch_reload();
    let result = front::serve(Arc::clone(&gateway)).await;
    log::info!("gateway stopped");
    result
}
