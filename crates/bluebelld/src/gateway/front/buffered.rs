//! Requests without a stream: the answer is buffered completely before any of it is forwarded to the caller.

use std::{pin::Pin, sync::Arc};

use bluebell_core::poison::ResponseLoss;
use bytes::Bytes;
use hyper::{HeaderMap, StatusCode};
use tokio::{sync::watch, time::timeout};

use super::{
    attempts::AttemptHistory,
    body::Response,
    choose::{SendOptions, next_upstream},
    record::record_answer,
    reply::{final_refusal, forward_buffered},
    silence::{RETRY_CHECK_INTERVAL, SilenceLimit, silence},
    takeover::{InFlightSince, KeptState, PendingAttempt, Replacement, replace},
};
use crate::gateway::{
    attempt::{self, AttemptPlan, Failure, UpstreamResponse},
    crash_detection,
    job::Job,
    state::Gateway,
    traffic::AnswerPace,
};

/// Time limit for an answer, as a multiple of the route's target latency. After it, a request that may be repeated is
/// sent to another upstream as well.
const HEAD_TIMEOUT_FACTOR: u32 = 2;

type BufferedAnswer = (StatusCode, HeaderMap, Bytes);

/// Answers a request that has no stream.
pub async fn answer(gateway: &Arc<Gateway>, job: Job) -> Response {
    let mut history = AttemptHistory::default();
    let options = SendOptions { model: None, pinned_release: None, skip_budget: true, excluded: None };
    match (Call { gateway, job: &job }).run(options, &mut history, None).await {
        Some((status, headers, body)) => forward_buffered(&job, status, &headers, body),
        None => final_refusal(gateway, &job, &history),
    }
}

/// A request without a stream.
#[derive(Clone, Copy)]
struct Call<'a> {
    gateway: &'a Arc<Gateway>,
    job: &'a Job,
}

impl<'a> Call<'a> {
    // Sends the request until an upstream answers without a failure. Otherwise returns the last failure that an upstream
    // answered with, if any. Boxed, because an attempt beside a silent one starts in the same way.
    fn run<'f>(
        self,
        mut options: SendOptions<'f>,
        history: &'f mut AttemptHistory,
        in_flight_since: Option<&'f InFlightSince>,
    ) -> Pin<Box<dyn Future<Output = Option<BufferedAnswer>> + Send + 'f>>
    where
        'a: 'f,
    {
        Box::pin(async move {
            let mut failed = None;
            while let Some(upstream) = next_upstream(self.gateway, self.job, history, &options) {
                options.skip_budget = false;
                in_flight_since.into_iter().for_each(|sender| _ = sender.send_replace(None));
                let in_flight_since = in_flight_since.cloned();
                let plan = AttemptPlan { upstream, model: None, last_event: 0, in_flight_since };
                match self.attempt(&plan, &options, history).await {
                    Some(answer) if !answer.0.is_server_error() => return Some(answer),
                    Some(answer) => {
                        history.reason = format!("status {}", answer.0);
                        failed = Some(answer);
                    }
                    None => {}
                }
                log::info!(
                    request = self.job.caller.request.as_str(),
                    fingerprint = self.job.fingerprint.to_string().as_str(),
                    parts = self.job.parts_text().as_str(),
                    upstream = plan.upstream.id.as_str(), ran = history.maybe_ran;
                    "attempt failed: {}", history.reason
                );
            }
            failed
        })
    }

    // Makes one attempt, and others beside it while it is silent.
    async fn attempt(
        self,
        plan: &AttemptPlan,
        options: &SendOptions<'_>,
        history: &mut AttemptHistory,
    ) -> Option<BufferedAnswer> {
        let sends = history.sends();
        let mut pending: Option<PendingAttempt<'_, BufferedAnswer>> =
            Some(Box::pin(send_and_read(self.gateway, self.job, plan, sends)));
        let mut since = self.gateway.now();
        let mut is_counted = false;
        loop {
            let attempt = pending.as_mut()?;
            let limit = self.silence_limit(history, is_counted);
            tokio::select! {
                biased;
                result = attempt => {
                    let before = history.maybe_ran;
                    let answer = match result {
                        Ok(answer) => {
                            history.maybe_ran += u32::from(answer.0.is_server_error());
                            Some(answer)
                        }
                        Err(failure) => {
                            history.record_failure(failure);
                            None
                        }
                    };
                    if is_counted {
                        history.maybe_ran = before;
                    }
                    return answer;
                }
                () = silence(self.gateway, self.job, &plan.upstream.id, since, limit) => {}
            }
            if !std::mem::replace(&mut is_counted, true) {
                history.maybe_ran += 1;
            }
            let beside = SendOptions { skip_budget: false, excluded: Some(&plan.upstream.id), ..*options };
            let (sender, in_flight_since) = watch::channel(None);
            let starting = self.run(beside, history, Some(&sender));
            match replace(self.gateway, &mut pending, starting, in_flight_since).await {
                Replacement::Cancelled(answer) => {
                    history.count_cancelled(&sender);
                    return Some(answer);
                }
                Replacement::Ended(answer, state) => {
                    let is_good = answer.as_ref().is_some_and(|answer| !answer.0.is_server_error());
                    if is_good || pending.is_none() {
                        drop(pending);
                        if state != KeptState::Failed {
                            self.job.record_overdue(self.gateway, None, &plan.upstream.release);
                            crash_detection::record_lost_answer(self.gateway, &plan.upstream, ResponseLoss::TimedOut);
                        }
                        return answer;
                    }
                    since = self.gateway.now();
                    log::info!(
                        request = self.job.caller.request.as_str(), upstream = plan.upstream.id.as_str(),
                        ran = history.maybe_ran;
                        "no other upstream took the silent request over: {}", history.reason
                    );
                }
            }
        }
    }

    // A request that may run only once waits until its deadline, because another attempt could run it twice.
    fn silence_limit(self, history: &AttemptHistory, is_counted: bool) -> SilenceLimit {
        let ran = history.maybe_ran + u32::from(!is_counted);
        if self.job.route.repeat.may_repeat() && ran < self.job.route.attempts {
            let left = self.job.time_left(self.gateway);
            let limit = (self.job.route.target * HEAD_TIMEOUT_FACTOR).min(left / 2);
            // Half of the time left shrinks to nothing towards the deadline.
            return SilenceLimit::Fixed(if is_counted { limit.max(RETRY_CHECK_INTERVAL) } else { limit });
        }
        SilenceLimit::Deadline
    }
}

async fn send_and_read(
    gateway: &Arc<Gateway>,
    job: &Job,
    plan: &AttemptPlan,
    sends: u32,
) -> Result<BufferedAnswer, Failure> {
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
    record_answer(gateway, job, &response, AnswerPace::Ratio(took), sends);
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
