//! Effective settings of a branch after inheritance.

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

use super::branch::{Limits, RolloutPlan, Target};
use crate::{
    ids::{BranchId, OrgId, ServiceId, VersionId},
    units::{Percent, Priority},
};

/// Settings of a branch with all inherited values filled in.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Policy {
    /// Name of the branch.
    pub branch: BranchId,
    /// Organisation that the branch belongs to.
    pub org: Option<OrgId>,
    /// Model versions that may be used.
    pub allow: Vec<VersionId>,
    /// Services other than models that may be called.
    pub services: Vec<ServiceId>,
    /// Priority of requests that don't name one.
    pub priority: Priority,
    /// Highest priority that a request may ask for.
    pub ceiling: Priority,
    /// Latency targets by priority.
    pub targets: IndexMap<Priority, Target>,
    /// Lowest acceptable quality of a version.
    pub quality: Percent,
    /// Limits on the requests of one caller.
    pub limits: Limits,
    /// Steps of a roll-out.
    pub rollout: RolloutPlan,
}
