//! An admitted request, shared by all its attempts.

use std::{
    sync::{Arc, atomic::AtomicU32},
    time::Duration,
};

use bluebell_core::{
    ids::{ModelId, OrgId, ReleaseId, ServiceId},
    ingress::{Engine, Route},
    placing::Part,
    poison::Fingerprint,
    units::Tokens,
};
use bluebell_platform::headers::CallerHeaders;
use bytes::Bytes;
use hyper::{HeaderMap, Method, Uri};

use super::{
    pool::UsedConnections,
    state::Gateway,
    traffic::{AnswerPace, CountedAnswer},
};

/// An admitted request.
#[derive(Debug)]
pub struct Job {
    /// Decoded headers of the caller: request id, session, model, prompt and deadline.
    pub caller: CallerHeaders,
    /// Route that the request matched.
    pub route: Arc<Route>,
    /// Service that the route selected for the request.
    pub service: ServiceId,
    /// Organisation of the caller; none for requests without a known key.
    pub organisation: Option<OrgId>,
    /// Priority rank; 0 is the most urgent.
    pub rank: u8,
    /// HTTP method.
    pub method: Method,
    /// Path and query.
    pub uri: Uri,
    /// All headers as received.
    pub headers: HeaderMap,
    /// Complete body.
    pub body: Bytes,
    /// Fingerprint shared by the request and its repeats.
    pub fingerprint: Fingerprint,
    /// Fingerprints of the prompt parts that it may share with other requests.
    pub parts: Vec<Fingerprint>,
    /// Engine behind the service, if the service runs models.
    pub engine: Option<Engine>,
    /// Arrival time.
    pub arrived: Duration,
    /// Time by which the request must be answered.
    pub deadline: Duration,
    /// Connections on which it was sent; none of them carries it again.
    pub used: UsedConnections,
    /// How often an upstream was passed over because of its ramp-up.
    pub passed_over: AtomicU32,
}

/// Maximum number of shared prompt parts of a request that are tracked.
const MAX_SHARED_PARTS: usize = 16;

/// Engine time of a generated token, in prompt tokens. An engine generates tokens one step at a time, and processes a
/// prompt in large chunks.
const OUTPUT_TOKEN_WORK: f64 = 10.0;

/// Fingerprints of the prompt parts that a request may share with other requests: all but the last.
#[must_use]
pub fn shared_parts(service: &ServiceId, parts: &[Part]) -> Vec<Fingerprint> {
    let shared = parts.split_last().map_or(&[][..], |(_, shared)| shared);
    shared.iter().take(MAX_SHARED_PARTS).map(|part| Fingerprint::of_part(service, &part.id)).collect()
}

impl Job {
    /// What may cause crashes of upstreams that run the request: the request itself, or a part of its prompt.
    pub fn causes(&self) -> impl Iterator<Item = &Fingerprint> + Clone {
        std::iter::once(&self.fingerprint).chain(&self.parts)
    }

    /// Fingerprints of the shared prompt parts, for a log line.
    #[must_use]
    pub fn parts_text(&self) -> String {
        self.parts.iter().map(Fingerprint::to_string).collect::<Vec<_>>().join(" ")
    }

    /// Memory of an engine of the service, in tokens; 0 if the service runs no models.
    #[must_use]
    pub fn engine_memory(&self) -> Tokens {
        self.engine.as_ref().map_or(Tokens::default(), |engine| engine.memory)
    }

    /// Kind of work (`route/model`) under which answers are counted per release.
    #[must_use]
    pub fn work_kind(&self, model: Option<&ModelId>) -> String {
        format!("{}/{}", self.route.id, model.map_or("", ModelId::as_str))
    }

    /// Cost of a token with a model, relative to the mean of the models.
    #[must_use]
    pub fn token_weight(&self, model: Option<&ModelId>) -> f64 {
        self.engine.as_ref().zip(model).map_or(1.0, |(engine, model)| engine.weight(model))
    }

    /// Engine time of a run with a model, in prompt tokens of the mean of the models.
    #[must_use]
    pub fn engine_work(&self, model: Option<&ModelId>) -> f64 {
        let model = model.or(self.caller.model.as_ref());
        let tokens = self.caller.prompt.0 as f64 + OUTPUT_TOKEN_WORK * self.caller.output.0 as f64;
        tokens * self.token_weight(model)
    }

    /// Time left until the deadline.
    #[must_use]
    pub fn time_left(&self, gateway: &Gateway) -> Duration {
        self.deadline.saturating_sub(gateway.now())
    }

    /// Whether the retry budget has a retry left for the request, and neither it nor a part of its prompt is blocked.
    #[must_use]
    pub fn may_be_retried(&self, gateway: &Gateway) -> bool {
        let routing = gateway.routing.load();
        let is_blocked = routing.suspects.worst(self.causes()).is_some_and(|(_, found)| found.is_poison);
        let mut traffic = gateway.traffic();
        let window = traffic.retry_window(&self.service);
        !is_blocked && window.may_retry(gateway.now(), &gateway.retry_limit, routing.gateways)
    }

    /// Counts an attempt that took too long, for the release that ran it: the gateway stopped waiting for the answer,
    /// or its stream is much slower than usual.
    pub fn record_overdue(&self, gateway: &Gateway, model: Option<&ModelId>, release: &ReleaseId) {
        let kind = self.work_kind(model);
        gateway.count_answer(&CountedAnswer {
            service: &self.service,
            release,
            kind: &kind,
            failed: false,
            pace: AnswerPace::Overdue,
        });
    }
}
