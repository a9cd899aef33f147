//! Simulations of which gateways read the store, when some of them are killed, cut off or refused by the store.

use std::{collections::HashMap, time::Duration};

use bluebell_core::{
    dissemination::{MemberContact, ReadMode, ReadSchedule, poll_time, readers, slow_read_pause},
    ids::{InstanceId, ZoneId},
};
use rand::{Rng, SeedableRng, rngs::StdRng, seq::SliceRandom};

const TICK: Duration = Duration::from_millis(250);
const FEEDS: u32 = 3;

#[derive(Debug, Clone, Copy, PartialEq)]
enum Fault {
    Killed,
    // The store falls silent: reads neither end nor fail for 3 s.
    Silent,
    Refused,
}

struct Gateway {
    id: InstanceId,
    zone: ZoneId,
    schedule: ReadSchedule,
    // What its latest status said, and when: whether it reads, and when the store last answered.
    status: (bool, Option<Duration>),
    answered_at: Option<Duration>,
    next_slow: Duration,
    // Gateways tick at different times.
    phase: Duration,
    fault: Option<Fault>,
}

struct Fleet {
    gateways: Vec<Gateway>,
    now: Duration,
    calls: u64,
    fault_at: Duration,
}

impl Fleet {
    fn new(count: usize, zones: usize, rng: &mut StdRng) -> Self {
        let gateway = |number: usize| Gateway {
            id: format!("front-{}-{number}", number % 6).parse().expect("the id should be valid"),
            zone: format!("z{}", number % zones).parse().expect("the id should be valid"),
            schedule: ReadSchedule::default(),
            status: (true, Some(Duration::ZERO)),
            answered_at: Some(Duration::ZERO),
            next_slow: Duration::ZERO,
            phase: Duration::from_millis(rng.random_range(0..250)),
            fault: None,
        };
        let gateways = (0..count).map(gateway).collect();
        Self { gateways, now: Duration::ZERO, calls: 0, fault_at: Duration::MAX }
    }

    // Steps of 1 ms; the polls of a reader end at evenly spaced times.
    fn step(&mut self) {
        self.now += Duration::from_millis(1);
        let now = self.now;
        for gateway in &mut self.gateways {
            if gateway.schedule.mode() == ReadMode::Slow {
                if now >= gateway.next_slow {
                    gateway.next_slow = now + Duration::from_secs(8);
                    self.calls += 1;
                    gateway.answered_at = gateway.fault.is_none().then_some(now);
                }
            } else {
                let shifted = now + gateway.phase;
                let ends =
                    (0..FEEDS).filter(|index| poll_time(shifted, *index, FEEDS) == Duration::from_secs(2)).count();
                self.calls += ends as u64;
                match gateway.fault {
                    None if ends > 0 => gateway.answered_at = Some(now),
                    Some(Fault::Silent) if now >= self.fault_at + Duration::from_secs(3) => gateway.answered_at = None,
                    Some(Fault::Refused) => gateway.answered_at = None,
                    _ => {}
                }
            }
        }
        for at in 0..self.gateways.len() {
            let due = (now + self.gateways[at].phase).as_millis().is_multiple_of(TICK.as_millis());
            if due && self.gateways[at].fault != Some(Fault::Killed) {
                self.decide(at);
            }
        }
    }

    fn decide(&mut self, at: usize) {
        let now = self.now;
        let contact = |gateway: &Gateway| (gateway.status.0, gateway.status.1.map(|answered| now - answered));
        let mut schedule = self.gateways[at].schedule.clone();
        let gateway = &self.gateways[at];
        let peers: Vec<MemberContact<'_>> = self
            .gateways
            .iter()
            .filter(|peer| peer.id != gateway.id)
            .map(|peer| {
                let (reads, age) = contact(peer);
                MemberContact { id: &peer.id, zone: &peer.zone, reads, age }
            })
            .collect();
        let age = gateway.answered_at.map(|answered| now - answered);
        let reads = schedule.mode() != ReadMode::Slow;
        let own = MemberContact { id: &gateway.id, zone: &gateway.zone, reads, age };
        let mode = schedule.decide(now, own, &peers, self.gateways.len());
        let gateway = &mut self.gateways[at];
        if reads && mode == ReadMode::Slow {
            gateway.next_slow = now + Duration::from_secs(8);
        }
        if !reads && mode != ReadMode::Slow && gateway.fault.is_none() {
            gateway.answered_at = Some(now);
        }
        gateway.schedule = schedule;
        gateway.status = (mode != ReadMode::Slow, gateway.answered_at);
    }

