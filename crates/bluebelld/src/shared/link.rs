//! Connection to one peer, with the peer's load and availability.

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

/// Time for which a peer that failed gets no work; doubled with each further failure.
const EJECTION_TIME: Duration = Duration::from_secs(2);
/// Maximum number of times that `EJECTION_TIME` is doubled.
const MAX_DOUBLINGS: u32 = 4;

/// Connection to one peer, which is re-established when it breaks.
pub struct Link {
    peer: InstanceId,
    role: Role,
    zone: ZoneId,
    address: String,
    connection: ArcSwapOption<Connection>,
    in_flight: AtomicU32,
    reported_load: AtomicU32,
    accepting: AtomicBool,
    ejected_until_ms: AtomicU64,
    failures: AtomicU32,
    closing: watch::Sender<bool>,
}

/// Counts one request as in flight on a link until dropped.
pub struct InFlightGuard(Arc<Link>);

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        self.0.in_flight.fetch_sub(1, Ordering::Relaxed);
    }
}

impl Link {
    /// Creates a link that is not connected yet.
    pub fn new(listed: &Listed) -> Self {
        Self {
            peer: listed.instance.clone(),
            role: listed.role,
            zone: listed.zone.clone(),
            address: listed.address.clone(),
            connection: ArcSwapOption::empty(),
            in_flight: AtomicU32::new(0),
            reported_load: AtomicU32::new(0),
            accepting: AtomicBool::new(false),
            ejected_until_ms: AtomicU64::new(0),
            failures: AtomicU32::new(0),
            closing: watch::Sender::new(false),
        }
    }

    /// Instance id of the peer.
    pub fn peer(&self) -> &InstanceId {
        &self.peer
    }

    /// Role of the peer.
    pub fn role(&self) -> Role {
        self.role
    }

    /// Network address of the peer.
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

    /// Whether the peer is connected, accepts work and is not ejected.
    pub fn is_available(&self, now: Duration) -> bool {
        let ejected_until = Duration::from_millis(self.ejected_until_ms.load(Ordering::Relaxed));
        let connection = self.connection.load();
        let connected = connection.as_ref().is_some_and(|connection| !connection.is_closed());
        connected && self.accepting.load(Ordering::Relaxed) && now >= ejected_until
    }

    /// Excludes the peer from new work for a while after a failure.
    pub fn eject(&self, now: Duration) {
        let doublings = self.failures.fetch_add(1, Ordering::Relaxed).min(MAX_DOUBLINGS);
        self.ejected_until_ms.store((now + EJECTION_TIME * (1 << doublings)).as_millis() as u64, Ordering::Relaxed);
    }

    /// Resets the number of consecutive failures after a request succeeded.
    pub fn record_success(&self) {
        self.failures.store(0, Ordering::Relaxed);
    }

    /// Updates the load and availability that the peer reported in a heartbeat.
    pub fn update_status(&self, load: f32, accepting: bool) {
        self.reported_load.store(load.to_bits(), Ordering::Relaxed);
        self.accepting.store(accepting, Ordering::Relaxed);
    }

    /// Updates the load that the peer reported with a finished request.
    pub fn update_load(&self, load: f32) {
        self.reported_load.store(load.to_bits(), Ordering::Relaxed);
    }

    /// Load of the peer, and whether it is outside the given zone.
    pub fn load(&self, zone: &ZoneId) -> Load {
        Load {
            own: self.in_flight.load(Ordering::Relaxed),
            reported: f32::from_bits(self.reported_load.load(Ordering::Relaxed)),
            other_zone: self.zone != *zone,
        }
    }

    /// Counts a request as in flight until the returned guard is dropped.
    pub fn begin_request(self: &Arc<Self>) -> InFlightGuard {
        self.in_flight.fetch_add(1, Ordering::Relaxed);
        InFlightGuard(Arc::clone(self))
    }

    /// Tells the task that maintains the connection to end.
    pub fn close(&self) {
        self.closing.send_replace(true);
    }

    /// Waits until [`Self::close`] is called.
    pub async fn wait_closed(&self) {
        // The sender lives as long as the link, so this can't end with an error.
        let _ = self.closing.subscribe().wait_for(|closing| *closing).await;
    }
}
