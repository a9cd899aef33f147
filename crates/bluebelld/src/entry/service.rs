//! Calls of plain services. Those that may not be repeated go in two steps and leave a row in the store.

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
    attempt::{self, AttemptRequest, Conversation, Job, Setback},
    auth::{self, Caller},
    body,
    chat::{KEY_HEADER, MAX_KEY_BYTES, REQUEST_HEADER, request_id},
    fault::{Fault, MalformedSnafu, NoKeySnafu, PlatformSnafu, Ran, ServiceSnafu},
    flow::Flow,
    stages::{CallKey, Ended, Reserved, Stored},
    state::{Entry, lock},
};
use crate::{metrics::Outcome, peers, records::RecordError};

/// Work that a call is taken for, in tokens.
const CALL_COST: u64 = 50;
/// Time that a call may wait for a place.
const CALL_PATIENCE: Duration = Duration::from_secs(2);
/// Times that a row left by another attempt is looked into.
const TAKEOVER_TRIES: u32 = 3;
/// Times that a reply is written before it is left to the sidecar.
const REPLY_TRIES: u32 = 60;
/// Pause between them.
const REPLY_PAUSE: Duration = Duration::from_millis(1000);

/// Calls a plain service.
#[handler]
pub async fn answer(
    entry: Data<&Arc<Entry>>,
    Path((name, path)): Path<(String, String)>,
    request: &Request,
    body: Body,
) -> Response {
    match serve(&entry, &name, &path, request, body).await {
        Ok(response) => response,
        Err(fault) => {
            log::info!(code = fault.to_string().as_str(), service = name.as_str(); "call not served");
            fault.response()
        }
    }
}

/// A call with all that its attempts need.
struct Served {
    job: Job,
    work: Work,
    call: Call,
    deadline: Duration,
}

async fn serve(entry: &Arc<Entry>, name: &str, path: &str, request: &Request, body: Body) -> Result<Response, Fault> {
    let caller = auth::caller(entry, request)?;
    let priority = auth::priority(request, &caller.policy)?;
    ensure!(caller.plan.allows_service(&caller.policy.branch, name), ServiceSnafu { name });
    let bytes = body::read(body, caller.policy.limits.body).await?;
    let idempotent = caller.plan.is_idempotent(name);
    let key = request.header(KEY_HEADER).map(str::to_owned);
    ensure!(idempotent || key.is_some(), NoKeySnafu);
    let reason = format!("an idempotency key has 1 to {MAX_KEY_BYTES} bytes");
    ensure!(key.as_ref().is_none_or(|key| (1..=MAX_KEY_BYTES).contains(&key.len())), MalformedSnafu { reason });
    let mut flow = Flow::begin(entry, &caller, priority)?;
    let served = served(entry, &caller, name, path, request, &bytes, key.clone())?;
    let result = match key.filter(|_| !idempotent) {
        Some(key) => once(entry, &served, call_key(&caller, key, &served.call)).await,
        None => repeatable(entry, &served).await,
    };
    flow.end(match &result {
        Ok(_) => Outcome::Served,
        Err(fault) if fault.ran() == Ran::No => Outcome::Refused,
        Err(_) => Outcome::Failed,
    });
    result.map(|reply| response(&reply, &served.job))
}

fn served(
    entry: &Entry,
    caller: &Caller,
    name: &str,
    path: &str,
    request: &Request,
    bytes: &[u8],
    key: Option<String>,
) -> Result<Served, Fault> {
    let service: ServiceId = name.parse().ok().context(ServiceSnafu { name })?;
    let priority = auth::priority(request, &caller.policy)?;
    lock(&entry.budget).earn();
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
        request: request_id(request, &caller.org)?,
        org: caller.org.clone(),
        branch: caller.policy.branch.clone(),
        priority,
        cost: CALL_COST,
        patience: CALL_PATIENCE,
    };
    Ok(Served { job, work: Work::Service(service), call, deadline: caller.policy.limits.deadline })
}

fn call_key(caller: &Caller, key: String, call: &Call) -> CallKey {
    let text = format!("{} {} {}", call.method, call.path, String::from_utf8_lossy(&call.body));
    CallKey { org: caller.org.clone(), key, digest: digest(&text) }
}

fn response(reply: &StoredReply, job: &Job) -> Response {
    let status = StatusCode::from_u16(reply.status).unwrap_or(StatusCode::BAD_GATEWAY);
    let builder = Response::builder().status(status).header(REQUEST_HEADER, job.request.as_str());
    builder.content_type(&reply.content).body(reply.body.clone())
}

// Finds a sidecar that starts the call, or reserves a place for it.
async fn find(entry: &Entry, served: &Served, two_step: bool) -> Result<(Conversation, FromSidecar), Fault> {
    let mut tried: Vec<InstanceId> = Vec::new();
    let mut last = None;
    while let Some(link) = attempt::choose(entry, &served.work, &tried) {
        tried.push(link.peer().clone());
        let payload = Payload::Call(served.call.clone());
        let request = AttemptRequest { two_step, resumed: false, isolated: false, deadline: served.deadline, payload };
        match attempt::ask(entry, link, &served.job, served.work.clone(), request).await {
            Ok(found) => return Ok(found),
            Err(Setback::Held(crashes)) => return Err(Fault::Held { crashes }),
            Err(setback) => last = Some(setback),
        }
        if !lock(&entry.budget).take() {
            break;
        }
        entry.shared.metrics.retry();
    }
    Err(match last {
        Some(Setback::Refused(refusal)) => Fault::Refused { refusal },
        // A reservation that failed ran nothing, whatever became of it.
        Some(Setback::Failed | Setback::Lost) if !two_step => Fault::RunnerFailed { ran: Ran::Unknown },
        _ => Fault::NoRunner { work: served.work.name().to_owned() },
    })
}

