//! State of the control thread, and what each event does to it.

use std::{sync::Arc, time::Duration};

use bluebell_core::{
    ids::InstanceId,
    ingress::Declared,
    poison::{Crashes, Suspects},
    replica::{Origin, Replica},
    upstreams::Upstreams,
};
use bluebell_wire::messages::{ExchangeMessage, GatewayStatus};
use indexmap::IndexMap;
use tokio::{sync::mpsc, task::spawn_local, time::MissedTickBehavior};

use super::{
    event::{Event, Events},
    feeds,
    members::Members,
    rollouts::Rollouts,
};
use crate::{
    gateway::{beliefs::Beliefs, state::Gateway},
    records::ReportRows,
};

/// Time between two looks at what changes by time alone.
const TICK: Duration = Duration::from_millis(250);
/// Time for which a gateway that starts waits for the rows that gateways keep for each other: the store may serve all
/// tables but theirs.
const FLEET_WAIT: Duration = Duration::from_millis(700);
/// Ticks between two sweeps of kept connections and of upstreams that are gone.
const SWEEP_TICKS: u64 = 8;

/// State of the control thread.
pub(super) struct Control {
    pub(super) gateway: Arc<Gateway>,
    pub(super) events: Events,
    pub(super) replica: Replica,
    pub(super) declared: Option<Arc<Declared>>,
    pub(super) upstreams: Upstreams,
    pub(super) members: Members,
    pub(super) rollouts: Rollouts,
    pub(super) crashes: Crashes,
    pub(super) suspects: Arc<Suspects>,
    pub(super) reports: ReportRows,
    pub(super) awaited: Awaited,
    pub(super) standings: IndexMap<InstanceId, (Duration, GatewayStatus)>,
    pub(super) store: StoreContact,
    pub(super) ticks: u64,
}

/// What a gateway that has just started waits for.
#[derive(Debug, Default)]
pub(super) struct Awaited {
    // Whether the rows that gateways keep for each other are known.
    has_fleet: bool,
    // Since when all else is known.
    since: Option<Duration>,
}

/// What is known of the contact with the store.
#[derive(Debug, Default)]
pub(super) struct StoreContact {
    pub(super) heard: Option<Duration>,
    pub(super) lost: bool,
    pub(super) clock: Option<(Duration, Duration)>,
}

impl Control {
    pub(super) fn new(gateway: Arc<Gateway>, events: Events) -> Self {
        let members = Members::new(Arc::clone(&gateway), events.clone());
        Self {
            gateway,
            events,
            replica: Replica::default(),
            declared: None,
            upstreams: Upstreams::default(),
            members,
            rollouts: Rollouts::default(),
            crashes: Crashes::default(),
            suspects: Arc::default(),
            reports: ReportRows::default(),
            awaited: Awaited::default(),
            standings: IndexMap::new(),
            store: StoreContact::default(),
            ticks: 0,
        }
    }

