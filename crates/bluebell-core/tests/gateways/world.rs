//! The simulated world of gateways, upstreams, operators and a store.

use std::time::Duration;

use bluebell_core::{
    canary::{Schedule, Stage, StageRow, next_stage},
    poison::{AttemptOutcome, CrashReport, Fingerprint, ResponseLoss},
    replica::{Origin, Row},
    retry::RetryLimit,
    upstreams::UpstreamIncarnation,
};

use indexmap::{IndexMap, IndexSet};

use crate::{
    gateway::{CONFIG_KEY, Gateway, ORDER_KEY, ORIGINS, PeerMessage, STAGE_KEY, registration},
    store::Store,
};

pub const GATEWAYS: usize = 3;
pub const UPSTREAMS: usize = 5;
/// Upstreams that run the release introduced by rollout orders.
pub const NEW_RELEASE_UPSTREAMS: std::ops::Range<usize> = 4..5;
/// Number of distinct request bodies.
const BODY_COUNT: u8 = 12;
/// Bodies below this number crash the upstream that runs them.
pub const POISON_BODIES: u8 = 1;
pub const RETRY_LIMIT: RetryLimit = RetryLimit { ratio: 0.5, slack: 16.0, window: Duration::from_secs(10) };
/// Share of all requests to which the rollout schedule limits a faulty release.
const EXPOSURE: f64 = 0.9;
/// Unit of [`Op::AdvanceTime`].
const TIME_STEP: Duration = Duration::from_millis(40);
/// Exclusive upper bound of the steps of one [`Op::AdvanceTime`].
const TIME_STEPS_BOUND: u8 = 40;

/// A random operation. Each number is reduced modulo the number of choices.
#[derive(Debug, Clone)]
pub enum Op {
    /// A gateway reads the store's change feed, or a snapshot if the history it needs was compacted.
    ReadStore {
        gateway: u8,
    },
    /// A gateway sends its replica, crash reports and tallies to a peer.
    Gossip {
        from: u8,
        to: u8,
    },
    Deliver {
        index: u8,
    },
    Duplicate {
        index: u8,
    },
    Drop {
        index: u8,
    },
    Request {
        gateway: u8,
        body: u8,
    },
    /// An attempt ends: with an answer, or with a crash of its upstream if the body is poison.
    FinishAttempt {
        index: u8,
    },
    /// A gateway runs its periodic work.
    Tick {
        gateway: u8,
    },
    CrashUpstream {
        upstream: u8,
    },
    StartUpstream {
        upstream: u8,
    },
    DrainUpstream {
        upstream: u8,
    },
    /// A registration lapses, or an upstream without one is registered again.
    ToggleRegistration {
        upstream: u8,
    },
    ChangeConfig,
    /// An operator orders the rollout of the new release, which may be faulty.
    OrderRollout {
        faulty: bool,
    },
    /// A gateway tries to write the next rollout stage.
    AdvanceRollout {
        gateway: u8,
    },
    Restart {
        gateway: u8,
    },
    ToggleFreeze {
        gateway: u8,
    },
    ToggleStoreAccess {
        gateway: u8,
    },
    /// The store discards its change history.
    CompactStore,
    AdvanceTime {
        steps: u8,
    },
}

/// An upstream process.
pub struct SimulatedUpstream {
    pub started_at_ms: u64,
    pub up: bool,
    pub leaving: bool,
}

/// An attempt in flight.
#[derive(Clone)]
pub struct Attempt {
    gateway: usize,
    upstream: usize,
    incarnation: UpstreamIncarnation,
    body: u8,
    // Earlier attempts of the request.
    earlier_sends: u32,
}

/// State of the simulation.
pub struct World {
    pub now: Duration,
    pub store: Store,
    pub gateways: Vec<Gateway>,
    pub upstreams: Vec<SimulatedUpstream>,
    pub attempts: Vec<Attempt>,
    /// Messages in transit, with sender and receiver.
    pub network: Vec<(usize, usize, PeerMessage)>,
    /// Whether the new release fails every request.
    pub release_is_faulty: bool,
    pub request_times: Vec<Duration>,
    pub retry_times: Vec<Duration>,
    pub gateway_start_times: Vec<Duration>,
    /// Store version of the latest configuration row.
    pub config_version: u64,
    pub config_value: u64,
    /// Crashes of upstreams at which a request was in flight, by its body.
    pub crashes: IndexMap<u8, u32>,
    /// Requests answered at a gateway that knew of all these crashes, with that gateway and the number of crashes
    /// since.
    pub cleared: IndexMap<u8, (usize, u32)>,
}

