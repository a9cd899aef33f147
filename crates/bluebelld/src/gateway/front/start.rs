//! Attempts at a request with an event stream, until an upstream starts its answer.

use std::{sync::Arc, time::Duration};

use bluebell_core::{ids::ModelId, placing::prefill_allowance, poison::ResponseLoss, units::Tokens};
use tokio::{sync::watch, time::timeout};

use super::{
    attempts::AttemptHistory,
    body::Response,
    choose::{SendOptions, next_upstream},
    record::{record_answer, record_head},
    reply::forward_buffered,
};
use crate::gateway::{
    attempt::{self, AttemptPlan, HeadTimeout, UpstreamResponse},
    crash_detection,
    job::Job,
    state::Gateway,
    traffic::AnswerPace,
};

/// Time without data from an upstream, on any connection, after which a request without an answer is sent to another
/// one. The time for processing its prompt is added.
const HEAD_IDLE_TIMEOUT: Duration = Duration::from_millis(2000);

/// Why no upstream started a successful answer.
pub enum StartError {
    /// An upstream answered with an error that is final.
    Answered(Box<Response>),
    /// No upstream answered, and no other attempt may follow.
    GivenUp,
}

/// Sends the request until an upstream starts a successful answer. `in_flight_since` tells when the current attempt was
/// sent; it is `None` between attempts.
///
/// # Errors
/// When there is no such answer and no other attempt may follow.
pub async fn start_stream(
    gateway: &Arc<Gateway>,
    job: &Job,
    mut options: SendOptions<'_>,
    last_event: u64,
    history: &mut AttemptHistory,
    in_flight_since: Option<&watch::Sender<Option<Duration>>>,
) -> Result<UpstreamResponse, StartError> {
    while let Some(upstream) = next_upstream(gateway, job, history, &options) {
        options.skip_budget = false;
        let model = options.model.cloned();
        let head_timeout = head_timeout(job, model.as_ref(), history);
        let in_flight_since = in_flight_since.cloned();
        let plan = AttemptPlan { upstream, model, last_event, head_timeout, in_flight_since };
        match attempt::send(gateway, job, &plan).await {
            Ok(response) if response.status.is_success() => {
                record_head(gateway, job, &response);
                return Ok(response);
            }
            Ok(response) => {
                history.reason = format!("status {}", response.status);
                if let Some(response) = read_error_response(gateway, job, response, history).await {
                    return Err(StartError::Answered(Box::new(response)));
                }
            }
            Err(failure) => drop(history.record_failure(failure)),
        }
        log::info!(
            request = job.caller.request.as_str(), fingerprint = job.fingerprint.to_string().as_str(),
            upstream = plan.upstream.id.as_str(), ran = history.maybe_ran;
            "attempt failed: {}", history.reason
        );
    }
    Err(StartError::GivenUp)
}

// Reads an answer that is not a success, and returns it for the caller unless another attempt may follow.
async fn read_error_response(
    gateway: &Arc<Gateway>,
    job: &Job,
    mut response: UpstreamResponse,
    history: &mut AttemptHistory,
) -> Option<Response> {
    record_answer(gateway, job, &response, AnswerPace::Unknown, history);
    let body = timeout(job.time_left(gateway), response.read_body(&gateway.buffer_budget)).await;
    history.maybe_ran += 1;
    let may_retry = response.status.is_server_error() && history.may_send(job);
    let loss = match &body {
        Ok(Ok(_)) => None,
        Ok(Err(_)) => Some(ResponseLoss::Broken),
        Err(_) => Some(ResponseLoss::TimedOut),
    };
    if let Some(loss) = loss {
        crash_detection::record_lost_answer(gateway, &response.upstream, loss);
    }
    let Ok(Ok(body)) = body else { return None };
    let reply = forward_buffered(response.status, &response.headers, body);
    response.finish(gateway);
    (!may_retry).then_some(reply)
}

fn head_timeout(job: &Job, model: Option<&ModelId>, history: &AttemptHistory) -> HeadTimeout {
    if history.may_send_after_loss(job) {
        return HeadTimeout::Alive(HEAD_IDLE_TIMEOUT + prompt_allowance(job, model));
    }
    HeadTimeout::Whole
}

/// Time for which an engine may be silent while it processes the request's prompt.
pub fn prompt_allowance(job: &Job, model: Option<&ModelId>) -> Duration {
    let model = model.or(job.caller.model.as_ref());
    prefill_allowance(Tokens((job.caller.prompt.0 as f64 * job.token_weight(model)) as u64))
}
