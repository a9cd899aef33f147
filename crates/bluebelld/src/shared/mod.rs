//! State shared by all threads of an entry or sidecar: settings in force, members, connections to peers, the handle of
//! the control thread, and the admission gate of a sidecar.

mod admission;
mod control;
mod followers;
mod link;
mod links;

use std::{
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    time::{Duration, UNIX_EPOCH},
};

pub use admission::Admission;
use arc_swap::ArcSwap;
use bluebell_core::{
    clock::Clock,
    gate::Gate,
    ids::{Incarnation, InstanceId},
    keys::KeyRing,
    members::{Members, Role},
    quality::Quality,
    routing::{Plan, Subset},
    settings::State,
};
use bluebell_platform::store::Store;
use bluebell_wire::Identity;
pub use control::{Command, ControlHandle, channel};
pub use followers::Followers;
pub use link::{InFlightGuard, Link};
pub use links::Links;
use tokio::sync::watch;

use crate::{config::Config, error::DaemonError, metrics::Metrics, records::Records};

/// Longest time after its start that an entry waits for connections to sidecars before it reports ready.
const LINK_TIMEOUT: Duration = Duration::from_secs(5);

/// Settings in force, with the routing plan derived from them.
#[derive(Debug, Default)]
pub struct Published {
    /// Settings in force.
    pub state: Arc<State>,
    /// Routing plan derived from the settings.
    pub plan: Arc<Plan>,
}

/// State shared by all threads of the process.
pub struct Shared {
    /// Contents of the settings file.
    pub config: Config,
    /// Source of time.
    pub clock: Arc<dyn Clock>,
    /// Identity towards peers.
    pub identity: Arc<Identity>,
    /// Incarnation of this process: its start time.
    pub incarnation: Incarnation,
    /// Records in the platform's store.
    pub records: Records,
    /// Metrics.
    pub metrics: Metrics,
    /// Settings in force.
    pub published: ArcSwap<Published>,
    /// Known instances.
    pub members: ArcSwap<Members>,
    /// Sidecars that this entry connects to.
    pub subset: ArcSwap<Subset>,
    /// Quality of model versions, estimated from ratings.
    pub quality: ArcSwap<Quality>,
    /// Permanent connections to peers.
    pub links: Links,
    /// Instances that receive settings from this one.
    pub followers: Followers,
    /// Admission gate of a sidecar; none at an entry.
    pub admission: Option<Admission>,
    /// Whether the outbox of billing rows is full; an entry then refuses new requests.
    pub billing_full: AtomicBool,
    /// Whether the settings in force are known to be current.
    pub settings_current: AtomicBool,
    // Set once `is_linked` has returned true.
    linked: AtomicBool,
    /// Whether the runner of this sidecar can be reached.
    pub runner_up: AtomicBool,
    /// Set once the process is shutting down.
    pub shutting_down: watch::Sender<bool>,
    /// Changes whenever peers are to get a heartbeat at once, because the revision in force, the readiness or the state
    /// of the runner changed.
    pub status_changes: watch::Sender<u64>,
    /// Revision of the settings in force.
    pub revision: watch::Sender<u64>,
}

impl Shared {
    /// Creates the shared state.
    ///
    /// # Errors
    /// When the keys are invalid, or an HTTP client or the metrics can't be set up.
    pub fn new(config: Config, clock: Arc<dyn Clock>) -> Result<Arc<Self>, DaemonError> {
        let gate = config.runner.as_ref().map(|runner| Gate::new(runner.slots, runner.serves.clone()));
        let keys = Arc::new(KeyRing::new(&config.keys)?);
        let identity = Arc::new(Identity::new(config.instance.id.clone(), keys, Arc::clone(&clock)));
        let started = clock.wall().duration_since(UNIX_EPOCH).unwrap_or_default();
        Ok(Arc::new(Self {
            records: Records::new(Store::new(&config.store.to_string())?),
            metrics: Metrics::new()?,
            admission: gate.map(|gate| Admission::new(Arc::clone(&clock), gate)),
            incarnation: Incarnation(started.as_millis() as u64),
            config,
            clock,
            identity,
            published: ArcSwap::default(),
            members: ArcSwap::default(),
            subset: ArcSwap::default(),
            quality: ArcSwap::default(),
            links: Links::default(),
            followers: Followers::default(),
            billing_full: AtomicBool::new(false),
            settings_current: AtomicBool::new(false),
            linked: AtomicBool::new(false),
            runner_up: AtomicBool::new(true),
            shutting_down: watch::Sender::new(false),
            status_changes: watch::Sender::new(0),
            revision: watch::Sender::new(0),
        }))
    }

    /// Sends all peers a heartbeat at once.
    pub fn notify_peers(&self) {
        self.status_changes.send_modify(|count| *count += 1);
    }

    /// Marks the process as shutting down and notifies all peers.
    pub fn start_shutdown(&self) {
        self.shutting_down.send_replace(true);
        self.notify_peers();
    }

    /// Whether the process is shutting down.
    pub fn is_shutting_down(&self) -> bool {
        *self.shutting_down.borrow()
    }

    /// Whether this process accepts new work.
    pub fn is_ready(&self) -> bool {
        let configured = self.settings_current.load(Ordering::Relaxed) && self.published.load().state.revision.0 > 0;
        let reachable = match self.config.instance.role {
            Role::Entry => self.is_linked(),
            Role::Sidecar => self.runner_up.load(Ordering::Relaxed),
        };
        configured && reachable && !self.is_shutting_down()
    }

    // Whether an entry has connected to at least one sidecar for each model and service. Those that can't be reached
    // within `LINK_TIMEOUT` are no longer waited for. Once true, the result stays true.
    fn is_linked(&self) -> bool {
        if self.linked.load(Ordering::Relaxed) {
            return true;
        }
        let now = self.clock.now();
        let available = |peer: &InstanceId| self.links.get(peer).is_some_and(|link| link.is_available(now));
        let subset = self.subset.load();
        let reached = |peers: &Vec<InstanceId>| peers.iter().any(available);
        let listed = self.members.load().all().next().is_some();
        let linked = listed && (now > LINK_TIMEOUT || subset.by_target.values().all(reached));
        self.linked.store(linked, Ordering::Relaxed);
        linked
    }
}
