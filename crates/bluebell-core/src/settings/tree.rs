//! Inheritance in the settings tree, and validation of the whole tree.

use indexmap::{IndexMap, IndexSet};
use snafu::{OptionExt, ensure};

use super::{
    branch::{Branch, Catalog, Limits, ROOT, RolloutPlan, Target},
    error::{CycleSnafu, MissingSnafu, SettingsError, ValueSnafu},
    policy::Policy,
};
use crate::{
    ids::{BranchId, VersionId},
    units::{Percent, Tokens},
};

/// Length of a SHA-256 digest in hexadecimal digits.
const DIGEST_CHARS: usize = 64;

/// Branches by name.
pub type Branches = IndexMap<BranchId, Branch>;

/// Returns the branch and its ancestors, nearest first.
///
/// # Errors
/// When an ancestor is missing or the chain of parents forms a cycle.
pub fn ancestry<'a>(branches: &'a Branches, branch: &'a Branch) -> Result<Vec<&'a Branch>, SettingsError> {
    let mut chain = vec![branch];
    let mut current = branch;
    while let Some(parent) = &current.parent {
        ensure!(chain.len() <= branches.len(), CycleSnafu { branch: branch.branch.clone() });
        let allowed = || format!("branches are {}", join(branches.keys()));
        let missing =
            ValueSnafu { branch: current.branch.clone(), key: "parent", value: parent.as_str(), allowed: allowed() };
        current = branches.get(parent).context(missing)?;
        chain.push(current);
    }
    Ok(chain)
}

/// Resolves a branch to its effective settings. A value is taken from the nearest branch of the ancestry that sets the
/// key.
///
/// # Errors
/// When the ancestry is invalid, or a required key is set neither by the branch nor by an ancestor.
pub fn resolve(branches: &Branches, branch: &Branch) -> Result<Policy, SettingsError> {
    let chain = ancestry(branches, branch)?;
    Ok(Policy {
        branch: branch.branch.clone(),
        org: inherited(&chain, |b| b.organisation.as_ref()).cloned(),
        allow: required(&chain, "allow", |b| b.allow.as_ref())?.clone(),
        services: required(&chain, "services", |b| b.services.as_ref())?.clone(),
        priority: *required(&chain, "priority", |b| b.priority.as_ref())?,
        ceiling: *required(&chain, "ceiling", |b| b.ceiling.as_ref())?,
        targets: required(&chain, "targets", |b| b.targets.as_ref())?.clone(),
        quality: *required(&chain, "quality", |b| b.quality.as_ref())?,
        limits: required(&chain, "limits", |b| b.limits.as_ref())?.clone(),
        rollout: required(&chain, "rollout", |b| b.rollout.as_ref())?.clone(),
    })
}

/// Returns, for each inheritable key that a branch sets or inherits, the branch that its value comes from.
///
/// # Errors
/// When the ancestry is invalid.
pub fn explain(branches: &Branches, branch: &Branch) -> Result<IndexMap<String, BranchId>, SettingsError> {
    let chain = ancestry(branches, branch)?;
    let mut origins = IndexMap::new();
    for branch in &chain {
        for key in set_keys(branch) {
            origins.entry(key.to_owned()).or_insert_with(|| branch.branch.clone());
        }
    }
    Ok(origins)
}

fn set_keys(branch: &Branch) -> Vec<&'static str> {
    let keys = [
        ("organisation", branch.organisation.is_some()),
        ("allow", branch.allow.is_some()),
        ("services", branch.services.is_some()),
        ("priority", branch.priority.is_some()),
        ("ceiling", branch.ceiling.is_some()),
        ("targets", branch.targets.is_some()),
        ("quality", branch.quality.is_some()),
        ("limits", branch.limits.is_some()),
        ("rollout", branch.rollout.is_some()),
    ];
    keys.into_iter().filter_map(|(key, set)| set.then_some(key)).collect()
}

fn inherited<'a, T>(chain: &[&'a Branch], key: impl Fn(&'a Branch) -> Option<&'a T>) -> Option<&'a T> {
    chain.iter().find_map(|branch| key(branch))
}

fn required<'a, T>(
    chain: &[&'a Branch],
    name: &str,
    key: impl Fn(&'a Branch) -> Option<&'a T>,
) -> Result<&'a T, SettingsError> {
    inherited(chain, key).context(MissingSnafu { key: name })
}