    fn run(&mut self, time: Duration) {
        let end = self.now + time;
        while self.now < end {
            self.step();
        }
    }

    fn fail(&mut self, victims: &[usize], fault: Option<Fault>) {
        self.fault_at = self.now;
        victims.iter().for_each(|at| self.gateways[*at].fault = fault);
    }

    fn working_readers(&self) -> Vec<usize> {
        let works = |at: &usize| {
            let gateway = &self.gateways[*at];
            gateway.fault.is_none() && gateway.schedule.mode() != ReadMode::Slow
        };
        (0..self.gateways.len()).filter(works).collect()
    }

    // Time until a gateway that can read the store reads it.
    fn time_to_read(&mut self) -> Duration {
        let start = self.now;
        while self.working_readers().is_empty() {
            self.step();
            assert!(self.now < start + Duration::from_secs(10), "nobody reads");
        }
        self.now - start
    }
}

// Each gateway's polls made 1.5 calls a second in calm, and woke all gateways for each change.
#[test]
fn a_few_gateways_read_in_calm() {
    let mut rng = StdRng::seed_from_u64(1);
    for (count, zones, most_readers, most_calls) in
        [(9, 3, 3, 0.60), (30, 4, 4, 0.34), (100, 4, 4, 0.20), (12, 1, 3, 0.50)]
    {
        let mut fleet = Fleet::new(count, zones, &mut rng);
        fleet.run(Duration::from_secs(4));
        assert_eq!(fleet.working_readers().len(), most_readers, "{count} gateways");
        let before = fleet.calls;
        fleet.run(Duration::from_secs(60));
        let rate = (fleet.calls - before) as f64 / 60.0 / count as f64;
        assert!(rate < most_calls, "{count} gateways make {rate} calls/s each");
        assert_eq!(fleet.working_readers().len(), most_readers, "{count} gateways");
    }
}

// A change is missed if the readers are lost and nobody else reads: it must be in force 3,000 ms after it was written,
// of which the spread among gateways needs a few hundred.
#[test]
fn others_read_in_time_when_a_third_is_lost() {
    let mut rng = StdRng::seed_from_u64(2);
    let mut longest = Duration::ZERO;
    for round in 0..24 {
        let (count, zones) = [(9, 3), (30, 4), (9, 1)][round % 3];
        for fault in [Fault::Killed, Fault::Silent, Fault::Refused] {
            let mut fleet = Fleet::new(count, zones, &mut rng);
            fleet.run(Duration::from_millis(4000 + rng.random_range(0..2000)));
            // The readers first, as the worst third holds all of them; otherwise any third.
            let mut victims: Vec<usize> = (0..count).collect();
            victims.shuffle(&mut rng);
            if round % 2 == 0 {
                let readers = fleet.working_readers();
                victims.sort_by_key(|at| !readers.contains(at));
            }
            victims.truncate(count / 3);
            fleet.fail(&victims, Some(fault));
            longest = longest.max(fleet.time_to_read());
            // The readers that follow are elected among those that work, and stay.
            fleet.run(Duration::from_secs(6));
            let working = fleet.working_readers().len();
            assert!((2..=count / 2).contains(&working), "{working} of {count} read after {fault:?}");
            // The next third fails while the first one recovers.
            fleet.fail(&victims, None);
            let others: Vec<usize> = (0..count).filter(|at| !victims.contains(at)).take(count / 3).collect();
            fleet.fail(&others, Some(fault));
            longest = longest.max(fleet.time_to_read());
        }
    }
    assert!(longest < Duration::from_millis(2000), "nobody has read for {longest:?}");
}

