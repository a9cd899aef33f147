//! One attempt: sends a request to an upstream, and determines from the result whether the request may have run.

use std::{ops::Range, sync::Arc, time::Duration};

use bluebell_core::{
    ids::ModelId,
    placing::{Admission, HealthEvent, PREFILL_TOKENS_PER_MS, RampSignal},
    poison::{AttemptOutcome, ResponseLoss},
    upstreams::Upstream,
};
use bluebell_platform::headers::{self, Forward, LimitStatement, ResponseHeaders};
use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::{
    Request, StatusCode,
    body::{Body, Incoming},
    header,
};
use tokio::{sync::watch, time::timeout};

use super::{
    attempt_guard::AttemptGuard, crash_detection, job::Job, pool::PooledConnection, response_buffer::BufferBudget,
    state::Gateway,
};

/// Maximum request body after which a connection is reused even if the upstream answered with an error. With a longer
/// body, the upstream may have answered before it read all of it.
const KEEP_AFTER_FAILURE_BYTES: usize = 4096;

/// Statuses of a final answer (RFC 9110, section 15). No request of a gateway asks for an upgrade.
const FINAL_STATUSES: Range<u16> = 200..600;

/// Expected fixed time of an answer, without prompt processing and events, in seconds.
const EXPECTED_BASE_S: f64 = 0.02;
/// Expected time per event of an answer, in seconds.
const EXPECTED_EVENT_S: f64 = 0.02;

/// Why an attempt gave no answer.
#[derive(Debug)]
pub enum Failure {
    /// The upstream certainly did not and will not run the request.
    NotRun {
        /// Why this is certain.
        reason: String,
        /// Retry delay requested by the upstream.
        retry_after: Option<Duration>,
        /// How far the request got.
        progress: SendProgress,
    },
    /// The upstream may have run the request, or may still run it.
    Unknown {
        /// What went wrong.
        reason: String,
        /// How the answer was lost.
        loss: ResponseLoss,
    },
}

/// How far a request that did not run got.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SendProgress {
    /// It was not sent, as the upstream asked for a pause, left or is in a zone that was evacuated meanwhile.
    Withheld,
    /// The upstream could not be reached.
    Unreachable,
    /// The upstream refused it.
    Refused,
}

/// Parameters of an attempt.
#[derive(Debug, Clone)]
pub struct AttemptPlan {
    /// Upstream to send the request to.
    pub upstream: Arc<Upstream>,
    /// Model chosen by the gateway; none if the caller named one or the route lists no models.
    pub model: Option<ModelId>,
    /// Number of the last event that the caller has received; the upstream resumes after it.
    pub last_event: u64,
    /// Set to the time at which the request was sent, and back to `None` when the attempt fails.
    pub in_flight_since: Option<watch::Sender<Option<Duration>>>,
}

impl AttemptPlan {
    fn record_in_flight(&self, since: Option<Duration>) {
        if let Some(sender) = &self.in_flight_since {
            sender.send_replace(since);
        }
    }
}

/// An answer whose head has arrived; the body is read from it.
pub struct UpstreamResponse {
    /// Status of the answer.
    pub status: StatusCode,
    /// Headers of the answer.
    pub headers: hyper::HeaderMap,
    /// Decoded headers of the upstream or its sidecar.
    pub decoded: ResponseHeaders,
    /// Upstream that answers.
    pub upstream: Arc<Upstream>,
    /// Model chosen by the gateway, if any; see [`AttemptPlan::model`].
    pub model: Option<ModelId>,
    /// When the request was sent; the time to connect is not included.
    pub sent_at: Duration,
    /// Counts the attempt in the upstream's load.
    pub guard: AttemptGuard,
    body: Incoming,
    connection: PooledConnection,
    is_reusable: bool,
}

/// Next chunk of an answer's body.
pub enum BodyChunk {
    /// Data.
    Data(Bytes),
    /// The body is complete.
    End,
    /// The body was cut off, for this reason.
    Broken(String),
}

impl UpstreamResponse {
    /// Time that the answer has taken so far, relative to the expected time for the uncached part of the prompt and the
    /// given number of events. Only meaningful in comparison with other answers.
    #[must_use]
    pub fn pace(&self, now: Duration, events: u64) -> f64 {
        let prefill = self.guard.prefill().0 as f64 / PREFILL_TOKENS_PER_MS / 1000.0;
        let expected = EXPECTED_BASE_S + prefill + EXPECTED_EVENT_S * events as f64;
        (now - self.sent_at).as_secs_f64() / expected
    }

