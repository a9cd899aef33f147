//! Requests answered with an event stream. A stream that an upstream cuts off is resumed at another upstream, of the
//! same release if possible, within the same response and after the last complete event. If that fails, the caller's
//! response is cut off as well.

use std::{io, sync::Arc, time::Duration};

use bluebell_core::{
    cascade::{self, AnswerHead},
    events::{Batch, EventError, EventSplitter},
    ids::ModelId,
    placing::{PREFILL_TOKENS_PER_MS, prefill_allowance},
    poison::ResponseLoss,
    units::Tokens,
    upstreams::Upstream,
};
use bytes::Bytes;
use futures_util::stream;
use http_body_util::{BodyExt, StreamBody};
use hyper::body::Frame;
use tokio::time::timeout;

use super::{
    attempts::{AttemptHistory, InFlight},
    body::Response,
    choose::{SendOptions, may_give_up, next_upstream, prefill_backlog},
    record::{record_answer, record_head},
    reply::{final_refusal, forward_buffered, forward_response, outcome},
};
use crate::{
    gateway::{
        attempt::{self, AttemptPlan, BodyChunk, Failure, HeadTimeout, UpstreamResponse},
        crash_detection,
        job::Job,
        state::Gateway,
        traffic::AnswerPace,
    },
    metrics::Outcome,
};

/// Time without data from an upstream, on any connection, after which a request without an answer is sent to another
/// one. The time for processing its prompt is added.
const HEAD_IDLE_TIMEOUT: Duration = Duration::from_millis(2000);
/// Time without data from an upstream, on any connection, after which a stream is resumed at another one, if it can be.
/// Before the first event, the time for processing its prompt is added.
const STREAM_IDLE_TIMEOUT: Duration = Duration::from_millis(2500);

/// Number of events after which the pace of a stream is checked.
const MIN_PACE_EVENTS: u64 = 3;

/// Answers a request with an event stream.
pub async fn answer(gateway: &Arc<Gateway>, job: Job, mut in_flight: InFlight) -> Response {
    let mut history = AttemptHistory::default();
    let mut model = first_model(gateway, &job);
    loop {
        let options = SendOptions { model: model.as_ref(), pinned_release: None, skip_budget: true };
        let response = match start_stream(gateway, &job, options, job.caller.last_event, &mut history).await {
            Ok(response) => response,
            Err(response) => {
                in_flight.end(outcome(&response));
                return *response;
            }
        };
        if let Some(larger) = larger_model(gateway, &job, &response, &history) {
            log::info!(
                request = job.caller.request.as_str(),
                confidence = response.decoded.confidence.unwrap_or_default(),
                model = larger.as_str();
                "escalated to a larger model"
            );
            gateway.metrics.record_escalation();
            history.maybe_ran += 1;
            model = Some(larger);
            continue;
        }
        let (status, headers) = (response.status, response.headers.clone());
        let relay = Relay::new(Arc::clone(gateway), job, response, history, in_flight);
        let frames = stream::unfold(relay, |mut relay| async move {
            let data = relay.next_data().await?;
            Some((data.map(Frame::data), relay))
        });
        return forward_response(status, &headers, StreamBody::new(frames).boxed_unsync());
    }
}

// Model that answers first; none if the caller named one or the route lists no models.
fn first_model(gateway: &Gateway, job: &Job) -> Option<ModelId> {
    if job.caller.model.is_some() {
        return None;
    }
    let has_room = has_room(gateway, job);
    let gateways = gateway.routing.load().gateways;
    let may_escalate =
        gateway.traffic().retry_window(&job.service).may_escalate(gateway.now(), &gateway.retry_limit, gateways);
    job.route.models.get(cascade::first_model(job.route.models.len(), may_escalate, has_room)).cloned()
}

// Whether the largest model can run without delaying other requests.
fn has_room(gateway: &Gateway, job: &Job) -> bool {
    let backlog = prefill_backlog(gateway, job);
    let weight = job.token_weight(job.route.models.last());
    let prompt_time = Duration::from_secs_f64(job.caller.prompt.0 as f64 * weight / PREFILL_TOKENS_PER_MS / 1000.0);
    cascade::has_room(job.rank, backlog, prompt_time, job.route.target)
}

