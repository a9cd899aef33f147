//! Answers to requests that can't be served: typed, with whether the request ran and when to come back.

use std::time::Duration;

use bluebell_core::{
    gate::{Refusal, RefusalReason},
    ids::VersionId,
    poison::CRASH_MEMORY,
    retry::DEFAULT_PAUSE,
    routing::PlanError,
};
use poem::{Response, http::StatusCode};
use serde::Serialize;
use snafu::Snafu;

/// Whether a request ran.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Ran {
    /// It did not, and will not.
    No,
    /// It did, at least in part.
    Yes,
    /// It may have.
    Unknown,
}

/// A request that can't be served.
#[derive(Debug, Clone, PartialEq, Snafu)]
#[snafu(visibility(pub(super)))]
pub enum Fault {
    /// The caller's key is missing or unknown.
    #[snafu(display("the key is missing or unknown"))]
    Unauthorised,
    /// The request can't be read.
    #[snafu(display("the request can't be read: {reason}"))]
    Malformed {
        /// What is wrong.
        reason: String,
    },
    /// The body is too large.
    #[snafu(display("the body is larger than {limit} bytes"))]
    TooLarge {
        /// The limit.
        limit: u64,
    },
    /// The body came too slowly.
    #[snafu(display("the body did not come in time"))]
    TooSlow,
    /// The branch doesn't allow this.
    #[snafu(display("{source}"))]
    Plan {
        /// Why.
        source: PlanError,
    },
    /// The session token is not valid.
    #[snafu(display("{reason}"))]
    Session {
        /// Why.
        reason: String,
    },
    /// The session's version was withdrawn.
    #[snafu(display("the session ended because version {version} was withdrawn"))]
    SessionEnded {
        /// The version.
        version: VersionId,
    },
    /// The service doesn't exist or isn't allowed.
    #[snafu(display("service {name} is not among those this organisation may call"))]
    Service {
        /// The service.
        name: String,
    },
    /// A call that may not be repeated lacks its key.
    #[snafu(display("calls of this service need an Idempotency-Key"))]
    NoKey,
    /// The idempotency key belongs to another request.
    #[snafu(display("the Idempotency-Key was used for another request"))]
    KeyReused,
    /// The organisation has too many requests in flight.
    #[snafu(display("the organisation has {limit} requests in flight already"))]
    TooMany {
        /// The limit.
        limit: u32,
    },
    /// Every runner that was asked refused.
    #[snafu(display("refused: {}", refusal.reason))]
    Refused {
        /// The last refusal.
        refusal: Refusal,
    },
    /// No runner is known or reachable.
    #[snafu(display("no runner can be reached for {work}"))]
    NoRunner {
        /// What it was to run on.
        work: String,
    },
    /// The entry can't take work now.
    #[snafu(display("this entry takes no work now: {reason}"))]
    NotReady {
        /// Why.
        reason: String,
    },
    /// A platform service that is needed first is down.
    #[snafu(display("the platform is not available: {reason}"))]
    Platform {
        /// What failed.
        reason: String,
    },
    /// The runner failed under the request.
    #[snafu(display("the runner failed under the request"))]
    RunnerFailed {
        /// Whether the request ran.
        ran: Ran,
    },
    /// Runners ended under its repeats; this one did not run.
    #[snafu(display("{crashes} runners ended under this request, it is held back and did not run"))]
    Held {
        /// Runners that ended.
        crashes: u32,
    },
    /// The time ran out.
    #[snafu(display("the request's time ran out"))]
    Deadline {
        /// Whether the request ran.
        ran: Ran,
    },
    /// The outcome of a call that may not be repeated is not known.
    #[snafu(display("the outcome of the call is not known{}", if *is_final { "" } else { " yet" }))]
    OutcomeUnknown {
        /// Whether it will never be known.
        is_final: bool,
    },
}

/// Body of an error answer.
#[derive(Debug, Serialize)]
struct ErrorBody<'a> {
    error: ErrorFields<'a>,
}

#[derive(Debug, Serialize)]
struct ErrorFields<'a> {
    code: &'a str,
    message: String,
    ran: Ran,
    #[serde(skip_serializing_if = "Option::is_none")]
    retry_after_ms: Option<u64>,
}

