//! Requests with a stream of events. A stream that an upstream cuts goes on at another upstream of the same release,
//! inside the same answer and after the last whole event; where that can't be, it breaks towards the caller.

use std::{io, sync::Arc, time::Duration};

use bluebell_core::{
    cascade::{self, AnswerHead},
    events::{Batch, EventError, EventSplitter},
    ids::ModelId,
    placing::PREFILL_TOKENS_PER_MS,
    poison::ResponseLoss,
    upstreams::Upstream,
};
use bytes::Bytes;
use futures_util::stream;
use http_body_util::{BodyExt, StreamBody};
use hyper::body::Frame;
use tokio::time::timeout;

use super::{
    body::Response,
    choose::{NextSend, backlog, next},
    record::{record, record_head},
    reply::{give_up, outcome, pass_on, pass_whole},
    tries::{InFlight, Tries},
};
use crate::{
    gateway::{
        attempt::{self, Failure, Live, Order, Patience, Piece},
        ends,
        job::Job,
        state::Gateway,
        traffic::Took,
    },
    metrics::Outcome,
};

/// Silence of an upstream on all connections after which a request without an answer goes elsewhere; reading the
/// longest prompts takes up to two seconds.
const HEAD_SILENCE: Duration = Duration::from_millis(2000);
/// Silence of an upstream on all connections after which a stream goes on elsewhere.
const STREAM_SILENCE: Duration = Duration::from_millis(2500);

/// Events of a stream from which its pace is looked at.
const PACED_EVENTS: u64 = 3;

/// Answers a request with a stream.
pub async fn answer(gateway: &Arc<Gateway>, job: Job, mut in_flight: InFlight) -> Response {
    let mut tries = Tries::default();
    let mut model = first_model(gateway, &job);
    loop {
        let ask = NextSend { model: model.as_ref(), stays: None, is_paid: true };
        let live = match begin(gateway, &job, ask, job.asked.last_event, &mut tries).await {
            Ok(live) => live,
            Err(response) => {
                in_flight.end(outcome(&response));
                return *response;
            }
        };
        if let Some(larger) = larger_model(gateway, &job, &live, &tries) {
            log::info!(
                request = job.asked.request.as_str(),
                confidence = live.proof.confidence.unwrap_or_default(),
                model = larger.as_str();
                "a larger model answers instead"
            );
            gateway.metrics.escalation();
            tries.ran += 1;
            model = Some(larger);
            continue;
        }
        let (status, headers) = (live.status, live.headers.clone());
        let relay = Relay::new(Arc::clone(gateway), job, live, tries, in_flight);
        let pieces = stream::unfold(relay, |mut relay| async move {
            let piece = relay.next().await?;
            Some((piece.map(Frame::data), relay))
        });
        return pass_on(status, &headers, StreamBody::new(pieces).boxed_unsync());
    }
}

fn first_model(gateway: &Gateway, job: &Job) -> Option<ModelId> {
    if job.asked.model.is_some() {
        return None;
    }
    let room = has_room(gateway, job);
    let entries = gateway.beliefs.load().entries;
    let may = gateway.traffic().window(&job.service).may_escalate(gateway.now(), &gateway.limit, entries);
    job.route.models.get(cascade::first_model(job.route.models.len(), may, room)).cloned()
}

// Whether the largest model can be asked without delaying others.
fn has_room(gateway: &Gateway, job: &Job) -> bool {
    let backlog = backlog(gateway, job);
    let weight = job.weight(job.route.models.last());
    let reading = Duration::from_secs_f64(job.asked.prompt.0 as f64 * weight / PREFILL_TOKENS_PER_MS / 1000.0);
    cascade::has_room(job.rank, backlog, reading, job.route.target)
}

