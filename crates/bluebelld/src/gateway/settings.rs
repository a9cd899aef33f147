//! A gateway's settings file, in YAML. Limits and permissions of organisations are not part of it, but of the
//! operators' declarations in the store.

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
    /// Identity of the gateway.
    pub instance: Identity,
    /// Addresses on which it listens.
    pub listen: Listen,
    /// Address of the platform's store.
    pub store: SocketAddr,
    /// Addresses of peers to contact at the start; they may be out of date.
    #[serde(default)]
    pub seeds: Vec<SocketAddr>,
    /// Retry budget, shared by all gateways.
    pub retry: Retry,
    /// Time between the stop signal and the exit of the process.
    #[serde_as(as = "DurationSecondsWithFrac<f64>")]
    pub drain_seconds: Duration,
    /// Time without requests after which a session expires.
    #[serde_as(as = "DurationSecondsWithFrac<f64>")]
    pub session_seconds: Duration,
    /// Largest share of a service's requests that may go to a new release before it has proved to be good.
    pub exposure: f64,
    /// Requests that may go to it besides that share.
    #[serde(default)]
    pub exposure_slack: f64,
    /// Tolerance of the rate at which cold upstreams get requests. Without it, cold upstreams have no rate limit.
    #[serde(default)]
    pub cold: Option<ColdTolerance>,
    /// Size of the machine that the gateway runs on. Without it, the limits that depend on it have defaults.
    #[serde(default)]
    pub machine: Option<Machine>,
    /// Keys with which processes authenticate each other.
    pub keys: KeySettings,
    /// Minimum log level: error, warn, info, debug or trace.
    pub log: String,
}

/// Identity of a gateway.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Identity {
    /// Instance id, unique among all instances.
    pub id: InstanceId,
    /// Availability zone.
    pub zone: ZoneId,
}

/// Addresses on which a gateway listens.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Listen {
    /// Address for callers.
    pub callers: SocketAddr,
    /// Address for the load balancer's readiness check.
    pub ready: SocketAddr,
    /// Address for metrics.
    pub metrics: SocketAddr,
    /// Address for other gateways.
    pub peers: SocketAddr,
    /// Address at which other gateways reach `peers`, if it differs from the listening address.
    #[serde(default)]
    pub announced: Option<SocketAddr>,
}

impl Listen {
    /// Address to which other gateways connect.
    #[must_use]
    pub fn announced(&self) -> SocketAddr {
        self.announced.unwrap_or(self.peers)
    }
}

/// Tolerance of the rate at which an upstream that has started recently gets requests, from all gateways together.
#[derive(Debug, Clone, Copy, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ColdTolerance {
    /// Factor by which the declared rate may be exceeded.
    pub over: f64,
    /// Requests in one second that are allowed in addition.
    pub slack: f64,
}

/// Size of the machine that a gateway runs on.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Machine {
    /// Memory that the process may use, in MB.
    pub memory_mb: u64,
    /// File descriptors that the process may have open.
    pub descriptors: u64,
}

/// Retry budget.
#[serde_as]
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Retry {
    /// Retries allowed per request.
    pub ratio: f64,
    /// Retries allowed in addition, regardless of the number of requests.
    pub slack: f64,
    /// Time window over which requests and retries are counted.
    #[serde_as(as = "DurationSecondsWithFrac<f64>")]
    pub window_seconds: Duration,
}

impl GatewaySettings {
    /// Reads and validates a settings file.
    ///
    /// # Errors
    /// If the file can't be read, or contains an unknown key or an invalid value.
    pub fn load(path: &Path) -> Result<Self, DaemonError> {
        let (name, text) = read_file(path)?;
        Self::parse(&name, &text)
    }

    /// Parses and validates the text of a settings file.
    ///
    /// # Errors
    /// If the text contains an unknown key or an invalid value.
    pub fn parse(path: &str, text: &str) -> Result<Self, DaemonError> {
        let settings: Self = parse_text(path, text)?;
        settings.check(path)?;
        Ok(settings)
    }

    fn check(&self, path: &str) -> Result<(), DaemonError> {
        KeyRing::new(&self.keys)?;
        let level = self.log.parse::<log::LevelFilter>();
        let reason = "must be one of error, warn, info, debug, trace";
        ensure!(level.is_ok(), ConfigValueSnafu { path, key: "log", reason });
        let reason = "must be at least 0";
        ensure!(self.retry.ratio >= 0.0, ConfigValueSnafu { path, key: "retry.ratio", reason });
        ensure!(self.retry.slack >= 0.0, ConfigValueSnafu { path, key: "retry.slack", reason });
        ensure!(self.exposure_slack >= 0.0, ConfigValueSnafu { path, key: "exposure_slack", reason });
        if let Some(cold) = self.cold {
            let is_valid = cold.over.is_finite() && cold.over >= 1.0;
            ensure!(is_valid, ConfigValueSnafu { path, key: "cold.over", reason: "must be at least 1" });
            let is_valid = cold.slack.is_finite() && cold.slack >= 0.0;
            ensure!(is_valid, ConfigValueSnafu { path, key: "cold.slack", reason });
        }
        if let Some(machine) = self.machine {
            let reason = "must be at least 32";
            ensure!(machine.memory_mb >= 32, ConfigValueSnafu { path, key: "machine.memory_mb", reason });
            let reason = "must be at least 256";
            ensure!(machine.descriptors >= 256, ConfigValueSnafu { path, key: "machine.descriptors", reason });
        }
        let reason = "must be above 0 and at most 1";
        let is_valid = self.exposure > 0.0 && self.exposure <= 1.0;
        ensure!(is_valid, ConfigValueSnafu { path, key: "exposure", reason });
        let reason = "must be greater than 0";
        ensure!(!self.retry.window_seconds.is_zero(), ConfigValueSnafu { path, key: "retry.window_seconds", reason });
        Ok(())
    }

    /// The configured retry budget.
    #[must_use]
    pub fn retry_limit(&self) -> RetryLimit {
        RetryLimit { ratio: self.retry.ratio, slack: self.retry.slack, window: self.retry.window_seconds }
    }
}
