//! Simulation of changes in the store that reach a fleet by way of a few readers, without a network. Rows are lost on their
//! way, links carry none at all, readers lose the store, and statuses are late. Guards against gateways that rely on readers
//! whose rows don't reach them.

use std::{collections::BTreeMap, time::Duration};

use bluebell_core::{
    dissemination::{LagMonitor, MIN_FLEET, MemberContact, ReadMode, ReadSchedule, forward_targets, status_ticks},
    ids::{InstanceId, ZoneId},
    replica::Origin,
};
use rand::{Rng, SeedableRng, rngs::StdRng};

const STEP: Duration = Duration::from_millis(10);
const TICK: Duration = Duration::from_millis(250);
/// Time within which a change must be in force at each gateway.
const APPLY_LIMIT: Duration = Duration::from_millis(3000);
/// Time for which the fleet settles before the first change.
const SETTLE_TIME: Duration = Duration::from_secs(4);
const CHANGE_INTERVAL: Duration = Duration::from_millis(700);
const PLAY_TIME: Duration = Duration::from_secs(10);
/// Time for which a call to the store takes.
const CALL_TIME: Duration = Duration::from_millis(10);
/// Time for which a gateway reads after a lag.
const CATCH_UP_TIME: Duration = Duration::from_secs(2);
/// Longest time that a status takes: a peer that acknowledges nothing for longer is taken for gone.
const MAX_STATUS_DELAY: Duration = Duration::from_millis(1200);

/// What goes wrong.
#[derive(Clone, Copy)]
struct Faults {
    /// Share of the messages with rows that are lost.
    lost_rows: f64,
    /// Every how many gateways one gets no rows from peers.
    left_out: usize,
    /// Whether the store stops answering the readers when it is changed first.
    readers_cut: bool,
    /// Whether gateways that get no rows from peers aren't answered by the store either.
    left_out_cut: bool,
}

enum Message {
    Rows(u64),
    Fetch,
    Status { reads: bool, age: Duration, sent_at: Duration, latest: u64 },
}

struct Gateway {
    id: InstanceId,
    zone: ZoneId,
    schedule: ReadSchedule,
    lag: LagMonitor,
    version: u64,
    has_store: bool,
    answered_at: Duration,
    /// When the answer to a read that doesn't wait is due.
    read_due: Option<Duration>,
    /// Whether a peer reads, the age of the store's answer to it, and when that was so.
    words: Vec<Option<(bool, Duration, Duration)>>,
    /// Messages on their way and their senders, by the time of their receipt.
    inbox: BTreeMap<Duration, Vec<(usize, Message)>>,
}

struct Fleet {
    now: Duration,
    store: u64,
    faults: Faults,
    random: StdRng,
    gateways: Vec<Gateway>,
}

impl Fleet {
    fn new(count: usize, faults: Faults) -> Self {
        let gateway = |number: usize| Gateway {
            id: format!("g{number:03}").parse().expect("the id should be valid"),
            zone: format!("z{}", number % 4).parse().expect("the id should be valid"),
            schedule: ReadSchedule::default(),
            lag: LagMonitor::default(),
            version: 0,
            has_store: true,
            answered_at: Duration::ZERO,
            read_due: None,
            words: vec![None; count],
            inbox: BTreeMap::new(),
        };
        let gateways = (0..count).map(gateway).collect();
        Self { now: Duration::ZERO, store: 0, faults, random: StdRng::seed_from_u64(53), gateways }
    }

    fn is_left_out(&self, at: usize) -> bool {
        at % self.faults.left_out == self.faults.left_out - 1
    }

    fn change(&mut self) {
        if self.store == 0 {
            for at in 0..self.gateways.len() {
                let is_reader = self.gateways[at].schedule.mode() != ReadMode::Slow;
                let is_cut = self.faults.readers_cut && is_reader || self.faults.left_out_cut && self.is_left_out(at);
                self.gateways[at].has_store = !is_cut;
            }
        }
        self.store += 1;
    }

    fn step(&mut self) {
        self.now += STEP;
        for at in 0..self.gateways.len() {
            self.receive(at);
            self.read(at);
            if self.now.as_millis().is_multiple_of(TICK.as_millis()) {
                self.tick(at);
            }
        }
    }

    fn send(&mut self, from: usize, to: usize, at: Duration, message: Message) {
        self.gateways[to].inbox.entry(at).or_default().push((from, message));
    }

    fn receive(&mut self, at: usize) {
        let now = self.now;
        let later = self.gateways[at].inbox.split_off(&(now + Duration::from_nanos(1)));
        let arrived = std::mem::replace(&mut self.gateways[at].inbox, later);
        for (from, message) in arrived.into_values().flatten() {
            match message {
                Message::Rows(version) => self.learn(at, version),
                Message::Fetch => {
                    let version = self.gateways[at].version;
                    self.send(at, from, now + STEP, Message::Rows(version));
                }
                Message::Status { reads, age, sent_at, latest } => {
                    let peer = self.gateways[from].id.clone();
                    let gateway = &mut self.gateways[at];
                    gateway.words[from] = Some((reads, age, sent_at));
                    gateway.lag.record_peer(now, &peer, Origin::Operator, latest);
                }
            }
        }
    }

