//! Answers to callers: an upstream's own, or that there is none.

use std::time::Duration;

use bluebell_core::poison::CRASH_MEMORY;
use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::{HeaderMap, StatusCode};

use super::{
    body::{AnswerBody, Response},
    refusal::{Refusal, pause},
    tries::Tries,
};
use crate::{
    gateway::{job::Job, state::Gateway},
    metrics::Outcome,
};

/// Pause suggested while no upstream takes a request.
const BUSY_PAUSE: Duration = Duration::from_millis(400);

/// Version of the declarations in force, and the age of what is believed, in milliseconds.
pub fn known(gateway: &Gateway) -> (u64, u64) {
    let beliefs = gateway.beliefs.load();
    let version = beliefs.declared.as_ref().map_or(0, |declared| declared.version);
    (version, gateway.now().saturating_sub(beliefs.heard).as_millis() as u64)
}

/// How a request ended, by its answer.
pub fn outcome(response: &Response) -> Outcome {
    match response.status().as_u16() {
        200..=299 => Outcome::Served,
        408 | 421 | 429 | 503 => Outcome::Refused,
        _ => Outcome::Failed,
    }
}

/// The final answer to a request that no upstream answered.
pub fn give_up(gateway: &Gateway, job: &Job, tries: &Tries) -> Response {
    let over = job.left(gateway).is_zero();
    let refusal = match (tries.ran > 0, tries.crashes) {
        (true, _) if over => Refusal::Overdue,
        (true, _) => Refusal::Failed { reason: tries.reason.clone() },
        (false, Some(crashes)) => Refusal::Poison { crashes },
        (false, None) if over => Refusal::Late,
        (false, None) => Refusal::Busy { reason: tries.reason.clone() },
    };
    let wait = match refusal {
        Refusal::Poison { .. } => CRASH_MEMORY,
        _ => pause(job.left(gateway), tries.pause.unwrap_or(BUSY_PAUSE)),
    };
    let (declared, age) = known(gateway);
    log::info!(
        request = job.asked.request.as_str(),
        fingerprint = job.fingerprint.to_string().as_str(),
        route = job.route.id.as_str(),
        service = job.service.as_str(),
        sends = tries.sends(),
        ran = tries.ran,
        waited_ms = (gateway.now() - job.arrived).as_millis() as u64,
        declared = declared,
        beliefs_ms = age,
        status = refusal.status().as_u16();
        "given up: {refusal}"
    );
    let wait = (tries.ran == 0).then_some(wait);
    refusal.response(Some(&job.asked.request), wait)
}

/// An upstream's answer for the caller.
pub fn pass_on(status: StatusCode, headers: &HeaderMap, body: AnswerBody) -> Response {
    let mut response = Response::new(body);
    *response.status_mut() = status;
    *response.headers_mut() = bluebell_platform::headers::encode_response(headers);
    response
}

/// An upstream's whole answer for the caller.
pub fn pass_whole(status: StatusCode, headers: &HeaderMap, body: Bytes) -> Response {
    pass_on(status, headers, Full::new(body).map_err(|never| match never {}).boxed_unsync())
}
