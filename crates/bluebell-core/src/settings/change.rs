//! Records of the change log. All instances apply them in the same order.

use serde::{Deserialize, Serialize};

use crate::{
    ids::{BranchId, ChangeId, ModelId, Revision, VersionId},
    units::Percent,
};

/// Change to the settings, to the status of a version or to a roll-out.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Action {
    /// Add or replace branches.
    Set {
        /// YAML text of each branch.
        texts: Vec<String>,
        /// Revision that the operator's edit is based on, for conflict detection; zero if there was none.
        base: Revision,
    },
    /// Remove a branch that has no children.
    Remove {
        /// Branch to remove.
        branch: BranchId,
        /// Revision that the operator's edit is based on, for conflict detection.
        base: Revision,
    },
    /// Stop routing any requests to a version and end its sessions.
    Withdraw {
        /// Id of the version.
        version: VersionId,
    },
    /// Stop routing new sessions to a version; existing sessions continue.
    Drain {
        /// Id of the version.
        version: VersionId,
    },
    /// Undo a withdrawal or a drain.
    Restore {
        /// Id of the version.
        version: VersionId,
    },
    /// Start a roll-out: move new sessions of a model from one version to another.
    Start {
        /// Model of the roll-out.
        model: ModelId,
        /// Version that gets the sessions at present.
        from: VersionId,
        /// Version to roll out.
        to: VersionId,
        /// Branch whose roll-out plan applies.
        branch: BranchId,
    },
    /// Move a roll-out to another step of its plan.
    Step {
        /// Model of the roll-out.
        model: ModelId,
        /// Index of the step in the plan.
        step: usize,
        /// Share of new sessions routed to the new version.
        share: Percent,
    },
    /// Pause a roll-out at its current step, or resume it.
    Pause {
        /// Model of the roll-out.
        model: ModelId,
        /// Whether the roll-out is paused.
        paused: bool,
    },
    /// Cancel a roll-out and route all new sessions to the old version.
    Abort {
        /// Model of the roll-out.
        model: ModelId,
    },
}

/// Entry of the change log.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Record {
    /// Revision that the change produces; consecutive along the log.
    pub revision: Revision,
    /// Id that the operator gave the change.
    pub change: ChangeId,
    /// Operator who made the change.
    pub author: String,
    /// The change itself.
    pub action: Action,
}
