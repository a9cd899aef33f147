//! Generates the answer to a chat completion, in one or more attempts.
//!
//! A refused attempt is retried at another runner. If a runner fails mid-answer, another runner of the same version
//! continues after the tokens that the caller already has. If there is no such runner, the answer ends with a typed
//! error, so that a truncated answer is never mistaken for a complete one.

use std::time::Duration;

use bluebell_core::{
    billing::{BillRow, BillingEvent},
    gate::{RefusalReason, Work},
    ids::{InstanceId, VersionId},
    kernel::Input,
    retry::{Attempts, RetryStep},
    units::{Price, Tokens},
};
use bluebell_wire::messages::{Chat, Delta, FromSidecar, Payload, Prior, Usage};
use tokio::time::timeout;

use super::{
    active_request::ActiveRequest,
    attempt::{self, AttemptError, AttemptRequest, AttemptStream, Job},
    request_error::{Ran, RequestError},
    state::lock,
};
use crate::metrics::Outcome;

/// Number of refusals for overload after which the request is not retried, and the caller gets a retry delay instead.
const MAX_OVERLOAD_REFUSALS: u32 = 2;

/// An event of a generation.
#[derive(Debug)]
pub enum GenerationEvent {
    /// The next part of the text.
    Delta(Delta),
    /// The answer is complete.
    Done(Usage),
}

/// Parameters of a generation.
pub struct GenerationParams {
    pub job: Job,
    /// Model version to run.
    pub version: VersionId,
    /// Price of that version.
    pub price: Price,
    /// Request body as sent by the caller.
    pub body: String,
    /// Maximum number of tokens to generate.
    pub max_tokens: Tokens,
    /// Whether the caller asked for a streaming response.
    pub streaming: bool,
    /// Time limit of the whole request, across all attempts.
    pub time_limit: Duration,
}

/// Generation of an answer. Its billing row is added when it ends or is dropped.
pub struct Generation {
    active: ActiveRequest,
    params: GenerationParams,
    attempts: Attempts,
    // Sidecars that are not picked again.
    tried: Vec<InstanceId>,
    overload_refusals: u32,
    last_error: Option<AttemptError>,
    stream: Option<AttemptStream>,
    // Output of all attempts so far, which the next attempt continues.
    prior: Prior,
    prompt_tokens: Tokens,
    billed: bool,
    // Whether a runner failed before it had produced output in its attempt.
    may_have_crashed_runner: bool,
    // Whether the current attempt has produced output.
    has_output: bool,
}

impl Generation {
    /// Creates a generation whose first attempt has not started, and credits the retry budget for the request.
    pub fn new(active: ActiveRequest, params: GenerationParams) -> Self {
        lock(&active.entry().retry_budget).earn();
        Self {
            active,
            params,
            attempts: Attempts::default(),
            tried: Vec::new(),
            overload_refusals: 0,
            last_error: None,
            stream: None,
            prior: Prior::default(),
            prompt_tokens: Tokens::default(),
            billed: false,
            may_have_crashed_runner: false,
            has_output: false,
        }
    }

    /// Returns the next event, starting a new attempt if the previous one failed.
    ///
    /// # Errors
    /// If the request can't be served, or its answer can't be completed.
    pub async fn next(&mut self) -> Result<GenerationEvent, RequestError> {
        let result = self.next_event().await;
        match &result {
            Ok(GenerationEvent::Delta(_)) => self.active.record_first_token(),
            Ok(GenerationEvent::Done(_)) => self.finish(Outcome::Served),
            Err(error) if error.ran() == Ran::No => self.finish(Outcome::Refused),
            Err(_) => self.finish(Outcome::Failed),
        }
        result
    }

    async fn next_event(&mut self) -> Result<GenerationEvent, RequestError> {
        loop {
            if self.stream.is_none() {
                self.start_attempt().await?;
            }
            match self.receive_message().await? {
                Some(FromSidecar::Delta(delta)) => {
                    self.prior.text.push_str(&delta.text);
                    self.prior.output = self.prior.output + delta.tokens;
                    self.has_output = true;
                    return Ok(GenerationEvent::Delta(delta));
                }
                Some(FromSidecar::Finished(usage)) => {
                    self.prompt_tokens = usage.prompt;
                    if let Some(stream) = &mut self.stream {
                        stream.ended = true;
                        stream.link.record_success();
                        stream.link.update_load(usage.load);
                    }
                    return Ok(GenerationEvent::Done(Usage { output: self.prior.output, ..usage }));
                }
                Some(FromSidecar::Preempted) => self.handle_preemption(),
                _ => self.handle_runner_failure()?,
            }
        }
    }

    // Returns the next message of the current attempt, or `None` if the attempt failed or stalled.
    async fn receive_message(&mut self) -> Result<Option<FromSidecar>, RequestError> {
        let time_left = self.time_left()?;
        let stall = self.active.entry().shared.config.timing.stall;
        let Some(stream) = self.stream.as_mut() else { return Ok(None) };
        match timeout(time_left.min(stall), stream.receive()).await {
            Ok(Ok(message)) => Ok(Some(message)),
            Ok(Err(error)) => {
                log::debug!("connection of the attempt at {} failed: {error}", stream.link.peer());
                Ok(None)
            }
            Err(_) => Ok(None),
        }
    }

    fn time_left(&self) -> Result<Duration, RequestError> {
        let time_left = self.params.time_limit.saturating_sub(self.active.elapsed());
        let ran = if self.prior.attempts > 0 { Ran::Yes } else { Ran::No };
        if time_left.is_zero() { Err(RequestError::DeadlineExceeded { ran }) } else { Ok(time_left) }
    }

