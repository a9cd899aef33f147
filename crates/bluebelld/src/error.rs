//! Errors that prevent the daemon from starting.

use bluebell_core::keys::KeyError;
use bluebell_platform::PlatformError;
use snafu::Snafu;

/// Fatal error of the daemon.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum DaemonError {
    /// The settings file can't be read.
    #[snafu(display("settings {path}: {source}"))]
    ConfigFile {
        /// The file.
        path: String,
        /// Error of the operating system.
        source: std::io::Error,
    },
    /// The settings file can't be parsed.
    #[snafu(display("settings {path}, line {line}: {reason}"))]
    ConfigSyntax {
        /// The file.
        path: String,
        /// Line of the error, counted from 1; 0 if unknown.
        line: u64,
        /// Error message of the parser.
        reason: String,
    },
    /// A value in the settings file is invalid.
    #[snafu(display("settings {path}, key {key}: {reason}"))]
    ConfigValue {
        /// The file.
        path: String,
        /// Key of the value, with dots between the levels.
        key: String,
        /// Rule that the value has to meet.
        reason: String,
    },
    /// The keys for authentication between processes are invalid.
    #[snafu(display("keys: {source}"), context(false))]
    Keys {
        /// Underlying error.
        source: KeyError,
    },
    /// Threads or their runtime can't be started.
    #[snafu(display("starting threads failed: {source}"))]
    Runtime {
        /// Error of the operating system.
        source: std::io::Error,
    },
    /// Listening on an address failed.
    #[snafu(display("listening on {address} failed: {source}"))]
    Listen {
        /// The address.
        address: String,
        /// Error of the operating system.
        source: std::io::Error,
    },
    /// The client of the platform can't be created.
    #[snafu(display("{source}"), context(false))]
    Platform {
        /// Underlying error.
        source: PlatformError,
    },
    /// An HTTP client can't be created.
    #[snafu(display("HTTP client: {source}"), context(false))]
    Client {
        /// Underlying error.
        source: reqwest::Error,
    },
    /// The metrics can't be set up.
    #[snafu(display("metrics: {reason}"))]
    Metrics {
        /// Error message of the metrics library.
        reason: String,
    },
}
