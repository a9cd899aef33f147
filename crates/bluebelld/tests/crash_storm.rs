//! Simulation of a mass crash of upstreams in a fleet of which most gateways have little processor time, without a network. The
//! gateways use the real queues, crash reports and targets; what they do costs processor time, and they go on as they can.
//! Guards against reports that delay declarations, and against overload that keeps itself up.

#[path = "support/test_clock.rs"]
mod test_clock;

use std::{
    collections::{BTreeMap, VecDeque},
    sync::Arc,
    time::Duration,
};

use bluebell_core::{
    clock::Clock,
    dissemination::forward_targets,
    ids::{InstanceId, ServiceId},
    poison::{CrashEvidence, CrashReport, Crashes, Fingerprint, RefreshSchedule},
    replica::{Origin, Row},
    upstreams::UpstreamIncarnation,
};
use bluebell_wire::messages::{AgedCrashReport, ExchangeMessage};
use bluebelld::gateway::{
    lanes::{Lane, LaneQueue, LaneSender, lanes},
    outbox::{MAX_REPORTS, Outbox, OutboxQueue},
};
use futures_util::FutureExt;
use rand::{Rng, SeedableRng, rngs::StdRng, seq::IndexedRandom};
use test_clock::TestClock;

const STEP: Duration = Duration::from_millis(5);
/// One way between two gateways.
const DELAY: Duration = Duration::from_millis(2);
/// Time without an acknowledgement after which a connection is opened anew.
const ACK_TIMEOUT: Duration = Duration::from_millis(1200);
/// Time within which declarations must be in force at all gateways.
const APPLY_LIMIT: Duration = Duration::from_millis(3000);
/// Time after the last crash within which all reports are handled. A gateway that is out of reach for as long is taken for
/// gone.
const DRAIN_LIMIT: Duration = Duration::from_secs(20);
/// Processor time of a message that is sent, and of one that is received.
const MESSAGE_COST: Duration = Duration::from_micros(150);
/// Processor time of a report in a message.
const REPORT_COST: Duration = Duration::from_micros(6);
/// Processor time of a suspect when the suspects are determined.
const SUSPECT_COST: Duration = Duration::from_nanos(200);
/// Share of a gateway's processor time that is left to its control thread.
const CONTROL_SHARE: f64 = 0.5;
/// Gateways that read declarations from the store.
const READERS: usize = 4;

/// A message on its way to a gateway.
struct Arrival {
    at: Duration,
    from: usize,
    /// Value of `Link::opened` when it was sent.
    opened: u32,
    message: ExchangeMessage,
}

/// An acknowledgement on its way back to the sender of a message.
struct Acknowledgement {
    at: Duration,
    sender: usize,
    receiver: usize,
    opened: u32,
}

/// Connection to a peer.
struct Link {
    outbox: Outbox,
    queue: OutboxQueue,
    /// When the message on the way was sent, and how often the connection was opened before.
    unacknowledged: Option<Duration>,
    opened: u32,
}

struct Gateway {
    /// Processor time for each unit of time.
    power: f64,
    /// Processor time that it may use now; negative after a piece of work that took longer.
    budget: f64,
    arrived: VecDeque<Arrival>,
    inbox: (LaneSender<ExchangeMessage>, LaneQueue<ExchangeMessage>),
    links: BTreeMap<usize, Link>,
    crashes: Crashes,
    refresh: RefreshSchedule,
    version: u64,
}

struct Fleet {
    now: Duration,
    clock: Arc<TestClock>,
    gateways: Vec<Gateway>,
    acknowledgements: VecDeque<Acknowledgement>,
    lost: usize,
}

impl Link {
    fn new(clock: &Arc<TestClock>) -> Self {
        let (outbox, queue) = Outbox::new(Arc::clone(clock) as Arc<dyn Clock>);
        Self { outbox, queue, unacknowledged: None, opened: 0 }
    }
}

impl Fleet {
    fn new(count: usize) -> Self {
        let ids: Vec<InstanceId> =
            (0..count).map(|number| format!("g{number:03}").parse().expect("the id should be valid")).collect();
        let clock = Arc::new(TestClock::default());
        let gateway = |number: usize| {
            let others = ids.iter().filter(|id| **id != ids[number]);
            let targets = forward_targets(&ids[number], others);
            let position = |id: &InstanceId| ids.iter().position(|one| one == id).expect("a known gateway");
            Gateway {
                power: [0.5, 0.068, 0.068, 0.22, 0.068, 0.068][number % 6] * CONTROL_SHARE,
                budget: 0.0,
                arrived: VecDeque::new(),
                inbox: lanes(),
                links: targets.into_iter().map(|id| (position(id), Link::new(&clock))).collect(),
                crashes: Crashes::default(),
                refresh: RefreshSchedule::default(),
                version: 0,
            }
        };
        let gateways = (0..count).map(gateway).collect();
        Self { now: Duration::ZERO, clock, gateways, acknowledgements: VecDeque::new(), lost: 0 }
    }

