//! Cold upstreams: several gateways before one upstream, with random arrivals and a fleet that changes. In each second, the
//! upstream may get no more than the declared rate with its tolerance, or it crashes.

use std::time::Duration;

use bluebell_core::{
    cold_start::{ColdCause, ColdFleet, ColdLimit, ColdStart, Contact},
    ids::{InstanceId, UpstreamId},
    units::Rate,
};
use rand::{Rng, SeedableRng, rngs::StdRng};

const STEP: Duration = Duration::from_millis(2);
const ASSIGN_INTERVAL: Duration = Duration::from_millis(250);
const SECOND: Duration = Duration::from_secs(1);
/// Longest time from a gateway's start until the others know of it.
const HEAR_TIME: Duration = Duration::from_millis(2500);
/// Time after which the others take a gateway for gone that they don't reach.
const REMOVAL_TIME: Duration = Duration::from_secs(20);
const RATE: f64 = 23.0;
const OVER: f64 = 1.5;
const SLACK: f64 = 5.0;

fn name(gateway: usize) -> InstanceId {
    format!("gateway-{gateway}").parse().expect("the id should be valid")
}

fn upstream() -> UpstreamId {
    "engine-1".parse().expect("the id should be valid")
}

fn at(seconds: f64) -> Duration {
    Duration::from_secs_f64(seconds)
}

/// How a gateway is connected.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Link {
    Up,
    /// It reads the store, but no other gateway hears of it.
    Unheard,
    /// It reaches neither the store nor others.
    Cut,
}

struct Gateway {
    cold: ColdStart,
    fleet: ColdFleet,
    started_at: Duration,
    // When it learnt of the other gateways.
    synced_at: Duration,
    link: Link,
    cut_at: Duration,
    known: Vec<InstanceId>,
    is_running: bool,
}

struct World {
    rng: StdRng,
    now: Duration,
    limit: ColdLimit,
    gateways: Vec<Gateway>,
    // What a gateway that knows only itself takes that for.
    lone_contact: Contact,
    // Requests per second at each gateway for this upstream.
    demand: f64,
    arrivals: Vec<Duration>,
}

impl World {
    fn new(seed: u64, size: usize, demand: f64) -> Self {
        let limit = ColdLimit::new(Rate::per_second(RATE), OVER, SLACK);
        let mut world = Self {
            rng: StdRng::seed_from_u64(seed),
            now: at(100.0),
            limit,
            gateways: Vec::new(),
            lone_contact: if seed.is_multiple_of(2) { Contact::Unknown } else { Contact::Connected },
            demand,
            arrivals: Vec::new(),
        };
        (0..size).for_each(|_| world.start(Duration::ZERO));
        world
    }

    /// Starts a gateway that knows only itself for a while.
    fn start(&mut self, alone: Duration) {
        self.gateways.push(Gateway {
            cold: ColdStart::default(),
            fleet: ColdFleet::default(),
            started_at: self.now,
            synced_at: self.now + alone,
            link: Link::Up,
            cut_at: Duration::ZERO,
            known: Vec::new(),
            is_running: true,
        });
        let index = self.gateways.len() - 1;
        self.gateways[index].cold.set_limit(Some(self.limit));
        self.assign(index);
    }

    /// Starts a gateway again that has lost its memory.
    fn restart(&mut self, index: usize, alone: Duration) {
        self.start(alone);
        self.gateways.swap_remove(index);
        let until = self.now + at(30.0);
        let now = self.now;
        self.gateways[index].cold.begin(now, until - now, ColdCause::Registered);
    }

    fn begin(&mut self) {
        let now = self.now;
        for index in 0..self.gateways.len() {
            self.gateways[index].cold.begin(now, at(30.0), ColdCause::TakenBack);
            self.assign(index);
        }
    }