fn larger_model(gateway: &Gateway, job: &Job, live: &Live, tries: &Tries) -> Option<ModelId> {
    let current = live.model.as_ref()?;
    let head = AnswerHead {
        model: job.route.models.iter().position(|model| model == current)?,
        model_count: job.route.models.len(),
        confidence: live.proof.confidence,
        time_left: job.left(gateway),
        time_limit: job.end - job.arrived,
        attempts_left: job.route.attempts.saturating_sub(tries.ran + 1),
        rank: job.rank,
        has_room: has_room(gateway, job),
    };
    let larger = cascade::escalate(&head)?;
    let entries = gateway.beliefs.load().entries;
    let allowed = gateway.traffic().window(&job.service).escalate(gateway.now(), &gateway.limit, entries);
    allowed.then(|| job.route.models.get(larger).cloned()).flatten()
}

// Sends until an upstream begins to answer. The refusal is boxed since it is rare and large.
async fn begin(
    gateway: &Arc<Gateway>,
    job: &Job,
    mut ask: NextSend<'_>,
    last_event: u64,
    tries: &mut Tries,
) -> Result<Live, Box<Response>> {
    while let Some(upstream) = next(gateway, job, tries, &ask) {
        ask.is_paid = false;
        let model = ask.model.cloned();
        let order = Order { upstream, model, last_event, patience: patience(job, tries) };
        match attempt::send(gateway, job, &order).await {
            Ok(live) if live.status.is_success() => {
                record_head(gateway, job, &live);
                return Ok(live);
            }
            Ok(live) => {
                tries.reason = format!("status {}", live.status);
                if let Some(response) = failure(gateway, job, live, tries).await {
                    return Err(Box::new(response));
                }
            }
            Err(failure) => drop(tries.note(failure)),
        }
        log::info!(
            request = job.asked.request.as_str(), fingerprint = job.fingerprint.to_string().as_str(),
            upstream = order.upstream.id.as_str(), ran = tries.ran;
            "attempt failed: {}", tries.reason
        );
    }
    Err(Box::new(give_up(gateway, job, tries)))
}

// The upstream's own failure, unless another try may follow.
async fn failure(gateway: &Arc<Gateway>, job: &Job, mut live: Live, tries: &mut Tries) -> Option<Response> {
    record(gateway, job, &live, Took::Unknown, tries);
    let body = timeout(job.left(gateway), live.whole(&gateway.gathered)).await;
    tries.ran += 1;
    let again = live.status.is_server_error() && tries.may_send(job);
    let loss = match &body {
        Ok(Ok(_)) => None,
        Ok(Err(_)) => Some(ResponseLoss::Broken),
        Err(_) => Some(ResponseLoss::TimedOut),
    };
    if let Some(loss) = loss {
        ends::lose(gateway, &live.upstream, loss);
    }
    let Ok(Ok(body)) = body else { return None };
    let response = pass_whole(live.status, &live.headers, body);
    live.finish(gateway);
    (!again).then_some(response)
}

fn patience(job: &Job, tries: &Tries) -> Patience {
    if job.route.repeat.may_repeat() && tries.ran + 1 < job.route.attempts {
        return Patience::Alive(HEAD_SILENCE);
    }
    Patience::Whole
}

/// Passes events on to the caller as they come.
struct Relay {
    gateway: Arc<Gateway>,
    job: Job,
    live: Option<Live>,
    cutter: EventSplitter,
    tries: Tries,
    events: u64,
    live_events: u64,
    overdue: bool,
    heard: Duration,
    upstream: Arc<Upstream>,
    model: Option<ModelId>,
    in_flight: InFlight,
}

impl Relay {
    fn new(gateway: Arc<Gateway>, job: Job, live: Live, tries: Tries, in_flight: InFlight) -> Self {
        let cutter = EventSplitter::after(job.asked.last_event);
        let (upstream, model) = (Arc::clone(&live.upstream), live.model.clone());
        let heard = gateway.now();
        let live = Some(live);
        Self {
            gateway,
            job,
            live,
            cutter,
            tries,
            events: 0,
            live_events: 0,
            overdue: false,
            heard,
            upstream,
            model,
            in_flight,
        }
    }

