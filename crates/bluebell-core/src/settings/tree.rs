//! Inheritance along the tree, and the checks that a tree must pass as a whole.

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

/// Length of a SHA-256 digest in hexadecimal.
const DIGEST_CHARS: usize = 64;

/// Branches by name.
pub type Branches = IndexMap<BranchId, Branch>;

/// The branch and its ancestors, nearest first.
///
/// # Errors
/// When an ancestor is missing or the chain runs in a circle.
pub fn ancestry<'a>(branches: &'a Branches, branch: &'a Branch) -> Result<Vec<&'a Branch>, SettingsError> {
    let mut chain = vec![branch];
    let mut at = branch;
    while let Some(parent) = &at.parent {
        ensure!(chain.len() <= branches.len(), CycleSnafu { branch: branch.branch.clone() });
        let allowed = || format!("branches are {}", join(branches.keys()));
        let missing =
            ValueSnafu { branch: at.branch.clone(), key: "parent", value: parent.as_str(), allowed: allowed() };
        at = branches.get(parent).context(missing)?;
        chain.push(at);
    }
    Ok(chain)
}

/// Fills in what a branch inherits.
///
/// # Errors
/// When the ancestry is broken or the root lacks a key.
pub fn resolve(branches: &Branches, branch: &Branch) -> Result<Policy, SettingsError> {
    let chain = ancestry(branches, branch)?;
    Ok(Policy {
        branch: branch.branch.clone(),
        org: inherited(&chain, |b| b.organisation.as_ref()).cloned(),
        allow: needed(&chain, "allow", |b| b.allow.as_ref())?.clone(),
        services: needed(&chain, "services", |b| b.services.as_ref())?.clone(),
        priority: *needed(&chain, "priority", |b| b.priority.as_ref())?,
        ceiling: *needed(&chain, "ceiling", |b| b.ceiling.as_ref())?,
        targets: needed(&chain, "targets", |b| b.targets.as_ref())?.clone(),
        quality: *needed(&chain, "quality", |b| b.quality.as_ref())?,
        limits: needed(&chain, "limits", |b| b.limits.as_ref())?.clone(),
        rollout: needed(&chain, "rollout", |b| b.rollout.as_ref())?.clone(),
    })
}

/// For each key of a branch, the branch that its value comes from.
///
/// # Errors
/// When the ancestry is broken.
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

fn needed<'a, T>(
    chain: &[&'a Branch],
    name: &str,
    key: impl Fn(&'a Branch) -> Option<&'a T>,
) -> Result<&'a T, SettingsError> {
    inherited(chain, key).context(MissingSnafu { key: name })
}

/// Checks a whole tree.
///
/// # Errors
/// The first fault found: a broken ancestry, a dangling name, or an impossible value.
pub fn check(branches: &Branches) -> Result<(), SettingsError> {
    let root = branches.get(&root_id()).context(MissingSnafu { key: "branch: root" })?;
    let catalog = root.catalog.as_ref().context(MissingSnafu { key: "catalog" })?;
    let versions: IndexSet<VersionId> = catalog.version_ids().collect();
    for branch in branches.values() {
        check_place(branch)?;
        check_names(branch, catalog, &versions)?;
        check_values(branch)?;
        resolve(branches, branch)?;
    }
    check_keys(branches)
}

/// Name of the root as an id.
#[must_use]
pub fn root_id() -> BranchId {
    ROOT.parse().unwrap_or_else(|_| unreachable!("the root's name is an id"))
}

fn fault<T>(branch: &Branch, key: &str, value: impl ToString, allowed: impl Into<String>) -> Result<T, SettingsError> {
    ValueSnafu { branch: branch.branch.clone(), key, value: value.to_string(), allowed }.fail()
}

fn check_place(branch: &Branch) -> Result<(), SettingsError> {
    let is_root = branch.branch.as_str() == ROOT;
    if is_root != branch.parent.is_none() {
        let value = branch.parent.as_ref().map_or("none", |id| id.as_str());
        return fault(branch, "parent", value, "each branch but root has a parent");
    }
    if !is_root && branch.catalog.is_some() {
        return fault(branch, "catalog", "a catalog", "only root has one");
    }
    Ok(())
}

fn check_names(branch: &Branch, catalog: &Catalog, versions: &IndexSet<VersionId>) -> Result<(), SettingsError> {
    let dangling = branch.allow.iter().flatten().find(|id| !versions.contains(*id));
    if let Some(id) = dangling {
        return fault(branch, "allow", id, format!("the catalog has {}", join(versions)));
    }
    let dangling = branch.services.iter().flatten().find(|id| !catalog.services.contains_key(*id));
    if let Some(id) = dangling {
        return fault(branch, "services", id, format!("the catalog has {}", join(catalog.services.keys())));
    }
    Ok(())
}

fn check_values(branch: &Branch) -> Result<(), SettingsError> {
    for target in branch.targets.iter().flat_map(IndexMap::values) {
        check_target(branch, target)?;
    }
    branch.limits.iter().try_for_each(|limits| check_limits(branch, limits))?;
    branch.rollout.iter().try_for_each(|plan| check_plan(branch, plan))
}

fn check_target(branch: &Branch, target: &Target) -> Result<(), SettingsError> {
    if target.first_token.is_zero() || target.inter_token.is_zero() {
        return fault(branch, "targets", "0s", "a target is longer than nothing");
    }
    Ok(())
}

fn check_limits(branch: &Branch, limits: &Limits) -> Result<(), SettingsError> {
    if limits.in_flight == 0 {
        return fault(branch, "limits.in_flight", 0, "at least 1");
    }
    if limits.max_tokens == Tokens(0) {
        return fault(branch, "limits.max_tokens", 0, "at least 1");
    }
    if limits.deadline.is_zero() {
        return fault(branch, "limits.deadline", "0s", "longer than nothing");
    }
    Ok(())
}

fn check_plan(branch: &Branch, plan: &RolloutPlan) -> Result<(), SettingsError> {
    if plan.steps.last() != Some(&Percent::FULL) {
        return fault(branch, "rollout.steps", join(&plan.steps), "the last step is 100%");
    }
    if plan.steps.windows(2).any(|pair| pair[0] >= pair[1]) {
        return fault(branch, "rollout.steps", join(&plan.steps), "each step is larger than the one before");
    }
    Ok(())
}

fn check_keys(branches: &Branches) -> Result<(), SettingsError> {
    let mut owners: IndexMap<&str, &Branch> = IndexMap::new();
    for branch in branches.values() {
        for key in branch.keys.iter().flatten() {
            if key.len() != DIGEST_CHARS || !key.chars().all(|c| c.is_ascii_hexdigit()) {
                return fault(branch, "keys", key, "a SHA-256 in 64 hexadecimal digits");
            }
            if let Some(other) = owners.insert(key, branch) {
                return fault(branch, "keys", key, format!("it is a key of branch {} already", other.branch));
            }
        }
        if branch.keys.is_some() && resolve(branches, branch)?.org.is_none() {
            return fault(branch, "keys", "keys", "a branch with keys has or inherits an organisation");
        }
    }
    Ok(())
}

fn join<T: ToString>(items: impl IntoIterator<Item = T>) -> String {
    let items: Vec<String> = items.into_iter().map(|item| item.to_string()).collect();
    items.join(", ")
}
