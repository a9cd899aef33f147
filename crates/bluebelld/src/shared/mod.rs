//! What all threads of the process share: settings in force, members, connections to peers, the way to the control
//! thread, and the gate of a sidecar.

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
pub use link::{InUse, Link};
pub use links::Links;
use tokio::sync::watch;

use crate::{config::Config, error::DaemonError, metrics::Metrics, records::Records};

/// Time after its start for which an entry waits for connections before it is ready.
const LINK_TIME: Duration = Duration::from_secs(5);

/// Settings in force, with what they allow.
#[derive(Debug, Default)]
pub struct Published {
    /// The state.
    pub state: Arc<State>,
    /// What it allows.
    pub plan: Arc<Plan>,
}

/// What all threads of the process share.
pub struct Shared {
    /// Settings of the daemon.
    pub config: Config,
    /// Source of time.
    pub clock: Arc<dyn Clock>,
    /// Who this process is.
    pub identity: Arc<Identity>,
    /// Start of this process.
    pub incarnation: Incarnation,
    /// What is kept in the platform's store.
    pub records: Records,
    /// Metrics.
    pub metrics: Metrics,
    /// Settings in force.
    pub published: ArcSwap<Published>,
    /// Instances known.
    pub members: ArcSwap<Members>,
    /// Sidecars that this entry knows.
    pub subset: ArcSwap<Subset>,
    /// Quality of versions by their ratings.
    pub quality: ArcSwap<Quality>,
    /// Connections to peers.
    pub links: Links,
    /// Instances that follow this one.
    pub followers: Followers,
    /// The gate before this sidecar's runner.
    pub admission: Option<Admission>,
    /// Whether billing rows can be taken.
    pub billing_full: AtomicBool,
    /// Whether settings are known to be current.
    pub current: AtomicBool,
    linked: AtomicBool,
    /// Whether the runner beside this sidecar can be reached.
    pub runner_up: AtomicBool,
    /// Tells that the process is leaving.
    pub leaving: watch::Sender<bool>,
    /// Tells that peers have to hear of a change here: of revision, standing or runner.
    pub news: watch::Sender<u64>,
    /// Tells the revision in force.
    pub revision: watch::Sender<u64>,
}

impl Shared {
    /// Sets up what is shared.
    ///
    /// # Errors
    /// When the keys are wrong, or a client or the metrics can't be set up.
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
            current: AtomicBool::new(false),
            linked: AtomicBool::new(false),
            runner_up: AtomicBool::new(true),
            leaving: watch::Sender::new(false),
            news: watch::Sender::new(0),
            revision: watch::Sender::new(0),
        }))
    }

    /// Has all peers hear at once how things stand here.
    pub fn tell_news(&self) {
        self.news.send_modify(|count| *count += 1);
    }

    /// Begins to leave.
    pub fn leave(&self) {
        self.leaving.send_replace(true);
        self.tell_news();
    }

    /// Whether the process is leaving.
    pub fn is_leaving(&self) -> bool {
        *self.leaving.borrow()
    }

    /// Whether new work may be given to this process.
    pub fn is_ready(&self) -> bool {
        let current = self.current.load(Ordering::Relaxed) && self.published.load().state.revision.0 > 0;
        let able = match self.config.instance.role {
            Role::Entry => self.is_linked(),
            Role::Sidecar => self.runner_up.load(Ordering::Relaxed),
        };
        current && able && !self.is_leaving()
    }

    // A new entry first connects to a runner of everything that is served; what can't be reached by then is not
    // waited for, and once connected the entry stays so.
    fn is_linked(&self) -> bool {
        if self.linked.load(Ordering::Relaxed) {
            return true;
        }
        let now = self.clock.now();
        let open = |peer: &InstanceId| self.links.get(peer).is_some_and(|link| link.is_open(now));
        let subset = self.subset.load();
        let reached = |peers: &Vec<InstanceId>| peers.iter().any(open);
        let listed = self.members.load().all().next().is_some();
        let linked = listed && (now > LINK_TIME || subset.by_target.values().all(reached));
        self.linked.store(linked, Ordering::Relaxed);
        linked
    }
}
