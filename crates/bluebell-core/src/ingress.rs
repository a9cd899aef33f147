//! Configuration that operators declare for incoming requests: routes by host and path, services with their models, and
//! organisations with their API keys. Each version is complete and replaces the previous one.

use std::{sync::Arc, time::Duration};

use indexmap::IndexMap;

use crate::{
    ids::{ModelId, OrgId, RouteId, ServiceId},
    routing::rendezvous,
    units::{Rate, Tokens},
};

/// Whether requests of a route may be executed more than once.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Repeat {
    /// The request may be retried after any failure.
    Idempotent,
    /// The request may be executed at most once.
    NonIdempotent,
    /// The answer is an event stream that another upstream can resume after the last delivered event.
    ResumableStream,
    /// The answer is an event stream that can't be resumed, and the request may be executed at most once.
    NonResumableStream,
}

impl Repeat {
    /// Whether the answer is an event stream.
    #[must_use]
    pub fn is_stream(self) -> bool {
        matches!(self, Self::ResumableStream | Self::NonResumableStream)
    }

    /// Whether the request may be executed again.
    #[must_use]
    pub fn may_repeat(self) -> bool {
        matches!(self, Self::Idempotent | Self::ResumableStream)
    }
}

/// A service that receives a weighted share of a route's requests.
#[derive(Debug, Clone, PartialEq)]
pub struct Target {
    /// Id of the service.
    pub service: ServiceId,
    /// Weight relative to the other targets of the route.
    pub weight: f64,
}

/// Maps a host and a path prefix to services.
#[derive(Debug, Clone, PartialEq)]
pub struct Route {
    /// Name.
    pub id: RouteId,
    /// Host name that the request must have.
    pub host: String,
    /// Path prefix, with a leading and a trailing slash.
    pub prefix: String,
    /// Whether requests may be executed more than once.
    pub repeat: Repeat,
    /// Maximum time that a caller waits for the answer.
    pub timeout: Duration,
    /// Target latency of an answer, or of the first event of a stream.
    pub target: Duration,
    /// Target for the maximum time between two events of a stream.
    pub gap: Duration,
    /// Priority; 0 is the most urgent.
    pub rank: u8,
    /// Maximum number of attempts for a request.
    pub attempts: u32,
    /// Models that the router may choose from, smallest first; empty if callers specify the model.
    pub models: Vec<ModelId>,
    /// Services that receive the requests.
    pub targets: Vec<Target>,
    /// Whether requests without an API key are accepted.
    pub public: bool,
}

impl Route {
    /// Selects the service for a request by weight and a hash of the request id. Targets of weight zero get none.
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

/// A model that the engines of a service run.
#[derive(Debug, Clone, PartialEq)]
pub struct Model {
    /// Name.
    pub id: ModelId,
    /// Price of one thousand generated tokens.
    pub cost: f64,
}

/// The engine behind a service that runs models.
#[derive(Debug, Clone, PartialEq)]
pub struct Engine {
    /// Maximum number of concurrent requests per upstream.
    pub slots: u32,
    /// Memory capacity in tokens, for cached prompts and running requests.
    pub memory: Tokens,
    /// Models that the engine runs.
    pub models: Vec<Model>,
}

impl Engine {
    /// Relative cost of a token with a model, compared with the mean of the models; 1 for an unknown model. The price
    /// of a model is roughly proportional to the engine time that it needs.
    #[must_use]
    pub fn weight(&self, model: &ModelId) -> f64 {
        let mean = self.models.iter().map(|model| model.cost).sum::<f64>() / self.models.len().max(1) as f64;
        let found = self.models.iter().find(|known| known.id == *model);
        found.filter(|_| mean > 0.0).map_or(1.0, |model| model.cost / mean)
    }
}

/// Declaration of a service.
#[derive(Debug, Clone, PartialEq)]
pub struct Service {
    /// Name.
    pub id: ServiceId,
    /// Maximum number of connections that one upstream accepts in total.
    pub connections: u32,
    /// Engine properties, if the service runs models.
    pub engine: Option<Engine>,
    /// How its upstreams behave after a start, if they take fewer requests then.
    pub cold: Option<ColdStart>,
}

/// Behaviour of a service's upstreams after a start during traffic.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ColdStart {
    /// Time for which an upstream is cold.
    pub period: Duration,
    /// Rate at which a cold upstream takes requests, from all gateways together.
    pub rate: Rate,
}

/// An organisation that sends requests.
#[derive(Debug, Clone, PartialEq)]
pub struct Organisation {
    /// Name.
    pub id: OrgId,
    /// Priority of all its requests; overrides that of the route.
    pub rank: Option<u8>,
}

/// Limits on requests.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Limits {
    /// Maximum size of a request body in bytes.
    pub body: usize,
    /// Maximum size of a request head in bytes.
    pub head: usize,
    /// Maximum time from the first byte of a request head to its end.
    pub head_time: Duration,
    /// Maximum time for which a connection may be open without a request.
    pub idle_time: Duration,
}

/// Default maximum size of a request body in bytes.
const DEFAULT_BODY_BYTES: usize = 4 << 20;
/// Default maximum size of a request head in bytes.
const DEFAULT_HEAD_BYTES: usize = 16 << 10;
/// Default maximum time for a request head.
const DEFAULT_HEAD_TIME: Duration = Duration::from_secs(3);
/// Default maximum idle time of a connection.
const DEFAULT_IDLE_TIME: Duration = Duration::from_secs(15);

impl Default for Limits {
    fn default() -> Self {
        Self {
            body: DEFAULT_BODY_BYTES,
            head: DEFAULT_HEAD_BYTES,
            head_time: DEFAULT_HEAD_TIME,
            idle_time: DEFAULT_IDLE_TIME,
        }
    }
}

/// One version of the complete declared configuration.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Declared {
    /// Version of the configuration.
    pub version: u64,
    /// Services by name.
    pub services: IndexMap<ServiceId, Service>,
    /// Organisations by API key.
    pub keys: IndexMap<String, Arc<Organisation>>,
    /// Whether API keys are required, except on public routes.
    pub keyed: bool,
    /// Limits on requests.
    pub limits: Limits,
    routes: IndexMap<String, Vec<Arc<Route>>>,
}

impl Declared {
    /// Creates a configuration without routes, services and keys.
    #[must_use]
    pub fn new(version: u64, limits: Limits) -> Self {
        Self { version, limits, ..Self::default() }
    }

    /// Adds routes. Among the routes of a host, the longest prefix takes precedence.
    pub fn add_routes(&mut self, routes: impl IntoIterator<Item = Route>) {
        for route in routes {
            self.routes.entry(route.host.to_lowercase()).or_default().push(Arc::new(route));
        }
        for routes in self.routes.values_mut() {
            routes.sort_by_key(|route| std::cmp::Reverse(route.prefix.len()));
        }
    }

    /// Finds the route for a host, with or without a port, and a path.
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
