//! Refusals: the gateway's own error responses. The status tells the caller whether the request may have run.

use std::time::Duration;

use bluebell_core::ids::RequestId;
use bluebell_platform::headers;
use http_body_util::{BodyExt, Full};
use hyper::{StatusCode, header};
use serde::Serialize;
use snafu::Snafu;

use super::{body::Response, rejections::Cause};

/// Divisor of the time left that gives the maximum retry delay suggested to a caller.
const RETRY_AFTER_DIVISOR: u32 = 4;
/// Minimum retry delay suggested to a caller, if the time left allows it.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(100);
/// Time over which the callers refused during a pause return after it.
const RETURN_SPREAD: Duration = Duration::from_millis(400);

/// Part of the time left after which a caller returns that has no time to wait for its turn.
const EARLY_RETURN: std::ops::Range<f64> = 0.25..0.75;

/// Why a request is not answered by an upstream.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
pub enum Refusal {
    /// The gateway has not received any declarations yet.
    #[snafu(display("the gateway has no declarations yet"))]
    NotReady,
    /// The request id is missing or invalid.
    #[snafu(display("the request has no usable id"))]
    NoRequestId,
    /// No route matches.
    #[snafu(display("no route for this host and path"))]
    NoRoute,
    /// The API key is missing or unknown.
    #[snafu(display("the key is not known"))]
    UnknownKey,
    /// The route or key is unknown here, but may exist in newer declarations.
    #[snafu(display("the declarations known here may be out of date"))]
    StaleDeclarations,
    /// The body exceeds the limit.
    #[snafu(display("the body is longer than {limit} bytes"))]
    TooLarge {
        /// Maximum size of a body, in bytes.
        limit: usize,
    },
    /// All request bodies together take too much memory; the request did not run.
    #[snafu(display("the bodies of all requests take too much memory, the request did not run"))]
    BodyMemory,
    /// The body was not complete by the deadline; the request did not run.
    #[snafu(display("the body was not complete in time, the request did not run"))]
    BodyTimeout,
    /// Reading the body failed.
    #[snafu(display("the body can't be read: {reason}"))]
    UnreadableBody {
        /// Error of the HTTP library.
        reason: String,
    },
    /// No upstream accepts the request; it did not run.
    #[snafu(display("no upstream takes the request: {reason}"))]
    Unavailable {
        /// Why the last attempt was refused, or why there was none.
        reason: String,
    },
    /// The process stops before an answer is likely to be complete; the request did not run.
    #[snafu(display("the gateway ends too soon for the request"))]
    ShuttingDown,
    /// The deadline passed; the request did not run.
    #[snafu(display("the time is over, the request did not run"))]
    Expired,
    /// Upstreams crashed while they ran the request or its repeats; it is blocked and did not run.
    #[snafu(display("{crashes} upstreams ended under this request, it is held back and did not run"))]
    Poison {
        /// Number of upstreams that crashed.
        crashes: u32,
    },
    /// Upstreams crashed while they ran requests with a part of the prompt; the part is blocked and the request did not
    /// run.
    #[snafu(display(
        "{crashes} upstreams crashed under requests with a part of this prompt, the part is blocked and the request did \
         not run"
    ))]
    PoisonPart {
        /// Number of upstreams that crashed.
        crashes: u32,
    },
    /// The upstream failed; the request may have run.
    #[snafu(display("the upstream failed, the request may have run: {reason}"))]
    UpstreamFailed {
        /// How the last attempt failed.
        reason: String,
    },
    /// The drain time of the process is over; the request may have run.
    #[snafu(display("the gateway ends before the answer, the request may have run"))]
    Aborted,
    /// The deadline passed; the request may have run.
    #[snafu(display("the time is over, the request may have run"))]
    TimedOut,
}

#[derive(Serialize)]
struct Body<'a> {
    error: String,
    request: Option<&'a str>,
}

impl Refusal {
    /// HTTP status of the refusal. Statuses 502 and 504 mean that the request may have run, all others that it did not.
    #[must_use]
    pub fn status(&self) -> StatusCode {
        match self {
            Self::NoRequestId | Self::UnreadableBody { .. } => StatusCode::BAD_REQUEST,
            Self::NoRoute => StatusCode::NOT_FOUND,
            Self::UnknownKey => StatusCode::UNAUTHORIZED,
            Self::TooLarge { .. } => StatusCode::PAYLOAD_TOO_LARGE,
            Self::BodyTimeout => StatusCode::REQUEST_TIMEOUT,
            Self::NotReady
            | Self::BodyMemory
            | Self::StaleDeclarations
            | Self::Unavailable { .. }
            | Self::ShuttingDown
            | Self::Expired
            | Self::Poison { .. }
            | Self::PoisonPart { .. } => StatusCode::SERVICE_UNAVAILABLE,
            Self::UpstreamFailed { .. } | Self::Aborted => StatusCode::BAD_GATEWAY,
            Self::TimedOut => StatusCode::GATEWAY_TIMEOUT,
        }
    }

    /// The limit on bodies that the caller exceeded, if any. Its body was not read to the end.
    #[must_use]
    pub fn body_limit(&self) -> Option<Cause> {
        match self {
            Self::TooLarge { .. } => Some(Cause::BodySize),
            Self::BodyMemory => Some(Cause::BodyMemory),
            Self::BodyTimeout => Some(Cause::BodyTime),
            _ => None,
        }
    }

    /// Builds the response, with the retry delay suggested to the caller.
    #[must_use]
    pub fn response(&self, request: Option<&RequestId>, retry_after: Option<Duration>) -> Response {
        let body = Body { error: self.to_string(), request: request.map(RequestId::as_str) };
        let text = serde_json::to_vec(&body).unwrap_or_default();
        let mut response = Response::new(Full::new(text.into()).map_err(|never| match never {}).boxed_unsync());
        *response.status_mut() = self.status();
        *response.headers_mut() = headers::encode_local_response(request, retry_after);
        let json = header::HeaderValue::from_static("application/json");
        response.headers_mut().insert(header::CONTENT_TYPE, json);
        response
    }
}

/// Limits a retry delay so that it leaves the caller time for another attempt.
#[must_use]
pub fn retry_after(time_left: Duration, delay: Duration) -> Duration {
    delay.max(MIN_RETRY_AFTER).min(time_left / RETRY_AFTER_DIVISOR)
}

/// Retry delay after a pause that all upstreams asked for: its rest and a random part, so that callers don't all return in
/// the same moment. None if the caller would have no time left.
#[must_use]
pub fn retry_after_pause(time_left: Duration, pause: Duration) -> Option<Duration> {
    let delay = pause + RETURN_SPREAD.mul_f64(rand::random());
    (delay < time_left).then_some(delay)
}

/// Retry delay of a caller that is to come back after `return_in`. A caller that has no time left by then tries again at a
/// random moment before its deadline, as another gateway may have room.
#[must_use]
pub fn retry_after_return(time_left: Duration, return_in: Duration) -> Duration {
    if return_in < time_left { return_in } else { time_left.mul_f64(rand::random_range(EARLY_RETURN)) }
}
