//! Settings file of an entry or sidecar, with one module per section. The permissions of organisations are not
//! part of it; they are in the settings tree, which is kept in the platform's store.

mod instance;
mod network;
mod runner;
mod timing;

use std::{net::SocketAddr, path::Path};

use bluebell_core::{
    keys::{KeyRing, KeySettings},
    members::Role,
};
use indexmap::IndexMap;
pub use instance::Instance;
pub use network::{Listen, Threads};
pub use runner::{Runner, RunnerKind};
use serde::{Deserialize, de::DeserializeOwned};
use snafu::{ResultExt, ensure};
pub use timing::Timing;

use crate::error::{ConfigFileSnafu, ConfigSyntaxSnafu, ConfigValueSnafu, DaemonError};

/// Reads a settings file and returns its name and text.
///
/// # Errors
/// When the file can't be read.
pub(crate) fn read_file(path: &Path) -> Result<(String, String), DaemonError> {
    let name = path.display().to_string();
    let text = std::fs::read_to_string(path).context(ConfigFileSnafu { path: name.as_str() })?;
    Ok((name, text))
}

/// Parses the text of a settings file, without validating the values.
///
/// # Errors
/// When the text is not valid YAML, a key is unknown or missing, or a value has the wrong type.
pub(crate) fn parse_text<T: DeserializeOwned>(path: &str, text: &str) -> Result<T, DaemonError> {
    let parsed: Result<T, serde_saphyr::Error> = serde_saphyr::from_str(text);
    parsed.map_err(|error| {
        let line = error.location().map_or(0, |location| location.line());
        let reason = error.without_snippet().to_string();
        ConfigSyntaxSnafu { path, line, reason }.build()
    })
}

/// Contents of the settings file of an entry or sidecar.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Config {
    /// Identity of the process.
    pub instance: Instance,
    /// Addresses to listen on.
    pub listen: Listen,
    /// Address of the platform's store.
    pub store: SocketAddr,
    /// Keys for authentication between processes.
    pub keys: KeySettings,
    /// SHA-256 digest of each operator's API key, in hexadecimal, by the operator's name.
    #[serde(default)]
    pub operators: IndexMap<String, String>,
    /// Runner of a sidecar; must be absent for an entry.
    pub runner: Option<Runner>,
    /// Periods and timeouts.
    #[serde(default)]
    pub timing: Timing,
    /// Numbers of threads.
    #[serde(default)]
    pub threads: Threads,
    /// Log level: error, warn, info, debug or trace.
    #[serde(default = "default_level")]
    pub log: String,
}

fn default_level() -> String {
    "info".to_owned()
}

impl Config {
    /// Reads and validates a settings file.
    ///
    /// # Errors
    /// When the file can't be read, or a key or value in it is invalid.
    pub fn load(path: &Path) -> Result<Self, DaemonError> {
        let (name, text) = read_file(path)?;
        Self::parse(&name, &text)
    }

    /// Parses and validates the text of a settings file; `path` is used in error messages.
    ///
    /// # Errors
    /// When a key or value is invalid.
    pub fn parse(path: &str, text: &str) -> Result<Self, DaemonError> {
        let config: Self = parse_text(path, text)?;
        config.check(path)?;
        Ok(config)
    }

    fn check(&self, path: &str) -> Result<(), DaemonError> {
        KeyRing::new(&self.keys)?;
        let is_sidecar = self.instance.role == Role::Sidecar;
        let reason = if is_sidecar { "a sidecar has a runner" } else { "an entry has none" };
        ensure!(is_sidecar == self.runner.is_some(), ConfigValueSnafu { path, key: "runner", reason });
        let level = self.log.parse::<log::LevelFilter>();
        let reason = "one of error, warn, info, debug, trace";
        ensure!(level.is_ok(), ConfigValueSnafu { path, key: "log", reason });
        self.runner.iter().try_for_each(|runner| runner.check(path))?;
        self.threads.check(path)
    }
}
