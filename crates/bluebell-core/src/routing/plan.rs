//! Selects the version for a request: it must be allowed and not withdrawn. Versions that meet the quality target are
//! ranked by price.

use std::sync::Arc;

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};
use snafu::Snafu;

use super::rendezvous;
use crate::{
    ids::{BranchId, OrgId, VersionId},
    quality::Quality,
    settings::{Policy, SettingsError, State, branch::Catalog, state::VersionStatus, tree},
    units::{Percent, Price},
};

/// Model name that lets the router choose the model.
pub const ANY_MODEL: &str = "auto";

/// Model or version that a caller requests.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Wanted {
    /// Any allowed version; those that meet the quality target are preferred.
    Any,
    /// Any allowed version of a model.
    Model(String),
    /// A specific version.
    Version(VersionId),
}

impl Wanted {
    /// Parses the `model` field of a request.
    #[must_use]
    pub fn from_field(text: &str) -> Self {
        match text.parse() {
            Ok(version) => Self::Version(version),
            Err(_) if text.is_empty() || text == ANY_MODEL => Self::Any,
            Err(_) => Self::Model(text.to_owned()),
        }
    }
}

/// Reason why no version can serve a request.
#[derive(Debug, Clone, PartialEq, Eq, Snafu, Serialize, Deserialize)]
pub enum PlanError {
    /// The branch allows no such model or version.
    #[snafu(display("{wanted} is not among the versions this organisation may use"))]
    NotAllowed {
        /// Requested model or version.
        wanted: String,
    },
    /// An operator withdrew the version.
    #[snafu(display("version {version} was withdrawn"))]
    Withdrawn {
        /// Withdrawn version.
        version: VersionId,
    },
    /// No allowed version is currently in use.
    #[snafu(display("no allowed version is in use"))]
    NoneLeft,
}

/// Properties of a version that routing uses.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
struct Offer {
    price: Price,
    quality: Percent,
    #[serde(rename = "standing")]
    status: Option<VersionStatus>,
}

/// Fraction of a model's new sessions that a roll-out moves from one version to another.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
struct Split {
    from: VersionId,
    to: VersionId,
    share: Percent,
}

/// Precomputed routing table, built once per settings revision.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Plan {
    policies: IndexMap<BranchId, Arc<Policy>>,
    keys: IndexMap<String, BranchId>,
    offers: IndexMap<VersionId, Offer>,
    splits: Vec<Split>,
    idempotent: IndexMap<String, bool>,
}

impl Plan {
    /// Builds the plan for a settings state.
    ///
    /// # Errors
    /// If the settings in the state are invalid.
    pub fn new(state: &State) -> Result<Self, SettingsError> {
        let tree = state.tree()?;
        let mut plan = Self::default();
        for branch in tree.values() {
            plan.policies.insert(branch.branch.clone(), Arc::new(tree::resolve(&tree, branch)?));
            let keys = branch.keys.iter().flatten().map(|key| (key.to_lowercase(), branch.branch.clone()));
            plan.keys.extend(keys);
        }
        let catalog = tree.get(&tree::root_id()).and_then(|root| root.catalog.clone());
        plan.add_catalog(&catalog.unwrap_or_default(), state);
        let split = |rollout: &crate::settings::state::Rollout| Split {
            from: rollout.from.clone(),
            to: rollout.to.clone(),
            share: rollout.share,
        };
        plan.splits = state.rollouts.values().map(split).collect();
        Ok(plan)
    }

    fn add_catalog(&mut self, catalog: &Catalog, state: &State) {
        for id in catalog.version_ids() {
            let Some(info) = catalog.version(&id) else { continue };
            let status = state.standings.get(&id).copied();
            self.offers.insert(id, Offer { price: info.price, quality: info.quality, status });
        }
        let services = catalog.services.iter().map(|(id, info)| (id.to_string(), info.idempotent));
        self.idempotent.extend(services);
    }

    /// Policy of the callers that authenticate with the key of this digest.
    #[must_use]
    pub fn caller(&self, digest: &str) -> Option<&Arc<Policy>> {
        self.policies.get(self.keys.get(digest)?)
    }

    /// Policy of a branch.
    #[must_use]
    pub fn policy(&self, branch: &BranchId) -> Option<&Arc<Policy>> {
        self.policies.get(branch)
    }

    /// Price of a version.
    #[must_use]
    pub fn price(&self, version: &VersionId) -> Price {
        self.offers.get(version).map(|offer| offer.price).unwrap_or_default()
    }

