//! The way of one request from its arrival to its answer.

use std::{sync::Arc, time::Duration};

use hyper::{
    Request, StatusCode,
    body::Incoming,
    header::{CONNECTION, HeaderValue},
};

use super::{
    admit,
    body::Response,
    plain,
    refusal::{Refusal, pause},
    reply::{known, outcome},
    stream,
    tries::InFlight,
};
use crate::{
    gateway::{job::Job, state::Gateway},
    metrics::Outcome,
};

/// Pause suggested while no declarations are known.
const START_PAUSE: Duration = Duration::from_millis(700);
/// Pause suggested by a process that ends, in which another one takes its place.
const LEAVING_PAUSE: Duration = Duration::from_millis(1000);
/// Time that nearly every stream takes; one that begins later than that before the end would be cut by it.
const STREAM_TIME: Duration = Duration::from_millis(4300);
/// Time that a call of a plain service takes, nearly always.
const CALL_TIME: Duration = Duration::from_millis(300);
/// Answers a request.
pub async fn answer(gateway: &Arc<Gateway>, request: Request<Incoming>) -> Response {
    let arrived = gateway.now();
    let asked = match admit::asked(&request) {
        Ok(asked) => asked,
        Err(refusal) => return refusal.response(None, None),
    };
    let id = asked.request.clone();
    let mut in_flight = InFlight::new(gateway, id.clone());
    let response = match admit::admit(gateway, asked, request).await {
        Ok(job) => {
            if ends_too_soon(gateway, &job) {
                log::info!(request = id.as_str(), status = 503u16; "refused: {}", Refusal::Leaving);
                in_flight.end(Outcome::Refused);
                let wait = pause(job.left(gateway), LEAVING_PAUSE);
                return close(Refusal::Leaving.response(Some(&id), Some(wait)));
            }
            gateway.traffic().window(&job.service).request(arrived);
            in_flight.label(&job);
            if job.route.repeat.is_stream() {
                stream::answer(gateway, job, in_flight).await
            } else {
                let response = plain::answer(gateway, job).await;
                in_flight.end(outcome(&response));
                response
            }
        }
        Err(refusal) => {
            let (declared, age) = known(gateway);
            log::info!(
                request = id.as_str(), status = refusal.status().as_u16(), declared = declared, beliefs_ms = age;
                "refused: {refusal}"
            );
            let wait = (refusal.status() == StatusCode::SERVICE_UNAVAILABLE).then_some(START_PAUSE);
            in_flight.end(Outcome::Refused);
            refusal.response(Some(&id), wait)
        }
    };
    if gateway.is_leaving() { close(response) } else { response }
}

// Whether the process ends before the answer would be whole. Until then it goes on, since the balancer may have nobody
// else in its zone.
fn ends_too_soon(gateway: &Gateway, job: &Job) -> bool {
    gateway.ends_within(if job.route.repeat.is_stream() { STREAM_TIME } else { CALL_TIME })
}

fn close(mut response: Response) -> Response {
    response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
    response
}
