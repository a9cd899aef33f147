//! The way of one request from its arrival to its answer.

use std::{sync::Arc, time::Duration};

use bluebell_core::{
    ids::{ModelId, OrgId, ReleaseId, RequestId, RouteId, SessionId, UpstreamId},
    placing::HealthEvent,
    upstreams::Upstream,
};
use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::{
    HeaderMap, Request, StatusCode,
    body::Incoming,
    header::{CONNECTION, HeaderValue},
};

use super::{
    AnswerBody, Response,
    admit::{self, Job},
    left, plain,
    refusal::{Refusal, pause},
    stream,
};
use crate::{
    gateway::{
        attempt::{Failure, Live},
        state::Gateway,
        traffic::{Counted, Demand, Took},
    },
    metrics::Outcome,
};

/// Sends beyond the declared attempts after proofs that nothing ran.
const EXTRA_SENDS: u32 = 2;
/// Pause suggested while no declarations are known.
const START_PAUSE: Duration = Duration::from_millis(700);
/// Pause suggested by a process that ends, in which another one takes its place.
const LEAVING_PAUSE: Duration = Duration::from_millis(1000);
/// Time that a stream takes, nearly always: of those cut by an end, the longest had run for 3.5 s.
const STREAM_TIME: Duration = Duration::from_millis(4300);
/// Time that a call of a plain service takes, nearly always.
const CALL_TIME: Duration = Duration::from_millis(300);
/// Pause suggested while no upstream takes a request.
const BUSY_PAUSE: Duration = Duration::from_millis(400);

/// A request in flight, counted until it is dropped; dropped before its end, its caller has left.
pub struct InFlight {
    gateway: Arc<Gateway>,
    request: RequestId,
    arrived: Duration,
    labels: Option<(Option<OrgId>, RouteId)>,
    ended: bool,
}

impl InFlight {
    fn new(gateway: &Arc<Gateway>, request: RequestId) -> Self {
        gateway.working.send_modify(|count| *count += 1);
        Self { gateway: Arc::clone(gateway), request, arrived: gateway.now(), labels: None, ended: false }
    }

    fn label(&mut self, job: &Job) {
        self.labels = Some((job.organisation.clone(), job.route.id.clone()));
    }

    /// The caller has its answer, or what there is of it.
    pub fn end(&mut self, outcome: Outcome) {
        self.ended = true;
        self.count(outcome);
    }

    fn count(&self, outcome: Outcome) {
        if let Some((organisation, route)) = &self.labels {
            let took = self.gateway.now() - self.arrived;
            self.gateway.metrics.request(organisation.as_ref(), route, outcome, took);
        }
    }
}

impl Drop for InFlight {
    fn drop(&mut self) {
        self.gateway.working.send_modify(|count| *count -= 1);
        if !self.ended {
            self.count(Outcome::Abandoned);
            let waited = (self.gateway.now() - self.arrived).as_millis() as u64;
            log::info!(request = self.request.as_str(), waited_ms = waited; "caller left before its answer was whole");
        }
    }
}

/// What was tried for a request.
#[derive(Debug, Default)]
pub struct Tries {
    /// Upstreams that it was sent to.
    pub upstreams: Vec<UpstreamId>,
    /// Sends whose outcome is unknown, or that ran.
    pub ran: u32,
    /// Sends proven not to have run.
    pub refused: u32,
    /// Why the last one failed.
    pub reason: String,
    /// Pause that an upstream asked for.
    pub pause: Option<Duration>,
}

impl Tries {
    /// Takes a failure; tells whether it may have run.
    pub fn note(&mut self, failure: Failure) -> bool {
        match failure {
            Failure::NotRun { reason, pause, .. } => {
                self.refused += 1;
                self.reason = reason;
                self.pause = pause;
                false
            }
            Failure::Unknown { reason } => {
                self.ran += 1;
                self.reason = reason;
                true
            }
        }
    }

    /// Whether another send is allowed, its budget aside.
    #[must_use]
    pub fn may_send(&self, job: &Job) -> bool {
        let repeats = self.ran == 0 || job.route.repeat.may_repeat();
        repeats && self.ran < job.route.attempts && self.ran + self.refused < job.route.attempts + EXTRA_SENDS
    }

    /// Sends so far.
    #[must_use]
    pub fn sends(&self) -> u32 {
        self.ran + self.refused
    }
}

