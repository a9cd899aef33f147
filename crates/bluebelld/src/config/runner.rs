//! Section `runner`: the runner of a sidecar.

use bluebell_core::ids::RunnerId;
use serde::Deserialize;
use snafu::ensure;

use crate::error::{ConfigValueSnafu, DaemonError};

/// Kind of a runner.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum RunnerKind {
    /// Model engine, called at `/v1/chat/completions`.
    Engine,
    /// HTTP service without a model.
    Service,
}

/// Runner of a sidecar.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Runner {
    /// Runner id.
    pub id: RunnerId,
    /// Base URL, `http://ip:port`.
    pub url: String,
    /// Kind of runner.
    pub kind: RunnerKind,
    /// Model versions or services that it serves.
    pub serves: Vec<String>,
    /// Maximum number of concurrent requests.
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
