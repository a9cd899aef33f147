//! Where the process listens, and its threads.

use std::net::SocketAddr;

use serde::Deserialize;
use snafu::ensure;

use crate::error::{ConfigValueSnafu, DaemonError};

/// Where the process listens.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Listen {
    /// HTTP: callers and operators at an entry; health and metrics at both.
    pub public: SocketAddr,
    /// Other processes of the system.
    pub peers: SocketAddr,
}

/// Threads besides the one for control state.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Threads {
    /// Threads that carry traffic.
    pub traffic: usize,
}

/// Threads that carry traffic where nothing else is set.
const DEFAULT_THREADS: usize = 2;
/// Most threads that may be set.
const MAX_THREADS: usize = 64;

impl Default for Threads {
    fn default() -> Self {
        Self { traffic: DEFAULT_THREADS }
    }
}

impl Threads {
    pub(super) fn check(&self, path: &str) -> Result<(), DaemonError> {
        let reason = format!("1 to {MAX_THREADS}");
        ensure!((1..=MAX_THREADS).contains(&self.traffic), ConfigValueSnafu { path, key: "threads.traffic", reason });
        Ok(())
    }
}
