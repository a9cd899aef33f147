//! Messages of the gate.

use std::{fmt, sync::Arc, time::Duration};

use serde::{Deserialize, Serialize};

use crate::{
    ids::{AttemptId, BranchId, OrgId, Permit, Revision, ServiceId, VersionId},
    routing::Plan,
    units::Priority,
};

/// What an attempt runs on.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Work {
    /// A version of a model.
    Version(VersionId),
    /// A plain service.
    Service(ServiceId),
}

impl Work {
    /// Name under which a runner says that it serves this.
    #[must_use]
    pub fn name(&self) -> &str {
        match self {
            Self::Version(id) => id.as_str(),
            Self::Service(id) => id.as_str(),
        }
    }
}

/// An attempt that asks to start.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Ask {
    /// The attempt.
    pub attempt: AttemptId,
    /// Organisation it is for.
    pub org: OrgId,
    /// Branch whose policy holds.
    pub branch: BranchId,
    /// What it runs on.
    pub work: Work,
    /// Its rank.
    pub priority: Priority,
    /// Expected work, in tokens.
    pub cost: u64,
    /// Longest time it may wait for a place.
    pub patience: Duration,
    /// Whether it runs only on a second order.
    pub two_step: bool,
    /// Whether it goes on with an answer that the caller has a part of: it is neither refused as too much nor stopped
    /// for more urgent work.
    pub resumed: bool,
    /// Whether it runs with nothing beside it, since a runner failed under it before it gave anything.
    pub isolated: bool,
}

/// Why an attempt did not run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum RefusalReason {
    /// The branch may not use this.
    NotAllowed,
    /// The version was withdrawn.
    Withdrawn,
    /// The runner doesn't serve this.
    NotServed,
    /// The sidecar is leaving.
    Leaving,
    /// The wait would be too long.
    Overloaded,
    /// It waited too long for a place or for its order.
    Expired,
    /// An attempt of this id was here before.
    Repeated,
    /// No place is reserved under the permit.
    NoReservation,
    /// The sidecar has no settings yet.
    NoSettings,
    /// The runner can't be reached.
    RunnerDown,
}

impl fmt::Display for RefusalReason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::NotAllowed => "not allowed",
            Self::Withdrawn => "version withdrawn",
            Self::NotServed => "not served by this runner",
            Self::Leaving => "runner leaving",
            Self::Overloaded => "overloaded",
            Self::Expired => "waited too long",
            Self::Repeated => "attempt repeated",
            Self::NoReservation => "no reservation",
            Self::NoSettings => "no settings yet",
            Self::RunnerDown => "runner down",
        })
    }
}

/// A refusal: the attempt did not run.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Refusal {
    /// Why.
    pub reason: RefusalReason,
    /// When to come back.
    pub after: Duration,
}

impl Refusal {
    /// A refusal with the time to come back.
    #[must_use]
    pub fn new(reason: RefusalReason, after: Duration) -> Self {
        Self { reason, after }
    }
}

/// What the gate is told.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum GateEvent {
    /// An attempt asks to start.
    Ask(Ask),
    /// The order to run a reserved attempt.
    Go {
        /// The attempt.
        attempt: AttemptId,
        /// Its reservation.
        permit: Permit,
    },
    /// Nobody waits for the attempt any more.
    Abandon {
        /// The attempt.
        attempt: AttemptId,
    },
    /// The runner is done with the attempt.
    Finish {
        /// The attempt.
        attempt: AttemptId,
    },
    /// Newer settings are in force.
    Plan {
        /// Their revision.
        revision: Revision,
        /// What they allow.
        plan: Arc<Plan>,
    },
    /// The runner failed or can't be reached: nothing is given to it until it is back.
    RunnerDown,
    /// The runner can be reached again.
    RunnerUp,
    /// The sidecar is to leave.
    Leave,
    /// Time has passed.
    Tick,
}

/// What the gate asks for.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum GateEffect {
    /// Tell the entry that the attempt did not run.
    Refuse {
        /// The attempt.
        attempt: AttemptId,
        /// Why.
        refusal: Refusal,
    },
    /// Tell the entry that a place is reserved.
    Reserve {
        /// The attempt.
        attempt: AttemptId,
        /// Number to give the order with.
        permit: Permit,
    },
    /// Give the attempt to the runner.
    Start {
        /// The attempt.
        attempt: AttemptId,
    },
    /// Cancel the attempt at the runner.
    Stop {
        /// The attempt.
        attempt: AttemptId,
    },
}