    fn learn(&mut self, at: usize, version: u64) {
        let gateway = &mut self.gateways[at];
        gateway.lag.record_row(Origin::Operator, version);
        if version <= gateway.version {
            return;
        }
        gateway.version = version;
        let ids: Vec<&InstanceId> = self.gateways.iter().map(|one| &one.id).collect();
        let others = ids.iter().copied().filter(|id| *id != ids[at]);
        let targets = forward_targets(ids[at], others);
        let targets: Vec<usize> = (0..ids.len()).filter(|other| targets.contains(&ids[*other])).collect();
        for to in targets {
            let is_lost = self.is_left_out(to) || self.random.random_bool(self.faults.lost_rows);
            if !is_lost {
                self.send(at, to, self.now + STEP, Message::Rows(version));
            }
        }
    }

    fn read(&mut self, at: usize) {
        let (now, store) = (self.now, self.store);
        let gateway = &mut self.gateways[at];
        let is_due = gateway.read_due.is_some_and(|due| now >= due);
        if !gateway.has_store || !is_due && gateway.schedule.mode() == ReadMode::Slow {
            return;
        }
        gateway.read_due = None;
        gateway.answered_at = now;
        gateway.lag.record_read(Origin::Operator, store);
        if store > gateway.version {
            self.learn(at, store);
        }
    }

    fn tick(&mut self, at: usize) {
        let (now, count) = (self.now, self.gateways.len());
        let gateway = &mut self.gateways[at];
        let due = gateway.lag.take_due(now);
        if !due.is_empty() {
            gateway.schedule.read_until(now + CATCH_UP_TIME);
            gateway.read_due = Some(now + CALL_TIME);
        }
        let before = gateway.schedule.mode();
        self.decide(at);
        let gateway = &mut self.gateways[at];
        let is_reader = gateway.schedule.mode() != ReadMode::Slow;
        if is_reader && before == ReadMode::Slow {
            gateway.read_due = Some(now + CALL_TIME);
        }
        let (age, latest) = (now - gateway.answered_at, gateway.version);
        for lag in due {
            let to = self.gateways.iter().position(|one| one.id == lag.peer).expect("a gateway");
            self.send(at, to, now + STEP, Message::Fetch);
        }
        if is_reader || (now.as_millis() / TICK.as_millis()).is_multiple_of(u128::from(status_ticks(count))) {
            for to in (0..count).filter(|to| *to != at) {
                // Most are fast.
                let steps = MAX_STATUS_DELAY.as_millis() / STEP.as_millis();
                let delay = STEP * (steps as f64 * self.random.random::<f64>().powi(8)) as u32;
                let status = Message::Status { reads: is_reader, age, sent_at: now, latest };
                self.send(at, to, now + delay, status);
            }
        }
    }

    fn decide(&mut self, at: usize) {
        let (now, all) = (self.now, &self.gateways);
        let contact = |(other, word): (usize, &Option<(bool, Duration, Duration)>)| {
            let (reads, age, sent_at) = (*word)?;
            let age = Some(age + (now - sent_at));
            Some(MemberContact { id: &all[other].id, zone: &all[other].zone, reads, age })
        };
        let peers: Vec<MemberContact<'_>> = all[at].words.iter().enumerate().filter_map(contact).collect();
        let mut schedule = all[at].schedule.clone();
        let reads = schedule.mode() != ReadMode::Slow;
        let own = MemberContact { id: &all[at].id, zone: &all[at].zone, reads, age: Some(now - all[at].answered_at) };
        schedule.decide(now, own, &peers, all.len());
        self.gateways[at].schedule = schedule;
    }
}

fn play(count: usize, faults: Faults) {
    assert!(count >= MIN_FLEET, "smaller fleets have no readers");
    let mut fleet = Fleet::new(count, faults);
    let mut written: Vec<Duration> = Vec::new();
    while fleet.now < PLAY_TIME {
        if fleet.now >= SETTLE_TIME + CHANGE_INTERVAL * written.len() as u32 {
            written.push(fleet.now);
            fleet.change();
        }
        fleet.step();
        let due = written.iter().take_while(|at| **at + APPLY_LIMIT <= fleet.now).count() as u64;
        for (number, gateway) in fleet.gateways.iter().enumerate() {
            let version = gateway.version;
            assert!(version >= due, "{count} gateways: {number} has {version} of {due} at {:?}", fleet.now);
        }
    }
    let readers = fleet.gateways.iter().filter(|one| one.schedule.mode() != ReadMode::Slow).count();
    assert!(readers < count, "all gateways read, so that no loss of rows was played");
}

const CALM: Faults = Faults { lost_rows: 0.0, left_out: 5, readers_cut: false, left_out_cut: false };

#[test]
fn changes_are_in_force_in_time_at_gateways_that_get_no_rows() {
    play(30, CALM);
}

#[test]
fn changes_are_in_force_in_time_at_gateways_that_get_no_rows_and_that_the_store_does_not_answer() {
    play(30, Faults { left_out_cut: true, ..CALM });
}

#[test]
fn changes_are_in_force_in_time_when_rows_are_lost_on_most_links() {
    play(30, Faults { lost_rows: 0.7, ..CALM });
}

#[test]
fn changes_are_in_force_in_time_when_the_readers_lose_the_store_and_rows_are_lost_in_fleets_of_30_and_300() {
    [30, 300].into_iter().for_each(|count| play(count, Faults { lost_rows: 0.5, readers_cut: true, ..CALM }));
}
