//! Endpoint for services without a model. Non-idempotent calls first reserve a slot, then store an intent row and only
//! then execute, so that they run at most once.

use std::{sync::Arc, time::Duration};

use bluebell_core::{
    gate::{RefusalReason, Work},
    ids::{AttemptId, InstanceId, ServiceId},
    intent::{self, IntentRow, IntentStep, Reservation, Resolution, ResolvedStep, StoredReply},
    keys::digest,
    poison::Fingerprint,
};
use bluebell_wire::{
    Route,
    messages::{Call, FromSidecar, Payload, ResolveRequest},
};
use poem::{
    Body, Request, Response, handler,
    http::StatusCode,
    web::{Data, Path},
};
use snafu::{OptionExt, ensure};

use super::{
    active_request::ActiveRequest,
    attempt::{self, AttemptError, AttemptRequest, AttemptStream, Job},
    auth::{self, Caller},
    body,
    call_states::{CallKey, CallOutcome, IntentStored, Reserved, StoreOutcome},
    chat::{IDEMPOTENCY_KEY_HEADER, MAX_IDEMPOTENCY_KEY_BYTES, REQUEST_ID_HEADER, request_id},
    request_error::{
        MalformedSnafu, MissingIdempotencyKeySnafu, PlatformUnavailableSnafu, Ran, RequestError, ServiceNotAllowedSnafu,
    },
    state::{Entry, lock},
};
use crate::{metrics::Outcome, peers, records::RecordError};

/// Estimated cost of a call, in tokens.
const CALL_COST: u64 = 50;
/// Maximum time that a call may wait in a sidecar's queue for a slot.
const CALL_MAX_WAIT: Duration = Duration::from_secs(2);
/// Number of attempts to store the intent of a call, or take over the row of an earlier attempt, before the outcome is
/// reported as unknown.
const MAX_INTENT_ATTEMPTS: u32 = 3;
/// Number of attempts to store a reply. After these only the sidecar that ran the call has it.
const MAX_REPLY_WRITES: u32 = 60;
/// Pause between these attempts.
const REPLY_WRITE_PAUSE: Duration = Duration::from_millis(1000);

/// Handles a call of a service without a model.
#[handler]
pub async fn handle_call(
    entry: Data<&Arc<Entry>>,
    Path((name, path)): Path<(String, String)>,
    request: &Request,
    body: Body,
) -> Response {
    match serve(&entry, &name, &path, request, body).await {
        Ok(response) => response,
        Err(error) => {
            log::info!(code = error.to_string().as_str(), service = name.as_str(); "call not served");
            error.response()
        }
    }
}

/// A validated call, with everything its attempts need.
struct PreparedCall {
    job: Job,
    work: Work,
    call: Call,
    time_limit: Duration,
}

async fn serve(
    entry: &Arc<Entry>,
    name: &str,
    path: &str,
    request: &Request,
    body: Body,
) -> Result<Response, RequestError> {
    let caller = auth::authenticate_caller(entry, request)?;
    let priority = auth::priority(request, &caller.policy)?;
    ensure!(caller.plan.allows_service(&caller.policy.branch, name), ServiceNotAllowedSnafu { name });
    let bytes = body::read(body, caller.policy.limits.body).await?;
    let idempotent = caller.plan.is_idempotent(name);
    let key = request.header(IDEMPOTENCY_KEY_HEADER).map(str::to_owned);
    ensure!(idempotent || key.is_some(), MissingIdempotencyKeySnafu);
    let reason = format!("an idempotency key has 1 to {MAX_IDEMPOTENCY_KEY_BYTES} bytes");
    ensure!(
        key.as_ref().is_none_or(|key| (1..=MAX_IDEMPOTENCY_KEY_BYTES).contains(&key.len())),
        MalformedSnafu { reason }
    );
    let mut active = ActiveRequest::admit(entry, &caller, priority)?;
    let prepared = prepare(entry, &caller, name, path, request, &bytes, key.clone())?;
    let result = match key.filter(|_| !idempotent) {
        Some(key) => run_at_most_once(entry, &prepared, call_key(&caller, key, &prepared.call)).await,
        None => run_idempotent(entry, &prepared).await,
    };
    active.set_outcome(match &result {
        Ok(_) => Outcome::Served,
        Err(error) if error.ran() == Ran::No => Outcome::Refused,
        Err(_) => Outcome::Failed,
    });
    result.map(|reply| response(&reply, &prepared.job))
}