    async fn start_attempt(&mut self) -> Result<(), RequestError> {
        loop {
            let time_left = self.time_left()?;
            let entry = self.active.entry();
            let work = Work::Version(self.params.version.clone());
            let Some(link) = attempt::pick_sidecar(entry, &work, &self.tried) else {
                return Err(self.final_error());
            };
            self.tried.push(link.peer().clone());
            self.attempts.started += 1;
            let request = AttemptRequest {
                two_step: false,
                resumed: self.prior.attempts > 0,
                isolated: self.may_have_crashed_runner,
                time_left,
                payload: self.payload(),
            };
            match attempt::start(entry, link, &self.params.job, work, request).await {
                Ok((stream, _)) => {
                    self.prior.attempts += 1;
                    self.has_output = false;
                    self.stream = Some(stream);
                    return Ok(());
                }
                Err(error) => self.prepare_retry(error)?,
            }
        }
    }

    fn payload(&self) -> Payload {
        Payload::Chat(Chat {
            body: self.params.body.clone(),
            max_tokens: self.params.max_tokens,
            prior: self.prior.clone(),
            price: self.params.price,
            buffered: !self.params.streaming,
        })
    }

    // Preemption is no failure, so every runner is eligible again, including the one that preempted the attempt.
    fn handle_preemption(&mut self) {
        if let Some(mut stream) = self.stream.take() {
            stream.ended = true;
        }
        self.tried.clear();
    }

    fn handle_runner_failure(&mut self) -> Result<(), RequestError> {
        if let Some(stream) = self.stream.take() {
            stream.link.eject(self.active.entry().shared.clock.now());
        }
        // A request without any output from this attempt may have crashed the runner, so its next attempts run
        // isolated. Requests with output are unlikely to be the cause, and those without any are few.
        self.may_have_crashed_runner |= !self.has_output;
        self.prepare_retry(AttemptError::RunnerFailed)
    }

    fn prepare_retry(&mut self, error: AttemptError) -> Result<(), RequestError> {
        let failure = error.failure();
        self.log_failed_attempt(&error);
        let is_final = self.must_not_retry(&error);
        self.last_error = Some(error);
        let entry = self.active.entry();
        let step = self.attempts.next_step(failure, &mut lock(&entry.retry_budget));
        if is_final || step == RetryStep::GiveUp {
            return Err(self.final_error());
        }
        entry.shared.metrics.record_retry();
        Ok(())
    }

    fn log_failed_attempt(&self, error: &AttemptError) {
        let job = &self.params.job;
        log::info!(
            request = job.request_id.as_str(),
            organisation = job.org.as_str(),
            version = self.params.version.as_str(),
            attempt = self.attempts.started,
            sidecar = self.tried.last().map_or("", |sidecar| sidecar.as_str()),
            revision = *self.active.entry().shared.revision.borrow();
            "attempt did not complete: {error}"
        );
    }

    // Whether to stop retrying: the refusal would be the same at every runner, the request is blocked, or too many
    // runners are overloaded.
    fn must_not_retry(&mut self, error: &AttemptError) -> bool {
        let refusal = match error {
            AttemptError::Refused(refusal) => refusal,
            AttemptError::Blocked(_) => return true,
            _ => return false,
        };
        match refusal.reason {
            RefusalReason::Withdrawn | RefusalReason::NotAllowed => true,
            RefusalReason::Overloaded | RefusalReason::Expired => {
                self.overload_refusals += 1;
                self.overload_refusals >= MAX_OVERLOAD_REFUSALS
            }
            _ => false,
        }
    }

    fn final_error(&self) -> RequestError {
        if self.prior.attempts > 0 {
            return RequestError::RunnerFailed { ran: Ran::Yes };
        }
        // If a runner failed during any attempt, the request may have run, even if all later attempts were refused.
        if !self.attempts.none_ran() {
            return RequestError::RunnerFailed { ran: Ran::Unknown };
        }
        match &self.last_error {
            Some(AttemptError::Blocked(crashes)) => RequestError::Blocked { crashes: *crashes },
            Some(AttemptError::Refused(refusal)) => RequestError::Refused { refusal: refusal.clone() },
            _ => RequestError::NoRunner { target: self.params.version.to_string() },
        }
    }

    fn finish(&mut self, outcome: Outcome) {
        self.active.set_outcome(outcome);
        self.add_billing_row();
    }

    // Adds one billing row for all attempts, unless no attempt has started.
    fn add_billing_row(&mut self) {
        if self.billed || self.prior.attempts == 0 {
            return;
        }
        self.billed = true;
        let shared = &self.active.entry().shared;
        if let Some(stream) = &self.stream {
            shared.links.set_billing_holder(self.params.job.request_id.clone(), stream.link.peer().clone());
        }
        let row = BillRow {
            request: self.params.job.request_id.clone(),
            org: self.params.job.org.clone(),
            version: self.params.version.clone(),
            priority: self.params.job.priority,
            prompt: self.prompt_tokens,
            output: self.prior.output,
            cost: self.params.price.of(self.prompt_tokens + self.prior.output),
            attempts: self.prior.attempts,
        };
        self.active.entry().control.defer(Input::Billing(BillingEvent::Add(row)));
    }
}

impl Drop for Generation {
    fn drop(&mut self) {
        self.add_billing_row();
    }
}
