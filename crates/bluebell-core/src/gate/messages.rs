//! Requests, events and effects of the admission gate.

use std::{fmt, sync::Arc, time::Duration};

use serde::{Deserialize, Serialize};

use crate::{
    ids::{AttemptId, BranchId, OrgId, Permit, Revision, ServiceId, VersionId},
    routing::Plan,
    units::Priority,
};

/// What an attempt calls on the runner.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Work {
    /// A version of a model.
    Version(VersionId),
    /// A service that is not a model.
    Service(ServiceId),
}

impl Work {
    /// Name under which runners list this in what they serve.
    #[must_use]
    pub fn name(&self) -> &str {
        match self {
            Self::Version(id) => id.as_str(),
            Self::Service(id) => id.as_str(),
        }
    }
}

/// Request to admit an attempt to the runner.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct AdmissionRequest {
    /// Id of the attempt.
    pub attempt: AttemptId,
    /// Organisation that the request belongs to; queueing is fair between organisations.
    pub org: OrgId,
    /// Settings branch whose policy applies.
    pub branch: BranchId,
    /// Model version or service to run.
    pub work: Work,
    /// Scheduling priority.
    pub priority: Priority,
    /// Estimated cost in tokens.
    pub cost: u64,
    /// Longest time to wait in the queue for a slot.
    #[serde(rename = "patience")]
    pub max_wait: Duration,
    /// Whether a slot is only reserved at first and the attempt runs when a `Go` with the permit arrives. Required for
    /// services that are not idempotent.
    pub two_step: bool,
    /// Whether the attempt continues an answer that the caller has already received in part. Such an attempt is neither
    /// refused for overload nor preempted by urgent attempts.
    pub resumed: bool,
    /// Whether to run it with no other attempt on the runner. Set when a runner failed while it ran this request and
    /// had not yet produced any output.
    pub isolated: bool,
}

/// Why an attempt was refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum RefusalReason {
    /// The branch's policy does not allow it.
    NotAllowed,
    /// The version was withdrawn.
    Withdrawn,
    /// The runner doesn't serve this.
    NotServed,
    /// The sidecar is leaving the fleet.
    Leaving,
    /// The expected wait exceeds the longest time that the attempt may wait.
    Overloaded,
    /// It waited too long in the queue, or its reservation timed out before the `Go` arrived.
    Expired,
    /// The gate has already seen an attempt of this id.
    Repeated,
    /// No slot is reserved under the permit.
    NoReservation,
    /// The sidecar has not received any settings yet.
    NoSettings,
    /// The runner failed or can't be reached.
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

/// Refusal of an attempt. For every reason but [`RefusalReason::Repeated`] the attempt has not run.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Refusal {
    /// Reason of the refusal.
    pub reason: RefusalReason,
    /// Suggested delay before a retry.
    #[serde(rename = "after")]
    pub retry_after: Duration,
}

impl Refusal {
    /// Creates a refusal with a suggested retry delay.
    #[must_use]
    pub fn new(reason: RefusalReason, retry_after: Duration) -> Self {
        Self { reason, retry_after }
    }
}

/// Input of the gate.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum GateEvent {
    /// Admit an attempt.
    Ask(AdmissionRequest),
    /// Run an attempt that holds a reservation.
    Go {
        /// Id of the attempt.
        attempt: AttemptId,
        /// Permit of the reservation.
        permit: Permit,
    },
    /// The entry no longer waits for the attempt.
    Abandon {
        /// Id of the attempt.
        attempt: AttemptId,
    },
    /// The attempt has ended at the runner.
    Finish {
        /// Id of the attempt.
        attempt: AttemptId,
    },
    /// New settings took effect.
    Plan {
        /// Revision of the settings.
        revision: Revision,
        /// Routing plan derived from them.
        plan: Arc<Plan>,
    },
    /// The runner failed or can't be reached: attempts are refused until `RunnerUp`.
    RunnerDown,
    /// The runner can be reached again.
    RunnerUp,
    /// The sidecar is leaving the fleet: queued and new attempts are refused.
    Leave,
    /// Periodic timer: refuses attempts that have waited too long.
    Tick,
}

/// Action that the caller of [`Gate::handle`](super::Gate::handle) has to carry out.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum GateEffect {
    /// Tell the entry that the attempt is refused.
    Refuse {
        /// Id of the attempt.
        attempt: AttemptId,
        /// Reason and retry delay.
        refusal: Refusal,
    },
    /// Tell the entry that a slot is reserved.
    Reserve {
        /// Id of the attempt.
        attempt: AttemptId,
        /// Permit that the matching `Go` must carry.
        permit: Permit,
    },
    /// Start the attempt on the runner.
    Start {
        /// Id of the attempt.
        attempt: AttemptId,
    },
    /// Cancel the attempt on the runner.
    Stop {
        /// Id of the attempt.
        attempt: AttemptId,
    },
}
