//! State of the control thread, and how it handles each event.

use std::{collections::HashSet, net::SocketAddr, sync::Arc, time::Duration};

use bluebell_core::{
    dissemination::LagMonitor,
    ids::{InstanceId, UpstreamId, ZoneId},
    ingress::Declared,
    poison::{Crashes, RefreshSchedule, Suspects},
    replica::{Origin, Replica, Row},
    upstreams::{Upstream, Upstreams},
};
use bluebell_wire::messages::ExchangeMessage;
use indexmap::IndexMap;
use tokio::{task::spawn_local, time::MissedTickBehavior};

use super::{
    evacuations::Evacuations,
    event::{Event, EventQueue, EventSender, Queued},
    feeds,
    incarnations::SeenIncarnations,
    load::ControlLoad,
    members::Members,
    peer_status::{PeerStatus, SentStatus},
    reading::Reading,
    recency,
    rollouts::Rollouts,
};
use crate::{
    gateway::{routing_state::RoutingState, state::Gateway},
    records::{ReportRows, is_report},
};

/// Interval of the tasks that depend on time alone, such as expiry.
const TICK: Duration = Duration::from_millis(250);
/// Time for which a starting gateway waits for the rows that gateways share (origin `Fleet`). The wait is limited
/// because the store may serve all tables except this one.
const FLEET_ROWS_TIMEOUT: Duration = Duration::from_millis(700);
/// Ticks between two sweeps of pooled connections and of the state of removed upstreams.
const SWEEP_TICKS: u64 = 8;
/// Queued events that are handled before the routing state is published.
const EVENT_BATCH: usize = 64;
/// Time after which no further event of a batch is begun, so that messages of peers are received and acknowledged.
const BATCH_TIME: Duration = Duration::from_millis(20);

/// State of the control thread.
pub(super) struct Control {
    pub(super) gateway: Arc<Gateway>,
    pub(super) events: EventSender,
    pub(super) replica: Replica,
    pub(super) declared: Option<Arc<Declared>>,
    pub(super) upstreams: Upstreams,
    // Registrations for services that are not declared; they are not used.
    pub(super) undeclared: IndexMap<UpstreamId, (u64, Upstream)>,
    pub(super) members: Members,
    pub(super) evacuations: Evacuations,
    pub(super) incarnations: SeenIncarnations,
    pub(super) rollouts: Rollouts,
    pub(super) crashes: Crashes,
    pub(super) suspects: Arc<Suspects>,
    pub(super) refresh: RefreshSchedule,
    pub(super) reports: ReportRows,
    pub(super) startup: Startup,
    pub(super) peer_statuses: IndexMap<InstanceId, PeerStatus>,
    pub(super) sent_status: SentStatus,
    // Number of gateways for which the loads that peers report stand, by zone of the peer.
    pub(super) load_weights: IndexMap<ZoneId, f64>,
    pub(super) store: StoreContact,
    pub(super) reading: Reading,
    pub(super) lag: LagMonitor,
    pub(super) ticks: u64,
    // Time for which the event being handled was queued.
    pub(super) waited: Duration,
    load: ControlLoad,
    // Whether the routing state has changed since it was published.
    unpublished: bool,
}

/// Progress of a gateway that has just started.
#[derive(Debug, Default)]
pub(super) struct Startup {
    // Whether the rows that gateways share are known.
    has_fleet_rows: bool,
    // When declarations and upstreams were first known.
    routable_since: Option<Duration>,
    // When requests were first accepted.
    pub(super) synced_at: Option<Duration>,
}

/// State of the contact with the store.
#[derive(Debug, Default)]
pub(super) struct StoreContact {
    // When the store last responded.
    pub(super) last_response: Option<Duration>,
    // Whether a read has failed since then.
    pub(super) lost: bool,
    // Time on the store's clock, and when it was received.
    pub(super) clock: Option<(Duration, Duration)>,
}