/// Validates a whole tree.
///
/// # Errors
/// The first error found: an invalid ancestry, a reference to an unknown name, or an invalid value.
pub fn check(branches: &Branches) -> Result<(), SettingsError> {
    let root = branches.get(&root_id()).context(MissingSnafu { key: "branch: root" })?;
    let catalog = root.catalog.as_ref().context(MissingSnafu { key: "catalog" })?;
    let versions: IndexSet<VersionId> = catalog.version_ids().collect();
    for branch in branches.values() {
        check_parent_and_catalog(branch)?;
        check_references(branch, catalog, &versions)?;
        check_values(branch)?;
        resolve(branches, branch)?;
    }
    check_keys(branches)
}

/// Id of the root branch.
#[must_use]
pub fn root_id() -> BranchId {
    ROOT.parse().unwrap_or_else(|_| unreachable!("the root's name is an id"))
}

fn invalid_value<T>(
    branch: &Branch,
    key: &str,
    value: impl ToString,
    allowed: impl Into<String>,
) -> Result<T, SettingsError> {
    ValueSnafu { branch: branch.branch.clone(), key, value: value.to_string(), allowed }.fail()
}

fn check_parent_and_catalog(branch: &Branch) -> Result<(), SettingsError> {
    let is_root = branch.branch.as_str() == ROOT;
    if is_root != branch.parent.is_none() {
        let value = branch.parent.as_ref().map_or("none", |id| id.as_str());
        return invalid_value(branch, "parent", value, "each branch but root has a parent");
    }
    if !is_root && branch.catalog.is_some() {
        return invalid_value(branch, "catalog", "a catalog", "only root has one");
    }
    Ok(())
}

fn check_references(branch: &Branch, catalog: &Catalog, versions: &IndexSet<VersionId>) -> Result<(), SettingsError> {
    let unknown = branch.allow.iter().flatten().find(|id| !versions.contains(*id));
    if let Some(id) = unknown {
        return invalid_value(branch, "allow", id, format!("the catalog has {}", join(versions)));
    }
    let unknown = branch.services.iter().flatten().find(|id| !catalog.services.contains_key(*id));
    if let Some(id) = unknown {
        return invalid_value(branch, "services", id, format!("the catalog has {}", join(catalog.services.keys())));
    }
    Ok(())
}

fn check_values(branch: &Branch) -> Result<(), SettingsError> {
    for target in branch.targets.iter().flat_map(IndexMap::values) {
        check_target(branch, target)?;
    }
    branch.limits.iter().try_for_each(|limits| check_limits(branch, limits))?;
    branch.rollout.iter().try_for_each(|plan| check_rollout_plan(branch, plan))
}

fn check_target(branch: &Branch, target: &Target) -> Result<(), SettingsError> {
    if target.first_token.is_zero() || target.inter_token.is_zero() {
        return invalid_value(branch, "targets", "0s", "a target is longer than nothing");
    }
    Ok(())
}

fn check_limits(branch: &Branch, limits: &Limits) -> Result<(), SettingsError> {
    if limits.in_flight == 0 {
        return invalid_value(branch, "limits.in_flight", 0, "at least 1");
    }
    if limits.max_tokens == Tokens(0) {
        return invalid_value(branch, "limits.max_tokens", 0, "at least 1");
    }
    if limits.deadline.is_zero() {
        return invalid_value(branch, "limits.deadline", "0s", "longer than nothing");
    }
    Ok(())
}

fn check_rollout_plan(branch: &Branch, plan: &RolloutPlan) -> Result<(), SettingsError> {
    if plan.steps.last() != Some(&Percent::FULL) {
        return invalid_value(branch, "rollout.steps", join(&plan.steps), "the last step is 100%");
    }
    if plan.steps.windows(2).any(|pair| pair[0] >= pair[1]) {
        return invalid_value(branch, "rollout.steps", join(&plan.steps), "each step is larger than the one before");
    }
    Ok(())
}

fn check_keys(branches: &Branches) -> Result<(), SettingsError> {
    let mut owners: IndexMap<&str, &Branch> = IndexMap::new();
    for branch in branches.values() {
        for key in branch.keys.iter().flatten() {
            if key.len() != DIGEST_CHARS || !key.chars().all(|c| c.is_ascii_hexdigit()) {
                return invalid_value(branch, "keys", key, "a SHA-256 in 64 hexadecimal digits");
            }
            if let Some(other) = owners.insert(key, branch) {
                return invalid_value(branch, "keys", key, format!("it is a key of branch {} already", other.branch));
            }
        }
        if branch.keys.is_some() && resolve(branches, branch)?.org.is_none() {
            return invalid_value(branch, "keys", "keys", "a branch with keys has or inherits an organisation");
        }
    }
    Ok(())
}

fn join<T: ToString>(items: impl IntoIterator<Item = T>) -> String {
    let items: Vec<String> = items.into_iter().map(|item| item.to_string()).collect();
    items.join(", ")
}
