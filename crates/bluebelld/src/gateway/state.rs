//! State shared by the threads of a gateway.

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
    front::callers::Callers,
    metrics::GatewayMetrics,
    pool::ConnectionPool,
    response_buffer::BufferBudget,
    routing_state::RoutingState,
    settings::GatewaySettings,
    traffic::{CountedAnswer, Traffic},
};
use crate::error::DaemonError;

/// State shared by the threads of a gateway.
pub struct Gateway {
    /// Settings of this process.
    pub settings: GatewaySettings,
    /// Source of time.
    pub clock: Arc<dyn Clock>,
    /// Identity with which this process authenticates to its peers.
    pub identity: Arc<Identity>,
    /// Client of the platform's store.
    pub store: Store,
    /// Latest routing state, published by the control thread.
    pub routing: ArcSwap<RoutingState>,
    /// Connection pools to upstreams.
    pub pools: ConnectionPool,
    /// Memory budget of answers that are buffered completely.
    pub buffer_budget: Arc<BufferBudget>,
    /// What is held for all callers, and its limits.
    pub callers: Callers,
    /// Metrics of this process.
    pub metrics: GatewayMetrics,
    /// Settings of the retry budget.
    pub retry_limit: RetryLimit,
    /// Schedule of the stages of roll-outs.
    pub schedule: Schedule,
    /// Becomes true once declarations and upstreams are known, and the rows that gateways share are known or were
    /// waited for long enough.
    pub synced: watch::Sender<bool>,
    /// Becomes true once the process has been told to stop.
    pub leaving: watch::Sender<bool>,
    /// When a process that was told to stop gives up the requests in flight.
    pub give_up_at: OnceLock<Duration>,
    /// Whether no more requests are accepted.
    pub closed: AtomicBool,
    /// Becomes true when the requests in flight are given up, because the drain time is over.
    pub aborted: watch::Sender<bool>,
    /// Wakes the control thread to check for crashed upstreams.
    pub crash_check: Notify,
    /// Number of requests in flight.
    pub in_flight: watch::Sender<usize>,
    traffic: Mutex<Traffic>,
}

impl Gateway {
    /// Creates the shared state.
    ///
    /// # Errors
    /// If the keys are invalid, or the store's client or the metrics can't be set up.
    pub fn new(settings: GatewaySettings, clock: Arc<dyn Clock>) -> Result<Arc<Self>, DaemonError> {
        let keys = Arc::new(KeyRing::new(&settings.keys)?);
        Ok(Arc::new(Self {
            identity: Arc::new(Identity::new(settings.instance.id.clone(), keys, Arc::clone(&clock))),
            store: Store::new(&settings.store.to_string())?,
            routing: ArcSwap::default(),
            pools: ConnectionPool::default(),
            buffer_budget: Arc::default(),
            callers: Callers::new(settings.machine),
            metrics: GatewayMetrics::new()?,
            retry_limit: settings.retry_limit(),
            schedule: Schedule::for_exposure(settings.exposure).with_slack(settings.exposure_slack),
            synced: watch::Sender::new(false),
            leaving: watch::Sender::new(false),
            give_up_at: OnceLock::new(),
            closed: AtomicBool::new(false),
            aborted: watch::Sender::new(false),
            crash_check: Notify::new(),
            in_flight: watch::Sender::new(0),
            traffic: Mutex::default(),
            settings,
            clock,
        }))
    }

    /// Current time on the monotonic clock.
    #[must_use]
    pub fn now(&self) -> Duration {
        self.clock.now()
    }

    /// Locks the traffic state. The lock may be held only for short computations.
    pub fn traffic(&self) -> MutexGuard<'_, Traffic> {
        self.traffic.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Counts an answer in the tally of its release, see [`Traffic::count_answer`].
    pub fn count_answer(&self, answer: &CountedAnswer<'_>) {
        let routing = self.routing.load();
        self.traffic().count_answer(answer, routing.split(answer.service));
    }

    /// Whether the process has been told to stop.
    #[must_use]
    pub fn is_leaving(&self) -> bool {
        *self.leaving.borrow()
    }

    /// Whether the process gives up requests within the given time, or exits as soon as the last answers are sent.
    #[must_use]
    pub fn stops_within(&self, time: Duration) -> bool {
        self.closed.load(Ordering::Relaxed) || self.give_up_at.get().is_some_and(|at| self.now() + time >= *at)
    }

    /// Waits until the requests in flight are given up.
    pub async fn aborted(&self) {
        // Fails only without the sender, which lives as long as the gateway.
        let _ = self.aborted.subscribe().wait_for(|aborted| *aborted).await;
    }

    /// Whether the load balancer should send new connections here.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        !self.is_leaving() && *self.synced.borrow()
    }
}