pub fn fingerprint(body: u8) -> Fingerprint {
    Fingerprint::of("/talk", None, &[body])
}

fn release_of(index: usize) -> &'static str {
    if NEW_RELEASE_UPSTREAMS.contains(&index) { "v2" } else { "v1" }
}

pub fn upstream_name(index: usize) -> String {
    format!("chat-{index}")
}

impl World {
    pub fn new() -> Self {
        let now = Duration::from_secs(100);
        let upstreams =
            (0..UPSTREAMS).map(|_| SimulatedUpstream { started_at_ms: 1, up: true, leaving: false }).collect();
        let gateways = (0..GATEWAYS).map(|number| Gateway::new(number, Duration::ZERO)).collect();
        let mut world = Self {
            now,
            store: Store::default(),
            gateways,
            upstreams,
            attempts: Vec::new(),
            network: Vec::new(),
            release_is_faulty: false,
            request_times: Vec::new(),
            retry_times: Vec::new(),
            gateway_start_times: Vec::new(),
            config_version: 0,
            config_value: 0,
            crashes: IndexMap::new(),
            cleared: IndexMap::new(),
        };
        for index in 0..NEW_RELEASE_UPSTREAMS.start {
            world.register(index);
        }
        world.change_config();
        for gateway in 0..GATEWAYS {
            world.read_store(gateway);
        }
        world
    }

    pub fn step(&mut self, op: Op) {
        let gateway_index = |number: u8| usize::from(number) % GATEWAYS;
        let upstream_index = |number: u8| usize::from(number) % UPSTREAMS;
        let message_index = |index: u8| (!self.network.is_empty()).then(|| usize::from(index) % self.network.len());
        match op {
            Op::ReadStore { gateway } => self.read_store(gateway_index(gateway)),
            Op::Gossip { from, to } => self.gossip(gateway_index(from), gateway_index(to)),
            Op::Deliver { index } => {
                if let Some(index) = message_index(index) {
                    let (from, to, message) = self.network.swap_remove(index);
                    self.deliver(from, to, message);
                }
            }
            Op::Duplicate { index } => {
                let copy = message_index(index).map(|index| self.network[index].clone());
                self.network.extend(copy);
            }
            Op::Drop { index } => {
                if let Some(index) = message_index(index) {
                    self.network.swap_remove(index);
                }
            }
            Op::Request { gateway, body } => self.request(gateway_index(gateway), body % BODY_COUNT),
            Op::FinishAttempt { index } => self.finish_attempt(index),
            Op::Tick { gateway } => self.tick(gateway_index(gateway)),
            Op::CrashUpstream { upstream } => self.crash_upstream(upstream_index(upstream)),
            Op::StartUpstream { upstream } => self.start_upstream(upstream_index(upstream)),
            Op::DrainUpstream { upstream } => self.drain_upstream(upstream_index(upstream)),
            Op::ToggleRegistration { upstream } => self.toggle_registration(upstream_index(upstream)),
            Op::ChangeConfig => self.change_config(),
            Op::OrderRollout { faulty } => self.order_rollout(faulty),
            Op::AdvanceRollout { gateway } => self.advance_rollout(gateway_index(gateway)),
            Op::Restart { gateway } => {
                self.gateways[gateway_index(gateway)] = Gateway::new(gateway_index(gateway), self.now);
                self.gateway_start_times.push(self.now);
                self.attempts.retain(|attempt| attempt.gateway != gateway_index(gateway));
                self.cleared.retain(|_, (answered_by, _)| *answered_by != gateway_index(gateway));
            }
            Op::ToggleFreeze { gateway } => self.gateways[gateway_index(gateway)].frozen ^= true,
            Op::ToggleStoreAccess { gateway } => self.gateways[gateway_index(gateway)].store_unreachable ^= true,
            Op::CompactStore => self.store.compact(),
            Op::AdvanceTime { steps } => self.now += TIME_STEP * u32::from(steps % TIME_STEPS_BOUND),
        }
    }

    fn register(&mut self, index: usize) {
        let upstream = &self.upstreams[index];
        let value = registration(index, upstream.started_at_ms, release_of(index), upstream.leaving);
        self.store.put(Origin::Upstreams, &upstream_name(index), Some(value));
    }

