//! One connection to a peer, with what is known of its load.

use std::{
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicU32, AtomicU64, Ordering},
    },
    time::Duration,
};

use arc_swap::ArcSwapOption;
use bluebell_core::{
    ids::{InstanceId, ZoneId},
    members::{Listed, Role},
    routing::Load,
};
use bluebell_wire::Connection;
use tokio::sync::watch;

/// Time for which a runner that failed gets no work; doubled with each further failure.
const EJECTION: Duration = Duration::from_secs(2);
/// Doublings of that time at most.
const MAX_DOUBLINGS: u32 = 4;

/// One connection to a peer.
pub struct Link {
    peer: InstanceId,
    role: Role,
    zone: ZoneId,
    address: String,
    connection: ArcSwapOption<Connection>,
    own: AtomicU32,
    reported: AtomicU32,
    open: AtomicBool,
    ejected: AtomicU64,
    failures: AtomicU32,
    dropped: watch::Sender<bool>,
}

/// One request on a link, counted until dropped.
pub struct InUse(Arc<Link>);

impl Drop for InUse {
    fn drop(&mut self) {
        self.0.own.fetch_sub(1, Ordering::Relaxed);
    }
}

impl Link {
    /// A link that is not connected yet.
    pub fn new(listed: &Listed) -> Self {
        Self {
            peer: listed.instance.clone(),
            role: listed.role,
            zone: listed.zone.clone(),
            address: listed.address.clone(),
            connection: ArcSwapOption::empty(),
            own: AtomicU32::new(0),
            reported: AtomicU32::new(0),
            open: AtomicBool::new(false),
            ejected: AtomicU64::new(0),
            failures: AtomicU32::new(0),
            dropped: watch::Sender::new(false),
        }
    }

    /// The peer.
    pub fn peer(&self) -> &InstanceId {
        &self.peer
    }

    /// What the peer does.
    pub fn role(&self) -> Role {
        self.role
    }

    /// Address of the peer.
    pub fn address(&self) -> &str {
        &self.address
    }

    /// The connection, while it is open.
    pub fn connection(&self) -> Option<Connection> {
        let connection = self.connection.load();
        connection.as_deref().filter(|connection| !connection.is_closed()).cloned()
    }

    /// Replaces the connection.
    pub fn set_connection(&self, connection: Option<Connection>) {
        self.connection.store(connection.map(Arc::new));
    }

    /// Whether the peer may be given work now.
    pub fn is_open(&self, now: Duration) -> bool {
        let ejected = Duration::from_millis(self.ejected.load(Ordering::Relaxed));
        let connection = self.connection.load();
        let connected = connection.as_ref().is_some_and(|connection| !connection.is_closed());
        connected && self.open.load(Ordering::Relaxed) && now >= ejected
    }

    /// Gives the peer no work for a while, since it failed.
    pub fn eject(&self, now: Duration) {
        let times = self.failures.fetch_add(1, Ordering::Relaxed).min(MAX_DOUBLINGS);
        self.ejected.store((now + EJECTION * (1 << times)).as_millis() as u64, Ordering::Relaxed);
    }

    /// Takes note that the peer has finished something.
    pub fn succeeded(&self) {
        self.failures.store(0, Ordering::Relaxed);
    }

    /// Takes note of the peer's word.
    pub fn report(&self, load: f32, open: bool) {
        self.reported.store(load.to_bits(), Ordering::Relaxed);
        self.open.store(open, Ordering::Relaxed);
    }

    /// Takes note of the peer's load alone.
    pub fn report_load(&self, load: f32) {
        self.reported.store(load.to_bits(), Ordering::Relaxed);
    }

    /// Load as seen from a zone.
    pub fn load(&self, zone: &ZoneId) -> Load {
        Load {
            own: self.own.load(Ordering::Relaxed),
            reported: f32::from_bits(self.reported.load(Ordering::Relaxed)),
            other_zone: self.zone != *zone,
        }
    }

    /// Counts a request until the result is dropped.
    pub fn begin(self: &Arc<Self>) -> InUse {
        self.own.fetch_add(1, Ordering::Relaxed);
        InUse(Arc::clone(self))
    }

    /// Has the task that keeps the connection end.
    pub fn drop_soon(&self) {
        self.dropped.send_replace(true);
    }

    /// Waits until the link is dropped.
    pub async fn wait_dropped(&self) {
        // The sender lives as long as the link, so this ends only when the link is dropped.
        let _ = self.dropped.subscribe().wait_for(|dropped| *dropped).await;
    }
}