    fn step(&mut self) {
        self.now += STEP;
        self.clock.set(self.now);
        while self.acknowledgements.front().is_some_and(|one| one.at <= self.now) {
            let Some(one) = self.acknowledgements.pop_front() else { break };
            let link = self.gateways[one.sender].links.get_mut(&one.receiver).expect("a connection");
            if link.opened == one.opened {
                link.unacknowledged = None;
            }
        }
        for at in 0..self.gateways.len() {
            let gateway = &mut self.gateways[at];
            gateway.budget = (gateway.budget + gateway.power * STEP.as_secs_f64()).min(STEP.as_secs_f64());
            self.reopen_silent(at);
            while self.gateways[at].budget > 0.0 && self.work(at) {}
        }
    }

    // Does one piece of each kind of work. Returns whether there was any.
    fn work(&mut self, at: usize) -> bool {
        let now = self.now;
        let gateway = &mut self.gateways[at];
        let mut has_worked = false;
        if gateway.arrived.front().is_some_and(|one| one.at <= now)
            && let Some(Arrival { from: sender, opened, message, .. }) = gateway.arrived.pop_front()
        {
            gateway.budget -= MESSAGE_COST.as_secs_f64();
            let lane = if matches!(message, ExchangeMessage::Rows(_)) { Lane::Urgent } else { Lane::Deferred };
            gateway.inbox.0.send(lane, message).expect("the queue is open");
            self.acknowledgements.push_back(Acknowledgement { at: now + DELAY, sender, receiver: at, opened });
            has_worked = true;
        }
        if let Some(message) = gateway.inbox.1.try_next() {
            gateway.handle(now, message);
            has_worked = true;
        }
        if gateway.refresh.is_due(now) {
            let suspects: usize = gateway.crashes.reports(now).map(|(report, _)| report.suspects.len()).sum();
            let cost = (SUSPECT_COST * suspects as u32).as_secs_f64();
            gateway.budget -= cost;
            gateway.refresh.finish(now, now + Duration::from_secs_f64(cost / gateway.power));
            has_worked = true;
        }
        has_worked | self.send(at)
    }

    fn send(&mut self, at: usize) -> bool {
        let (now, mut messages) = (self.now, Vec::new());
        for (to, link) in self.gateways[at].links.iter_mut().filter(|(_, link)| link.unacknowledged.is_none()) {
            if let Some(Some(message)) = link.queue.next().now_or_never() {
                link.unacknowledged = Some(now);
                messages.push((*to, link.opened, message));
            }
        }
        let has_sent = !messages.is_empty();
        for (to, opened, message) in messages {
            self.gateways[at].budget -= MESSAGE_COST.as_secs_f64();
            self.gateways[to].arrived.push_back(Arrival { at: now + DELAY, from: at, opened, message });
        }
        has_sent
    }

    // Opens connections anew whose peer has not acknowledged in time; they begin with all reports.
    fn reopen_silent(&mut self, at: usize) {
        let now = self.now;
        let gateway = &mut self.gateways[at];
        let is_silent = |link: &Link| link.unacknowledged.is_some_and(|sent| now >= sent + ACK_TIMEOUT);
        let silent: Vec<usize> =
            gateway.links.iter().filter(|(_, link)| is_silent(link)).map(|(peer, _)| *peer).collect();
        for peer in silent {
            let opened = gateway.links[&peer].opened + 1;
            let link = Link { opened, ..Link::new(&self.clock) };
            let all: Vec<AgedCrashReport> =
                gateway.crashes.reports(now).map(|(report, age)| AgedCrashReport { report, age }).collect();
            let chunks = all.chunks(MAX_REPORTS).map(|chunk| ExchangeMessage::Crashes(chunk.to_vec()));
            let rows = ExchangeMessage::Rows(vec![declarations(gateway.version)]);
            assert!(chunks.chain([rows]).all(|message| link.outbox.send(message)), "the queue is full");
            gateway.links.insert(peer, link);
            self.lost += 1;
        }
    }

    // Messages with reports that were not handled.
    fn queued(&self) -> usize {
        let is_report = |one: &&Arrival| matches!(one.message, ExchangeMessage::Crashes(_));
        let waiting = |gateway: &Gateway| gateway.arrived.iter().filter(is_report).count() + gateway.inbox.1.len();
        self.gateways.iter().map(waiting).sum()
    }
}

