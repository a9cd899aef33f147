//! Handling of one request, from its arrival to its answer.

use std::{sync::Arc, time::Duration};

use hyper::{
    Request, StatusCode,
    body::Incoming,
    header::{CONNECTION, HeaderValue},
};

use super::{
    admit,
    attempts::InFlight,
    body::Response,
    buffered,
    refusal::{Refusal, retry_after},
    reply::{declared_version_and_contact_age, outcome},
    stream,
};
use crate::{
    gateway::{job::Job, state::Gateway},
    metrics::Outcome,
};

/// Retry delay suggested while no declarations are known.
const STARTUP_RETRY_AFTER: Duration = Duration::from_millis(700);
/// Retry delay suggested by a process that is stopping, long enough for another one to replace it.
const SHUTDOWN_RETRY_AFTER: Duration = Duration::from_millis(1000);
/// Duration that nearly all streams stay below. A stream that starts later than this before the process stops is likely
/// to be cut off.
const TYPICAL_STREAM_DURATION: Duration = Duration::from_millis(4300);
/// Duration that nearly all requests without a stream stay below that may be repeated.
const TYPICAL_CALL_DURATION: Duration = Duration::from_millis(300);

/// Answers a request.
pub async fn answer(gateway: &Arc<Gateway>, request: Request<Incoming>) -> Response {
    let arrived = gateway.now();
    let caller = match admit::caller_headers(&request) {
        Ok(caller) => caller,
        Err(refusal) => return refusal.response(None, None),
    };
    let id = caller.request.clone();
    let mut in_flight = InFlight::new(gateway, id.clone());
    let response = match admit::admit(gateway, caller, request).await {
        Ok(job) => {
            if stops_before_answer(gateway, &job) {
                log::info!(request = id.as_str(), status = 503u16; "refused: {}", Refusal::ShuttingDown);
                in_flight.end(Outcome::Refused);
                let wait = retry_after(job.time_left(gateway), SHUTDOWN_RETRY_AFTER);
                return with_connection_close(Refusal::ShuttingDown.response(Some(&id), Some(wait)));
            }
            gateway.traffic().retry_window(&job.service).request(arrived);
            in_flight.set_labels(&job);
            tokio::select! {
                biased;
                response = answer_job(gateway, job, in_flight) => response,
                () = gateway.aborted() => {
                    log::info!(request = id.as_str(), status = 502u16; "given up: {}", Refusal::Aborted);
                    Refusal::Aborted.response(Some(&id), None)
                }
            }
        }
        Err(refusal) => {
            let (declared, contact_age) = declared_version_and_contact_age(gateway);
            log::info!(
                request = id.as_str(), status = refusal.status().as_u16(), declared = declared,
                beliefs_ms = contact_age;
                "refused: {refusal}"
            );
            let wait = (refusal.status() == StatusCode::SERVICE_UNAVAILABLE).then_some(STARTUP_RETRY_AFTER);
            in_flight.end(Outcome::Refused);
            let response = refusal.response(Some(&id), wait);
            match refusal.body_limit() {
                Some(cause) => {
                    gateway.callers.rejections.record(gateway.now(), cause, &gateway.metrics);
                    with_connection_close(response)
                }
                None => response,
            }
        }
    };
    if gateway.is_leaving() { with_connection_close(response) } else { response }
}

async fn answer_job(gateway: &Arc<Gateway>, job: Job, mut in_flight: InFlight) -> Response {
    if job.route.repeat.is_stream() {
        return stream::answer(gateway, job, in_flight).await;
    }
    let response = buffered::answer(gateway, job).await;
    in_flight.end(outcome(&response));
    response
}

// Whether the process stops before the answer is likely to be complete. A stopping process accepts requests as long as
// possible, because the load balancer may have no other gateway in its zone. A call that may run only once is accepted
// only if its deadline passes before the stop, as its caller could not repeat it if it were cut.
fn stops_before_answer(gateway: &Gateway, job: &Job) -> bool {
    let repeat = job.route.repeat;
    gateway.stops_within(match (repeat.is_stream(), repeat.may_repeat()) {
        (true, _) => TYPICAL_STREAM_DURATION,
        (false, true) => TYPICAL_CALL_DURATION,
        (false, false) => job.time_left(gateway),
    })
}

fn with_connection_close(mut response: Response) -> Response {
    response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
    response
}
