//! State of the settings at a revision: branches, versions that are draining or withdrawn, and roll-outs.

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};
use snafu::{OptionExt, ensure};

use super::{
    branch::{Branch, Catalog},
    change::{Action, Record},
    error::{ConflictSnafu, GapSnafu, HasChildSnafu, RolloutSnafu, SettingsError, ValueSnafu},
    tree::{self, Branches},
};
use crate::{
    ids::{BranchId, ChangeId, ModelId, Revision, VersionId},
    units::Percent,
};

/// Stored branch with the change that last modified it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct BranchRow {
    /// YAML text of the branch as submitted.
    pub text: String,
    /// Revision of the last change to the branch.
    pub revision: Revision,
    /// Id of the last change.
    pub change: ChangeId,
    /// Operator who made the last change.
    pub author: String,
}

/// Status of a version that is restricted; a version in normal use has none.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum VersionStatus {
    /// Gets no new sessions; existing ones continue.
    Draining,
    /// Gets no requests at all.
    Withdrawn,
}

/// Roll-out in progress or completed.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Rollout {
    /// Version that is replaced.
    pub from: VersionId,
    /// Version that is rolled out.
    pub to: VersionId,
    /// Branch whose roll-out plan applies.
    pub branch: BranchId,
    /// Index of the current step in the plan.
    pub step: usize,
    /// Share of new sessions routed to the new version.
    pub share: Percent,
    /// Whether the roll-out is paused.
    pub paused: bool,
}

/// State of the settings at a revision.
#[derive(Debug, Clone, PartialEq, Default, Serialize, Deserialize)]
pub struct State {
    /// Revision of the last applied record, which is the number of records applied.
    pub revision: Revision,
    /// Branches by name.
    pub branches: IndexMap<BranchId, BranchRow>,
    /// Versions that are draining or withdrawn.
    pub standings: IndexMap<VersionId, VersionStatus>,
    /// Roll-outs by model.
    pub rollouts: IndexMap<ModelId, Rollout>,
}

impl State {
    /// Parses the stored branches.
    ///
    /// # Errors
    /// When a stored branch can't be parsed.
    pub fn tree(&self) -> Result<Branches, SettingsError> {
        let parse = |(id, row): (&BranchId, &BranchRow)| Ok((id.clone(), Branch::from_yaml(&row.text)?));
        self.branches.iter().map(parse).collect()
    }

    /// Applies the next record of the change log, whole or not at all.
    ///
    /// # Errors
    /// When the record's revision is not the next one or its change is rejected; the state is then unchanged.
    pub fn apply(&mut self, record: &Record) -> Result<(), SettingsError> {
        let expected = self.revision;
        ensure!(record.revision == expected.next(), GapSnafu { expected, found: record.revision });
        let mut next = self.clone();
        next.apply_action(record)?;
        next.revision = record.revision;
        *self = next;
        Ok(())
    }

    fn apply_action(&mut self, record: &Record) -> Result<(), SettingsError> {
        match &record.action {
            Action::Set { texts, base } => self.set_branches(record, texts, *base),
            Action::Remove { branch, base } => self.remove_branch(record, branch, *base),
            Action::Withdraw { version } => self.set_status(version, Some(VersionStatus::Withdrawn)),
            Action::Drain { version } => self.set_status(version, Some(VersionStatus::Draining)),
            Action::Restore { version } => self.set_status(version, None),
            Action::Start { model, from, to, branch } => self.start_rollout(model, from, to, branch),
            Action::Step { model, step, share } => {
                let rollout = self.rollout_mut(model)?;
                rollout.step = *step;
                rollout.share = *share;
                Ok(())
            }
            Action::Pause { model, paused } => {
                self.rollout_mut(model)?.paused = *paused;
                Ok(())
            }
            Action::Abort { model } => {
                self.rollout_mut(model)?;
                self.rollouts.shift_remove(model);
                Ok(())
            }
        }
    }