// Larger model that should answer instead, if any; takes the escalation from the retry budget.
fn larger_model(
    gateway: &Gateway,
    job: &Job,
    response: &UpstreamResponse,
    history: &AttemptHistory,
) -> Option<ModelId> {
    let current = response.model.as_ref()?;
    let head = AnswerHead {
        model: job.route.models.iter().position(|model| model == current)?,
        model_count: job.route.models.len(),
        confidence: response.decoded.confidence,
        time_left: job.time_left(gateway),
        time_limit: job.deadline - job.arrived,
        attempts_left: job.route.attempts.saturating_sub(history.maybe_ran + 1),
        rank: job.rank,
        has_room: has_room(gateway, job),
    };
    let larger = cascade::escalate(&head)?;
    let gateways = gateway.routing.load().gateways;
    let allowed = gateway.traffic().retry_window(&job.service).escalate(gateway.now(), &gateway.retry_limit, gateways);
    allowed.then(|| job.route.models.get(larger).cloned()).flatten()
}

// Sends the request until an upstream starts a successful answer. Otherwise returns the final response for the caller,
// boxed because it is large and rare.
async fn start_stream(
    gateway: &Arc<Gateway>,
    job: &Job,
    mut options: SendOptions<'_>,
    last_event: u64,
    history: &mut AttemptHistory,
) -> Result<UpstreamResponse, Box<Response>> {
    while let Some(upstream) = next_upstream(gateway, job, history, &options) {
        options.skip_budget = false;
        let model = options.model.cloned();
        let head_timeout = head_timeout(job, model.as_ref(), history);
        let plan = AttemptPlan { upstream, model, last_event, head_timeout };
        match attempt::send(gateway, job, &plan).await {
            Ok(response) if response.status.is_success() => {
                record_head(gateway, job, &response);
                return Ok(response);
            }
            Ok(response) => {
                history.reason = format!("status {}", response.status);
                if let Some(response) = read_error_response(gateway, job, response, history).await {
                    return Err(Box::new(response));
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
    Err(Box::new(final_refusal(gateway, job, history)))
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

// Time for which an engine may be silent while it processes the request's prompt.
fn prompt_allowance(job: &Job, model: Option<&ModelId>) -> Duration {
    let model = model.or(job.caller.model.as_ref());
    prefill_allowance(Tokens((job.caller.prompt.0 as f64 * job.token_weight(model)) as u64))
}

/// Forwards the events of a stream to the caller as they arrive, and resumes the stream when an upstream fails.
struct Relay {
    gateway: Arc<Gateway>,
    job: Job,
    response: Option<UpstreamResponse>,
    splitter: EventSplitter,
    history: AttemptHistory,
    // Events forwarded to the caller, from all upstreams.
    events: u64,
    // Events of the current upstream's response.
    response_events: u64,
    // Whether the current response was already counted as slow.
    counted_slow: bool,
    // When data last arrived on this stream.
    last_received: Duration,
    upstream: Arc<Upstream>,
    model: Option<ModelId>,
    in_flight: InFlight,
}

impl Relay {
    fn new(
        gateway: Arc<Gateway>,
        job: Job,
        response: UpstreamResponse,
        history: AttemptHistory,
        in_flight: InFlight,
    ) -> Self {
        let splitter = EventSplitter::after(job.caller.last_event);
        let (upstream, model) = (Arc::clone(&response.upstream), response.model.clone());
        let last_received = gateway.now();
        let response = Some(response);
        Self {
            gateway,
            job,
            response,
            splitter,
            history,
            events: 0,
            response_events: 0,
            counted_slow: false,
            last_received,
            upstream,
            model,
            in_flight,
        }
    }

    // Next complete events for the caller; an error cuts the caller's response off.
    async fn next_data(&mut self) -> Option<Result<Bytes, io::Error>> {
        loop {
            if let Some(error) = self.splitter.fault()
                && let Err(error) = self.resume(error.to_string(), ResponseLoss::Broken).await
            {
                return Some(Err(error));
            }
            let now = self.gateway.now();
            let left = self.job.deadline.saturating_sub(now);
            let wait = self.idle_wait(now);
            let response = self.response.as_mut()?;
            let (reason, loss) = match timeout(wait.min(left), response.next_chunk()).await {
                Ok(BodyChunk::Data(data)) => match self.accept_data(&data) {
                    Ok(batch) if batch.bytes.is_empty() => continue,
                    Ok(batch) => return Some(Ok(batch.bytes.into())),
                    Err(error) => (error.to_string(), ResponseLoss::Broken),
                },
                Ok(BodyChunk::End) if self.splitter.is_whole() => {
                    self.finish();
                    return None;
                }
                Ok(BodyChunk::End) => ("the stream ended inside an event".to_owned(), ResponseLoss::Broken),
                Ok(BodyChunk::Broken(reason)) => (reason, ResponseLoss::Broken),
                Err(_) if wait > Duration::ZERO && !left.is_zero() => continue,
                Err(_) => ("the upstream fell silent, or the time is over".to_owned(), ResponseLoss::TimedOut),
            };
            if let Err(error) = self.resume(reason, loss).await {
                return Some(Err(error));
            }
        }
    }

    // Time to wait for data before the stream is resumed elsewhere. A stream that can't be resumed is awaited until the
    // deadline, however long its upstream is silent; the retry budget may allow a resumption later.
    fn idle_wait(&self, now: Duration) -> Duration {
        if !may_give_up(&self.gateway, &self.job, &self.history) {
            return STREAM_IDLE_TIMEOUT;
        }
        let is_unread = self.response_events == 0;
        let allowance = if is_unread { prompt_allowance(&self.job, self.model.as_ref()) } else { Duration::ZERO };
        let timeout = STREAM_IDLE_TIMEOUT + allowance;
        self.gateway.traffic().remaining_wait(now, &self.upstream.id, self.last_received, timeout)
    }

    fn accept_data(&mut self, data: &[u8]) -> Result<Batch, EventError> {
        let now = self.gateway.now();
        self.last_received = now;
        self.gateway.traffic().record_activity(now, &self.upstream.id);
        let batch = self.splitter.push(data)?;
        if self.events == 0 && batch.count > 0 {
            let took = now - self.job.arrived;
            self.gateway.metrics.record_first_event(self.job.organisation.as_ref(), &self.job.route.id, took);
        }
        self.events += batch.count;
        self.response_events += batch.count;
        self.check_pace();
        if let Some(response) = self.response.as_mut().filter(|_| batch.count > 0) {
            response.guard.finish_prefill();
            self.in_flight.record_progress(&response.upstream.id, self.events);
        }
        Ok(batch)
    }

    // A stream that is several times slower than usual is counted while it is still running, because the caller may
    // disconnect before its end.
    fn check_pace(&mut self) {
        let Some(response) =
            self.response.as_ref().filter(|_| !self.counted_slow && self.response_events >= MIN_PACE_EVENTS)
        else {
            return;
        };
        let kind = self.job.work_kind(response.model.as_ref());
        let is_slow = self.gateway.traffic().is_slow(
            &self.job.service,
            &kind,
            response.pace(self.gateway.now(), self.response_events),
        );
        if is_slow {
            self.job.record_overdue(&self.gateway, response.model.as_ref(), &response.upstream.release);
            self.counted_slow = true;
        }
    }

    fn finish(&mut self) {
        self.in_flight.end(Outcome::Served);
        let Some(response) = self.response.take() else { return };
        let pace = if self.counted_slow {
            AnswerPace::Unknown
        } else {
            AnswerPace::Ratio(response.pace(self.gateway.now(), self.response_events))
        };
        record_answer(&self.gateway, &self.job, &response, pace, &self.history);
        response.finish(&self.gateway);
    }

    // Resumes the stream at another upstream, after closing the connection to the failed one.
    async fn resume(&mut self, reason: String, loss: ResponseLoss) -> Result<(), io::Error> {
        self.response = None;
        crash_detection::record_lost_answer(&self.gateway, &self.upstream, loss);
        self.splitter.reset();
        self.history.record_failure(Failure::Unknown { reason, loss });
        log::info!(
            request = self.job.caller.request.as_str(),
            fingerprint = self.job.fingerprint.to_string().as_str(),
            upstream = self.upstream.id.as_str(),
            event = self.splitter.last(),
            ran = self.history.maybe_ran;
            "stream broke off: {}", self.history.reason
        );
        let last = self.splitter.last();
        let options = SendOptions {
            model: self.model.as_ref(),
            pinned_release: Some(&self.upstream.release),
            skip_budget: false,
        };
        if let Ok(response) = start_stream(&self.gateway, &self.job, options, last, &mut self.history).await {
            self.upstream = Arc::clone(&response.upstream);
            self.last_received = self.gateway.now();
            (self.response_events, self.counted_slow) = (0, false);
            self.response = Some(response);
            return Ok(());
        }
        self.in_flight.end(Outcome::Failed);
        Err(io::Error::new(io::ErrorKind::UnexpectedEof, self.history.reason.clone()))
    }
}