    fn change_config(&mut self) {
        self.config_value += 1;
        self.config_version = self.store.put(Origin::Operator, CONFIG_KEY, Some(self.config_value.to_string()));
    }

    pub fn read_store(&mut self, index: usize) {
        if self.gateways[index].frozen || self.gateways[index].store_unreachable {
            return;
        }
        for origin in ORIGINS {
            let cursor = self.gateways[index].cursors.get(&origin).copied();
            match cursor.and_then(|after| self.store.changes(origin, after)) {
                Some(rows) => rows.into_iter().for_each(|row| self.gateways[index].apply_row(self.now, row)),
                None => {
                    let (rows, version) = (self.store.snapshot(origin), self.store.version);
                    self.gateways[index].apply_snapshot(self.now, origin, rows, version);
                }
            }
            self.gateways[index].cursors.insert(origin, self.store.version);
        }
        self.check_read(index);
    }

    pub fn gossip(&mut self, from: usize, to: usize) {
        let gateway = &self.gateways[from];
        if gateway.frozen || from == to {
            return;
        }
        let rows: Vec<Row> = gateway.replica.rows().cloned().collect();
        let snapshots = gateway.replica.snapshots().collect();
        let reports: Vec<CrashReport> = gateway.crashes.reports(self.now).map(|(report, _)| report).collect();
        let answered =
            gateway.crashes.answered().map(|(incarnation, all)| (incarnation.clone(), all.iter().copied().collect()));
        let answered = PeerMessage::ClearedCrashes(answered.collect());
        let all = [PeerMessage::Rows(rows, snapshots), PeerMessage::Crashes(reports), answered];
        self.network.extend(all.map(|message| (from, to, message)));
        if let Some(order) = &gateway.order {
            let (old, new) = gateway.own_tallies;
            self.network.push((from, to, PeerMessage::Tallies { order: order.version, old, new }));
        }
    }

    fn broadcast(&mut self, from: usize, message: &PeerMessage) {
        self.network.extend((0..GATEWAYS).filter(|to| *to != from).map(|to| (from, to, message.clone())));
    }

    pub fn deliver(&mut self, from: usize, to: usize, message: PeerMessage) {
        let sender = self.gateways[from].id.clone();
        let gateway = &mut self.gateways[to];
        if gateway.frozen {
            return;
        }
        let config_version =
            |gateway: &Gateway| gateway.replica.get(Origin::Operator, CONFIG_KEY).map_or(0, |(_, version)| version);
        let previous = config_version(gateway);
        match message {
            PeerMessage::Rows(rows, snapshots) => gateway.apply_peer_rows(self.now, rows, &snapshots),
            PeerMessage::Crashes(reports) => {
                for report in reports {
                    gateway.record_crash(self.now, &report);
                }
            }
            PeerMessage::ClearedRequests(answered) => drop(gateway.clear_requests(&answered)),
            PeerMessage::ClearedCrashes(answered) => gateway.clear_crashes(&answered),
            PeerMessage::Tallies { order, old, new }
                if gateway.order.as_ref().is_some_and(|own| own.version == order) =>
            {
                gateway.record_tallies(&sender, &old, &new);
            }
            PeerMessage::ReleaseRejected(order) if gateway.order.as_ref().is_some_and(|own| own.version == order) => {
                gateway.verdict.rejected = true;
            }
            PeerMessage::Tallies { .. } | PeerMessage::ReleaseRejected(_) => {}
        }
        assert!(config_version(gateway) >= previous, "the configuration regressed at {}", gateway.id);
    }

    fn request(&mut self, index: usize, body: u8) {
        if self.gateways[index].frozen {
            return;
        }
        self.gateways[index].retry_window.request(self.now);
        self.request_times.push(self.now);
        self.send_attempt(index, body, 0, &[]);
    }