impl Fault {
    fn status(&self) -> StatusCode {
        match self {
            Self::Unauthorised => StatusCode::UNAUTHORIZED,
            Self::Malformed { .. } | Self::Session { .. } | Self::NoKey => StatusCode::BAD_REQUEST,
            Self::TooLarge { .. } => StatusCode::PAYLOAD_TOO_LARGE,
            Self::TooSlow => StatusCode::REQUEST_TIMEOUT,
            Self::Plan { source: PlanError::NoneLeft } => StatusCode::SERVICE_UNAVAILABLE,
            Self::Plan { .. } | Self::Service { .. } => StatusCode::FORBIDDEN,
            Self::SessionEnded { .. } => StatusCode::GONE,
            Self::KeyReused => StatusCode::UNPROCESSABLE_ENTITY,
            Self::TooMany { .. } => StatusCode::TOO_MANY_REQUESTS,
            Self::Refused { refusal } => refusal_status(refusal.reason),
            Self::NoRunner { .. } | Self::NotReady { .. } | Self::Platform { .. } | Self::Held { .. } => {
                StatusCode::SERVICE_UNAVAILABLE
            }
            Self::RunnerFailed { .. } => StatusCode::BAD_GATEWAY,
            Self::Deadline { .. } => StatusCode::GATEWAY_TIMEOUT,
            Self::OutcomeUnknown { .. } => StatusCode::CONFLICT,
        }
    }

    fn code(&self) -> &'static str {
        match self {
            Self::Unauthorised => "unauthorised",
            Self::Malformed { .. } => "malformed",
            Self::TooLarge { .. } => "too_large",
            Self::TooSlow => "too_slow",
            Self::Plan { source: PlanError::Withdrawn { .. } } => "withdrawn",
            Self::Plan { source: PlanError::NoneLeft } => "no_version",
            Self::Plan { .. } => "not_allowed",
            Self::Session { .. } => "bad_session",
            Self::SessionEnded { .. } => "session_ended",
            Self::Service { .. } => "not_allowed",
            Self::NoKey => "no_idempotency_key",
            Self::KeyReused => "idempotency_key_reused",
            Self::TooMany { .. } => "too_many_requests",
            Self::Refused { .. } => "refused",
            Self::NoRunner { .. } => "no_runner",
            Self::NotReady { .. } => "not_ready",
            Self::Platform { .. } => "platform_down",
            Self::RunnerFailed { .. } => "runner_failed",
            Self::Held { .. } => "held_back",
            Self::Deadline { .. } => "deadline",
            Self::OutcomeUnknown { .. } => "outcome_unknown",
        }
    }

    /// Whether the request ran.
    pub fn ran(&self) -> Ran {
        match self {
            Self::RunnerFailed { ran } | Self::Deadline { ran } => *ran,
            Self::OutcomeUnknown { .. } => Ran::Unknown,
            _ => Ran::No,
        }
    }

    /// When to come back, where that can help.
    pub fn retry_after(&self) -> Option<Duration> {
        match self {
            Self::Refused { refusal } if refusal.reason == RefusalReason::Withdrawn => None,
            Self::Refused { refusal } if refusal.reason == RefusalReason::NotAllowed => None,
            Self::Refused { refusal } => Some(refusal.retry_after.max(Duration::from_millis(1))),
            Self::TooMany { .. } | Self::NoRunner { .. } | Self::NotReady { .. } | Self::Platform { .. } => {
                Some(DEFAULT_PAUSE)
            }
            Self::Plan { source: PlanError::NoneLeft } => Some(DEFAULT_PAUSE),
            Self::RunnerFailed { .. } | Self::Deadline { .. } => Some(DEFAULT_PAUSE),
            Self::OutcomeUnknown { is_final: false } => Some(DEFAULT_PAUSE),
            Self::Held { .. } => Some(CRASH_MEMORY),
            _ => None,
        }
    }

    /// The error as JSON.
    pub fn body(&self) -> String {
        let fields = ErrorFields {
            code: self.code(),
            message: self.to_string(),
            ran: self.ran(),
            retry_after_ms: self.retry_after().map(|after| after.as_millis() as u64),
        };
        serde_json::to_string(&ErrorBody { error: fields }).unwrap_or_default()
    }

    /// The error as an HTTP answer.
    pub fn response(&self) -> Response {
        let mut builder = Response::builder().status(self.status()).content_type("application/json");
        if let Some(after) = self.retry_after() {
            builder = builder.header("retry-after", after.as_secs_f64().ceil() as u64);
        }
        builder.body(self.body())
    }
}

fn refusal_status(reason: RefusalReason) -> StatusCode {
    match reason {
        RefusalReason::NotAllowed | RefusalReason::Withdrawn => StatusCode::FORBIDDEN,
        RefusalReason::Overloaded => StatusCode::TOO_MANY_REQUESTS,
        _ => StatusCode::SERVICE_UNAVAILABLE,
    }
}
