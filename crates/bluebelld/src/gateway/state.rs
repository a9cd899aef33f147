//! What the threads of a gateway share.

use std::{
    sync::{
        Arc, Mutex, MutexGuard, OnceLock, PoisonError,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};

use arc_swap::ArcSwap;
use bluebell_core::{canary::Schedule, clock::Clock, keys::KeyRing, retry::RetryLimit};
use bluebell_platform::store::Store;
use bluebell_wire::Identity;
use tokio::sync::{Notify, watch};

use super::{
    beliefs::Beliefs,
    metrics::GatewayMetrics,
    pool::ConnectionPool,
    response_buffer::BufferBudget,
    settings::GatewaySettings,
    traffic::{Counted, Traffic},
};
use crate::error::DaemonError;

/// What the threads of a gateway share.
pub struct Gateway {
    /// Settings of this process.
    pub settings: GatewaySettings,
    /// Source of time.
    pub clock: Arc<dyn Clock>,
    /// Who this process is to its peers.
    pub identity: Arc<Identity>,
    /// Client of the platform's store.
    pub store: Store,
    /// What the control thread believes.
    pub beliefs: ArcSwap<Beliefs>,
    /// Connections to upstreams.
    pub pools: ConnectionPool,
    /// Answers that are read whole.
    pub buffer_budget: BufferBudget,
    /// Counters and histograms.
    pub metrics: GatewayMetrics,
    /// Limit on retries.
    pub limit: RetryLimit,
    /// When the stages of roll-outs begin.
    pub schedule: Schedule,
    /// Tells that declarations and upstreams are known.
    pub informed: watch::Sender<bool>,
    /// Tells that the process is leaving.
    pub leaving: watch::Sender<bool>,
    /// When a process that was told to stop ends.
    pub end: OnceLock<Duration>,
    /// Whether no request is taken any more.
    pub closed: AtomicBool,
    /// Tells the control thread that upstreams may have ended.
    pub ended: Notify,
    /// Number of requests in flight.
    pub working: watch::Sender<usize>,
    traffic: Mutex<Traffic>,
}

impl Gateway {
    /// Sets up what is shared.
    ///
    /// # Errors
    /// When the keys are wrong, or a client or the metrics can't be set up.
    pub fn new(settings: GatewaySettings, clock: Arc<dyn Clock>) -> Result<Arc<Self>, DaemonError> {
        let keys = Arc::new(KeyRing::new(&settings.keys)?);
        Ok(Arc::new(Self {
            identity: Arc::new(Identity::new(settings.instance.id.clone(), keys, Arc::clone(&clock))),
            store: Store::new(&settings.store.to_string())?,
            beliefs: ArcSwap::default(),
            pools: ConnectionPool::default(),
            buffer_budget: BufferBudget::default(),
            metrics: GatewayMetrics::new()?,
            limit: settings.retry_limit(),
            schedule: Schedule::for_exposure(settings.exposure),
            informed: watch::Sender::new(false),
            leaving: watch::Sender::new(false),
            end: OnceLock::new(),
            closed: AtomicBool::new(false),
            ended: Notify::new(),
            working: watch::Sender::new(0),
            traffic: Mutex::default(),
            settings,
            clock,
        }))
    }

    /// Time on the steady clock.
    #[must_use]
    pub fn now(&self) -> Duration {
        self.clock.now()
    }

    /// What traffic keeps; held for short computations only.
    pub fn traffic(&self) -> MutexGuard<'_, Traffic> {
        self.traffic.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Counts an answer for its release, while its service has a roll-out.
    pub fn count(&self, counted: &Counted<'_>) {
        let beliefs = self.beliefs.load();
        self.traffic().count(counted, beliefs.split(counted.service));
    }

    /// Whether the process is leaving.
    #[must_use]
    pub fn is_leaving(&self) -> bool {
        *self.leaving.borrow()
    }

    /// Whether the process ends within a time, or as soon as its last answers are out.
    #[must_use]
    pub fn ends_within(&self, time: Duration) -> bool {
        self.closed.load(Ordering::Relaxed) || self.end.get().is_some_and(|end| self.now() + time >= *end)
    }

    /// Whether new connections are welcome.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        !self.is_leaving() && *self.informed.borrow()
    }
}