    fn send_attempt(&mut self, index: usize, body: u8, earlier_sends: u32, tried: &[usize]) {
        let gateway = &self.gateways[index];
        if gateway.suspects.is_poison(&fingerprint(body)) {
            return;
        }
        let split = gateway.split(&Schedule::for_exposure(EXPOSURE));
        let key = format!("{body} {:?}", self.now);
        let open = gateway.upstreams.open(self.now);
        let pool = open.values().flatten().filter(|one| split.admits(&key, None, &one.release));
        let mut pool = pool.filter(|one| !tried.iter().any(|index| upstream_name(*index) == one.id.as_str()));
        let Some(chosen) = pool.next().cloned() else { return };
        let number: usize = chosen.id.as_str().trim_start_matches("chat-").parse().expect("a valid number");
        self.check_send(index, body, number, &split);
        let upstream = &self.upstreams[number];
        let incarnation = chosen.incarnation();
        self.gateways[index].in_flight.start(&incarnation, fingerprint(body));
        if upstream.up && upstream.started_at_ms == incarnation.started_at_ms {
            self.attempts.push(Attempt { gateway: index, upstream: number, incarnation, body, earlier_sends });
        } else {
            // Nothing listens at the address, or a newer incarnation rejects the request as meant for an earlier one.
            if !upstream.up {
                self.gateways[index].in_flight.connection_refused(self.now, &incarnation);
            }
            self.gateways[index].in_flight.finish(
                self.now,
                &incarnation,
                fingerprint(body),
                AttemptOutcome::UpstreamAlive,
            );
        }
    }

    fn finish_attempt(&mut self, index: u8) {
        if self.attempts.is_empty() {
            return;
        }
        let attempt = self.attempts.swap_remove(usize::from(index) % self.attempts.len());
        if attempt.body < POISON_BODIES {
            self.attempts.push(attempt.clone());
            return self.crash_upstream(attempt.upstream);
        }
        let gateway = &mut self.gateways[attempt.gateway];
        let is_failure = self.release_is_faulty && NEW_RELEASE_UPSTREAMS.contains(&attempt.upstream);
        let outcome = if is_failure { AttemptOutcome::UpstreamAlive } else { AttemptOutcome::Answered };
        gateway.in_flight.finish(self.now, &attempt.incarnation, fingerprint(attempt.body), outcome);
        if !is_failure && gateway.suspects.get(&fingerprint(attempt.body)).is_some() {
            gateway.in_flight.clear(fingerprint(attempt.body));
            if gateway.known_crashes_under(attempt.body) == self.crashes.get(&attempt.body).copied().unwrap_or_default()
            {
                self.cleared.insert(attempt.body, (attempt.gateway, 0));
            }
        }
        let tally = if NEW_RELEASE_UPSTREAMS.contains(&attempt.upstream) {
            &mut gateway.own_tallies.1
        } else {
            &mut gateway.own_tallies.0
        };
        tally.answers += 1;
        tally.failures += u64::from(is_failure);
        let (old, new) = gateway.own_tallies;
        let id = gateway.id.clone();
        gateway.record_tallies(&id, &old, &new);
        if is_failure {
            self.retry(&attempt);
        }
    }

    // Retries a lost or failed attempt, if the shared retry budget permits it.
    fn retry(&mut self, attempt: &Attempt) {
        let gateway = &mut self.gateways[attempt.gateway];
        if attempt.earlier_sends == 2 || gateway.frozen || !gateway.retry_window.retry(self.now, &RETRY_LIMIT, GATEWAYS)
        {
            return;
        }
        self.retry_times.push(self.now);
        self.check_budget();
        self.send_attempt(attempt.gateway, attempt.body, attempt.earlier_sends + 1, &[attempt.upstream]);
    }

    fn crash_upstream(&mut self, index: usize) {
        if !self.upstreams[index].up {
            return;
        }
        self.upstreams[index].up = false;
        let (lost, kept): (Vec<Attempt>, Vec<Attempt>) =
            std::mem::take(&mut self.attempts).into_iter().partition(|attempt| attempt.upstream == index);
        self.attempts = kept;
        let bodies: IndexSet<u8> = lost.iter().map(|attempt| attempt.body).collect();
        for body in bodies {
            *self.crashes.entry(body).or_default() += 1;
            self.cleared.entry(body).and_modify(|(_, crashes)| *crashes += 1);
        }
        for attempt in lost {
            let gateway = &mut self.gateways[attempt.gateway];
            gateway.in_flight.finish(
                self.now,
                &attempt.incarnation,
                fingerprint(attempt.body),
                AttemptOutcome::Unanswered,
            );
            if !gateway.frozen && gateway.in_flight.record_loss(self.now, &attempt.incarnation, ResponseLoss::Broken) {
                gateway.in_flight.connection_refused(self.now, &attempt.incarnation);
            }
            self.retry(&attempt);
        }
    }

