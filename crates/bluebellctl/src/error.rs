//! Failures of a command, each with its exit code.

use bluebell_core::settings::SettingsError;
use snafu::Snafu;

/// A command that was not carried out.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum CtlError {
    /// The entry can't be reached.
    #[snafu(display("the entry can't be reached: {source}"))]
    Reach {
        /// What the library said.
        source: reqwest::Error,
    },
    /// The entry's answer can't be read.
    #[snafu(display("the entry's answer can't be read: {source}"))]
    Answer {
        /// What the parser said.
        source: serde_json::Error,
    },
    /// A file can't be read.
    #[snafu(display("file {path}: {source}"))]
    File {
        /// The file.
        path: String,
        /// What the system said.
        source: std::io::Error,
    },
    /// The file's settings are wrong.
    #[snafu(display("{source}"), context(false))]
    Settings {
        /// Why.
        source: SettingsError,
    },
    /// The entry refused.
    #[snafu(display("{message}"))]
    Refused {
        /// Kind of refusal.
        code: String,
        /// Why.
        message: String,
    },
    /// There is no such branch.
    #[snafu(display("there is no branch {branch}"))]
    NoBranch {
        /// The branch.
        branch: String,
    },
    /// A change is accepted, but not in force everywhere in time.
    #[snafu(display("revision {revision} is accepted, but not yet confirmed by {behind}"))]
    NotInForce {
        /// The revision.
        revision: u64,
        /// Instances that have not confirmed it.
        behind: String,
    },
}

impl CtlError {
    /// Exit code of the process.
    #[must_use]
    pub fn exit_code(&self) -> u8 {
        match self {
            Self::Settings { .. } | Self::NoBranch { .. } => 2,
            Self::Refused { code, .. } => match code.as_str() {
                "invalid" => 2,
                "conflict" => 3,
                "outcome_unknown" => 4,
                _ => 1,
            },
            Self::NotInForce { .. } => 5,
            Self::Reach { .. } | Self::Answer { .. } | Self::File { .. } => 1,
        }
    }
}