    /// Takes events until the process ends.
    pub(super) async fn run(mut self, mut inbox: mpsc::UnboundedReceiver<Event>) {
        feeds::start(&self.gateway, &self.events);
        spawn_local(watch_leaving(Arc::clone(&self.gateway), self.events.clone()));
        self.members.start();
        let gateway = Arc::clone(&self.gateway);
        let mut ticks = tokio::time::interval(TICK);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            tokio::select! {
                event = inbox.recv() => match event {
                    Some(event) => self.take(event),
                    None => return,
                },
                _ = ticks.tick() => self.tick(),
                () = gateway.ended.notified() => self.take_ended(),
            }
        }
    }

    fn take(&mut self, event: Event) {
        match event {
            Event::Changes { rows, clock } => {
                self.hear_store(clock);
                let news = self.replica.apply_copy(rows, &[]);
                self.learn(news, None);
            }
            Event::Snapshot { origin, rows, version, clock } => {
                self.hear_store(clock);
                let news = self.replica.apply_snapshot(origin, rows, version);
                self.awaited.has_fleet |= origin == Origin::Fleet;
                self.learn(news, None);
                self.inform(self.gateway.now());
            }
            Event::StoreFailed(reason) => self.lose_store(&reason),
            Event::Hello(address) => self.members.hello(address, self.gateway.now()),
            Event::PeerRows { peer, rows, snapshots } => {
                self.awaited.has_fleet = true;
                let news = self.replica.apply_copy(rows, &snapshots);
                self.learn(news, Some(&peer));
                self.inform(self.gateway.now());
            }
            Event::Standing(peer, standing) => self.take_standing(peer, *standing),
            Event::Crashes(peer, reports) => self.take_crashes(reports, Some(&peer)),
            Event::Answered(peer, requests) => self.clear(&requests, Some(&peer)),
            Event::Cleared(peer, answered) => self.clear_ends(answered, Some(&peer)),
            Event::Link(peer, open) => self.take_link(&peer, open),
            Event::Leave => self.members.leave(),
        }
    }

    fn take_standing(&mut self, peer: InstanceId, standing: GatewayStatus) {
        let now = self.gateway.now();
        let mut traffic = self.gateway.traffic();
        traffic.take_loads(now, peer.clone(), standing.loads.clone());
        for one in &standing.sessions {
            traffic.sessions.set(now.saturating_sub(one.age), &one.session, &one.release);
        }
        drop(traffic);
        if self.rollouts.reject(&peer, &standing.rejected) {
            self.publish();
        }
        let connected = standing.connected;
        self.standings.insert(peer, (now, standing));
        if connected {
            self.publish();
        }
    }

    fn take_link(&mut self, peer: &InstanceId, open: bool) {
        let now = self.gateway.now();
        if open {
            // A gateway is ready once it has the rows, and must know by then what to hold back.
            self.tell_crashes(peer);
            let rows = self.replica.rows().cloned().collect();
            self.members.send(peer, &ExchangeMessage::AllRows { rows, snapshots: self.replica.snapshots().collect() });
        }
        if self.members.set_link(peer, open, now) {
            log::info!(peer = peer.as_str(); "connection to peer {}", if open { "opened" } else { "lost" });
        }
        if !open {
            self.gateway.traffic().forget_peer(peer);
        }
        self.publish();
    }

    fn hear_store(&mut self, clock: Duration) {
        let now = self.gateway.now();
        if std::mem::take(&mut self.store.lost) || self.store.heard.is_none() {
            log::info!("store can be reached");
        }
        self.store.heard = Some(now);
        if self.store.clock.is_none_or(|(known, at)| clock + Duration::from_secs(1) >= known + (now - at)) {
            self.store.clock = Some((clock, now));
        }
        self.publish_contact(now);
    }

    fn lose_store(&mut self, reason: &str) {
        if !std::mem::replace(&mut self.store.lost, true) {
            log::warn!("store can't be reached: {reason}");
        }
    }

    fn tick(&mut self) {
        let now = self.gateway.now();
        self.ticks += 1;
        if self.upstreams.has_lapsed() && self.upstreams.expire(now) {
            self.publish();
        }
        self.inform(now);
        self.take_ended();
        self.tell_standing(now);
        self.drive_rollouts(now);
        self.keep_reports(now);
        self.members.tick(now, self.is_connected(now));
        if self.ticks.is_multiple_of(SWEEP_TICKS) {
            self.sweep(now);
            self.publish();
        }
    }

    fn sweep(&self, now: Duration) {
        let listed: Vec<_> = self.upstreams.listed().map(|one| (one.id.clone(), one.address)).collect();
        self.gateway.pools.sweep(now, |address| listed.iter().any(|(_, known)| known == address));
        let mut traffic = self.gateway.traffic();
        traffic.retain(|id| listed.iter().any(|(known, _)| known == id));
        traffic.flights.expire(now);
        traffic.sessions.expire(now, self.gateway.settings.session_seconds);
        for (service, left) in traffic.budgets(now, &self.gateway.limit, self.members.count()) {
            self.gateway.metrics.set_budget(&service, left);
        }
    }

    /// Time on the store's clock, once it was heard of.
    pub(super) fn store_clock(&self, now: Duration) -> Option<Duration> {
        self.store.clock.map(|(known, at)| known + now.saturating_sub(at))
    }

    /// Whether the store is heard.
    pub(super) fn is_connected(&self, now: Duration) -> bool {
        !self.store.lost && self.store.heard.is_some_and(|at| now < at + feeds::SILENCE)
    }

    fn tell_standing(&self, now: Duration) {
        let judged = self.rollouts.is_running();
        let traffic = self.gateway.traffic();
        let tallies = if judged { traffic.tallies() } else { Vec::new() };
        let sessions = if judged { traffic.session_releases(now, self.gateway.schedule.canary) } else { Vec::new() };
        let loads = traffic.loads(&self.suspects);
        let standing = GatewayStatus {
            connected: self.is_connected(now),
            loads,
            tallies,
            sessions,
            rejected: self.rollouts.rejected(),
        };
        drop(traffic);
        self.members.broadcast(&ExchangeMessage::Status(Box::new(standing)), None);
    }

    // Publishing on every word of the store would copy more than one field's change is worth.
    fn publish_contact(&self, now: Duration) {
        let beliefs = self.gateway.beliefs.load();
        if beliefs.heard + TICK < now {
            self.gateway.beliefs.store(Arc::new(Beliefs { heard: now, ..Beliefs::clone(&beliefs) }));
        }
    }

    /// Publishes what is believed now.
    pub(super) fn publish(&self) {
        let now = self.gateway.now();
        let open = self.upstreams.open(now);
        let open = open.into_iter().map(|(service, all)| (service, all.into_iter().map(Arc::new).collect()));
        let peers = self.standings.values().filter(|(_, standing)| standing.connected).map(|(at, _)| *at);
        let heard = peers.chain(self.store.heard.filter(|_| !self.store.lost)).max();
        let beliefs = Beliefs {
            declared: self.declared.clone(),
            open: open.collect(),
            splits: self.rollouts.splits(&self.gateway.schedule),
            suspects: Arc::clone(&self.suspects),
            entries: self.members.count(),
            heard: heard.unwrap_or_default().max(self.gateway.beliefs.load().heard),
        };
        for (service, open) in &beliefs.open {
            self.gateway.metrics.set_upstreams(service, open.len());
        }
        self.gateway.metrics.set_beliefs(beliefs.entries, now.saturating_sub(beliefs.heard));
        self.gateway.beliefs.store(Arc::new(beliefs));
    }

    // Has the traffic begin once enough is known.
    fn inform(&mut self, now: Duration) {
        if *self.gateway.informed.borrow() {
            return;
        }
        let beliefs = self.gateway.beliefs.load();
        if beliefs.declared.is_none() || beliefs.open.is_empty() {
            return;
        }
        let since = *self.awaited.since.get_or_insert(now);
        if self.awaited.has_fleet || now >= since + FLEET_WAIT {
            log::info!(fleet = self.awaited.has_fleet; "declarations and upstreams are known");
            self.gateway.informed.send_replace(true);
        }
    }
}

async fn watch_leaving(gateway: Arc<Gateway>, events: Events) {
    let mut leaving = gateway.leaving.subscribe();
    if leaving.wait_for(|leaves| *leaves).await.is_ok() {
        // The control thread is gone only when the process ends.
        let _ = events.send(Event::Leave);
    }
}
