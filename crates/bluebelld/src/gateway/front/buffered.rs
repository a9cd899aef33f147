//! Requests without a stream: the answer is buffered completely before any of it is forwarded to the caller.

use std::sync::Arc;

use bluebell_core::poison::ResponseLoss;
use bytes::Bytes;
use hyper::{HeaderMap, StatusCode};
use tokio::time::timeout;

use super::{
    attempts::AttemptHistory,
    body::Response,
    choose::{SendOptions, next_upstream},
    record::record_answer,
    reply::{final_refusal, forward_buffered},
};
use crate::gateway::{
    attempt::{self, AttemptPlan, Failure, HeadTimeout, UpstreamResponse},
    crash_detection,
    job::Job,
    state::Gateway,
    traffic::AnswerPace,
};

/// Time limit for the head of an answer, as a multiple of the route's target latency. After it, a request that may be
/// repeated is sent to another upstream.
const HEAD_TIMEOUT_FACTOR: u32 = 2;

/// Answers a request that has no stream.
pub async fn answer(gateway: &Arc<Gateway>, job: Job) -> Response {
    let mut history = AttemptHistory::default();
    let mut failed: Option<(StatusCode, HeaderMap, Bytes)> = None;
    loop {
        let skip_budget = history.sends() == 0;
        let options = SendOptions { model: None, pinned_release: None, skip_budget, excluded: None };
        let Some(upstream) = next_upstream(gateway, &job, &mut history, &options) else { break };
        let head_timeout = head_timeout(gateway, &job, &history);
        let plan = AttemptPlan { upstream, model: None, last_event: 0, head_timeout, in_flight_since: None };
        match send_and_read(gateway, &job, &plan, &history).await {
            Ok((status, headers, body)) if !status.is_server_error() => {
                return forward_buffered(status, &headers, body);
            }
            Ok(answer) => {
                history.maybe_ran += 1;
                history.reason = format!("status {}", answer.0);
                failed = Some(answer);
            }
            Err(failure) => drop(history.record_failure(failure)),
        }
        log::info!(
            request = job.caller.request.as_str(), fingerprint = job.fingerprint.to_string().as_str(),
            upstream = plan.upstream.id.as_str(), ran = history.maybe_ran;
            "attempt failed: {}", history.reason
        );
    }
    match failed {
        Some((status, headers, body)) => forward_buffered(status, &headers, body),
        None => final_refusal(gateway, &job, &history),
    }
}

// A request that may run only once waits until its deadline, because another attempt could run it twice.
fn head_timeout(gateway: &Gateway, job: &Job, history: &AttemptHistory) -> HeadTimeout {
    if job.route.repeat.may_repeat() && history.maybe_ran + 1 < job.route.attempts {
        return HeadTimeout::Fixed((job.route.target * HEAD_TIMEOUT_FACTOR).min(job.time_left(gateway) / 2));
    }
    HeadTimeout::Whole
}

async fn send_and_read(
    gateway: &Arc<Gateway>,
    job: &Job,
    plan: &AttemptPlan,
    history: &AttemptHistory,
) -> Result<(StatusCode, HeaderMap, Bytes), Failure> {
    let mut response = attempt::send(gateway, job, plan).await?;
    let body = match timeout(job.time_left(gateway), response.read_body(&gateway.buffer_budget)).await {
        Ok(Ok(body)) => body,
        Ok(Err(reason)) => return Err(lose_response(gateway, response, reason, ResponseLoss::Broken)),
        Err(_) => {
            let reason = "the answer was not whole in time".to_owned();
            return Err(lose_response(gateway, response, reason, ResponseLoss::TimedOut));
        }
    };
    let took = (gateway.now() - response.sent_at).as_secs_f64();
    record_answer(gateway, job, &response, AnswerPace::Ratio(took), history);
    let answer = (response.status, response.headers.clone(), body);
    response.finish(gateway);
    Ok(answer)
}

fn lose_response(gateway: &Arc<Gateway>, response: UpstreamResponse, reason: String, loss: ResponseLoss) -> Failure {
    let upstream = Arc::clone(&response.upstream);
    drop(response);
    crash_detection::record_lost_answer(gateway, &upstream, loss);
    Failure::Unknown { reason, loss }
}