    /// Whether a length or chunks mark the end of the body, rather than only the end of the connection.
    #[must_use]
    pub fn is_framed(&self) -> bool {
        self.body.size_hint().exact().is_some() || self.headers.contains_key(header::TRANSFER_ENCODING)
    }

    /// Reads the next chunk of the body.
    pub async fn next_chunk(&mut self) -> BodyChunk {
        loop {
            return match self.body.frame().await {
                None => BodyChunk::End,
                Some(Err(error)) => BodyChunk::Broken(error.to_string()),
                Some(Ok(frame)) => match frame.into_data() {
                    Ok(data) => BodyChunk::Data(data),
                    Err(_) => continue,
                },
            };
        }
    }

    /// Reads the complete body into a buffer.
    ///
    /// # Errors
    /// When the body is cut off or exceeds the limits on buffered answers; returns the reason.
    pub async fn read_body(&mut self, budget: &Arc<BufferBudget>) -> Result<Bytes, String> {
        let mut buffer = budget.new_buffer();
        loop {
            match self.next_chunk().await {
                BodyChunk::Data(data) => buffer.push(&data).map_err(|error| error.to_string())?,
                BodyChunk::End => return Ok(buffer.finish()),
                BodyChunk::Broken(reason) => return Err(reason),
            }
        }
    }

    /// Records the outcome of an answer that was read completely, and returns its connection to the pool if it is
    /// reusable.
    pub fn finish(self, gateway: &Gateway) {
        let Self { connection, is_reusable, decoded, upstream, mut guard, status, .. } = self;
        guard.set_outcome(if status.is_server_error() {
            AttemptOutcome::UpstreamAlive
        } else if status.is_success() {
            AttemptOutcome::Answered
        } else {
            AttemptOutcome::Rejected
        });
        if is_reusable {
            keep_connection(gateway, &upstream, connection, &decoded);
        }
    }
}

fn build_request(job: &Job, plan: &AttemptPlan, time_left: Duration, rank: u8) -> Request<Full<Bytes>> {
    let forward = Forward {
        time_left,
        upstream: &plan.upstream.id,
        organisation: job.organisation.as_ref(),
        rank,
        model: plan.model.as_ref(),
        last_event: plan.last_event,
    };
    let mut request = Request::new(Full::new(job.body.clone()));
    *request.method_mut() = job.method.clone();
    *request.uri_mut() = job.uri.clone();
    *request.headers_mut() = headers::encode_forward(&job.headers, &forward);
    request
}

/// Sends a request to an upstream and waits for the head of its answer. Records what the result shows of the upstream's
/// health.
///
/// # Errors
/// When there is no valid answer to this request; the failure tells whether the request may have run.
pub async fn send(gateway: &Arc<Gateway>, job: &Job, plan: &AttemptPlan) -> Result<UpstreamResponse, Failure> {
    let started = gateway.now();
    let guard = AttemptGuard::start(gateway, job, &plan.upstream, plan.model.as_ref());
    let result = exchange(gateway, job, plan, guard).await;
    if result.is_err() {
        plan.record_in_flight(None);
    }
    if let Err(Failure::Unknown { loss, .. }) = &result {
        crash_detection::record_lost_answer(gateway, &plan.upstream, *loss);
    }
    let event = match &result {
        // 504 means that the request's deadline passed, which is not the upstream's fault.
        Ok(response) if response.status == StatusCode::GATEWAY_TIMEOUT => None,
        Ok(response) if response.status.is_server_error() => Some(HealthEvent::Failed),
        Ok(_) => Some(HealthEvent::Accepted),
        Err(Failure::NotRun { progress: SendProgress::Refused, .. }) => Some(HealthEvent::Refused),
        Err(Failure::NotRun { progress: SendProgress::Unreachable, .. }) => Some(HealthEvent::Lost),
        Err(Failure::NotRun { progress: SendProgress::Withheld, .. }) => None,
        Err(Failure::Unknown { .. }) => None,
    };
    if let Some(event) = event {
        gateway.traffic().record_health(gateway.now(), &plan.upstream.id, event);
    }
    record_ramp(gateway, job, plan, started, &result);
    result
}