    fn assign(&mut self, index: usize) {
        let now = self.now;
        if self.gateways[index].link != Link::Cut && now >= self.gateways[index].synced_at {
            let is_heard = |(other, gateway): &(usize, &Gateway)| {
                let is_cut = gateway.link != Link::Up && now >= gateway.cut_at + REMOVAL_TIME;
                *other != index
                    && !is_cut
                    && (gateway.is_running || now < gateway.cut_at + REMOVAL_TIME)
                    && (gateway.link == Link::Up || gateway.started_at < gateway.cut_at)
                    && now >= gateway.started_at + HEAR_TIME
            };
            let known = self.gateways.iter().enumerate().filter(is_heard).map(|(other, _)| name(other)).collect();
            self.gateways[index].known = known;
        }
        let gateway = &mut self.gateways[index];
        let contact = match gateway.link {
            _ if now < gateway.synced_at => self.lone_contact,
            Link::Cut => Contact::Isolated,
            Link::Up | Link::Unheard => Contact::Connected,
        };
        gateway.fleet.update(now, &name(index), gateway.known.iter(), contact);
        gateway.cold.assign(now, &upstream(), &gateway.fleet);
    }

    fn cut(&mut self, index: usize, link: Link) {
        (self.gateways[index].link, self.gateways[index].cut_at) = (link, self.now);
    }

    fn stop(&mut self, index: usize) {
        (self.gateways[index].is_running, self.gateways[index].cut_at) = (false, self.now);
    }

    fn play(&mut self, time: Duration) {
        let end = self.now + time;
        while self.now < end {
            self.now += STEP;
            let now = self.now;
            for index in 0..self.gateways.len() {
                if now.as_millis().is_multiple_of(ASSIGN_INTERVAL.as_millis()) {
                    self.assign(index);
                }
                let is_due = self.rng.random_bool((self.demand * STEP.as_secs_f64()).min(1.0));
                let gateway = &mut self.gateways[index];
                if is_due && gateway.is_running && gateway.cold.has_room(now) {
                    gateway.cold.take(now);
                    // Opening a connection takes a while.
                    let delay = Duration::from_millis(self.rng.random_range(0..150));
                    let gateway = &mut self.gateways[index];
                    if gateway.cold.confirm(now + delay, now) {
                        self.arrivals.push(now + delay);
                    }
                }
            }
        }
    }

    fn most_in_a_second(&self) -> usize {
        let mut arrivals = self.arrivals.clone();
        arrivals.sort_unstable();
        let count = |first: usize| arrivals.partition_point(|at| *at < arrivals[first] + SECOND) - first;
        (0..arrivals.len()).map(count).max().unwrap_or(0)
    }

    fn check(&self, what: &str) {
        let (most, bound) = (self.most_in_a_second() as f64, RATE * OVER + SLACK);
        assert!(most <= bound, "{what}: the upstream got {most} requests in a second, allowed are {bound}");
    }
}

// Guards against buckets that together exceed the bound in a large fleet, and against a rate that is hardly used.
#[test]
fn gateways_of_a_fleet_of_any_size_stay_within_the_bound_and_use_the_rate() {
    for (seed, size) in [1, 2, 3, 9, 30, 100].into_iter().enumerate() {
        let mut world = World::new(seed as u64, size, 60.0);
        world.play(at(7.0));
        world.arrivals.clear();
        world.begin();
        world.play(at(10.0));
        world.check(&format!("{size} gateways"));
        let rate = world.arrivals.len() as f64 / 10.0;
        assert!(rate > 0.6 * RATE, "{size} gateways sent {rate} per second together");
    }
}

// Guards against a gateway that takes the whole rate because it knows only itself, while the others go on.
#[test]
fn bound_holds_while_gateways_start_restart_and_leave() {
    for seed in 0..40 {
        let size = 1 + seed as usize % 9;
        let mut world = World::new(seed, size, 60.0);
        world.play(at(7.0));
        world.arrivals.clear();
        world.begin();
        for _ in 0..8 {
            let alone = at(world.rng.random_range(0.0..2.0));
            match world.rng.random_range(0..3) {
                0 => {
                    world.start(alone);
                    let (index, now) = (world.gateways.len() - 1, world.now);
                    world.gateways[index].cold.begin(now, at(30.0), ColdCause::Registered);
                }
                1 => {
                    let index = world.rng.random_range(0..world.gateways.len());
                    world.restart(index, alone);
                }
                _ => {
                    let index = world.rng.random_range(0..world.gateways.len());
                    world.stop(index);
                }
            }
            let time = at(world.rng.random_range(0.2..4.0));
            world.play(time);
        }
        world.check(&format!("seed {seed}"));
    }
}