#[test]
fn readers_are_spread_over_zones_and_replaced_in_order() {
    let ids: Vec<InstanceId> = (0..9).map(|at| format!("g{at}").parse().expect("valid")).collect();
    let zones: Vec<ZoneId> = (0..3).map(|at| format!("z{at}").parse().expect("valid")).collect();
    let contact = |at: usize| MemberContact { id: &ids[at], zone: &zones[at / 3], reads: false, age: Some(TICK) };
    let elected = |lost: &[usize]| -> Vec<usize> {
        let found = readers((0..9).filter(|at| !lost.contains(at)).map(contact));
        let mut numbers: Vec<usize> =
            found.iter().map(|id| ids.iter().position(|one| one == *id).expect("known")).collect();
        numbers.sort_unstable();
        numbers
    };
    assert_eq!(elected(&[]), [0, 3, 6]);
    assert_eq!(elected(&[0, 3]), [1, 4, 6]);
    assert_eq!(elected(&[0, 1, 2]), [3, 4, 6], "without a zone, another one provides the third reader");
    let failing = MemberContact { age: None, ..contact(0) };
    let silent = MemberContact { reads: true, age: Some(Duration::from_secs(2)), ..contact(3) };
    let found =
        readers((0..9).map(|at| [failing, contact(1), contact(2), silent].get(at).copied().unwrap_or(contact(at))));
    assert_eq!(found, [&ids[1], &ids[4], &ids[6]]);
}

// Gateways that have missed messages, such as after a lost connection, read at once whatever others do.
#[test]
fn gateway_reads_while_it_is_told_to_and_in_small_fleets() {
    let ids: Vec<InstanceId> = (0..9).map(|at| format!("g{at}").parse().expect("valid")).collect();
    let zone: ZoneId = "z1".parse().expect("valid");
    let peers: Vec<MemberContact<'_>> =
        ids[..8].iter().map(|id| MemberContact { id, zone: &zone, reads: true, age: Some(TICK) }).collect();
    let own = MemberContact { id: &ids[8], zone: &zone, reads: false, age: Some(TICK) };
    let mut schedule = ReadSchedule::default();
    let mut modes = HashMap::new();
    for second in 0..12u64 {
        if second == 6 {
            schedule.read_until(Duration::from_secs(8));
        }
        modes.insert(second, schedule.decide(Duration::from_secs(second), own, &peers, 9));
    }
    assert_eq!((modes[&0], modes[&2], modes[&5]), (ReadMode::Reader, ReadMode::Slow, ReadMode::Slow));
    assert_eq!((modes[&6], modes[&7], modes[&11]), (ReadMode::Reader, ReadMode::Reader, ReadMode::Slow));
    assert_eq!(schedule.decide(Duration::from_secs(13), own, &peers[..7], 8), ReadMode::All);
    // Peers of the previous version don't say whether they read.
    let old: Vec<MemberContact<'_>> =
        peers.iter().map(|peer| MemberContact { reads: false, age: None, ..*peer }).collect();
    assert_eq!(schedule.decide(Duration::from_secs(14), own, &old, 9), ReadMode::Reader);
}

// Polls that end together would hide a silent store for the length of a poll.
#[test]
fn polls_end_at_evenly_spaced_times_after_any_change() {
    let mut rng = StdRng::seed_from_u64(3);
    for _ in 0..1000 {
        let now = Duration::from_millis(rng.random_range(0..100_000));
        for index in 0..FEEDS {
            let time = poll_time(now, index, FEEDS);
            assert!((Duration::from_millis(200)..Duration::from_millis(2200)).contains(&time), "{time:?}");
            let end = (now + time).as_millis() as u64 % 2000;
            assert_eq!(end, 2000 * u64::from(index) / 3);
        }
    }
    let cycle: Duration = (0..FEEDS).map(|index| slow_read_pause(index, FEEDS, false, 1.0)).sum();
    assert!(f64::from(FEEDS * FEEDS) / cycle.as_secs_f64() < 0.15, "a gateway that is no reader reads too often");
}