// Records what the result shows about the ramp-up of an upstream. Answers that are no success say nothing about its pace.
fn record_ramp(
    gateway: &Gateway,
    job: &Job,
    plan: &AttemptPlan,
    started: Duration,
    result: &Result<UpstreamResponse, Failure>,
) {
    let now = gateway.now();
    let mut traffic = gateway.traffic();
    let begins = match result {
        Ok(response) if response.status.is_success() => {
            let kind = job.work_kind(plan.model.as_ref());
            traffic.record_head_pace(now, &plan.upstream, &kind, response.sent_at, response.pace(now, 0))
        }
        Ok(response) if response.status.is_server_error() && response.status != StatusCode::GATEWAY_TIMEOUT => {
            traffic.record_ramp(now, &plan.upstream, started, RampSignal::Failed)
        }
        Err(
            Failure::NotRun { progress: SendProgress::Refused | SendProgress::Unreachable, .. }
            | Failure::Unknown { loss: ResponseLoss::Broken, .. },
        ) => traffic.record_ramp(now, &plan.upstream, started, RampSignal::Failed),
        Ok(_) | Err(_) => return,
    };
    drop(traffic);
    if begins {
        gateway.metrics.record_ramp(plan.upstream.service.as_str());
    }
}

async fn exchange(
    gateway: &Arc<Gateway>,
    job: &Job,
    plan: &AttemptPlan,
    mut guard: AttemptGuard,
) -> Result<UpstreamResponse, Failure> {
    let chosen_at = gateway.now();
    let mut connection = connect(gateway, job, plan).await?;
    let (response, sent_at) = loop {
        // The upstream's state may have changed while the connection was opened, and its zone may have been evacuated.
        if gateway.routing.load().evacuated.contains(&plan.upstream.zone) {
            let reason = "the upstream's zone was evacuated before the request was sent".to_owned();
            return Err(Failure::NotRun { reason, retry_after: None, progress: SendProgress::Withheld });
        }
        if gateway.traffic().admission_of_chosen(gateway.now(), &plan.upstream) == Admission::Closed {
            let reason = "the upstream asked for a pause or left before the request was sent".to_owned();
            return Err(Failure::NotRun { reason, retry_after: None, progress: SendProgress::Withheld });
        }
        let sent_at = gateway.now();
        if !gateway.traffic().confirm_cold(sent_at, &plan.upstream, chosen_at) {
            let reason = "the upstream is cold and at its limit".to_owned();
            return Err(Failure::NotRun { reason, retry_after: None, progress: SendProgress::Withheld });
        }
        guard.mark_sent();
        plan.record_in_flight(Some(sent_at));
        connection.expect_head();
        let time_left = job.deadline.saturating_sub(gateway.now());
        let rank = gateway.traffic().upstream_rank(sent_at, &job.service, job.rank, job.organisation.as_ref());
        let sending = connection.sender.try_send_request(build_request(job, plan, time_left, rank));
        let Ok(result) = timeout(time_left, sending).await else {
            job.record_overdue(gateway, plan.model.as_ref(), &plan.upstream.release);
            let reason = "no answer before the deadline".to_owned();
            return Err(Failure::Unknown { reason, loss: ResponseLoss::TimedOut });
        };
        match result {
            Ok(response) => break (response, sent_at),
            Err(mut error) => {
                let is_unsent = error.take_message().is_some();
                let reason = error.into_error().to_string();
                if !is_unsent {
                    return Err(Failure::Unknown { reason, loss: ResponseLoss::Broken });
                }
                // hyper returned the request unsent, because the connection was already closed.
                guard.set_outcome(AttemptOutcome::UpstreamAlive);
                if !connection.reused {
                    return Err(Failure::NotRun { reason, retry_after: None, progress: SendProgress::Unreachable });
                }
                connection = connect(gateway, job, plan).await?;
            }
        }
    };
    guard.mark_head();
    connection.expect_body();
    gateway.traffic().record_activity(gateway.now(), &plan.upstream.id);
    let (head, body) = response.into_parts();
    // hyper rejects other values than 100 to 999, and skips interim answers except 101.
    if !FINAL_STATUSES.contains(&head.status.as_u16()) {
        let reason = format!("invalid status {}", head.status.as_u16());
        return Err(Failure::Unknown { reason, loss: ResponseLoss::Broken });
    }
    let decoded = headers::decode_response(&head.headers);
    record_announcements(gateway, job, &plan.upstream, sent_at, head.status, &decoded);
    if let Some(report) = decoded.load {
        gateway.traffic().apply_report(gateway.now(), &plan.upstream, report);
    }
    // Without the id of this request, a refusal may be an earlier one that the upstream wrote once more.
    if decoded.request.as_deref() != Some(job.caller.request.as_str()) {
        let named = decoded.request.as_deref().unwrap_or("no request");
        let reason = format!("status {} that names {named}", head.status);
        return Err(Failure::Unknown { reason, loss: ResponseLoss::Broken });
    }
    let is_misdirected = head.status == StatusCode::MISDIRECTED_REQUEST;
    if decoded.not_run || is_misdirected {
        let reason = format!("status {} and not run", head.status);
        let retry_after = decoded.retry_after;
        guard.set_outcome(AttemptOutcome::UpstreamAlive);
        drain_refusal(gateway, &plan.upstream, body, connection, &decoded).await;
        return Err(Failure::NotRun { reason, retry_after, progress: SendProgress::Refused });
    }
    if !decoded.stamped {
        let reason = format!("status {} without the upstream's signature", head.status);
        return Err(Failure::Unknown { reason, loss: ResponseLoss::Broken });
    }
    let is_reusable = head.status.is_success() || job.body.len() <= KEEP_AFTER_FAILURE_BYTES;
    let (upstream, model) = (Arc::clone(&plan.upstream), plan.model.clone());
    Ok(UpstreamResponse {
        status: head.status,
        headers: head.headers,
        decoded,
        upstream,
        model,
        sent_at,
        guard,
        body,
        connection,
        is_reusable,
    })
}

