//! What operators declare for incoming requests: routes by host and path, services with their models, organisations
//! with their keys. One version of it is a whole; a newer one replaces it.

use std::{sync::Arc, time::Duration};

use indexmap::IndexMap;

use crate::{
    ids::{ModelId, OrgId, RouteId, ServiceId},
    routing::rendezvous,
    units::Tokens,
};

/// Whether work of a route may be done more than once.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Repeat {
    /// It may run again after any failure.
    Idempotent,
    /// It may run at most once.
    Once,
    /// A stream of events that may go on elsewhere after the last event delivered.
    Resumable,
    /// A stream of events that may run at most once.
    StreamOnce,
}

impl Repeat {
    /// Whether the answer is a stream of events.
    #[must_use]
    pub fn is_stream(self) -> bool {
        matches!(self, Self::Resumable | Self::StreamOnce)
    }

    /// Whether a second run is harmless.
    #[must_use]
    pub fn may_repeat(self) -> bool {
        matches!(self, Self::Idempotent | Self::Resumable)
    }
}

/// A service with its share of a route's requests.
#[derive(Debug, Clone, PartialEq)]
pub struct Target {
    /// The service.
    pub service: ServiceId,
    /// Its weight among the targets.
    pub weight: f64,
}

/// A route from a host and a path prefix to services.
#[derive(Debug, Clone, PartialEq)]
pub struct Route {
    /// Its name.
    pub id: RouteId,
    /// Host that callers name.
    pub host: String,
    /// Start of the path, with a slash at both ends.
    pub prefix: String,
    /// Whether work may be done more than once.
    pub repeat: Repeat,
    /// Longest time that a caller is kept waiting.
    pub timeout: Duration,
    /// Time within which an answer, or its first event, is on time.
    pub target: Duration,
    /// Longest pause between events that is still on time.
    pub gap: Duration,
    /// Rank, 0 the most urgent.
    pub rank: u8,
    /// Upstreams to which one request may be sent.
    pub attempts: u32,
    /// Models to choose from, smallest first; empty where callers name one.
    pub models: Vec<ModelId>,
    /// Services that take the requests.
    pub targets: Vec<Target>,
    /// Whether callers need no key.
    pub public: bool,
}

impl Route {
    /// The service that takes a request, by a hash of its id.
    #[must_use]
    pub fn service(&self, request: &str) -> Option<&ServiceId> {
        let total: f64 = self.targets.iter().map(|target| target.weight).sum();
        let mut left = rendezvous::fraction(request) * total;
        let weighted = self.targets.iter().filter(|target| target.weight > 0.0);
        let mut last = None;
        for target in weighted {
            last = Some(&target.service);
            left -= target.weight;
            if left < 0.0 {
                break;
            }
        }
        last
    }
}

/// A model that a service's engines run.
#[derive(Debug, Clone, PartialEq)]
pub struct Model {
    /// Its name.
    pub id: ModelId,
    /// Price of a thousand generated tokens.
    pub cost: f64,
}

/// The engine behind a service that runs models.
#[derive(Debug, Clone, PartialEq)]
pub struct Engine {
    /// Requests that one upstream works on at once.
    pub slots: u32,
    /// Memory for cached and running tokens.
    pub memory: Tokens,
    /// Models with their prices.
    pub models: Vec<Model>,
}

impl Engine {
    /// Work that a token of a model makes, against the mean of the models; models cost about what they take of an
    /// engine.
    #[must_use]
    pub fn weight(&self, model: &ModelId) -> f64 {
        let mean = self.models.iter().map(|model| model.cost).sum::<f64>() / self.models.len().max(1) as f64;
        let found = self.models.iter().find(|known| known.id == *model);
        found.filter(|_| mean > 0.0).map_or(1.0, |model| model.cost / mean)
    }
}

/// A service.
#[derive(Debug, Clone, PartialEq)]
pub struct Service {
    /// Its name.
    pub id: ServiceId,
    /// Connections that one upstream accepts from all callers together.
    pub connections: u32,
    /// The engine, where the service runs models.
    pub engine: Option<Engine>,
}

/// An organisation that sends requests.
#[derive(Debug, Clone, PartialEq)]
pub struct Organisation {
    /// Its name.
    pub id: OrgId,
    /// Rank of all its requests, instead of the route's.
    pub rank: Option<u8>,
}

/// What callers may send.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Limits {
    /// Size of a body, in bytes.
    pub body: usize,
}

/// Largest body accepted where nothing is declared, in bytes.
const DEFAULT_BODY_BYTES: usize = 4 << 20;

impl Default for Limits {
    fn default() -> Self {
        Self { body: DEFAULT_BODY_BYTES }
    }
}

/// One version of all declarations.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Declared {
    /// Its version.
    pub version: u64,
    /// Services by name.
    pub services: IndexMap<ServiceId, Service>,
    /// Organisations by the keys that they present.
    pub keys: IndexMap<String, Arc<Organisation>>,
    /// Whether callers present keys at all.
    pub keyed: bool,
    /// What callers may send.
    pub limits: Limits,
    routes: IndexMap<String, Vec<Arc<Route>>>,
}

impl Declared {
    /// Declarations of a version, without routes, services and keys.
    #[must_use]
    pub fn new(version: u64, limits: Limits) -> Self {
        Self { version, limits, ..Self::default() }
    }

    /// Adds routes; among those of a host the longest prefix goes first.
    pub fn add_routes(&mut self, routes: impl IntoIterator<Item = Route>) {
        for route in routes {
            self.routes.entry(route.host.to_lowercase()).or_default().push(Arc::new(route));
        }
        for routes in self.routes.values_mut() {
            routes.sort_by_key(|route| std::cmp::Reverse(route.prefix.len()));
        }
    }

    /// The route of a request.
    #[must_use]
    pub fn route(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let name = host.split(':').next().unwrap_or_default().to_lowercase();
        self.routes.get(&name)?.iter().find(|route| path.starts_with(&route.prefix))
    }

    /// All routes.
    pub fn routes(&self) -> impl Iterator<Item = &Arc<Route>> {
        self.routes.values().flatten()
    }
}
