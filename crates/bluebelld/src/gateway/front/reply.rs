//! Responses to callers: an upstream's answer, or a refusal if there is none.

use std::time::Duration;

use bluebell_core::poison::CRASH_MEMORY;
use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::{HeaderMap, StatusCode};

use super::{
    attempts::AttemptHistory,
    body::{AnswerBody, Response},
    refusal::{Refusal, retry_after, retry_after_pause, retry_after_return},
};
use crate::{
    gateway::{job::Job, state::Gateway, traffic::WaitCause},
    metrics::Outcome,
};

/// Retry delay suggested while no upstream accepts a request.
const UNAVAILABLE_RETRY_AFTER: Duration = Duration::from_millis(400);

/// Version of the declarations in force, and the time in milliseconds since the last contact with the store, directly
/// or by way of a peer.
pub fn declared_version_and_contact_age(gateway: &Gateway) -> (u64, u64) {
    let routing = gateway.routing.load();
    let version = routing.declared.as_ref().map_or(0, |declared| declared.version);
    (version, gateway.now().saturating_sub(routing.last_contact).as_millis() as u64)
}

// Whether callers take a request that is answered with this status for one that did not and will not run.
fn promises_not_run(status: StatusCode) -> bool {
    matches!(status.as_u16(), 408 | 421 | 429 | 503)
}

/// Outcome of a request for the metrics, derived from the status of its answer.
pub fn outcome(response: &Response) -> Outcome {
    match response.status() {
        status if status.is_success() => Outcome::Served,
        status if promises_not_run(status) => Outcome::Refused,
        _ => Outcome::Failed,
    }
}

/// Builds and logs the refusal of a request that no upstream answered.
pub fn final_refusal(gateway: &Gateway, job: &Job, history: &AttemptHistory) -> Response {
    let time_left = job.time_left(gateway);
    let is_expired = time_left.is_zero();
    let refusal = match (history.maybe_ran > 0, history.blocked) {
        (true, _) if is_expired => Refusal::TimedOut,
        (true, _) => Refusal::UpstreamFailed { reason: history.reason.clone() },
        (false, Some(cause)) if cause.fingerprint.is_part() => Refusal::PoisonPart { crashes: cause.crashes },
        (false, Some(cause)) => Refusal::Poison { crashes: cause.crashes },
        (false, None) if is_expired => Refusal::Expired,
        (false, None) => Refusal::Unavailable { reason: history.reason.clone() },
    };
    let wait = history.wait.as_ref();
    let return_delay = match history.return_in {
        Some(time) => Some(retry_after_return(time_left, time)),
        None => wait.and_then(|wait| retry_after_pause(time_left, wait.left)),
    };
    let delay = match (&refusal, return_delay) {
        (Refusal::Poison { .. } | Refusal::PoisonPart { .. }, _) => CRASH_MEMORY,
        (_, Some(delay)) => delay,
        (_, None) => retry_after(time_left, history.retry_after.unwrap_or(UNAVAILABLE_RETRY_AFTER)),
    };
    let (declared, contact_age) = declared_version_and_contact_age(gateway);
    log::info!(
        request = job.caller.request.as_str(),
        fingerprint = job.fingerprint.to_string().as_str(),
        parts = job.parts_text().as_str(),
        blocked = history.blocked.map(|cause| cause.fingerprint.to_string()).unwrap_or_default().as_str(),
        route = job.route.id.as_str(),
        service = job.service.as_str(),
        sends = history.sends(),
        ran = history.maybe_ran,
        waited_ms = (gateway.now() - job.arrived).as_millis() as u64,
        declared = declared,
        beliefs_ms = contact_age,
        paused = wait.map_or("", |wait| wait.upstream.as_str()),
        pause_ms = wait.map_or(0, |wait| wait.left.as_millis() as u64),
        limited = wait.is_some_and(|wait| wait.cause == WaitCause::RateLimit),
        cold = wait.is_some_and(|wait| wait.cause == WaitCause::Cold),
        return_ms = history.return_in.unwrap_or_default().as_millis() as u64,
        status = refusal.status().as_u16();
        "given up: {refusal}"
    );
    let delay = (history.maybe_ran == 0).then_some(delay);
    refusal.response(Some(&job.caller.request), delay)
}

/// Builds the caller's response from an upstream's status and headers and the given body.
pub fn forward_response(status: StatusCode, headers: &HeaderMap, body: AnswerBody) -> Response {
    let mut response = Response::new(body);
    *response.status_mut() = status;
    *response.headers_mut() = bluebell_platform::headers::encode_response(headers);
    response
}

/// Builds the caller's response from an upstream's answer that was read completely. A status by which callers take the
/// request for not run is replaced, as the upstream did not state that.
pub fn forward_buffered(job: &Job, status: StatusCode, headers: &HeaderMap, body: Bytes) -> Response {
    if promises_not_run(status) {
        let refusal = Refusal::UpstreamFailed { reason: format!("status {status} without proof of not having run") };
        log::info!(
            request = job.caller.request.as_str(), route = job.route.id.as_str(),
            status = refusal.status().as_u16();
            "given up: {refusal}"
        );
        return refusal.response(Some(&job.caller.request), None);
    }
    forward_response(status, headers, Full::new(body).map_err(|never| match never {}).boxed_unsync())
}
