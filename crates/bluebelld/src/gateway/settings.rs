//! Settings of a gateway, YAML. What organisations may do stands elsewhere, in the operators' declarations.

use std::{net::SocketAddr, path::Path, time::Duration};

use bluebell_core::{
    ids::{InstanceId, ZoneId},
    keys::{KeyRing, KeySettings},
    retry::RetryLimit,
};
use serde::Deserialize;
use serde_with::{DurationSecondsWithFrac, serde_as};
use snafu::ensure;

use crate::{
    config::{parse_text, read_file},
    error::{ConfigValueSnafu, DaemonError},
};

/// Settings of a gateway.
#[serde_as]
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct GatewaySettings {
    /// Who it is.
    pub instance: Identity,
    /// Where it listens.
    pub listen: Listen,
    /// Address of the platform's store.
    pub store: SocketAddr,
    /// Addresses of peers to begin with; they may be stale.
    #[serde(default)]
    pub seeds: Vec<SocketAddr>,
    /// Budget for retries, for all gateways together.
    pub retry: Retry,
    /// Time between the order to stop and the end.
    #[serde_as(as = "DurationSecondsWithFrac<f64>")]
    pub drain_seconds: Duration,
    /// Time within which requests of a session follow each other.
    #[serde_as(as = "DurationSecondsWithFrac<f64>")]
    pub session_seconds: Duration,
    /// Share of a service's requests that a new release may get before it is known to be good.
    pub exposure: f64,
    /// Keys between processes.
    pub keys: KeySettings,
    /// Least level that is logged: error, warn, info, debug or trace.
    pub log: String,
}

/// Who a gateway is.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Identity {
    /// Its id, unique among all instances.
    pub id: InstanceId,
    /// Its availability zone.
    pub zone: ZoneId,
}

/// Where a gateway listens.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Listen {
    /// For callers.
    pub callers: SocketAddr,
    /// For the balancer's question whether it is ready.
    pub ready: SocketAddr,
    /// For metrics.
    pub metrics: SocketAddr,
    /// For other gateways.
    pub peers: SocketAddr,
    /// Where other gateways reach that, if not at the address itself.
    #[serde(default)]
    pub announced: Option<SocketAddr>,
}

impl Listen {
    /// Address that other gateways connect to.
    #[must_use]
    pub fn announced(&self) -> SocketAddr {
        self.announced.unwrap_or(self.peers)
    }
}

/// Budget for retries.
#[serde_as]
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Retry {
    /// Retries for each request.
    pub ratio: f64,
    /// Retries beyond those.
    pub slack: f64,
    /// Time over which both are counted.
    #[serde_as(as = "DurationSecondsWithFrac<f64>")]
    pub window_seconds: Duration,
}

impl GatewaySettings {
    /// Reads and checks a settings file.
    ///
    /// # Errors
    /// When the file can't be read, or a key or value in it is wrong.
    pub fn load(path: &Path) -> Result<Self, DaemonError> {
        let (name, text) = read_file(path)?;
        Self::parse(&name, &text)
    }

    /// Checks the text of a settings file.
    ///
    /// # Errors
    /// When a key or value is wrong.
    pub fn parse(path: &str, text: &str) -> Result<Self, DaemonError> {
        let settings: Self = parse_text(path, text)?;
        settings.check(path)?;
        Ok(settings)
    }

    fn check(&self, path: &str) -> Result<(), DaemonError> {
        KeyRing::new(&self.keys)?;
        let level = self.log.parse::<log::LevelFilter>();
        let reason = "one of error, warn, info, debug, trace";
        ensure!(level.is_ok(), ConfigValueSnafu { path, key: "log", reason });
        let reason = "at least 0";
        ensure!(self.retry.ratio >= 0.0, ConfigValueSnafu { path, key: "retry.ratio", reason });
        ensure!(self.retry.slack >= 0.0, ConfigValueSnafu { path, key: "retry.slack", reason });
        let reason = "above 0, at most 1";
        let allowed = self.exposure > 0.0 && self.exposure <= 1.0;
        ensure!(allowed, ConfigValueSnafu { path, key: "exposure", reason });
        let reason = "longer than nothing";
        ensure!(!self.retry.window_seconds.is_zero(), ConfigValueSnafu { path, key: "retry.window_seconds", reason });
        Ok(())
    }

    /// The limit on retries.
    #[must_use]
    pub fn retry_limit(&self) -> RetryLimit {
        RetryLimit { ratio: self.retry.ratio, slack: self.retry.slack, window: self.retry.window_seconds }
    }
}