// Validates the service name and credits the retry budget for the call.
fn prepare(
    entry: &Entry,
    caller: &Caller,
    name: &str,
    path: &str,
    request: &Request,
    bytes: &[u8],
    key: Option<String>,
) -> Result<PreparedCall, RequestError> {
    let service: ServiceId = name.parse().ok().context(ServiceNotAllowedSnafu { name })?;
    let priority = auth::priority(request, &caller.policy)?;
    lock(&entry.retry_budget).earn();
    let query = request.uri().query().map(|query| format!("?{query}")).unwrap_or_default();
    let call = Call {
        method: request.method().to_string(),
        path: format!("/{path}{query}"),
        content_type: request.content_type().unwrap_or("application/octet-stream").to_owned(),
        body: bytes.to_vec(),
        key,
    };
    let target = format!("{} {name}{}", call.method, call.path);
    let job = Job {
        fingerprint: Fingerprint::of(&target, Some(&caller.org), bytes),
        request_id: request_id(request, &caller.org)?,
        org: caller.org.clone(),
        branch: caller.policy.branch.clone(),
        priority,
        cost: CALL_COST,
        max_wait: CALL_MAX_WAIT,
    };
    Ok(PreparedCall { job, work: Work::Service(service), call, time_limit: caller.policy.limits.deadline })
}

fn call_key(caller: &Caller, key: String, call: &Call) -> CallKey {
    let text = format!("{} {} {}", call.method, call.path, String::from_utf8_lossy(&call.body));
    CallKey { org: caller.org.clone(), key, digest: digest(&text) }
}

fn response(reply: &StoredReply, job: &Job) -> Response {
    let status = StatusCode::from_u16(reply.status).unwrap_or(StatusCode::BAD_GATEWAY);
    let builder = Response::builder().status(status).header(REQUEST_ID_HEADER, job.request_id.as_str());
    builder.content_type(&reply.content).body(reply.body.clone())
}

// Tries sidecars until one starts the call, or reserves a slot for it.
async fn start_attempt(
    entry: &Entry,
    prepared: &PreparedCall,
    two_step: bool,
) -> Result<(AttemptStream, FromSidecar), RequestError> {
    let mut tried: Vec<InstanceId> = Vec::new();
    let mut last_error = None;
    while let Some(link) = attempt::pick_sidecar(entry, &prepared.work, &tried) {
        tried.push(link.peer().clone());
        let payload = Payload::Call(prepared.call.clone());
        let request =
            AttemptRequest { two_step, resumed: false, isolated: false, time_left: prepared.time_limit, payload };
        match attempt::start(entry, link, &prepared.job, prepared.work.clone(), request).await {
            Ok(found) => return Ok(found),
            Err(AttemptError::Blocked(crashes)) => return Err(RequestError::Blocked { crashes }),
            Err(error) => last_error = Some(error),
        }
        if !lock(&entry.retry_budget).take() {
            break;
        }
        entry.shared.metrics.record_retry();
    }
    Err(match last_error {
        Some(AttemptError::Refused(refusal)) => RequestError::Refused { refusal },
        // A reservation doesn't run the call, so in two-step mode the call has not run even if the connection or the
        // runner failed.
        Some(AttemptError::RunnerFailed | AttemptError::ConnectionLost) if !two_step => {
            RequestError::RunnerFailed { ran: Ran::Unknown }
        }
        _ => RequestError::NoRunner { target: prepared.work.name().to_owned() },
    })
}

async fn run_idempotent(entry: &Entry, prepared: &PreparedCall) -> Result<StoredReply, RequestError> {
    for _ in 0..bluebell_core::retry::MAX_CRASHES {
        let (mut stream, _) = start_attempt(entry, prepared, false).await?;
        let reply = tokio::time::timeout(prepared.time_limit, stream.receive()).await;
        if let Ok(Ok(FromSidecar::Reply(reply))) = reply {
            return Ok(reply);
        }
        stream.link.eject(entry.shared.clock.now());
    }
    Err(RequestError::RunnerFailed { ran: Ran::Unknown })
}

fn platform_unavailable(error: &RecordError) -> RequestError {
    PlatformUnavailableSnafu { reason: error.to_string() }.build()
}