impl Gateway {
    fn handle(&mut self, now: Duration, message: ExchangeMessage) {
        match message {
            ExchangeMessage::Rows(rows) => {
                let newest = rows.iter().map(|row| row.version).max().unwrap_or_default();
                if newest > self.version {
                    self.version = newest;
                    self.forward(&ExchangeMessage::Rows(vec![declarations(newest)]));
                }
            }
            ExchangeMessage::Crashes(reports) => {
                self.budget -= (REPORT_COST * reports.len() as u32).as_secs_f64();
                let is_news = |aged: &AgedCrashReport| self.crashes.record(now, aged.age, &aged.report);
                let news: Vec<AgedCrashReport> = reports.into_iter().filter(is_news).collect();
                if !news.is_empty() {
                    self.refresh.mark_changed();
                    self.forward(&ExchangeMessage::Crashes(news));
                }
            }
            other => panic!("{other:?} is not sent here"),
        }
    }

    fn forward(&self, message: &ExchangeMessage) {
        for link in self.links.values() {
            // A full queue loses the message, as that of a gateway does.
            let _ = link.outbox.send(message.clone());
        }
    }
}

fn declarations(version: u64) -> Row {
    Row { origin: Origin::Operator, key: "config".to_owned(), value: Some(Vec::new()), version }
}

fn crash(fleet: &mut Fleet, round: usize, upstreams: usize, reporters: usize, random: &mut StdRng) {
    let service: ServiceId = "chat".parse().expect("the id should be valid");
    let all: Vec<usize> = (0..fleet.gateways.len()).collect();
    for upstream in 0..upstreams {
        for reporter in all.choose_multiple(random, reporters) {
            let request =
                |number: usize| Fingerprint::of(&format!("/{round}/{upstream}/{reporter}/{number}"), None, b"");
            let mut part = || {
                let shared: u32 = random.random_range(0..80);
                Fingerprint::of_part(&service, &format!("{shared:08x}").parse().expect("the id should be valid"))
            };
            let parts = [part(), part()];
            let report = CrashReport {
                incarnation: UpstreamIncarnation {
                    upstream: format!("u{upstream}").parse().expect("the id should be valid"),
                    started_at_ms: round as u64 + 1,
                },
                reporter: format!("g{reporter:03}").parse().expect("the id should be valid"),
                evidence: CrashEvidence::Refused,
                suspects: (0..4).map(request).chain(parts).collect(),
            };
            let message = ExchangeMessage::Crashes(vec![AgedCrashReport { report, age: Duration::ZERO }]);
            fleet.gateways[*reporter].inbox.0.send(Lane::Deferred, message).expect("the queue is open");
        }
    }
}

/// Plays crashes at the given times, with a change of the declarations every 700 ms.
fn play(count: usize, crashes: &[u64], upstreams: usize, reporters: usize) {
    let mut random = StdRng::seed_from_u64(47);
    let mut fleet = Fleet::new(count);
    let last_crash = Duration::from_millis(*crashes.last().expect("a crash"));
    let mut written: Vec<Duration> = Vec::new();
    let mut drained_at = None;
    let is_settled = |now: Duration, drained: Option<Duration>| drained.is_some_and(|at| now > at + APPLY_LIMIT);
    while fleet.now < last_crash + DRAIN_LIMIT && !is_settled(fleet.now, drained_at) {
        let millis = fleet.now.as_millis() as u64;
        if let Some(round) = crashes.iter().position(|at| *at == millis) {
            crash(&mut fleet, round, upstreams, reporters, &mut random);
        }
        if millis.is_multiple_of(700) {
            written.push(fleet.now);
            let rows = ExchangeMessage::Rows(vec![declarations(written.len() as u64)]);
            for reader in (0..READERS).map(|number| number * 6) {
                fleet.gateways[reader].inbox.0.send(Lane::Urgent, rows.clone()).expect("the queue is open");
            }
        }
        fleet.step();
        let due = written.iter().take_while(|at| **at + APPLY_LIMIT <= fleet.now).count() as u64;
        for (number, gateway) in fleet.gateways.iter().enumerate() {
            let (version, lost) = (gateway.version, fleet.lost);
            assert!(
                version >= due,
                "{count} gateways: {number} has {version} of {due} at {:?}, {lost} lost",
                fleet.now
            );
        }
        if fleet.now > last_crash + STEP {
            drained_at = if fleet.queued() > 0 { None } else { drained_at.or(Some(fleet.now)) };
        }
    }
    let (queued, lost) = (fleet.queued(), fleet.lost);
    assert!(
        drained_at.is_some(),
        "{count} gateways: {queued} messages with reports are queued, {lost} connections lost"
    );
}

#[test]
fn storm_of_crash_reports_dies_down_and_does_not_delay_declarations_in_a_fleet_of_30() {
    play(30, &[1000, 4000, 5400, 6800, 8200], 33, 30);
}

// What a gateway handles for a crash depends on the gateways that had requests there, not on the size of the fleet.
#[test]
fn storm_of_crash_reports_dies_down_and_does_not_delay_declarations_in_a_fleet_of_300() {
    play(300, &[1000], 33, 12);
}
