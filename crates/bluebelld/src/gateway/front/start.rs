//! Attempts at a request with an event stream, until an upstream starts its answer. An attempt whose upstream is silent is
//! kept until another one has begun beside it.

use std::{pin::Pin, sync::Arc, time::Duration};

use bluebell_core::{
    ids::ModelId, placing::prefill_allowance, poison::ResponseLoss, units::Tokens, upstreams::Upstream,
};
use tokio::{sync::watch, time::timeout};

use super::{
    attempts::AttemptHistory,
    body::Response,
    choose::{SendOptions, next_upstream},
    record::{record_answer, record_head},
    reply::forward_buffered,
    silence::{SilenceLimit, silence},
    takeover::{InFlightSince, KeptState, PendingAttempt, Replacement, replace},
};
use crate::gateway::{
    attempt::{self, AttemptPlan, Failure, UpstreamResponse},
    crash_detection,
    job::Job,
    state::Gateway,
    traffic::AnswerPace,
};

/// Time without data from an upstream, on any connection, after which another attempt is started beside one that has no
/// answer. The time for processing the prompt is added.
const HEAD_IDLE_TIMEOUT: Duration = Duration::from_millis(2000);

/// Why no upstream started a successful answer.
pub enum StartError {
    /// An upstream answered with an error that is final.
    Answered(Box<Response>),
    /// No upstream answered, and no other attempt may follow.
    GivenUp,
}

/// Result of the attempts at starting a stream.
pub type StartResult = Result<UpstreamResponse, StartError>;

/// What all attempts at starting a stream have in common.
#[derive(Clone, Copy)]
pub struct StreamStart<'a> {
    /// State of the gateway.
    pub gateway: &'a Arc<Gateway>,
    /// The request.
    pub job: &'a Job,
    /// Number of the last event that the caller has received.
    pub last_event: u64,
}