    fn set_branches(&mut self, record: &Record, texts: &[String], base: Revision) -> Result<(), SettingsError> {
        for text in texts {
            let branch = Branch::from_yaml(text)?.branch;
            self.check_base(record, &branch, base)?;
            let row = BranchRow {
                text: text.clone(),
                revision: record.revision,
                change: record.change.clone(),
                author: record.author.clone(),
            };
            self.branches.insert(branch, row);
        }
        tree::check(&self.tree()?)
    }

    fn check_base(&self, record: &Record, branch: &BranchId, base: Revision) -> Result<(), SettingsError> {
        let Some(row) = self.branches.get(branch) else {
            return Ok(());
        };
        let conflict = ConflictSnafu {
            branch: branch.clone(),
            change: record.change.clone(),
            base,
            other: row.change.clone(),
            author: row.author.as_str(),
            found: row.revision,
        };
        ensure!(row.revision <= base, conflict);
        Ok(())
    }

    fn remove_branch(&mut self, record: &Record, branch: &BranchId, base: Revision) -> Result<(), SettingsError> {
        self.check_base(record, branch, base)?;
        let tree = self.tree()?;
        let child = tree.values().find(|other| other.parent.as_ref() == Some(branch));
        if let Some(child) = child {
            return HasChildSnafu { branch: branch.clone(), child: child.branch.clone() }.fail();
        }
        self.branches.shift_remove(branch);
        tree::check(&self.tree()?)
    }

    fn catalog(&self) -> Result<Catalog, SettingsError> {
        let root = self.tree()?.shift_remove(&tree::root_id());
        Ok(root.and_then(|root| root.catalog).unwrap_or_default())
    }

    fn check_version(&self, key: &str, version: &VersionId) -> Result<(), SettingsError> {
        let catalog = self.catalog()?;
        let names: Vec<String> = catalog.version_ids().map(String::from).collect();
        let allowed = format!("the catalog has {}", names.join(", "));
        let unknown = ValueSnafu { branch: tree::root_id(), key, value: version.as_str(), allowed };
        catalog.version(version).context(unknown).map(|_| ())
    }

    fn set_status(&mut self, version: &VersionId, status: Option<VersionStatus>) -> Result<(), SettingsError> {
        self.check_version("version", version)?;
        match status {
            Some(status) => self.standings.insert(version.clone(), status),
            None => self.standings.shift_remove(version),
        };
        Ok(())
    }

    fn start_rollout(
        &mut self,
        model: &ModelId,
        from: &VersionId,
        to: &VersionId,
        branch: &BranchId,
    ) -> Result<(), SettingsError> {
        self.check_version("from", from)?;
        self.check_version("to", to)?;
        let reject = |reason: &str| RolloutSnafu { model: model.as_str(), reason }.fail();
        if from.model() != model.as_str() || to.model() != model.as_str() || from == to {
            return reject("it moves between two versions of that model");
        }
        if self.standings.contains_key(to) {
            return reject("the new version is draining or withdrawn");
        }
        if self.rollouts.get(model).is_some_and(|old| old.share < Percent::FULL) {
            return reject("one is under way already");
        }
        let plan = self.rollout_plan(branch)?;
        let share = plan.steps[0];
        let rollout =
            Rollout { from: from.clone(), to: to.clone(), branch: branch.clone(), step: 0, share, paused: false };
        self.rollouts.insert(model.clone(), rollout);
        Ok(())
    }

    /// Roll-out plan that a branch sets or inherits.
    ///
    /// # Errors
    /// When there is no such branch, or the settings tree is invalid.
    pub fn rollout_plan(&self, branch: &BranchId) -> Result<super::branch::RolloutPlan, SettingsError> {
        let tree = self.tree()?;
        let names: Vec<&str> = tree.keys().map(|id| id.as_str()).collect();
        let allowed = format!("branches are {}", names.join(", "));
        let missing = ValueSnafu { branch: branch.clone(), key: "branch", value: branch.as_str(), allowed };
        let found = tree.get(branch).context(missing)?;
        Ok(tree::resolve(&tree, found)?.rollout)
    }

    fn rollout_mut(&mut self, model: &ModelId) -> Result<&mut Rollout, SettingsError> {
        let missing = RolloutSnafu { model: model.as_str(), reason: "there is none" };
        self.rollouts.get_mut(model).context(missing)
    }
}
