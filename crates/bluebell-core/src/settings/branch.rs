//! A branch of the settings tree as an operator writes it. A key that is not set is inherited from the parent.

use std::time::Duration;

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};
use serde_with::{DisplayFromStr, serde_as};

use super::error::{SettingsError, syntax_error};
use crate::{
    ids::{BranchId, ModelId, OrgId, ServiceId, VersionId},
    units::{ByteSize, Percent, Price, Priority, Tokens},
};

/// Name of the branch from which all others descend.
pub const ROOT: &str = "root";

/// A branch of the settings tree.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Branch {
    /// Name of the branch.
    pub branch: BranchId,
    /// Branch that this one inherits from; `None` for the root only.
    pub parent: Option<BranchId>,
    /// Organisation that the branch belongs to.
    pub organisation: Option<OrgId>,
    /// Models and services that exist; allowed in the root only.
    pub catalog: Option<Catalog>,
    /// Model versions that may be used.
    pub allow: Option<Vec<VersionId>>,
    /// Services other than models that may be called.
    pub services: Option<Vec<ServiceId>>,
    /// Priority of requests that don't name one.
    pub priority: Option<Priority>,
    /// Highest priority that a request may ask for.
    pub ceiling: Option<Priority>,
    /// Latency targets by priority.
    pub targets: Option<IndexMap<Priority, Target>>,
    /// Lowest acceptable quality of a version.
    pub quality: Option<Percent>,
    /// Limits on the requests of one caller.
    pub limits: Option<Limits>,
    /// Steps of a roll-out.
    pub rollout: Option<RolloutPlan>,
    /// SHA-256 digests, in hexadecimal, of the API keys that callers present. Not inherited.
    pub keys: Option<Vec<String>>,
}

/// Models and services that exist.
#[derive(Debug, Clone, PartialEq, Default, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Catalog {
    /// Versions of each model, by model name and version name.
    #[serde(default)]
    pub models: IndexMap<ModelId, IndexMap<String, VersionInfo>>,
    /// Services other than models, by name.
    #[serde(default)]
    pub services: IndexMap<ServiceId, ServiceInfo>,
}

impl Catalog {
    /// Properties of a version, or `None` if it is not in the catalog.
    #[must_use]
    pub fn version(&self, id: &VersionId) -> Option<&VersionInfo> {
        let versions = self.models.get(&id.model().parse::<ModelId>().ok()?)?;
        versions.get(&id.as_str()[id.model().len() + 1..])
    }

    /// Ids of all versions in the catalog.
    pub fn version_ids(&self) -> impl Iterator<Item = VersionId> {
        let ids_of = |(model, versions): (&ModelId, &IndexMap<String, VersionInfo>)| {
            let model = model.clone();
            let names: Vec<String> = versions.keys().map(|name| format!("{model}@{name}")).collect();
            names
        };
        self.models.iter().flat_map(ids_of).filter_map(|text| text.parse().ok())
    }
}

/// Properties of a model version.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct VersionInfo {
    /// Price in millionths of the currency per thousand tokens.
    pub price: Price,
    /// Expected share of good answers.
    pub quality: Percent,
}

/// Properties of a service that is not a model.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ServiceInfo {
    /// Whether a call may be repeated safely.
    pub idempotent: bool,
}

/// Latency target of a priority.
#[serde_as]
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Target {
    /// Target for the time to the first token.
    #[serde_as(as = "crate::units::HumanTime")]
    pub first_token: Duration,
    /// Target for the time between two tokens.
    #[serde_as(as = "crate::units::HumanTime")]
    pub inter_token: Duration,
}

/// Limits on the requests of one caller.
#[serde_as]
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Limits {
    /// Maximum number of requests in flight at one entry.
    pub in_flight: u32,
    /// Maximum number of tokens in one answer.
    pub max_tokens: Tokens,
    /// Maximum size of a request body.
    #[serde_as(as = "DisplayFromStr")]
    pub body: ByteSize,
    /// Maximum duration of one request.
    #[serde_as(as = "crate::units::HumanTime")]
    pub deadline: Duration,
}

/// Steps by which a roll-out moves new sessions to the new version.
#[serde_as]
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RolloutPlan {
    /// Increasing shares of new sessions routed to the new version; the last is 100%.
    pub steps: Vec<Percent>,
    /// Time for which each step is held.
    #[serde_as(as = "crate::units::HumanTime")]
    pub hold: Duration,
    /// Number of ratings of the new version that each step needs before the next one, so that few answers are served
    /// unrated.
    #[serde(default)]
    pub rated: u64,
}

/// Settings file that holds several branches.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
struct BranchFile {
    branches: Vec<Branch>,
}

impl Branch {
    /// Parses one branch from YAML.
    ///
    /// # Errors
    /// When the text is not valid YAML, or contains a key or value that a branch can't have.
    pub fn from_yaml(text: &str) -> Result<Self, SettingsError> {
        serde_saphyr::from_str(text).map_err(|source| syntax_error(text, &source))
    }

    /// Serialises the branch as YAML with only the keys that it sets.
    ///
    /// # Errors
    /// When the branch can't be serialised as YAML.
    pub fn to_yaml(&self) -> Result<String, SettingsError> {
        let text = serde_saphyr::to_string(self).map_err(|source| SettingsError::Write { source })?;
        let is_set = |line: &&str| !line.ends_with(": null");
        Ok(text.lines().filter(is_set).fold(String::new(), |out, line| out + line + "\n"))
    }

    /// Parses a settings file that holds one branch, or several below `branches:`.
    ///
    /// # Errors
    /// When the text is not valid YAML, or contains a key or value that a branch can't have.
    pub fn file_from_yaml(text: &str) -> Result<Vec<Self>, SettingsError> {
        if !text.lines().any(|line| line.starts_with("branches:")) {
            return Ok(vec![Self::from_yaml(text)?]);
        }
        let file: BranchFile = serde_saphyr::from_str(text).map_err(|source| syntax_error(text, &source))?;
        Ok(file.branches)
    }
}