/// Answers a request.
pub async fn answer(gateway: &Arc<Gateway>, request: Request<Incoming>) -> Response {
    let arrived = gateway.now();
    let asked = match admit::asked(&request) {
        Ok(asked) => asked,
        Err(refusal) => return refusal.response(None, None),
    };
    let id = asked.request.clone();
    let mut in_flight = InFlight::new(gateway, id.clone());
    let response = match admit::admit(gateway, asked, request).await {
        Ok(job) => {
            if ends_too_soon(gateway, &job) {
                log::info!(request = id.as_str(), status = 503u16; "refused: {}", Refusal::Leaving);
                in_flight.end(Outcome::Refused);
                let wait = pause(left(gateway, &job), LEAVING_PAUSE);
                return close(Refusal::Leaving.response(Some(&id), Some(wait)));
            }
            gateway.traffic().window(&job.service).request(arrived);
            in_flight.label(&job);
            if job.route.repeat.is_stream() {
                stream::answer(gateway, job, in_flight).await
            } else {
                let response = plain::answer(gateway, job).await;
                in_flight.end(outcome(&response));
                response
            }
        }
        Err(refusal) => {
            let (declared, age) = known(gateway);
            log::info!(
                request = id.as_str(), status = refusal.status().as_u16(), declared = declared, beliefs_ms = age;
                "refused: {refusal}"
            );
            let wait = (refusal.status() == StatusCode::SERVICE_UNAVAILABLE).then_some(START_PAUSE);
            in_flight.end(Outcome::Refused);
            refusal.response(Some(&id), wait)
        }
    };
    if gateway.is_leaving() { close(response) } else { response }
}

// Whether the process ends before the answer would be whole. Until then it goes on, since the balancer may have nobody
// else in its zone.
fn ends_too_soon(gateway: &Gateway, job: &Job) -> bool {
    gateway.ends_within(if job.route.repeat.is_stream() { STREAM_TIME } else { CALL_TIME })
}

fn close(mut response: Response) -> Response {
    response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
    response
}

// Version of the declarations in force, and the age of what is believed, in milliseconds.
fn known(gateway: &Gateway) -> (u64, u64) {
    let beliefs = gateway.beliefs.load();
    let version = beliefs.declared.as_ref().map_or(0, |declared| declared.version);
    (version, gateway.now().saturating_sub(beliefs.heard).as_millis() as u64)
}

/// How a request ended, by its answer.
pub fn outcome(response: &Response) -> Outcome {
    match response.status().as_u16() {
        200..=299 => Outcome::Served,
        408 | 421 | 429 | 503 => Outcome::Refused,
        _ => Outcome::Failed,
    }
}

/// An upstream for a request, other than those tried already if there is one. A stream that goes on elsewhere stays
/// on its release.
pub fn choose(
    gateway: &Gateway,
    job: &Job,
    model: Option<&ModelId>,
    tried: &[UpstreamId],
    stays: Option<&ReleaseId>,
) -> Option<Arc<Upstream>> {
    let now = gateway.now();
    let beliefs = gateway.beliefs.load();
    let all = beliefs.upstreams(&job.service);
    let mut traffic = gateway.traffic();
    let life = gateway.settings.session_seconds;
    let session = job.asked.session.as_ref();
    let pinned = session.and_then(|session| traffic.sessions.get(now, session, life));
    let key = session.map_or(job.asked.request.as_str(), SessionId::as_str);
    let split = beliefs.split(&job.service);
    let same = |one: &&Arc<Upstream>| stays == Some(&one.release);
    let admitted = |one: &&Arc<Upstream>| split.admits(key, pinned, &one.release);
    let mut pool: Vec<&Arc<Upstream>> = all.iter().filter(same).collect();
    if pool.is_empty() {
        pool = all.iter().filter(admitted).collect();
    }
    let fresh: Vec<&Arc<Upstream>> = pool.iter().copied().filter(|one| !tried.contains(&one.id)).collect();
    if !fresh.is_empty() {
        pool = fresh;
    }
    let among: Vec<&Upstream> = pool.iter().map(|one| one.as_ref()).collect();
    let model = model.or(job.asked.model.as_ref());
    let weight = job.weight(model);
    let demand = Demand { model, parts: &job.asked.parts, prompt: job.asked.prompt, weight };
    let zone = gateway.settings.instance.zone.as_str();
    let chosen = traffic.choose(now, zone, &demand, &among)?.id.clone();
    let chosen = pool.into_iter().find(|one| one.id == chosen).cloned()?;
    session.into_iter().for_each(|session| traffic.sessions.set(now, session, &chosen.release));
    Some(chosen)
}

