//! What holds for the callers of a branch once everything it inherits is filled in.

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

use super::branch::{Limits, RolloutPlan, Target};
use crate::{
    ids::{BranchId, OrgId, ServiceId, VersionId},
    units::{Percent, Priority},
};

/// Settings of a branch, complete.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Policy {
    /// The branch.
    pub branch: BranchId,
    /// Organisation it belongs to.
    pub org: Option<OrgId>,
    /// Versions that may be used.
    pub allow: Vec<VersionId>,
    /// Plain services that may be called.
    pub services: Vec<ServiceId>,
    /// Rank of requests that name none.
    pub priority: Priority,
    /// Highest rank that a request may name.
    pub ceiling: Priority,
    /// Latency targets by rank.
    pub targets: IndexMap<Priority, Target>,
    /// Least acceptable quality.
    pub quality: Percent,
    /// Bounds on what one caller may ask for.
    pub limits: Limits,
    /// How a roll-out proceeds.
    pub rollout: RolloutPlan,
}
