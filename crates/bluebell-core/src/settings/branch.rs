//! One branch of the tree as an operator writes it: only what differs from the parent.

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
    /// Branch it inherits from; only the root has none.
    pub parent: Option<BranchId>,
    /// Organisation it belongs to.
    pub organisation: Option<OrgId>,
    /// Models and services that exist; stands in the root only.
    pub catalog: Option<Catalog>,
    /// Versions that may be used.
    pub allow: Option<Vec<VersionId>>,
    /// Plain services that may be called.
    pub services: Option<Vec<ServiceId>>,
    /// Rank of requests that name none.
    pub priority: Option<Priority>,
    /// Highest rank that a request may name.
    pub ceiling: Option<Priority>,
    /// Latency targets by rank.
    pub targets: Option<IndexMap<Priority, Target>>,
    /// Least acceptable quality.
    pub quality: Option<Percent>,
    /// Bounds on what one caller may ask for.
    pub limits: Option<Limits>,
    /// How a roll-out proceeds.
    pub rollout: Option<RolloutPlan>,
    /// SHA-256 of the keys that callers present, in hexadecimal.
    pub keys: Option<Vec<String>>,
}

/// Models and services that exist.
#[derive(Debug, Clone, PartialEq, Default, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Catalog {
    /// Models by name.
    #[serde(default)]
    pub models: IndexMap<ModelId, IndexMap<String, VersionInfo>>,
    /// Plain services by name.
    #[serde(default)]
    pub services: IndexMap<ServiceId, ServiceInfo>,
}

impl Catalog {
    /// Facts about a version, if it exists.
    #[must_use]
    pub fn version(&self, id: &VersionId) -> Option<&VersionInfo> {
        let versions = self.models.get(&id.model().parse::<ModelId>().ok()?)?;
        versions.get(&id.as_str()[id.model().len() + 1..])
    }

    /// All versions that exist.
    pub fn version_ids(&self) -> impl Iterator<Item = VersionId> {
        let pair = |(model, versions): (&ModelId, &IndexMap<String, VersionInfo>)| {
            let model = model.clone();
            let names: Vec<String> = versions.keys().map(|name| format!("{model}@{name}")).collect();
            names
        };
        self.models.iter().flat_map(pair).filter_map(|text| text.parse().ok())
    }
}

/// Facts about a version.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct VersionInfo {
    /// Price in millionths of the currency per thousand tokens.
    pub price: Price,
    /// Share of its answers expected to be good.
    pub quality: Percent,
}

/// Facts about a plain service.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ServiceInfo {
    /// Whether a call may be repeated without harm.
    pub idempotent: bool,
}

/// Latency target of a rank.
#[serde_as]
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Target {
    /// Time to the first token.
    #[serde_as(as = "crate::units::HumanTime")]
    pub first_token: Duration,
    /// Time between tokens.
    #[serde_as(as = "crate::units::HumanTime")]
    pub inter_token: Duration,
}

/// Bounds on what one caller may ask for.
#[serde_as]
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Limits {
    /// Requests in flight at one entry.
    pub in_flight: u32,
    /// Tokens that one answer may have.
    pub max_tokens: Tokens,
    /// Size of a request body.
    #[serde_as(as = "DisplayFromStr")]
    pub body: ByteSize,
    /// Time that one request may take.
    #[serde_as(as = "crate::units::HumanTime")]
    pub deadline: Duration,
}

/// How a roll-out proceeds.
#[serde_as]
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RolloutPlan {
    /// Growing shares of new sessions that the new version gets.
    pub steps: Vec<Percent>,
    /// Time spent on each step.
    #[serde_as(as = "crate::units::HumanTime")]
    pub hold: Duration,
    /// Ratings of the new version that each step needs before the next, so that few answers go out unrated.
    #[serde(default)]
    pub rated: u64,
}

/// A file with several branches.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
struct BranchFile {
    branches: Vec<Branch>,
}

impl Branch {
    /// Reads one branch.
    ///
    /// # Errors
    /// When the text is not YAML, or has a key or value that a branch can't have.
    pub fn from_yaml(text: &str) -> Result<Self, SettingsError> {
        serde_saphyr::from_str(text).map_err(|source| syntax_error(text, &source))
    }

    /// Writes the branch with only the keys that it sets.
    ///
    /// # Errors
    /// When the branch can't be written as YAML.
    pub fn to_yaml(&self) -> Result<String, SettingsError> {
        let text = serde_saphyr::to_string(self).map_err(|source| SettingsError::Write { source })?;
        let set = |line: &&str| !line.ends_with(": null");
        Ok(text.lines().filter(set).fold(String::new(), |out, line| out + line + "\n"))
    }

    /// Reads a file that holds one branch, or several below `branches:`.
    ///
    /// # Errors
    /// When the text is not YAML, or has a key or value that a branch can't have.
    pub fn file_from_yaml(text: &str) -> Result<Vec<Self>, SettingsError> {
        if !text.lines().any(|line| line.starts_with("branches:")) {
            return Ok(vec![Self::from_yaml(text)?]);
        }
        let file: BranchFile = serde_saphyr::from_str(text).map_err(|source| syntax_error(text, &source))?;
        Ok(file.branches)
    }
}
