//! What is in force at a revision: the branches, the facts about versions, and the roll-outs under way.

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

/// A branch with the change that last touched it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct BranchRow {
    /// YAML as the operator wrote it.
    pub text: String,
    /// Revision of the last change.
    pub revision: Revision,
    /// The last change.
    pub change: ChangeId,
    /// Who made it.
    pub author: String,
}

/// Standing of a version that is not in plain use.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Standing {
    /// No new sessions.
    Draining,
    /// No work at all.
    Withdrawn,
}

/// A roll-out under way or done.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Rollout {
    /// Version that had the sessions.
    pub from: VersionId,
    /// Version that is to get them.
    pub to: VersionId,
    /// Branch whose plan is followed.
    pub branch: BranchId,
    /// Position in the plan.
    pub step: usize,
    /// Share of new sessions on the new version.
    pub share: Percent,
    /// Whether an operator holds it.
    pub paused: bool,
}

/// What is in force at a revision.
#[derive(Debug, Clone, PartialEq, Default, Serialize, Deserialize)]
pub struct State {
    /// Number of changes applied.
    pub revision: Revision,
    /// Branches by name.
    pub branches: IndexMap<BranchId, BranchRow>,
    /// Versions that are draining or withdrawn.
    pub standings: IndexMap<VersionId, Standing>,
    /// Roll-outs by model.
    pub rollouts: IndexMap<ModelId, Rollout>,
}

impl State {
    /// Parsed branches.
    ///
    /// # Errors
    /// When a stored branch can't be read.
    pub fn tree(&self) -> Result<Branches, SettingsError> {
        let parse = |(id, row): (&BranchId, &BranchRow)| Ok((id.clone(), Branch::from_yaml(&row.text)?));
        self.branches.iter().map(parse).collect()
    }

    /// Applies the next record.
    ///
    /// # Errors
    /// When the record doesn't follow this state or can't be applied; the state is unchanged then.
    pub fn apply(&mut self, record: &Record) -> Result<(), SettingsError> {
        let expected = self.revision;
        ensure!(record.revision == expected.next(), GapSnafu { expected, found: record.revision });
        let mut next = self.clone();
        next.perform(record)?;
        next.revision = record.revision;
        *self = next;
        Ok(())
    }

    fn perform(&mut self, record: &Record) -> Result<(), SettingsError> {
        match &record.action {
            Action::Set { texts, base } => self.set(record, texts, *base),
            Action::Remove { branch, base } => self.remove(record, branch, *base),
            Action::Withdraw { version } => self.stand(version, Some(Standing::Withdrawn)),
            Action::Drain { version } => self.stand(version, Some(Standing::Draining)),
            Action::Restore { version } => self.stand(version, None),
            Action::Start { model, from, to, branch } => self.start(model, from, to, branch),
            Action::Step { model, step, share } => {
                let rollout = self.rollout(model)?;
                rollout.step = *step;
                rollout.share = *share;
                Ok(())
            }
            Action::Pause { model, paused } => {
                self.rollout(model)?.paused = *paused;
                Ok(())
            }
            Action::Abort { model } => {
                self.rollout(model)?;
                self.rollouts.shift_remove(model);
                Ok(())
            }
        }
    }

    fn set(&mut self, record: &Record, texts: &[String], base: Revision) -> Result<(), SettingsError> {
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

    fn remove(&mut self, record: &Record, branch: &BranchId, base: Revision) -> Result<(), SettingsError> {
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

    fn stand(&mut self, version: &VersionId, standing: Option<Standing>) -> Result<(), SettingsError> {
        self.check_version("version", version)?;
        match standing {
            Some(standing) => self.standings.insert(version.clone(), standing),
            None => self.standings.shift_remove(version),
        };
        Ok(())
    }

    fn start(
        &mut self,
        model: &ModelId,
        from: &VersionId,
        to: &VersionId,
        branch: &BranchId,
    ) -> Result<(), SettingsError> {
        self.check_version("from", from)?;
        self.check_version("to", to)?;
        let refuse = |reason: &str| RolloutSnafu { model: model.as_str(), reason }.fail();
        if from.model() != model.as_str() || to.model() != model.as_str() || from == to {
            return refuse("it moves between two versions of that model");
        }
        if self.standings.contains_key(to) {
            return refuse("the new version is draining or withdrawn");
        }
        if self.rollouts.get(model).is_some_and(|old| old.share < Percent::FULL) {
            return refuse("one is under way already");
        }
        let plan = self.plan(branch)?;
        let share = plan.steps[0];
        let rollout =
            Rollout { from: from.clone(), to: to.clone(), branch: branch.clone(), step: 0, share, paused: false };
        self.rollouts.insert(model.clone(), rollout);
        Ok(())
    }

    /// Plan that a branch sets or inherits.
    ///
    /// # Errors
    /// When there is no such branch.
    pub fn plan(&self, branch: &BranchId) -> Result<super::branch::RolloutPlan, SettingsError> {
        let tree = self.tree()?;
        let names: Vec<&str> = tree.keys().map(|id| id.as_str()).collect();
        let allowed = format!("branches are {}", names.join(", "));
        let missing = ValueSnafu { branch: branch.clone(), key: "branch", value: branch.as_str(), allowed };
        let found = tree.get(branch).context(missing)?;
        Ok(tree::resolve(&tree, found)?.rollout)
    }

    fn rollout(&mut self, model: &ModelId) -> Result<&mut Rollout, SettingsError> {
        let none = RolloutSnafu { model: model.as_str(), reason: "there is none" };
        self.rollouts.get_mut(model).context(none)
    }
}