// Guards against gateways that are cut off and take a larger share, and against the others taking theirs as well once they
// have given them up.
#[test]
fn bound_holds_when_a_gateway_is_cut_off_and_when_nobody_hears_one() {
    for (seed, link) in [Link::Cut, Link::Unheard].into_iter().cycle().take(20).enumerate() {
        for size in [2, 4, 9] {
            let mut world = World::new(seed as u64, size, 60.0);
            world.play(at(7.0));
            world.arrivals.clear();
            world.cut(0, link);
            // The others take it for gone before the upstream turns cold.
            world.play(at(25.0));
            world.arrivals.clear();
            world.begin();
            world.play(at(10.0));
            world.check(&format!("{link:?}, {size} gateways, removed"));
            // A gateway that no other one has ever heard of.
            world.start(Duration::ZERO);
            let (index, now) = (world.gateways.len() - 1, world.now);
            world.cut(index, Link::Unheard);
            world.gateways[index].cold.begin(now, at(30.0), ColdCause::Registered);
            world.play(at(10.0));
            world.check(&format!("{link:?}, {size} gateways, one unheard"));
        }
    }
}

// Guards against an upstream that turns cold at a gateway without contact, which can't hear of it.
#[test]
fn gateway_without_contact_keeps_to_its_share_at_all_upstreams() {
    let mut world = World::new(5, 1, 200.0);
    world.play(at(7.0));
    world.arrivals.clear();
    world.play(at(2.0));
    assert!(world.most_in_a_second() > 100, "a warm upstream was limited");
    world.cut(0, Link::Cut);
    world.play(at(1.0));
    world.arrivals.clear();
    world.play(at(10.0));
    let most = world.most_in_a_second() as f64;
    assert!((1.0..=RATE / 2.0).contains(&most), "{most} in a second without contact");
    world.cut(0, Link::Up);
    world.play(at(1.0));
    world.arrivals.clear();
    world.play(at(2.0));
    assert!(world.most_in_a_second() > 100, "the limit stayed after the contact was back");
}

// Guards against tokens of earlier seconds that are all used in one, when slow connections open together.
#[test]
fn request_that_is_sent_long_after_the_choice_counts_again() {
    let mut world = World::new(6, 1, 0.0);
    world.play(at(7.0));
    world.begin();
    world.play(at(1.0));
    let now = world.now;
    let cold = &mut world.gateways[0].cold;
    cold.take(now);
    assert!(cold.confirm(now + at(0.1), now));
    while cold.has_room(now + at(0.5)) {
        cold.take(now + at(0.5));
    }
    assert!(!cold.confirm(now + at(0.5), now), "a request was sent with an old token");
    assert!(!cold.confirm(now + at(0.5), at(1.0)), "a request chosen before the upstream turned cold was not counted");
    assert!(cold.wait(now + at(0.5)).is_some_and(|wait| wait < at(0.1)));
}

// Guards against panics and against a limit without meaning, whatever is declared.
#[test]
fn odd_rates_neither_panic_nor_exceed_their_bound() {
    for (rate, over, slack) in [(0.0, 1.5, 5.0), (0.5, 1.0, 0.0), (1.0, 1.5, 0.0), (1e9, 1.0, 0.0), (0.2, 1e9, 1e9)] {
        let limit = ColdLimit::new(Rate::per_second(rate), over, slack);
        let mut cold = ColdStart::default();
        cold.set_limit(Some(limit));
        let mut fleet = ColdFleet::default();
        fleet.update(at(1.0), &name(0), std::iter::empty(), Contact::Connected);
        fleet.update(at(5.0), &name(0), std::iter::empty(), Contact::Connected);
        cold.begin(at(5.0), at(60.0), ColdCause::FirstSeen);
        cold.assign(at(5.0), &upstream(), &fleet);
        let mut sent = 0;
        for step in 0..=100 {
            let now = at(5.0 + f64::from(step) / 100.0);
            while cold.has_room(now) && sent < 1_000_000 {
                cold.take(now);
                sent += 1;
            }
        }
        let bound = Rate::per_second(rate).value() * over + slack;
        assert!(f64::from(sent) <= bound.min(2e6), "{sent} sent at rate {rate}, over {over}, slack {slack}");
        assert!(cold.wait(at(6.0)).is_some());
    }
}
