//! The runner beside a sidecar.

use bluebell_core::ids::RunnerId;
use serde::Deserialize;
use snafu::ensure;

use crate::error::{ConfigValueSnafu, DaemonError};

/// What a runner is.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum RunnerKind {
    /// A model engine.
    Engine,
    /// A plain service.
    Service,
}

/// The runner beside a sidecar.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Runner {
    /// Its id.
    pub id: RunnerId,
    /// Where it is, `http://ip:port`.
    pub url: String,
    /// What it is.
    pub kind: RunnerKind,
    /// Versions or services that it serves.
    pub serves: Vec<String>,
    /// Requests that it may work on at once.
    pub slots: usize,
}

impl Runner {
    pub(super) fn check(&self, path: &str) -> Result<(), DaemonError> {
        ensure!(self.slots > 0, ConfigValueSnafu { path, key: "runner.slots", reason: "at least 1" });
        let reason = "at least one version or service";
        ensure!(!self.serves.is_empty(), ConfigValueSnafu { path, key: "runner.serves", reason });
        let reason = "http://ip:port";
        ensure!(self.url.starts_with("http://"), ConfigValueSnafu { path, key: "runner.url", reason });
        Ok(())
    }
}
