//! One send of a request to one upstream, and what its outcome proves.

use std::{sync::Arc, time::Duration};

use bluebell_core::{
    ids::ModelId,
    placing::{HealthEvent, PREFILL_TOKENS_PER_MS},
    poison::{AttemptOutcome, ResponseLoss},
    upstreams::Upstream,
};
use bluebell_platform::headers::{self, Forward, ResponseHeaders};
use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::{Request, StatusCode, body::Incoming};
use tokio::time::timeout;

use super::{ends, gathered::Gathered, job::Job, place::Place, pool::Lease, state::Gateway};

/// Largest body after which a connection is kept although the upstream answered with a failure; behind a longer one
/// the upstream may still be reading.
const KEEP_AFTER_FAILURE_BYTES: usize = 4096;

/// Time that an answer takes without its prompt and events, in seconds.
const EXPECTED_START_S: f64 = 0.02;
/// Time that an event takes, in seconds.
const EXPECTED_EVENT_S: f64 = 0.02;

/// An attempt without an answer.
#[derive(Debug)]
pub enum Failure {
    /// It is certain that the upstream did not and will not run the request.
    NotRun {
        /// What proves it.
        reason: String,
        /// Time after which the upstream wants to be asked again.
        pause: Option<Duration>,
        /// Whether the request reached the upstream.
        arrived: bool,
    },
    /// The upstream may have run it, or may run it yet.
    Unknown {
        /// What was seen.
        reason: String,
        /// How the answer was lost.
        loss: ResponseLoss,
    },
}

/// How long the head of an answer is waited for.
#[derive(Debug, Clone, Copy)]
pub enum Patience {
    /// To the end of the request's time.
    Whole,
    /// For so long.
    Fixed(Duration),
    /// Until the upstream has shown no sign of life for so long.
    Alive(Duration),
}

/// What goes to an upstream beside the request itself.
#[derive(Debug, Clone)]
pub struct Order {
    /// The upstream.
    pub upstream: Arc<Upstream>,
    /// Model chosen, where the choice was open.
    pub model: Option<ModelId>,
    /// The last event that the caller has.
    pub last_event: u64,
    /// How long the head of the answer is waited for.
    pub patience: Patience,
}

/// An answer that has begun.
pub struct Live {
    /// Its status.
    pub status: StatusCode,
    /// Its headers.
    pub headers: hyper::HeaderMap,
    /// What they prove.
    pub proof: ResponseHeaders,
    /// The upstream.
    pub upstream: Arc<Upstream>,
    /// The model that answers, where the choice was open.
    pub model: Option<ModelId>,
    /// When it was sent, on a connection that stood.
    pub sent: Duration,
    /// The place taken at the upstream.
    pub place: Place,
    body: Incoming,
    lease: Lease,
    keep: bool,
}

/// What comes next of an answer's body.
pub enum Piece {
    /// Bytes.
    Data(Bytes),
    /// The body is whole.
    End,
    /// It broke off.
    Broken(String),
}

impl Live {
    /// Time that the answer has taken so far, against what so many events of it are expected to take after the part
    /// of the prompt that was not cached; only the proportion to other answers matters.
    #[must_use]
    pub fn pace(&self, now: Duration, events: u64) -> f64 {
        let read = self.place.reading().0 as f64 / PREFILL_TOKENS_PER_MS / 1000.0;
        let expected = EXPECTED_START_S + read + EXPECTED_EVENT_S * events as f64;
        (now - self.sent).as_secs_f64() / expected
    }

    /// The next piece of the body.
    pub async fn next(&mut self) -> Piece {
        loop {
            return match self.body.frame().await {
                None => Piece::End,
                Some(Err(error)) => Piece::Broken(error.to_string()),
                Some(Ok(frame)) => match frame.into_data() {
                    Ok(data) => Piece::Data(data),
                    Err(_) => continue,
                },
            };
        }
    }

    /// The whole body.
    ///
    /// # Errors
    /// When it broke off, or is longer than any answer; the text says how.
    pub async fn whole(&mut self, gathered: &Gathered) -> Result<Bytes, String> {
        let mut answer = gathered.answer();
        loop {
            match self.next().await {
                Piece::Data(data) => answer.push(&data).map_err(|error| error.to_string())?,
                Piece::End => return Ok(answer.finish().into()),
                Piece::Broken(reason) => return Err(reason),
            }
        }
    }

    /// Keeps the connection of an answer that was read whole.
    pub fn finish(self, gateway: &Gateway) {
        let Self { lease, keep, proof, mut place, status, .. } = self;
        place.land(if status.is_server_error() { AttemptOutcome::UpstreamAlive } else { AttemptOutcome::Answered });
        if keep && !proof.closes {
            gateway.pools.put(lease, gateway.now(), proof.idle);
        }
    }
}

fn request(job: &Job, order: &Order, left: Duration) -> Request<Full<Bytes>> {
    let forward = Forward {
        time_left: left,
        upstream: &order.upstream.id,
        organisation: job.organisation.as_ref(),
        rank: job.rank,
        model: order.model.as_ref(),
        last_event: order.last_event,
    };
    let mut request = Request::new(Full::new(job.body.clone()));
    *request.method_mut() = job.method.clone();
    *request.uri_mut() = job.uri.clone();
    *request.headers_mut() = headers::encode_forward(&job.headers, &forward);
    request
}

