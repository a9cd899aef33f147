//! Settings of one daemon, one file per section. What organisations may do stands elsewhere, in the settings tree.

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

/// A settings file's name and text.
///
/// # Errors
/// When it can't be read.
pub(crate) fn read_file(path: &Path) -> Result<(String, String), DaemonError> {
    let name = path.display().to_string();
    let text = std::fs::read_to_string(path).context(ConfigFileSnafu { path: name.as_str() })?;
    Ok((name, text))
}

/// Settings from the text of a file, without a check of their values.
///
/// # Errors
/// When the text is no YAML, or a key is unknown or of another type.
pub(crate) fn parse_text<T: DeserializeOwned>(path: &str, text: &str) -> Result<T, DaemonError> {
    let parsed: Result<T, serde_saphyr::Error> = serde_saphyr::from_str(text);
    parsed.map_err(|error| {
        let line = error.location().map_or(0, |place| place.line());
        let reason = error.without_snippet().to_string();
        ConfigSyntaxSnafu { path, line, reason }.build()
    })
}

/// Settings of one daemon.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Config {
    /// Who it is.
    pub instance: Instance,
    /// Where it listens.
    pub listen: Listen,
    /// Address of the platform's store.
    pub store: SocketAddr,
    /// Keys between processes.
    pub keys: KeySettings,
    /// SHA-256 of each operator's key, in hexadecimal, by the operator's name.
    #[serde(default)]
    pub operators: IndexMap<String, String>,
    /// The runner beside a sidecar.
    pub runner: Option<Runner>,
    /// Periods and patience.
    #[serde(default)]
    pub timing: Timing,
    /// Threads.
    #[serde(default)]
    pub threads: Threads,
    /// Least level that is logged: error, warn, info, debug or trace.
    #[serde(default = "default_level")]
    pub log: String,
}

fn default_level() -> String {
    "info".to_owned()
}

impl Config {
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