    /// Quality that operators declared for a version.
    #[must_use]
    pub fn declared_quality(&self, version: &VersionId) -> Option<Percent> {
        self.offers.get(version).map(|offer| offer.quality)
    }

    /// Whether calls of a service may be repeated.
    #[must_use]
    pub fn is_idempotent(&self, service: &str) -> bool {
        self.idempotent.get(service).copied().unwrap_or(false)
    }

    /// Whether a branch may call a service.
    #[must_use]
    pub fn allows_service(&self, branch: &BranchId, service: &str) -> bool {
        self.policy(branch).is_some_and(|policy| policy.services.iter().any(|id| id.as_str() == service))
    }

    /// Checks whether a branch of an organisation may use a version for new work.
    ///
    /// # Errors
    /// If the version is not allowed for the branch or was withdrawn.
    pub fn check_version(&self, branch: &BranchId, org: &OrgId, version: &VersionId) -> Result<(), PlanError> {
        let not_allowed = || NotAllowedSnafu { wanted: version.as_str() }.fail();
        let Some(policy) = self.policy(branch) else {
            return not_allowed();
        };
        if policy.org.as_ref() != Some(org) || !policy.allow.contains(version) {
            return not_allowed();
        }
        match self.offers.get(version).map(|offer| offer.status) {
            None => not_allowed(),
            Some(Some(VersionStatus::Withdrawn)) => WithdrawnSnafu { version: version.clone() }.fail(),
            Some(_) => Ok(()),
        }
    }

    /// Versions for a request without a session, best first. `seed` identifies the new session during a roll-out.
    ///
    /// # Errors
    /// If no requested version is both allowed and in use.
    pub fn candidates(
        &self,
        policy: &Policy,
        wanted: &Wanted,
        quality: &Quality,
        seed: &str,
    ) -> Result<Vec<VersionId>, PlanError> {
        if let Wanted::Version(version) = wanted {
            let org = policy.org.as_ref();
            org.map_or(Err(PlanError::NoneLeft), |org| self.check_version(&policy.branch, org, version))?;
            return Ok(vec![version.clone()]);
        }
        let requested: Vec<&VersionId> = policy.allow.iter().filter(|id| matches(wanted, id)).collect();
        if requested.is_empty() {
            return NotAllowedSnafu { wanted: wanted_text(wanted) }.fail();
        }
        let is_eligible = |id: &&VersionId| self.accepts_new_sessions(id) && self.split_allows(id, &requested, seed);
        let mut eligible: Vec<&VersionId> = requested.iter().copied().filter(is_eligible).collect();
        eligible.sort_by_key(|id| self.rank(policy, quality, id));
        if eligible.is_empty() {
            return NoneLeftSnafu.fail();
        }
        Ok(eligible.into_iter().cloned().collect())
    }

    fn accepts_new_sessions(&self, id: &VersionId) -> bool {
        self.offers.get(id).is_some_and(|offer| offer.status.is_none())
    }

    // During a roll-out exactly one of the two versions is eligible for a new session, chosen by a hash of its seed.
    fn split_allows(&self, id: &VersionId, requested: &[&VersionId], seed: &str) -> bool {
        let Some(split) = self.splits.iter().find(|split| split.from == *id || split.to == *id) else {
            return true;
        };
        let other = if split.from == *id { &split.to } else { &split.from };
        if !requested.contains(&other) || !self.accepts_new_sessions(other) {
            return true;
        }
        let is_moved = rendezvous::fraction(seed) < split.share.fraction();
        is_moved == (split.to == *id)
    }

    // Sort key: versions that meet the quality target come first, by price; then the others, best quality first.
    fn rank(&self, policy: &Policy, quality: &Quality, id: &VersionId) -> (bool, u64, u64) {
        let Some(offer) = self.offers.get(id) else {
            return (true, u64::MAX, 0);
        };
        let quality_estimate = quality.lower_bound(id).unwrap_or_else(|| offer.quality.fraction());
        let below_target = quality_estimate < policy.quality.fraction();
        let quality_deficit = (1000.0 * (1.0 - quality_estimate)) as u64;
        if below_target { (true, quality_deficit, offer.price.0) } else { (false, offer.price.0, quality_deficit) }
    }
}

fn matches(wanted: &Wanted, id: &VersionId) -> bool {
    match wanted {
        Wanted::Any => true,
        Wanted::Model(model) => id.model() == model,
        Wanted::Version(version) => id == version,
    }
}

fn wanted_text(wanted: &Wanted) -> String {
    match wanted {
        Wanted::Any => ANY_MODEL.to_owned(),
        Wanted::Model(model) => model.clone(),
        Wanted::Version(version) => version.to_string(),
    }
}
