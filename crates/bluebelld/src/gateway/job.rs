//! A request that was admitted, as all its attempts see it.

use std::{sync::Arc, time::Duration};

use bluebell_core::{
    ids::{ModelId, OrgId, ReleaseId, ServiceId},
    ingress::{Engine, Route},
    poison::Fingerprint,
    units::Tokens,
};
use bluebell_platform::headers::CallerHeaders;
use bytes::Bytes;
use hyper::{HeaderMap, Method, Uri};

use super::{
    state::Gateway,
    traffic::{Counted, Took},
};

/// A request that was admitted.
#[derive(Debug)]
pub struct Job {
    /// What it asks for.
    pub asked: CallerHeaders,
    /// Its route.
    pub route: Arc<Route>,
    /// The service that takes it.
    pub service: ServiceId,
    /// Organisation of the caller.
    pub organisation: Option<OrgId>,
    /// Its rank, 0 the most urgent.
    pub rank: u8,
    /// Its method.
    pub method: Method,
    /// Its path and query.
    pub uri: Uri,
    /// Its headers.
    pub headers: HeaderMap,
    /// Its body.
    pub body: Bytes,
    /// What it has in common with its repeats.
    pub fingerprint: Fingerprint,
    /// The engine behind the service, where it runs models.
    pub engine: Option<Engine>,
    /// When it arrived.
    pub arrived: Duration,
    /// When it must be answered.
    pub end: Duration,
}

impl Job {
    /// Memory of an engine of the service.
    #[must_use]
    pub fn memory(&self) -> Tokens {
        self.engine.as_ref().map_or(Tokens::default(), |engine| engine.memory)
    }

    /// Kind of work, for counts by release.
    #[must_use]
    pub fn kind(&self, model: Option<&ModelId>) -> String {
        format!("{}/{}", self.route.id, model.map_or("", ModelId::as_str))
    }

    /// Work that a token makes with a model, against the mean of the models.
    #[must_use]
    pub fn weight(&self, model: Option<&ModelId>) -> f64 {
        self.engine.as_ref().zip(model).map_or(1.0, |(engine, model)| engine.weight(model))
    }

    /// Time left of it.
    #[must_use]
    pub fn left(&self, gateway: &Gateway) -> Duration {
        self.end.saturating_sub(gateway.now())
    }

    /// Counts an attempt that was not waited for any longer, for its release.
    pub fn record_overdue(&self, gateway: &Gateway, model: Option<&ModelId>, release: &ReleaseId) {
        let kind = self.kind(model);
        gateway.count(&Counted { service: &self.service, release, kind: &kind, failed: false, pace: Took::Overdue });
    }
}