impl<'a> StreamStart<'a> {
    /// Sends the request until an upstream starts a successful answer. Tells `in_flight_since` when the current attempt
    /// was sent. Boxed, because an attempt beside a silent one starts in the same way.
    ///
    /// # Errors
    /// When there is no such answer and no other attempt may follow.
    pub fn run<'f>(
        self,
        mut options: SendOptions<'f>,
        history: &'f mut AttemptHistory,
        in_flight_since: Option<&'f InFlightSince>,
    ) -> Pin<Box<dyn Future<Output = StartResult> + Send + 'f>>
    where
        'a: 'f,
    {
        Box::pin(async move {
            while let Some(upstream) = next_upstream(self.gateway, self.job, history, &options) {
                options.skip_budget = false;
                in_flight_since.into_iter().for_each(|sender| _ = sender.send_replace(None));
                let plan = AttemptPlan {
                    upstream: Arc::clone(&upstream),
                    model: options.model.cloned(),
                    last_event: self.last_event,
                    in_flight_since: in_flight_since.cloned(),
                };
                if let Some(result) = self.attempt(&plan, &options, history).await {
                    return result;
                }
                log::info!(
                    request = self.job.caller.request.as_str(),
                    fingerprint = self.job.fingerprint.to_string().as_str(),
                    parts = self.job.parts_text().as_str(),
                    upstream = upstream.id.as_str(), ran = history.maybe_ran;
                    "attempt failed: {}", history.reason
                );
            }
            Err(StartError::GivenUp)
        })
    }

    // Makes one attempt, and others beside it while it is silent. None if another attempt may follow.
    async fn attempt(
        self,
        plan: &AttemptPlan,
        options: &SendOptions<'_>,
        history: &mut AttemptHistory,
    ) -> Option<StartResult> {
        let mut pending: Option<PendingAttempt<'_, UpstreamResponse>> =
            Some(Box::pin(attempt::send(self.gateway, self.job, plan)));
        let mut since = self.gateway.now();
        let mut is_counted = false;
        loop {
            let attempt = pending.as_mut()?;
            let limit = self.silence_limit(plan, history, is_counted);
            tokio::select! {
                biased;
                result = attempt => return self.handle(result, history, is_counted).await,
                () = silence(self.gateway, self.job, &plan.upstream.id, since, limit) => {}
            }
            if !std::mem::replace(&mut is_counted, true) {
                history.maybe_ran += 1;
            }
            let beside = SendOptions { skip_budget: false, excluded: Some(&plan.upstream.id), ..*options };
            let (sender, in_flight_since) = watch::channel(None);
            let starting = self.run(beside, history, Some(&sender));
            match replace(self.gateway, &mut pending, starting, in_flight_since).await {
                Replacement::Cancelled(response) => {
                    history.count_cancelled(&sender);
                    return self.handle(Ok(response), history, true).await;
                }
                Replacement::Ended(result, state) if result.is_ok() || pending.is_none() => {
                    drop(pending);
                    if state != KeptState::Failed {
                        self.record_given_up(plan);
                    }
                    return Some(result);
                }
                Replacement::Ended(..) => {
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

    // Result of the attempts, given that of one of them; None if another attempt may follow.
    async fn handle(
        self,
        result: Result<UpstreamResponse, Failure>,
        history: &mut AttemptHistory,
        is_counted: bool,
    ) -> Option<StartResult> {
        let before = history.maybe_ran;
        let result = match result {
            Ok(response) if response.status.is_success() => {
                record_head(self.gateway, self.job, &response);
                // An attempt that answers is counted when its answer ends.
                history.maybe_ran -= u32::from(is_counted);
                return Some(Ok(response));
            }
            Ok(response) => {
                history.reason = format!("status {}", response.status);
                let answer = read_error_response(self.gateway, self.job, response, history).await;
                answer.map(|response| Err(StartError::Answered(Box::new(response))))
            }
            Err(failure) => {
                history.record_failure(failure);
                None
            }
        };
        if is_counted {
            history.maybe_ran = before;
        }
        result
    }

    // Records that a silent attempt was given up.
    fn record_given_up(self, plan: &AttemptPlan) {
        let upstream: &Arc<Upstream> = &plan.upstream;
        self.job.record_overdue(self.gateway, plan.model.as_ref(), &upstream.release);
        crash_detection::record_lost_answer(self.gateway, upstream, ResponseLoss::TimedOut);
        log::info!(
            request = self.job.caller.request.as_str(),
            fingerprint = self.job.fingerprint.to_string().as_str(), upstream = upstream.id.as_str();
            "silent upstream was given up for another one"
        );
    }

    fn silence_limit(self, plan: &AttemptPlan, history: &AttemptHistory, is_counted: bool) -> SilenceLimit {
        let may_follow = if is_counted { history.may_send(self.job) } else { history.may_send_after_loss(self.job) };
        if may_follow {
            let allowance = prompt_allowance(self.gateway, self.job, plan.model.as_ref(), &plan.upstream);
            SilenceLimit::Alive(HEAD_IDLE_TIMEOUT + allowance)
        } else {
            SilenceLimit::Deadline
        }
    }
}

// Reads an answer that is not a success, and returns it for the caller unless another attempt may follow.
async fn read_error_response(
    gateway: &Arc<Gateway>,
    job: &Job,
    mut response: UpstreamResponse,
    history: &mut AttemptHistory,
) -> Option<Response> {
    record_answer(gateway, job, &response, AnswerPace::Unknown, history.sends());
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
    let reply = forward_buffered(job, response.status, &response.headers, body);
    response.finish(gateway);
    (!may_retry).then_some(reply)
}

/// Time for which an upstream may be silent while it processes the request's prompt.
pub fn prompt_allowance(gateway: &Gateway, job: &Job, model: Option<&ModelId>, upstream: &Upstream) -> Duration {
    let model = model.or(job.caller.model.as_ref());
    let rate = gateway.traffic().prefill_rate(gateway.now(), upstream);
    prefill_allowance(Tokens((job.caller.prompt.0 as f64 * job.token_weight(model)) as u64), rate)
}