impl Control {
    pub(super) fn new(gateway: Arc<Gateway>, events: EventSender) -> Self {
        let members = Members::new(Arc::clone(&gateway), events.clone());
        Self {
            gateway,
            events,
            replica: Replica::with_recency(recency::read),
            declared: None,
            upstreams: Upstreams::default(),
            undeclared: IndexMap::new(),
            members,
            evacuations: Evacuations::default(),
            incarnations: SeenIncarnations::default(),
            rollouts: Rollouts::default(),
            crashes: Crashes::default(),
            suspects: Arc::default(),
            refresh: RefreshSchedule::default(),
            reports: ReportRows::default(),
            startup: Startup::default(),
            peer_statuses: IndexMap::new(),
            sent_status: SentStatus::default(),
            load_weights: IndexMap::new(),
            store: StoreContact::default(),
            reading: Reading::default(),
            lag: LagMonitor::default(),
            ticks: 0,
            waited: Duration::ZERO,
            load: ControlLoad::default(),
            unpublished: false,
        }
    }

    /// Handles events until the process ends.
    pub(super) async fn run(mut self, mut inbox: EventQueue) {
        feeds::start(&self.gateway, &self.events, &mut self.reading);
        spawn_local(watch_leaving(Arc::clone(&self.gateway), self.events.clone()));
        self.members.start();
        let gateway = Arc::clone(&self.gateway);
        let mut ticks = tokio::time::interval(TICK);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            tokio::select! {
                event = inbox.next() => match event {
                    Some(event) => self.handle_batch(event, &mut inbox),
                    None => return,
                },
                _ = ticks.tick() => {
                    self.timed("tick", Self::tick);
                    self.load.report(self.gateway.now(), inbox.len(), &self.gateway.metrics);
                }
                () = gateway.crash_check.notified() => self.timed("crash_check", Self::process_crashes),
            }
            self.timed("suspects", Self::refresh_suspects);
            self.timed("publish", Self::publish_changes);
        }
    }

    // Handles an event and those queued behind it, so that a burst of changes is published once.
    fn handle_batch(&mut self, first: Queued, inbox: &mut EventQueue) {
        let end = self.gateway.now() + BATCH_TIME;
        self.handle_queued(first);
        for _ in 1..EVENT_BATCH {
            if self.gateway.now() >= end {
                break;
            }
            let Some(queued) = inbox.try_next() else { break };
            self.handle_queued(queued);
        }
        self.process_reverted();
    }

    fn handle_queued(&mut self, queued: Queued) {
        self.waited = self.gateway.now().saturating_sub(queued.at);
        self.timed(queued.event.kind(), |control| control.handle(queued.event));
        self.waited = Duration::ZERO;
    }

    // Does a piece of work and records the time that it took.
    fn timed(&mut self, kind: &'static str, work: impl FnOnce(&mut Self)) {
        let started = self.gateway.now();
        work(self);
        self.load.record(kind, self.waited, self.gateway.now().saturating_sub(started));
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::FeedRead { origin, rows, version, clock } => {
                self.reading.record_answer(self.gateway.now(), origin);
                self.record_rows(&rows);
                self.lag.record_read(origin, version);
                self.record_store_response(clock);
                let changed = self.replica.apply_copy(rows, &[]);
                self.apply_rows(changed, None);
            }
            Event::Changes { rows, clock } => {
                self.record_store_response(clock);
                self.record_rows(&rows);
                let changed = self.replica.apply_copy(rows, &[]);
                self.apply_rows(changed, None);
            }
            Event::Snapshot { origin, rows, version, clock } => {
                self.reading.record_answer(self.gateway.now(), origin);
                self.reading.record_snapshot(version);
                self.record_store_response(clock);
                self.record_rows(&rows);
                self.lag.record_read(origin, version);
                let changed = self.replica.apply_snapshot(origin, rows, version);
                self.startup.has_fleet_rows |= origin == Origin::Fleet;
                self.apply_rows(changed, None);
                self.check_startup(self.gateway.now());
            }
            Event::StoreFailed { origin, reason } => {
                self.reading.record_failure(origin);
                self.record_store_failure(&reason);
            }
            Event::Hello(address) => self.members.hello(address, self.gateway.now()),
            Event::PeerRows { peer, rows, snapshots } => {
                self.startup.has_fleet_rows = true;
                self.record_rows(&rows);
                let changed = self.replica.apply_copy(rows, &snapshots);
                self.apply_rows(changed, Some(&peer));
                self.check_startup(self.gateway.now());
            }
            Event::Status(peer, status) => self.handle_status(peer, *status),
            Event::Crashes(peer, reports) => self.record_crashes(reports, Some(&peer)),
            Event::Answered(peer, requests) => self.clear_answered(&requests, Some(&peer)),
            Event::CrashesCleared(peer, answered) => self.clear_crashes(answered, Some(&peer)),
            Event::Fetch(peer, after) => self.send_later_rows(&peer, &after),
            Event::ConnectionChanged { peer, connected } => self.handle_connection_change(&peer, connected),
            Event::Leave => self.members.leave(),
        }
    }

    fn handle_connection_change(&mut self, peer: &InstanceId, connected: bool) {
        let now = self.gateway.now();
        if self.members.set_connected(peer, connected, now) {
            log::info!(peer = peer.as_str(); "connection to peer {}", if connected { "opened" } else { "lost" });
            if !connected {
                self.reading.catch_up(now);
            }
        }
        if connected {
            self.sent_status = SentStatus::default();
            // Crash reports go first: a gateway is ready once it has the rows, and must know by then which requests to
            // block.
            self.send_crashes(peer);
            if self.members.needs_all_rows(peer) {
                let rows = self.replica.rows().cloned().collect();
                let snapshots = self.replica.snapshots().collect();
                self.members.send(peer, &ExchangeMessage::AllRows { rows, snapshots });
            }
        }
        if !connected {
            self.gateway.traffic().remove_peer(now, peer);
        }
        self.publish();
    }

    // Records up to which version rows are known. Crash reports don't count: peers bring them late in a storm, and hear of
    // the crashes by messages as well.
    pub(super) fn record_rows(&mut self, rows: &[Row]) {
        for row in rows.iter().filter(|row| !is_report(row)) {
            self.lag.record_row(row.origin, row.version);
        }
    }

    fn record_store_response(&mut self, clock: Duration) {
        let now = self.gateway.now();
        if std::mem::take(&mut self.store.lost) || self.store.last_response.is_none() {
            log::info!("store is reachable");
        }
        self.store.last_response = Some(now);
        // Ignores a time that is more than a second behind what the known one has advanced to.
        if self.store.clock.is_none_or(|(known, at)| clock + Duration::from_secs(1) >= known + (now - at)) {
            self.store.clock = Some((clock, now));
        }
        self.publish_contact(now);
    }

    fn record_store_failure(&mut self, reason: &str) {
        if !std::mem::replace(&mut self.store.lost, true) {
            log::warn!("store is unreachable: {reason}");
        }
    }

    fn tick(&mut self) {
        let now = self.gateway.now();
        self.ticks += 1;
        if self.upstreams.has_lapsed() && self.upstreams.expire(now) {
            self.publish();
        }
        self.check_startup(now);
        let released = self.replica.release(now);
        if !released.is_empty() {
            log::info!(rows = released.len(); "rows lost by the store were not written again and are given up");
        }
        self.apply_rows(released, None);
        self.process_crashes();
        let own = &self.gateway.settings.instance.id;
        self.gateway.traffic().assign_limits(now, own, self.members.ids());
        self.assign_cold(now);
        self.fetch_missing(now);
        self.decide_reading(now);
        self.update_load_weights();
        self.broadcast_status(now);
        self.drive_rollouts(now);
        self.sync_reports(now);
        self.members.remove_unreachable(now, self.is_store_connected(now));
        if self.ticks.is_multiple_of(SWEEP_TICKS) {
            self.sweep(now);
            self.publish();
        }
    }

    fn sweep(&self, now: Duration) {
        let addresses: HashSet<SocketAddr> = self.upstreams.listed().map(|upstream| upstream.address).collect();
        self.gateway.pools.sweep(now, |address| addresses.contains(address));
        let mut traffic = self.gateway.traffic();
        traffic.retain(now, |id| self.upstreams.is_listed(id));
        traffic.in_flight.expire(now);
        traffic.sessions.expire(now, self.gateway.settings.session_seconds);
        for (service, left) in traffic.retries_left(now, &self.gateway.retry_limit, self.members.count()) {
            self.gateway.metrics.set_budget(&service, left);
        }
        for (service, count) in traffic.ramping() {
            self.gateway.metrics.set_ramping(&service, count);
        }
    }

    /// Current time on the store's clock, if the store has responded yet.
    pub(super) fn store_clock(&self, now: Duration) -> Option<Duration> {
        self.store.clock.map(|(known, at)| known + now.saturating_sub(at))
    }

    /// Whether the store is reachable.
    pub(super) fn is_store_connected(&self, now: Duration) -> bool {
        !self.store.lost && self.store.last_response.is_some_and(|at| now < at + feeds::STORE_TIMEOUT)
    }

    // Publishes that the store has just responded, here or at a peer. At most once per tick, as publishing copies the
    // whole routing state to change one field.
    pub(super) fn publish_contact(&self, now: Duration) {
        let routing = self.gateway.routing.load();
        if routing.last_contact + TICK < now {
            self.gateway.routing.store(Arc::new(RoutingState { last_contact: now, ..RoutingState::clone(&routing) }));
        }
    }

    /// Has the routing state published once the queued events are handled.
    pub(super) fn publish(&mut self) {
        self.unpublished = true;
    }

    // Publishes the routing state if it has changed.
    fn publish_changes(&mut self) {
        if !std::mem::take(&mut self.unpublished) {
            return;
        }
        let now = self.gateway.now();
        let peers = self.peer_statuses.values().filter(|status| status.has_store).map(|status| status.received_at);
        let last_contact = peers.chain(self.store.last_response.filter(|_| !self.store.lost)).max();
        let mut open = self.upstreams.open(now);
        let left_out = self.evacuations.remove_from(&mut open);
        let routing = RoutingState {
            // Single rows that a peer forwards before all are known may lack orders that are in force, such as an evacuation.
            declared: self.declared.clone().filter(|_| self.knows_all(Origin::Operator)),
            open,
            left_out,
            evacuated: self.evacuations.zones(),
            splits: self.rollouts.splits(&self.gateway.schedule),
            suspects: Arc::clone(&self.suspects),
            gateways: self.members.count(),
            last_contact: last_contact.unwrap_or_default().max(self.gateway.routing.load().last_contact),
        };
        for (service, open) in &routing.open {
            self.gateway.metrics.set_upstreams(service, open.len());
        }
        self.gateway.metrics.set_peers_and_contact_age(routing.gateways, now.saturating_sub(routing.last_contact));
        self.gateway.routing.store(Arc::new(routing));
    }

    // Whether all rows of an origin were read, here or by a peer.
    pub(super) fn knows_all(&self, origin: Origin) -> bool {
        self.replica.snapshots().any(|(known, _)| known == origin)
    }

    // Lets the traffic thread accept requests once enough is known.
    fn check_startup(&mut self, now: Duration) {
        if *self.gateway.synced.borrow() {
            return;
        }
        self.publish_changes();
        let routing = self.gateway.routing.load();
        if routing.declared.is_none() || routing.open.is_empty() {
            return;
        }
        let since = *self.startup.routable_since.get_or_insert(now);
        if self.startup.has_fleet_rows || now >= since + FLEET_ROWS_TIMEOUT {
            log::info!(fleet = self.startup.has_fleet_rows; "declarations and upstreams are known");
            self.startup.synced_at = Some(now);
            self.gateway.synced.send_replace(true);
        }
    }
}

async fn watch_leaving(gateway: Arc<Gateway>, events: EventSender) {
    let mut leaving = gateway.leaving.subscribe();
    if leaving.wait_for(|leaves| *leaves).await.is_ok() {
        // Fails only while the process exits, when the control thread is gone.
        let _ = events.send(Event::Leave);
    }
}
