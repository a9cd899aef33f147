//! The bluebellstack daemon. It runs in one of three roles: an entry accepts callers' requests and sends them to
//! sidecars, a sidecar proxies one runner, and a gateway routes requests directly to upstreams.
//!
//! In entries and sidecars one thread, the control thread, holds the control state in the kernel of `bluebell-core`.
//! The other threads handle traffic and read the state that the control thread publishes.

pub mod args;
mod clock;
pub mod config;
mod control;
mod entry;
mod error;
pub mod gateway;
mod listen;
mod logs;
mod metrics;
mod peers;
mod probe;
pub mod records;
mod shared;
mod shutdown;
mod sidecar;

use std::sync::Arc;

use bluebell_core::{clock::Clock, members::Role};
pub use error::DaemonError;
use snafu::ResultExt;

use crate::{args::Options, clock::SystemClock, config::Config, error::RuntimeSnafu, shared::Shared};

/// Runs the daemon until SIGTERM or SIGINT, or only validates the settings file if the options say so.
///
/// # Errors
/// When the settings are invalid, or the daemon can't start.
pub fn run(options: &Options) -> Result<(), DaemonError> {
    if let Some(args::Mode::Gateway) = options.mode {
        let result = gateway::run(&options.config, options.check);
        logs::flush();
        return result;
    }
    let config = Config::load(&options.config)?;
    if options.check {
        return Ok(());
    }
    logs::start(config.instance.id.as_str(), &config.log);
    let clock: Arc<dyn Clock> = Arc::new(SystemClock::start());
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(config.threads.traffic)
        .thread_name("traffic")
        .enable_all()
        .build()
        .context(RuntimeSnafu)?;
    let result = runtime.block_on(async {
        let shared = Shared::new(config, clock)?;
        match shared.config.instance.role {
            Role::Entry => entry::run(shared).await,
            Role::Sidecar => sidecar::run(shared).await,
        }
    });
    logs::flush();
    result
}
