//! Changes as they stand in the sequence that all instances apply in the same order.

use serde::{Deserialize, Serialize};

use crate::{
    ids::{BranchId, ChangeId, ModelId, Revision, VersionId},
    units::Percent,
};

/// One change to what is in force.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Action {
    /// Set branches.
    Set {
        /// YAML of each branch.
        texts: Vec<String>,
        /// Revision of the settings that the operator saw; zero if none.
        base: Revision,
    },
    /// Remove a branch that has no children.
    Remove {
        /// The branch.
        branch: BranchId,
        /// Revision of the settings that the operator saw.
        base: Revision,
    },
    /// Give a version no new work and end its sessions.
    Withdraw {
        /// The version.
        version: VersionId,
    },
    /// Give a version no new sessions; those it has go on.
    Drain {
        /// The version.
        version: VersionId,
    },
    /// Take back a withdrawal or a drain.
    Restore {
        /// The version.
        version: VersionId,
    },
    /// Begin to move new sessions of a model from one version to another.
    Start {
        /// The model.
        model: ModelId,
        /// Version that has the sessions now.
        from: VersionId,
        /// Version that is to get them.
        to: VersionId,
        /// Branch whose plan is followed.
        branch: BranchId,
    },
    /// Move a roll-out to a step of its plan.
    Step {
        /// The model.
        model: ModelId,
        /// Position in the plan.
        step: usize,
        /// Share of new sessions on the new version.
        share: Percent,
    },
    /// Hold a roll-out where it is, or let it go on.
    Pause {
        /// The model.
        model: ModelId,
        /// Whether it is held.
        paused: bool,
    },
    /// End a roll-out and give all new sessions to the old version.
    Abort {
        /// The model.
        model: ModelId,
    },
}

/// A change at its place in the sequence.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Record {
    /// Place in the sequence.
    pub revision: Revision,
    /// Id that the operator gave it.
    pub change: ChangeId,
    /// Who made it.
    pub author: String,
    /// What it does.
    pub action: Action,
}