async fn run_at_most_once(
    entry: &Arc<Entry>,
    prepared: &PreparedCall,
    key: CallKey,
) -> Result<StoredReply, RequestError> {
    let records = &entry.shared.records;
    let mut expected_version = None;
    if let Some(found) = records.intent(&key.org, &key.key).await.map_err(|error| platform_unavailable(&error))? {
        // This request has made no attempt yet, so the row is from an earlier one.
        let step = step_for_earlier_row(&found.row, &key.digest);
        if let Some(reply) = apply_intent_step(entry, &key, step, &found.row).await? {
            return Ok(reply);
        }
        expected_version = Some(found.version);
    }
    for _ in 0..MAX_INTENT_ATTEMPTS {
        let (stream, first) = start_attempt(entry, prepared, true).await?;
        let FromSidecar::Reserved(reservation) = first else {
            return Err(RequestError::NoRunner { target: prepared.work.name().to_owned() });
        };
        let reserved = Reserved::new(stream, reservation);
        let stored = reserved
            .store_intent(records, &key, expected_version)
            .await
            .map_err(|error| platform_unavailable(&error))?;
        let (step, version) = match stored {
            StoreOutcome::Own(call) => return execute(entry, prepared, key, call).await,
            StoreOutcome::Conflict { step, version, reserved } => {
                drop(reserved);
                (step, version)
            }
        };
        let found = records.intent(&key.org, &key.key).await.map_err(|error| platform_unavailable(&error))?;
        let Some(found) = found.filter(|found| found.version == version) else { continue };
        if let Some(reply) = apply_intent_step(entry, &key, step, &found.row).await? {
            return Ok(reply);
        }
        expected_version = Some(version);
    }
    Err(RequestError::OutcomeUnknown { is_final: false })
}

fn step_for_earlier_row(row: &IntentRow, digest: &str) -> IntentStep {
    if row.digest != digest {
        return IntentStep::Mismatch;
    }
    match &row.reply {
        Some(reply) => IntentStep::Reply(reply.clone()),
        None => IntentStep::Resolve(row.reservation.clone()),
    }
}

// Returns the reply of the earlier attempt, or `None` if its row may be replaced.
async fn apply_intent_step(
    entry: &Arc<Entry>,
    key: &CallKey,
    step: IntentStep,
    row: &IntentRow,
) -> Result<Option<StoredReply>, RequestError> {
    match step {
        IntentStep::Mismatch => Err(RequestError::IdempotencyKeyReused),
        IntentStep::Reply(reply) => Ok(Some(reply)),
        IntentStep::Start => Err(RequestError::OutcomeUnknown { is_final: false }),
        IntentStep::Resolve(reservation) => {
            let resolution = resolve(entry, &reservation).await;
            match intent::resolved_step(resolution) {
                ResolvedStep::TakeOver => Ok(None),
                ResolvedStep::Reply(reply) => {
                    store_reply(entry, key.clone(), row.reservation.attempt.clone(), reply.clone());
                    Ok(Some(reply))
                }
                ResolvedStep::Wait => Err(RequestError::OutcomeUnknown { is_final: false }),
                ResolvedStep::Unknown => Err(RequestError::OutcomeUnknown { is_final: true }),
            }
        }
    }
}

async fn resolve(entry: &Entry, reservation: &Reservation) -> Option<Resolution> {
    let connection = peers::connection(&entry.shared, &reservation.sidecar).await?;
    let request = ResolveRequest { attempt: reservation.attempt.clone(), incarnation: reservation.incarnation };
    connection.ask(Route::Resolve, &request).await.ok()
}

async fn execute(
    entry: &Arc<Entry>,
    prepared: &PreparedCall,
    key: CallKey,
    call: IntentStored,
) -> Result<StoredReply, RequestError> {
    let Ok(mut running) = call.execute().await else {
        return Err(RequestError::OutcomeUnknown { is_final: false });
    };
    let Ok(outcome) = tokio::time::timeout(prepared.time_limit, running.wait()).await else {
        return Err(RequestError::OutcomeUnknown { is_final: false });
    };
    match outcome {
        CallOutcome::Reply(reply) => {
            store_reply(entry, key, running.attempt().clone(), reply.clone());
            Ok(reply)
        }
        CallOutcome::Refused(refusal) if refusal.reason == RefusalReason::Repeated => {
            Err(RequestError::OutcomeUnknown { is_final: false })
        }
        CallOutcome::Refused(refusal) => Err(RequestError::Refused { refusal }),
        CallOutcome::Unknown => Err(RequestError::OutcomeUnknown { is_final: false }),
    }
}

// Stores the reply in the background. The caller need not wait, because the sidecar that ran the call keeps the reply
// until the row has it.
fn store_reply(entry: &Arc<Entry>, key: CallKey, attempt: AttemptId, reply: StoredReply) {
    let entry = Arc::clone(entry);
    entry.active_work.send_modify(|count| *count += 1);
    tokio::spawn(async move {
        for _ in 0..MAX_REPLY_WRITES {
            let stored = entry.shared.records.complete_intent(&key.org, &key.key, &attempt, &reply).await;
            let Err(error) = stored else { break };
            log::debug!("can't store the reply of a call: {error}");
            tokio::time::sleep(REPLY_WRITE_PAUSE).await;
        }
        entry.active_work.send_modify(|count| *count -= 1);
    });
}