async fn repeatable(entry: &Entry, served: &Served) -> Result<StoredReply, Fault> {
    for _ in 0..bluebell_core::retry::MAX_CRASHES {
        let (mut talk, _) = find(entry, served, false).await?;
        let reply = tokio::time::timeout(served.deadline, talk.receive()).await;
        if let Ok(Ok(FromSidecar::Reply(reply))) = reply {
            return Ok(reply);
        }
        talk.link.eject(entry.shared.clock.now());
    }
    Err(Fault::RunnerFailed { ran: Ran::Unknown })
}

fn platform_down(error: &RecordError) -> Fault {
    PlatformSnafu { reason: error.to_string() }.build()
}

async fn once(entry: &Arc<Entry>, served: &Served, key: CallKey) -> Result<StoredReply, Fault> {
    let records = &entry.shared.records;
    let mut before = None;
    if let Some(found) = records.intent(&key.org, &key.key).await.map_err(|error| platform_down(&error))? {
        // No attempt of this send is there yet, so the row can't be its own.
        let step = step_without_own(&found.row, &key.digest);
        if let Some(reply) = settle_step(entry, &key, step, &found.row).await? {
            return Ok(reply);
        }
        before = Some(found.version);
    }
    for _ in 0..TAKEOVER_TRIES {
        let (talk, first) = find(entry, served, true).await?;
        let FromSidecar::Reserved(reservation) = first else {
            return Err(Fault::NoRunner { work: served.work.name().to_owned() });
        };
        let reserved = Reserved::new(talk, reservation);
        let stored = reserved.store(records, &key, before).await.map_err(|error| platform_down(&error))?;
        let (step, version) = match stored {
            Stored::Own(intended) => return run(entry, served, key, intended).await,
            Stored::Other { step, version, reserved } => {
                drop(reserved);
                (step, version)
            }
        };
        let found = records.intent(&key.org, &key.key).await.map_err(|error| platform_down(&error))?;
        let Some(found) = found.filter(|found| found.version == version) else { continue };
        if let Some(reply) = settle_step(entry, &key, step, &found.row).await? {
            return Ok(reply);
        }
        before = Some(version);
    }
    Err(Fault::OutcomeUnknown { is_final: false })
}

fn step_without_own(row: &IntentRow, digest: &str) -> IntentStep {
    if row.digest != digest {
        return IntentStep::Mismatch;
    }
    match &row.reply {
        Some(reply) => IntentStep::Reply(reply.clone()),
        None => IntentStep::Resolve(row.reservation.clone()),
    }
}

// The reply if there is one; none when the row may be taken over.
async fn settle_step(
    entry: &Arc<Entry>,
    key: &CallKey,
    step: IntentStep,
    row: &IntentRow,
) -> Result<Option<StoredReply>, Fault> {
    match step {
        IntentStep::Mismatch => Err(Fault::KeyReused),
        IntentStep::Reply(reply) => Ok(Some(reply)),
        IntentStep::Start => Err(Fault::OutcomeUnknown { is_final: false }),
        IntentStep::Resolve(reservation) => {
            let word = resolve(entry, &reservation).await;
            match intent::resolved_step(word) {
                ResolvedStep::TakeOver => Ok(None),
                ResolvedStep::Reply(reply) => {
                    store_reply(entry, key.clone(), row.reservation.attempt.clone(), reply.clone());
                    Ok(Some(reply))
                }
                ResolvedStep::Wait => Err(Fault::OutcomeUnknown { is_final: false }),
                ResolvedStep::Unknown => Err(Fault::OutcomeUnknown { is_final: true }),
            }
        }
    }
}

async fn resolve(entry: &Entry, reservation: &Reservation) -> Option<Resolution> {
    let connection = peers::connection(&entry.shared, &reservation.sidecar).await?;
    let question = ResolveRequest { attempt: reservation.attempt.clone(), incarnation: reservation.incarnation };
    connection.ask(Route::Resolve, &question).await.ok()
}

async fn run(
    entry: &Arc<Entry>,
    served: &Served,
    key: CallKey,
    intended: super::stages::Intended,
) -> Result<StoredReply, Fault> {
    let Ok(mut running) = intended.go().await else {
        return Err(Fault::OutcomeUnknown { is_final: false });
    };
    let Ok(ended) = tokio::time::timeout(served.deadline, running.wait()).await else {
        return Err(Fault::OutcomeUnknown { is_final: false });
    };
    match ended {
        Ended::Reply(reply) => {
            store_reply(entry, key, running.attempt().clone(), reply.clone());
            Ok(reply)
        }
        Ended::NotRun(refusal) if refusal.reason == RefusalReason::Repeated => {
            Err(Fault::OutcomeUnknown { is_final: false })
        }
        Ended::NotRun(refusal) => Err(Fault::Refused { refusal }),
        Ended::Unknown => Err(Fault::OutcomeUnknown { is_final: false }),
    }
}

// The caller need not wait for this: until the row has the reply, the sidecar that ran the call has it.
fn store_reply(entry: &Arc<Entry>, key: CallKey, attempt: AttemptId, reply: StoredReply) {
    let entry = Arc::clone(entry);
    entry.working.send_modify(|count| *count += 1);
    tokio::spawn(async move {
        for _ in 0..REPLY_TRIES {
            let stored = entry.shared.records.complete_intent(&key.org, &key.key, &attempt, &reply).await;
            let Err(error) = stored else { break };
            log::debug!("a reply is not stored yet: {error}");
            tokio::time::sleep(REPLY_PAUSE).await;
        }
        entry.working.send_modify(|count| *count -= 1);
    });
}
