//! Failures that keep the daemon from starting.

use bluebell_core::keys::KeyError;
use bluebell_platform::PlatformError;
use snafu::Snafu;

/// A daemon that can't start or go on.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum DaemonError {
    /// The settings file can't be read.
    #[snafu(display("settings {path}: {source}"))]
    ConfigFile {
        /// The file.
        path: String,
        /// What the system said.
        source: std::io::Error,
    },
    /// The settings can't be used.
    #[snafu(display("settings {path}, line {line}: {reason}"))]
    ConfigSyntax {
        /// The file.
        path: String,
        /// Line of the fault, from 1.
        line: u64,
        /// What is wrong.
        reason: String,
    },
    /// A value in the settings is impossible.
    #[snafu(display("settings {path}, key {key}: {reason}"))]
    ConfigValue {
        /// The file.
        path: String,
        /// The key.
        key: String,
        /// What is wrong, and what is allowed.
        reason: String,
    },
    /// The keys can't be used.
    #[snafu(display("keys: {source}"), context(false))]
    Keys {
        /// Why.
        source: KeyError,
    },
    /// The threads can't be started.
    #[snafu(display("can't start threads: {source}"))]
    Runtime {
        /// What the system said.
        source: std::io::Error,
    },
    /// An address can't be listened on.
    #[snafu(display("can't listen on {address}: {source}"))]
    Listen {
        /// The address.
        address: String,
        /// What the system said.
        source: std::io::Error,
    },
    /// The client of the platform can't be built.
    #[snafu(display("{source}"), context(false))]
    Platform {
        /// Why.
        source: PlatformError,
    },
    /// An HTTP client can't be built.
    #[snafu(display("HTTP client: {source}"), context(false))]
    Client {
        /// Why.
        source: reqwest::Error,
    },
    /// The metrics can't be set up.
    #[snafu(display("metrics: {reason}"))]
    Metrics {
        /// What the library said.
        reason: String,
    },
}