// Records what an upstream says about itself, in whichever answer. Only a success shows that it does not say so any more,
// and that it names no rate limit only a success of this request.
fn record_announcements(
    gateway: &Gateway,
    job: &Job,
    upstream: &Upstream,
    sent_at: Duration,
    status: StatusCode,
    decoded: &ResponseHeaders,
) {
    // Comes from another process that listens at the upstream's address now.
    if status == StatusCode::MISDIRECTED_REQUEST {
        return;
    }
    let now = gateway.now();
    let is_success = decoded.stamped && status.is_success();
    let is_own = decoded.request.as_deref() == Some(job.caller.request.as_str());
    let limit = match decoded.limit {
        LimitStatement::Limit(rate) => Some(Some(rate)),
        LimitStatement::None if is_own && is_success => Some(None),
        LimitStatement::None | LimitStatement::Unreadable => None,
    };
    let pause = decoded.retry_after.filter(|_| status == StatusCode::SERVICE_UNAVAILABLE);
    let mut traffic = gateway.traffic();
    let leaves = decoded.leaving && traffic.record_leaving(now, upstream);
    if is_success && !decoded.leaving {
        traffic.record_staying(now, upstream);
    }
    let pauses = pause.is_some_and(|delay| traffic.record_pause(now, upstream, delay));
    let is_limited = limit.is_some_and(|limit| traffic.record_limit(now, sent_at, upstream, limit));
    drop(traffic);
    let service = upstream.service.as_str();
    if leaves {
        gateway.metrics.record_departure(service);
        gateway.pools.close_idle(&upstream.address);
    }
    if pauses {
        gateway.metrics.record_pause(service);
    }
    if is_limited {
        gateway.metrics.record_limit(service);
    }
}

async fn connect(gateway: &Arc<Gateway>, job: &Job, plan: &AttemptPlan) -> Result<PooledConnection, Failure> {
    let connecting = gateway.pools.get(plan.upstream.address, gateway.now(), &job.used);
    let Ok(connection) = timeout(job.time_left(gateway), connecting).await else {
        let reason = "no connection before the deadline".to_owned();
        return Err(Failure::NotRun { reason, retry_after: None, progress: SendProgress::Unreachable });
    };
    let connection = connection.map_err(|error| {
        if error.is_refused() {
            crash_detection::record_refused(gateway, &plan.upstream);
        }
        Failure::NotRun { reason: error.to_string(), retry_after: None, progress: SendProgress::Unreachable }
    })?;
    job.used.add(&connection);
    Ok(connection)
}

/// Maximum body of a refusal that is read so that its connection can be reused.
const MAX_REFUSAL_BYTES: usize = 64 << 10;
/// Time limit for reading the rest of a refusal; after it, the connection is closed instead of reused.
const REFUSAL_READ_TIMEOUT: Duration = Duration::from_millis(20);

async fn drain_refusal(
    gateway: &Gateway,
    upstream: &Upstream,
    body: Incoming,
    connection: PooledConnection,
    decoded: &ResponseHeaders,
) {
    let read = timeout(REFUSAL_READ_TIMEOUT, Limited::new(body, MAX_REFUSAL_BYTES).collect()).await;
    if matches!(read, Ok(Ok(_))) {
        keep_connection(gateway, upstream, connection, decoded);
    }
}

// Returns a connection to the pool, unless its upstream closes it or is leaving.
fn keep_connection(gateway: &Gateway, upstream: &Upstream, connection: PooledConnection, decoded: &ResponseHeaders) {
    if !decoded.closes && !gateway.traffic().is_leaving(upstream) {
        gateway.pools.put(connection, gateway.now(), decoded.idle);
    }
}
