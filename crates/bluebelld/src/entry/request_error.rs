//! Typed errors for requests that can't be served. Each states whether the request ran and when to retry.

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

/// Whether a request ran, as reported to the caller.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Ran {
    /// It did not run and never will.
    No,
    /// It ran, at least in part.
    Yes,
    /// It may have run.
    Unknown,
}

/// Why a request can't be served. The display texts are part of the API and of log values.
#[derive(Debug, Clone, PartialEq, Snafu)]
#[snafu(visibility(pub(super)))]
pub enum RequestError {
    /// The API or operator key is missing or unknown.
    #[snafu(display("the key is missing or unknown"))]
    Unauthorised,
    /// The request is malformed.
    #[snafu(display("the request can't be read: {reason}"))]
    Malformed {
        /// What is wrong.
        reason: String,
    },
    /// The request body is too large.
    #[snafu(display("the body is larger than {limit} bytes"))]
    BodyTooLarge {
        /// Limit that was exceeded.
        limit: u64,
    },
    /// The request body arrived too slowly.
    #[snafu(display("the body did not come in time"))]
    BodyTooSlow,
    /// No model version can be used, by the policy of the caller's branch or by the status of the versions.
    #[snafu(display("{source}"))]
    Plan {
        /// Cause.
        source: PlanError,
    },
    /// The session token is invalid.
    #[snafu(display("{reason}"))]
    InvalidSession {
        /// Cause.
        reason: String,
    },
    /// The session's model version was withdrawn.
    #[snafu(display("the session ended because version {version} was withdrawn"))]
    SessionEnded {
        /// Version that was withdrawn.
        version: VersionId,
    },
    /// The service doesn't exist or the caller may not use it.
    #[snafu(display("service {name} is not among those this organisation may call"))]
    ServiceNotAllowed {
        /// Name of the service.
        name: String,
    },
    /// A call of a non-idempotent service has no idempotency key.
    #[snafu(display("calls of this service need an Idempotency-Key"))]
    MissingIdempotencyKey,
    /// The idempotency key was already used for a different request.
    #[snafu(display("the Idempotency-Key was used for another request"))]
    IdempotencyKeyReused,
    #[snafu(display("the organisation has {limit} requests in flight already"))]
    TooManyRequests {
        /// Limit that was exceeded.
        limit: u32,
    },
    /// Every runner that was tried refused the request.
    #[snafu(display("refused: {}", refusal.reason))]
    Refused { refusal: Refusal },
    #[snafu(display("no runner can be reached for {target}"))]
    NoRunner {
        /// Model version or service that was requested.
        target: String,
    },
    /// The entry can't accept requests at present.
    #[snafu(display("this entry takes no work now: {reason}"))]
    NotReady {
        /// Cause.
        reason: String,
    },
    /// A platform service that is needed to handle the request is down.
    #[snafu(display("the platform is not available: {reason}"))]
    PlatformUnavailable {
        /// What failed.
        reason: String,
    },
    /// The runner failed while it ran the request.
    #[snafu(display("the runner failed under the request"))]
    RunnerFailed {
        /// Whether the request ran.
        ran: Ran,
    },
    /// The request is blocked as poison, because runners crashed while running its repeats. It did not run.
    #[snafu(display("{crashes} runners ended under this request, it is held back and did not run"))]
    Blocked {
        /// Number of runners that crashed.
        crashes: u32,
    },
    /// The request's deadline passed.
    #[snafu(display("the request's time ran out"))]
    DeadlineExceeded {
        /// Whether the request ran.
        ran: Ran,
    },
    /// The outcome of a non-idempotent call is unknown.
    #[snafu(display("the outcome of the call is not known{}", if *is_final { "" } else { " yet" }))]
    OutcomeUnknown {
        /// Whether the outcome can never be determined.
        is_final: bool,
    },
}

/// Body of an error response.
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