/// Whether the shared budget has a retry left; takes it.
pub fn take_retry(gateway: &Gateway, job: &Job) -> bool {
    let entries = gateway.beliefs.load().entries;
    let allowed = gateway.traffic().window(&job.service).retry(gateway.now(), &gateway.limit, entries);
    if allowed {
        gateway.metrics.retry();
    }
    allowed
}

/// The final answer to a request that no upstream answered.
pub fn give_up(gateway: &Gateway, job: &Job, tries: &Tries) -> Response {
    let over = left(gateway, job).is_zero();
    let refusal = match (tries.ran > 0, over) {
        (true, true) => Refusal::Overdue,
        (true, false) => Refusal::Failed { reason: tries.reason.clone() },
        (false, true) => Refusal::Late,
        (false, false) => Refusal::Busy { reason: tries.reason.clone() },
    };
    let wait = pause(left(gateway, job), tries.pause.unwrap_or(BUSY_PAUSE));
    let (declared, age) = known(gateway);
    log::info!(
        request = job.asked.request.as_str(),
        route = job.route.id.as_str(),
        service = job.service.as_str(),
        sends = tries.sends(),
        ran = tries.ran,
        waited_ms = (gateway.now() - job.arrived).as_millis() as u64,
        declared = declared,
        beliefs_ms = age,
        status = refusal.status().as_u16();
        "given up: {refusal}"
    );
    let wait = (tries.ran == 0).then_some(wait);
    refusal.response(Some(&job.asked.request), wait)
}

/// Counts an attempt that was not waited for any longer, for its release.
pub fn record_overdue(gateway: &Gateway, job: &Job, model: Option<&ModelId>, release: &ReleaseId) {
    let kind = job.kind(model);
    let counted = Counted { service: &job.service, release, kind: &kind, failed: false, pace: Took::Overdue };
    let beliefs = gateway.beliefs.load();
    gateway.traffic().count(&counted, beliefs.split(&job.service));
}

/// Counts how long the head of an answer took, for its release: a slow release shows by it long before its answers
/// are whole, and by answers that are dropped for a larger model's.
pub fn record_head(gateway: &Gateway, job: &Job, live: &Live) {
    let kind = format!("{}/head", job.kind(live.model.as_ref()));
    let pace = Took::Pace(live.pace(gateway.now(), 0));
    let release = &live.upstream.release;
    let counted = Counted { service: &job.service, release, kind: &kind, failed: false, pace };
    let beliefs = gateway.beliefs.load();
    gateway.traffic().count(&counted, beliefs.split(&job.service));
}

/// Counts an answer for its release, and logs it.
pub fn record(gateway: &Gateway, job: &Job, live: &Live, pace: Took, tries: &Tries) {
    let failed = live.status.is_server_error();
    let model = live.model.as_ref().map_or("", ModelId::as_str);
    let kind = job.kind(live.model.as_ref());
    let now = gateway.now();
    let beliefs = gateway.beliefs.load();
    let pace = if failed { Took::Unknown } else { pace };
    let counted = Counted { service: &job.service, release: &live.upstream.release, kind: &kind, failed, pace };
    let mut traffic = gateway.traffic();
    traffic.count(&counted, beliefs.split(&job.service));
    if let Some(session) = &job.asked.session {
        traffic.sessions.set(now, session, &live.upstream.release);
    }
    if !failed {
        traffic.note(now, &live.upstream.id, HealthEvent::Good);
    }
    drop(traffic);
    log::info!(
        request = job.asked.request.as_str(),
        route = job.route.id.as_str(),
        session = job.asked.session.as_ref().map_or("", SessionId::as_str),
        upstream = live.upstream.id.as_str(),
        release = live.upstream.release.as_str(),
        model = model,
        confidence = live.proof.confidence.map_or(-1, i16::from),
        sends = tries.sends() + 1,
        took_ms = (now - job.arrived).as_millis() as u64,
        status = live.status.as_u16();
        "answered"
    );
}

/// An upstream's answer for the caller.
pub fn pass_on(status: StatusCode, headers: &HeaderMap, body: AnswerBody) -> Response {
    let mut response = Response::new(body);
    *response.status_mut() = status;
    *response.headers_mut() = bluebell_platform::headers::encode_answer(headers);
    response
}

/// An upstream's whole answer for the caller.
pub fn pass_whole(status: StatusCode, headers: &HeaderMap, body: Bytes) -> Response {
    pass_on(status, headers, Full::new(body).map_err(|never| match never {}).boxed_unsync())
}