/// Sends a request to an upstream and waits for the head of its answer.
///
/// # Errors
/// When there is no answer to this request; the failure says whether it may have run.
pub async fn send(gateway: &Arc<Gateway>, job: &Job, order: &Order) -> Result<Live, Failure> {
    let place = Place::take(gateway, job, &order.upstream, order.model.as_ref());
    let begun = gateway.now();
    let result = exchange(gateway, job, order, place, begun).await;
    if let Err(Failure::Unknown { loss, .. }) = &result {
        ends::lose(gateway, &order.upstream, *loss);
    }
    let event = match &result {
        // A timeout is that of the request, not a fault of the upstream.
        Ok(live) if live.status == StatusCode::GATEWAY_TIMEOUT => None,
        Ok(live) if live.status.is_server_error() => Some(HealthEvent::Failed),
        Ok(_) => None,
        Err(Failure::NotRun { arrived: true, .. }) => Some(HealthEvent::Refused),
        Err(Failure::NotRun { .. }) => Some(HealthEvent::Lost),
        Err(Failure::Unknown { .. }) => None,
    };
    if let Some(event) = event {
        gateway.traffic().note(gateway.now(), &order.upstream.id, event);
    }
    result
}

async fn exchange(
    gateway: &Arc<Gateway>,
    job: &Job,
    order: &Order,
    mut place: Place,
    begun: Duration,
) -> Result<Live, Failure> {
    let mut lease = connect(gateway, order).await?;
    let (response, sent) = loop {
        let sent = gateway.now();
        place.depart();
        lease.expect_head();
        let left = job.end.saturating_sub(gateway.now());
        let sending = lease.sender.try_send_request(request(job, order, left));
        let waited = wait_for(gateway, order, begun, job.end, sending).await;
        let Some(answered) = waited else {
            job.record_overdue(gateway, order.model.as_ref(), &order.upstream.release);
            let reason = format!("no answer in time: {:?}", order.patience);
            return Err(Failure::Unknown { reason, loss: ResponseLoss::TimedOut });
        };
        match answered {
            Ok(response) => break (response, sent),
            Err(mut error) => {
                let unsent = error.take_message().is_some();
                let reason = error.into_error().to_string();
                if !unsent {
                    return Err(Failure::Unknown { reason, loss: ResponseLoss::Broken });
                }
                // Nothing was written on a connection that had ended before.
                place.land(AttemptOutcome::UpstreamAlive);
                if !lease.used {
                    return Err(Failure::NotRun { reason, pause: None, arrived: false });
                }
                lease = connect(gateway, order).await?;
            }
        }
    };
    lease.expect_body();
    gateway.traffic().hear(gateway.now(), &order.upstream.id);
    let (head, body) = response.into_parts();
    let proof = headers::decode_response(&head.headers);
    if let Some(report) = proof.load {
        gateway.traffic().report(gateway.now(), &order.upstream.id, report);
    }
    if proof.request.as_deref().is_some_and(|id| id != job.asked.request.as_str()) {
        let reason = "the answer belongs to another request".to_owned();
        return Err(Failure::Unknown { reason, loss: ResponseLoss::Broken });
    }
    let misdirected = head.status == StatusCode::MISDIRECTED_REQUEST;
    if proof.not_run || misdirected {
        let reason = format!("status {} and not run", head.status);
        let pause = proof.retry_after;
        place.land(AttemptOutcome::UpstreamAlive);
        drain_refusal(gateway, body, lease, &proof).await;
        return Err(Failure::NotRun { reason, pause, arrived: true });
    }
    if proof.request.is_none() || !proof.stamped {
        let reason = format!("status {} without the upstream's signature", head.status);
        return Err(Failure::Unknown { reason, loss: ResponseLoss::Broken });
    }
    let keep = head.status.is_success() || job.body.len() <= KEEP_AFTER_FAILURE_BYTES;
    let (upstream, model) = (Arc::clone(&order.upstream), order.model.clone());
    Ok(Live { status: head.status, headers: head.headers, proof, upstream, model, sent, place, body, lease, keep })
}

// None when the patience is over.
async fn wait_for<T>(
    gateway: &Gateway,
    order: &Order,
    begun: Duration,
    end: Duration,
    sending: impl Future<Output = T>,
) -> Option<T> {
    let mut sending = std::pin::pin!(sending);
    loop {
        let now = gateway.now();
        let left = end.saturating_sub(now);
        let wait = match order.patience {
            Patience::Whole => left,
            Patience::Fixed(time) => (begun + time).saturating_sub(now).min(left),
            Patience::Alive(time) => gateway.traffic().patience(now, &order.upstream.id, begun, time).min(left),
        };
        if wait.is_zero() {
            return None;
        }
        if let Ok(done) = timeout(wait, sending.as_mut()).await {
            return Some(done);
        }
    }
}

async fn connect(gateway: &Arc<Gateway>, order: &Order) -> Result<Lease, Failure> {
    let lease = gateway.pools.get(order.upstream.address, gateway.now()).await;
    lease.map_err(|error| {
        if error.is_refused() {
            ends::refuse(gateway, &order.upstream);
        }
        Failure::NotRun { reason: error.to_string(), pause: None, arrived: false }
    })
}

/// Longest refusal that is read to keep its connection.
const MAX_REFUSAL_BYTES: usize = 64 << 10;
/// Time for the rest of a refusal, after which its connection is closed instead of kept.
const REFUSAL_TIME: Duration = Duration::from_millis(20);

async fn drain_refusal(gateway: &Arc<Gateway>, body: Incoming, lease: Lease, proof: &ResponseHeaders) {
    let read = timeout(REFUSAL_TIME, Limited::new(body, MAX_REFUSAL_BYTES).collect()).await;
    if matches!(read, Ok(Ok(_))) && !proof.closes {
        gateway.pools.put(lease, gateway.now(), proof.idle);
    }
}
