//! Answers of the gateway's own, each with what it promises.

use std::time::Duration;

use bluebell_core::ids::RequestId;
use bluebell_platform::headers;
use http_body_util::{BodyExt, Full};
use hyper::{StatusCode, header};
use serde::Serialize;
use snafu::Snafu;

use super::body::Response;

/// Part of the time left that a caller may be told to wait.
const PAUSE_PART: u32 = 4;
/// Shortest pause suggested to a caller.
const MIN_PAUSE: Duration = Duration::from_millis(100);

/// Why a request is not answered by an upstream.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
pub enum Refusal {
    /// No declarations are known yet.
    #[snafu(display("the gateway has no declarations yet"))]
    NotReady,
    /// The request lacks its id.
    #[snafu(display("the request has no usable id"))]
    NoId,
    /// No route matches.
    #[snafu(display("no route for this host and path"))]
    NoRoute,
    /// The key is unknown.
    #[snafu(display("the key is not known"))]
    NoKey,
    /// What the request needs may be declared, but not known here.
    #[snafu(display("the declarations known here may be out of date"))]
    Outdated,
    /// The body is too long.
    #[snafu(display("the body is longer than {limit} bytes"))]
    TooLarge {
        /// Longest body accepted, in bytes.
        limit: usize,
    },
    /// The body can't be read.
    #[snafu(display("the body can't be read: {reason}"))]
    Body {
        /// Why.
        reason: String,
    },
    /// No upstream takes it, and it did not run.
    #[snafu(display("no upstream takes the request: {reason}"))]
    Busy {
        /// Why.
        reason: String,
    },
    /// The process ends before an answer would be whole.
    #[snafu(display("the gateway ends too soon for the request"))]
    Leaving,
    /// Its time is over, and it did not run.
    #[snafu(display("the time is over, the request did not run"))]
    Late,
    /// Upstreams ended under its repeats; it did not run.
    #[snafu(display("{crashes} upstreams ended under this request, it is held back and did not run"))]
    Poison {
        /// Upstreams that ended.
        crashes: u32,
    },
    /// It failed, and may have run.
    #[snafu(display("the upstream failed, the request may have run: {reason}"))]
    Failed {
        /// How.
        reason: String,
    },
    /// Its time is over, and it may have run.
    #[snafu(display("the time is over, the request may have run"))]
    Overdue,
}

#[derive(Serialize)]
struct Body<'a> {
    error: String,
    request: Option<&'a str>,
}

impl Refusal {
    /// Status that says what the refusal promises.
    #[must_use]
    pub fn status(&self) -> StatusCode {
        match self {
            Self::NoId | Self::Body { .. } => StatusCode::BAD_REQUEST,
            Self::NoRoute => StatusCode::NOT_FOUND,
            Self::NoKey => StatusCode::UNAUTHORIZED,
            Self::TooLarge { .. } => StatusCode::PAYLOAD_TOO_LARGE,
            Self::NotReady | Self::Outdated | Self::Busy { .. } | Self::Leaving | Self::Late | Self::Poison { .. } => {
                StatusCode::SERVICE_UNAVAILABLE
            }
            Self::Failed { .. } => StatusCode::BAD_GATEWAY,
            Self::Overdue => StatusCode::GATEWAY_TIMEOUT,
        }
    }

    /// The answer, with the pause that the caller should make.
    #[must_use]
    pub fn response(&self, request: Option<&RequestId>, pause: Option<Duration>) -> Response {
        let body = Body { error: self.to_string(), request: request.map(RequestId::as_str) };
        let text = serde_json::to_vec(&body).unwrap_or_default();
        let mut response = Response::new(Full::new(text.into()).map_err(|never| match never {}).boxed_unsync());
        *response.status_mut() = self.status();
        *response.headers_mut() = headers::encode_local_response(request, pause);
        let json = header::HeaderValue::from_static("application/json");
        response.headers_mut().insert(header::CONTENT_TYPE, json);
        response
    }
}

/// Pause that leaves a caller time for another attempt.
#[must_use]
pub fn pause(left: Duration, wanted: Duration) -> Duration {
    wanted.max(MIN_PAUSE).min(left / PAUSE_PART)
}