    async fn next(&mut self) -> Option<Result<Bytes, io::Error>> {
        loop {
            if let Some(error) = self.cutter.fault()
                && let Err(error) = self.resume(error.to_string(), ResponseLoss::Broken).await
            {
                return Some(Err(error));
            }
            let live = self.live.as_mut()?;
            let now = self.gateway.now();
            let left = self.job.end.saturating_sub(now);
            let wait = self.gateway.traffic().patience(now, &self.upstream.id, self.heard, STREAM_SILENCE);
            let (reason, loss) = match timeout(wait.min(left), live.next()).await {
                Ok(Piece::Data(data)) => match self.take(&data) {
                    Ok(batch) if batch.bytes.is_empty() => continue,
                    Ok(batch) => return Some(Ok(batch.bytes.into())),
                    Err(error) => (error.to_string(), ResponseLoss::Broken),
                },
                Ok(Piece::End) if self.cutter.is_whole() => {
                    self.finish();
                    return None;
                }
                Ok(Piece::End) => ("the stream ended inside an event".to_owned(), ResponseLoss::Broken),
                Ok(Piece::Broken(reason)) => (reason, ResponseLoss::Broken),
                Err(_) if wait > Duration::ZERO && !left.is_zero() => continue,
                Err(_) => ("the upstream fell silent, or the time is over".to_owned(), ResponseLoss::TimedOut),
            };
            if let Err(error) = self.resume(reason, loss).await {
                return Some(Err(error));
            }
        }
    }

    fn take(&mut self, data: &[u8]) -> Result<Batch, EventError> {
        let now = self.gateway.now();
        self.heard = now;
        self.gateway.traffic().hear(now, &self.upstream.id);
        let batch = self.cutter.push(data)?;
        if self.events == 0 && batch.count > 0 {
            let took = now - self.job.arrived;
            self.gateway.metrics.first_event(self.job.organisation.as_ref(), &self.job.route.id, took);
        }
        self.events += batch.count;
        self.live_events += batch.count;
        self.watch_pace();
        if let Some(live) = self.live.as_mut().filter(|_| batch.count > 0) {
            live.place.read();
            self.in_flight.progress(&live.upstream.id, self.events);
        }
        Ok(batch)
    }

    // A stream that is several times as slow as usual counts while it runs; its caller may not wait for its end.
    fn watch_pace(&mut self) {
        let Some(live) = self.live.as_ref().filter(|_| !self.overdue && self.live_events >= PACED_EVENTS) else {
            return;
        };
        let kind = self.job.kind(live.model.as_ref());
        let is_slow =
            self.gateway.traffic().is_slow(&self.job.service, &kind, live.pace(self.gateway.now(), self.live_events));
        if is_slow {
            self.job.record_overdue(&self.gateway, live.model.as_ref(), &live.upstream.release);
            self.overdue = true;
        }
    }

    fn finish(&mut self) {
        self.in_flight.end(Outcome::Served);
        let Some(live) = self.live.take() else { return };
        let pace =
            if self.overdue { Took::Unknown } else { Took::Pace(live.pace(self.gateway.now(), self.live_events)) };
        record(&self.gateway, &self.job, &live, pace, &self.tries);
        live.finish(&self.gateway);
    }

    // Closes the first connection before the stream goes on elsewhere.
    async fn resume(&mut self, reason: String, loss: ResponseLoss) -> Result<(), io::Error> {
        self.live = None;
        ends::lose(&self.gateway, &self.upstream, loss);
        self.cutter.reset();
        self.tries.note(Failure::Unknown { reason, loss });
        log::info!(
            request = self.job.asked.request.as_str(),
            fingerprint = self.job.fingerprint.to_string().as_str(),
            upstream = self.upstream.id.as_str(),
            event = self.cutter.last(),
            ran = self.tries.ran;
            "stream broke off: {}", self.tries.reason
        );
        let last = self.cutter.last();
        let ask = NextSend { model: self.model.as_ref(), stays: Some(&self.upstream.release), is_paid: false };
        if let Ok(live) = begin(&self.gateway, &self.job, ask, last, &mut self.tries).await {
            self.upstream = Arc::clone(&live.upstream);
            self.heard = self.gateway.now();
            (self.live_events, self.overdue) = (0, false);
            self.live = Some(live);
            return Ok(());
        }
        self.in_flight.end(Outcome::Failed);
        Err(io::Error::new(io::ErrorKind::UnexpectedEof, self.tries.reason.clone()))
    }
}