impl RequestError {
    fn status(&self) -> StatusCode {
        match self {
            Self::Unauthorised => StatusCode::UNAUTHORIZED,
            Self::Malformed { .. } | Self::InvalidSession { .. } | Self::MissingIdempotencyKey => {
                StatusCode::BAD_REQUEST
            }
            Self::BodyTooLarge { .. } => StatusCode::PAYLOAD_TOO_LARGE,
            Self::BodyTooSlow => StatusCode::REQUEST_TIMEOUT,
            Self::Plan { source: PlanError::NoneLeft } => StatusCode::SERVICE_UNAVAILABLE,
            Self::Plan { .. } | Self::ServiceNotAllowed { .. } => StatusCode::FORBIDDEN,
            Self::SessionEnded { .. } => StatusCode::GONE,
            Self::IdempotencyKeyReused => StatusCode::UNPROCESSABLE_ENTITY,
            Self::TooManyRequests { .. } => StatusCode::TOO_MANY_REQUESTS,
            Self::Refused { refusal } => refusal_status(refusal.reason),
            Self::NoRunner { .. } | Self::NotReady { .. } | Self::PlatformUnavailable { .. } | Self::Blocked { .. } => {
                StatusCode::SERVICE_UNAVAILABLE
            }
            Self::RunnerFailed { .. } => StatusCode::BAD_GATEWAY,
            Self::DeadlineExceeded { .. } => StatusCode::GATEWAY_TIMEOUT,
            Self::OutcomeUnknown { .. } => StatusCode::CONFLICT,
        }
    }

    fn code(&self) -> &'static str {
        match self {
            Self::Unauthorised => "unauthorised",
            Self::Malformed { .. } => "malformed",
            Self::BodyTooLarge { .. } => "too_large",
            Self::BodyTooSlow => "too_slow",
            Self::Plan { source: PlanError::Withdrawn { .. } } => "withdrawn",
            Self::Plan { source: PlanError::NoneLeft } => "no_version",
            Self::Plan { .. } => "not_allowed",
            Self::InvalidSession { .. } => "bad_session",
            Self::SessionEnded { .. } => "session_ended",
            Self::ServiceNotAllowed { .. } => "not_allowed",
            Self::MissingIdempotencyKey => "no_idempotency_key",
            Self::IdempotencyKeyReused => "idempotency_key_reused",
            Self::TooManyRequests { .. } => "too_many_requests",
            Self::Refused { .. } => "refused",
            Self::NoRunner { .. } => "no_runner",
            Self::NotReady { .. } => "not_ready",
            Self::PlatformUnavailable { .. } => "platform_down",
            Self::RunnerFailed { .. } => "runner_failed",
            Self::Blocked { .. } => "held_back",
            Self::DeadlineExceeded { .. } => "deadline",
            Self::OutcomeUnknown { .. } => "outcome_unknown",
        }
    }

    /// Whether the request ran.
    pub fn ran(&self) -> Ran {
        match self {
            Self::RunnerFailed { ran } | Self::DeadlineExceeded { ran } => *ran,
            Self::OutcomeUnknown { .. } => Ran::Unknown,
            _ => Ran::No,
        }
    }

    /// Suggested delay before a retry, or `None` if a retry is not expected to help.
    pub fn retry_after(&self) -> Option<Duration> {
        match self {
            Self::Refused { refusal } if refusal.reason == RefusalReason::Withdrawn => None,
            Self::Refused { refusal } if refusal.reason == RefusalReason::NotAllowed => None,
            Self::Refused { refusal } => Some(refusal.retry_after.max(Duration::from_millis(1))),
            Self::TooManyRequests { .. }
            | Self::NoRunner { .. }
            | Self::NotReady { .. }
            | Self::PlatformUnavailable { .. } => Some(DEFAULT_PAUSE),
            Self::Plan { source: PlanError::NoneLeft } => Some(DEFAULT_PAUSE),
            Self::RunnerFailed { .. } | Self::DeadlineExceeded { .. } => Some(DEFAULT_PAUSE),
            Self::OutcomeUnknown { is_final: false } => Some(DEFAULT_PAUSE),
            Self::Blocked { .. } => Some(CRASH_MEMORY),
            _ => None,
        }
    }

    /// Returns the JSON body that describes the error.
    pub fn body(&self) -> String {
        let fields = ErrorFields {
            code: self.code(),
            message: self.to_string(),
            ran: self.ran(),
            retry_after_ms: self.retry_after().map(|delay| delay.as_millis() as u64),
        };
        serde_json::to_string(&ErrorBody { error: fields }).unwrap_or_default()
    }

    /// Converts the error to an HTTP response.
    pub fn response(&self) -> Response {
        let mut builder = Response::builder().status(self.status()).content_type("application/json");
        if let Some(delay) = self.retry_after() {
            builder = builder.header("retry-after", delay.as_secs_f64().ceil() as u64);
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
