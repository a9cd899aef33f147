//! Errors of commands and their exit codes.

use bluebell_core::settings::SettingsError;
use snafu::Snafu;

/// Error of a command.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum CtlError {
    /// The entry can't be reached, or the HTTP client can't be built.
    #[snafu(display("the entry can't be reached: {source}"))]
    Unreachable {
        /// Error of the HTTP client.
        source: reqwest::Error,
    },
    /// The entry's answer can't be parsed.
    #[snafu(display("the entry's answer can't be parsed: {source}"))]
    InvalidAnswer {
        /// Error of the JSON parser.
        source: serde_json::Error,
    },
    /// A file can't be read.
    #[snafu(display("file {path} can't be read: {source}"))]
    ReadFile {
        /// Path of the file.
        path: String,
        /// Error of the operating system.
        source: std::io::Error,
    },
    /// The settings in the file are invalid.
    #[snafu(display("{source}"), context(false))]
    Settings {
        /// Error of the settings.
        source: SettingsError,
    },
    /// The entry refused the request.
    #[snafu(display("{message}"))]
    Refused {
        /// Error code of the answer, or `refused` if the answer has none.
        code: String,
        /// Reason given by the entry.
        message: String,
    },
    /// The branch does not exist.
    #[snafu(display("there is no branch {branch}"))]
    UnknownBranch {
        /// Id of the branch.
        branch: String,
    },
    /// A change was accepted, but is not in force on all instances before the timeout.
    #[snafu(display("revision {revision} is accepted, but not yet confirmed by {behind}"))]
    NotInForce {
        /// Revision of the change.
        revision: u64,
        /// Names of the instances that have not confirmed it.
        behind: String,
    },
}

impl CtlError {
    /// Exit code of the process.
    #[must_use]
    pub fn exit_code(&self) -> u8 {
        match self {
            Self::Settings { .. } | Self::UnknownBranch { .. } => 2,
            Self::Refused { code, .. } => match code.as_str() {
                "invalid" => 2,
                "conflict" => 3,
                "outcome_unknown" => 4,
                _ => 1,
            },
            Self::NotInForce { .. } => 5,
            Self::Unreachable { .. } | Self::InvalidAnswer { .. } | Self::ReadFile { .. } => 1,
        }
    }
}
