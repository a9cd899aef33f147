//! Sections `listen` and `threads`: listen addresses and numbers of threads.

use std::net::SocketAddr;

use serde::Deserialize;
use snafu::ensure;

use crate::error::{ConfigValueSnafu, DaemonError};

/// Addresses to listen on.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Listen {
    /// HTTP address. An entry serves callers and operators on it; both roles serve health checks and metrics.
    pub public: SocketAddr,
    /// Address for connections from other entries and sidecars.
    pub peers: SocketAddr,
}

/// Numbers of threads, apart from the control thread.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Threads {
    /// Number of threads that handle traffic.
    pub traffic: usize,
}

/// Default number of traffic threads.
const DEFAULT_TRAFFIC_THREADS: usize = 2;
/// Maximum number of traffic threads.
const MAX_TRAFFIC_THREADS: usize = 64;

impl Default for Threads {
    fn default() -> Self {
        Self { traffic: DEFAULT_TRAFFIC_THREADS }
    }
}

impl Threads {
    pub(super) fn check(&self, path: &str) -> Result<(), DaemonError> {
        let reason = format!("1 to {MAX_TRAFFIC_THREADS}");
        ensure!(
            (1..=MAX_TRAFFIC_THREADS).contains(&self.traffic),
            ConfigValueSnafu { path, key: "threads.traffic", reason }
        );
        Ok(())
    }
}