    fn start_upstream(&mut self, index: usize) {
        let upstream = &mut self.upstreams[index];
        if upstream.up {
            return;
        }
        *upstream = SimulatedUpstream { started_at_ms: upstream.started_at_ms + 1, up: true, leaving: false };
        let is_ordered = self.store.current_version(Origin::Operator, ORDER_KEY) > 0;
        if !NEW_RELEASE_UPSTREAMS.contains(&index) || is_ordered {
            self.register(index);
        }
    }

    fn drain_upstream(&mut self, index: usize) {
        if self.upstreams[index].up && self.store.current_version(Origin::Upstreams, &upstream_name(index)) > 0 {
            self.upstreams[index].leaving = true;
            self.register(index);
        }
    }

    // Removes a registration, as if the upstream were gone or cut off. If there is none and the upstream is up,
    // registers it again, as a live upstream does at its next periodic check.
    fn toggle_registration(&mut self, index: usize) {
        if self.store.current_version(Origin::Upstreams, &upstream_name(index)) > 0 {
            self.store.put(Origin::Upstreams, &upstream_name(index), None);
        } else if self.upstreams[index].up && !NEW_RELEASE_UPSTREAMS.contains(&index) {
            self.register(index);
        }
    }

    fn order_rollout(&mut self, faulty: bool) {
        self.release_is_faulty = faulty;
        self.store.put(Origin::Operator, ORDER_KEY, Some("v2".to_owned()));
        for index in NEW_RELEASE_UPSTREAMS {
            if self.upstreams[index].up {
                self.register(index);
            }
        }
    }

    pub fn tick(&mut self, index: usize) {
        if self.gateways[index].frozen {
            return;
        }
        let now = self.now;
        self.gateways[index].upstreams.expire(now);
        let cleared = self.gateways[index].in_flight.take_cleared();
        if !cleared.is_empty() {
            self.gateways[index].clear_requests(&cleared);
            self.broadcast(index, &PeerMessage::ClearedRequests(cleared));
        }
        for crashed in self.gateways[index].in_flight.take_crashed(now) {
            let reporter = self.gateways[index].id.clone();
            let report = CrashReport {
                incarnation: crashed.incarnation,
                reporter,
                evidence: crashed.evidence,
                suspects: crashed.suspects,
            };
            if !report.suspects.is_empty() {
                self.gateways[index].record_crash(now, &report);
                self.broadcast(index, &PeerMessage::Crashes(vec![report]));
            }
        }
        if let Some(order) = self.gateways[index].order.as_ref().filter(|_| self.gateways[index].verdict.rejected) {
            let version = order.version;
            self.broadcast(index, &PeerMessage::ReleaseRejected(version));
        }
    }

    fn advance_rollout(&mut self, index: usize) {
        let gateway = &self.gateways[index];
        let Some(order) = gateway.order.clone().filter(|_| !gateway.frozen && !gateway.store_unreachable) else {
            return;
        };
        let known_version = gateway.stage.as_ref().map_or(0, |(_, version)| *version);
        let next = match gateway.stage() {
            None => Some(Stage::Canary),
            Some(row) => next_stage(&order, row, self.now, &Schedule::for_exposure(EXPOSURE), gateway.verdict),
        };
        let Some(stage) = next else { return };
        let began = gateway.stage().map_or(self.now, |row| row.began);
        let row = StageRow { order: order.version, to: order.to, stage, began, holder: gateway.id.clone() };
        let value = serde_json::to_string(&row).expect("a stage row serializes to JSON");
        let previous = self.stored_stage();
        let Some(version) = self.store.put_if(Origin::Fleet, STAGE_KEY, known_version, value.clone()) else { return };
        if let Some(previous) = previous.filter(|previous| previous.order >= row.order) {
            assert!(previous.order == row.order, "a stage of an older order replaced one of a newer order");
            assert!(
                !previous.stage.is_final() && previous.stage < row.stage,
                "stage {:?} must not follow {:?}",
                row.stage,
                previous.stage
            );
        }
        let row = Row { origin: Origin::Fleet, key: STAGE_KEY.to_owned(), value: Some(value.into_bytes()), version };
        self.gateways[index].apply_row(self.now, row);
    }

    fn stored_stage(&self) -> Option<StageRow> {
        let row = self.store.rows().find(|row| row.key == STAGE_KEY)?;
        serde_json::from_slice(row.value.as_ref()?).ok()
    }
}
