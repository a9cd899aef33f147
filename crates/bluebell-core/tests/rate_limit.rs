//! Rate limits of upstreams: gateways with different loads that share one upstream, whose answers and whose peers' reports
//! arrive with delays.

use std::{collections::VecDeque, time::Duration};

use bluebell_core::{
    ids::{InstanceId, UpstreamId},
    rate_limit::{Fleet, LimitChange, LimitReport, RateLimit, ReturnQueue, UrgencyOrder},
    units::Rate,
};
use rand::{Rng, SeedableRng, rngs::StdRng};

const STEP: Duration = Duration::from_millis(10);
const STATUS_INTERVAL: Duration = Duration::from_millis(250);
const WINDOW: Duration = Duration::from_secs(4);
/// Time after the first answer that names a limit by which all gateways must keep to it.
const CONTACT: Duration = Duration::from_secs(3);

fn at(seconds: f64) -> Duration {
    Duration::from_secs_f64(seconds)
}

fn name(gateway: usize) -> InstanceId {
    format!("gateway-{gateway}").parse().expect("the id should be valid")
}

fn upstream() -> UpstreamId {
    "upstream-1".parse().expect("the id should be valid")
}

fn fleet(own: usize, size: usize) -> Fleet {
    let others: Vec<InstanceId> = (0..size).filter(|other| *other != own).map(name).collect();
    let mut fleet = Fleet::default();
    fleet.update(&name(own), others.iter());
    fleet
}

struct Gateway {
    limit: RateLimit,
    fleet: Fleet,
    // Requests per second.
    demand: f64,
    waiting: f64,
}

/// Gateways before one upstream, which names `limit` as long as it is set.
struct World {
    rng: StdRng,
    now: Duration,
    limit: Option<f64>,
    gateways: Vec<Gateway>,
    // Time of the answer, gateway, time of the request.
    answers: Vec<(Duration, usize, Duration)>,
    reports: VecDeque<(Duration, usize, LimitReport)>,
    arrivals: Vec<Duration>,
}

impl World {
    fn new(seed: u64, size: usize, demand: impl Fn(usize) -> f64) -> Self {
        let gateway =
            |own| Gateway { limit: RateLimit::default(), fleet: fleet(own, size), demand: demand(own), waiting: 0.0 };
        Self {
            rng: StdRng::seed_from_u64(seed),
            now: at(1.0),
            limit: None,
            gateways: (0..size).map(gateway).collect(),
            answers: Vec::new(),
            reports: VecDeque::new(),
            arrivals: Vec::new(),
        }
    }

    fn play(&mut self, time: Duration) {
        let end = self.now + time;
        while self.now < end {
            self.now += STEP;
            self.deliver();
            if self.now.as_millis().is_multiple_of(STATUS_INTERVAL.as_millis()) {
                self.exchange();
            }
            for index in 0..self.gateways.len() {
                self.send(index);
            }
        }
    }

    fn deliver(&mut self) {
        let now = self.now;
        let (due, left) = self.answers.drain(..).partition(|(due, ..)| *due <= now);
        self.answers = left;
        let due: Vec<(Duration, usize, Duration)> = due;
        let limit = self.limit.map(Rate::per_second);
        for (_, index, sent_at) in due {
            let gateway = &mut self.gateways[index];
            gateway.limit.record_answer(now, sent_at, limit);
            gateway.limit.assign(now, &upstream(), &gateway.fleet);
        }
        while let Some((_, to, report)) = self.reports.pop_front_if(|(due, ..)| *due <= now) {
            let gateway = &mut self.gateways[to];
            gateway.limit.record_report(now, report);
            gateway.limit.assign(now, &upstream(), &gateway.fleet);
        }
    }

    fn exchange(&mut self) {
        let now = self.now;
        for gateway in &mut self.gateways {
            gateway.limit.assign(now, &upstream(), &gateway.fleet);
        }
        let told: Vec<(usize, LimitReport)> = self
            .gateways
            .iter()
            .enumerate()
            .filter_map(|(index, gateway)| Some((index, gateway.limit.report(now)?)))
            .collect();
        for (from, report) in told {
            for to in (0..self.gateways.len()).filter(|to| *to != from) {
                self.reports.push_back((now + Duration::from_millis(40), to, report));
            }
        }
    }

    fn send(&mut self, index: usize) {
        let gateway = &mut self.gateways[index];
        // What the upstream has no room for goes to other upstreams.
        let due = gateway.demand * STEP.as_secs_f64();
        gateway.waiting = (gateway.waiting + due).min(3.0 + due);
        while gateway.waiting >= 1.0 {
            gateway.waiting -= 1.0;
            if gateway.limit.has_room(self.now) {
                gateway.limit.take(self.now);
                self.arrivals.push(self.now);
                let delay = Duration::from_millis(self.rng.random_range(30..1500));
                self.answers.push((self.now + delay, index, self.now));
            }
        }
    }

    fn sent(&self, from: Duration, until: Duration) -> usize {
        // Arrivals are in the order of time.
        let before = |time: Duration| self.arrivals.partition_point(|arrival| *arrival < time);
        before(until) - before(from)
    }

    fn most_in_window(&self, from: Duration) -> usize {
        let starts = self.arrivals.iter().filter(|start| **start >= from);
        starts.map(|start| self.sent(*start, *start + WINDOW)).max().unwrap_or(0)
    }
}

#[test]
fn all_gateways_together_keep_to_the_limit_and_use_it() {
    for (seed, size) in [(1, 1), (2, 4), (3, 41), (4, 4), (5, 41)] {
        for limit in [0.5, 1.0, 3.2, 12.0, 80.0, 400.0] {
            let mut world = World::new(seed, size, |_| 2.0 * f64::max(limit, 20.0));
            world.play(at(2.0));
            world.limit = Some(limit);
            let named = world.now;
            world.play(at(40.0));
            let most = world.most_in_window(named + CONTACT) as f64;
            let bound = 4.0 * limit + f64::max(limit, 1.0) + 1.0;
            assert!(most <= bound, "{size} gateways, limit {limit}: {most} requests in 4 s");
            let sent = world.sent(named + at(10.0), named + at(40.0)) as f64;
            assert!(sent >= 0.8 * 30.0 * limit, "{size} gateways, limit {limit}: only {sent} requests in 30 s");
        }
    }
}

#[test]
fn gateways_that_send_again_after_a_pause_all_at_once_keep_to_the_limit() {
    for size in [4, 41] {
        for limit in [0.5, 3.2, 30.0] {
            let mut world = World::new(6, size, |_| 50.0);
            world.limit = Some(limit);
            world.play(at(5.0));
            for _ in 0..4 {
                world.gateways.iter_mut().for_each(|gateway| gateway.demand = 0.0);
                world.play(at(9.0));
                world.gateways.iter_mut().for_each(|gateway| gateway.demand = 300.0);
                let start = world.now;
                world.play(at(3.0));
                let sent = world.sent(start, world.now) as f64;
                let bound = 3.0 * limit + f64::max(limit, 1.0) + 1.0;
                assert!(sent <= bound, "{size} gateways, limit {limit}: {sent} requests in 3 s after a pause");
            }
        }
    }
}

#[test]
fn limit_ends_everywhere_soon_after_the_upstream_names_none() {
    let mut world = World::new(7, 41, |_| 5.0);
    world.limit = Some(3.2);
    world.play(at(20.0));
    world.limit = None;
    world.play(at(6.0));
    assert!(world.gateways.iter().all(|gateway| gateway.limit.limit().is_none()));
    let from = world.now;
    world.play(at(4.0));
    assert!(world.sent(from, world.now) > 600, "the upstream is not used as before");
}

#[test]
fn changing_limit_is_followed() {
    let mut world = World::new(8, 4, |_| 200.0);
    for limit in [3.2, 40.0, 0.0, 7.0, 1e6, 2.0] {
        world.limit = Some(limit);
        let named = world.now;
        world.play(at(25.0));
        let most = world.most_in_window(named + CONTACT + at(10.0)) as f64;
        assert!(most <= 6.0 * limit + 5.0, "limit {limit}: {most} requests in 4 s");
        // At a limit of zero, it takes a trial request to hear of the next one.
        let sent = world.sent(named + at(15.0), named + at(25.0)) as f64;
        assert!(sent >= 0.7 * 10.0 * f64::min(limit, 700.0), "limit {limit}: only {sent} requests in 10 s");
    }
}

#[test]
fn upstream_whose_owners_send_nothing_is_tried_by_others() {
    let mut world = World::new(9, 41, |_| 5.0);
    world.limit = Some(2.0);
    world.play(at(10.0));
    for gateway in &mut world.gateways {
        gateway.demand = if gateway.limit.share() > Rate::default() { 0.0 } else { 5.0 };
    }
    world.limit = None;
    world.play(at(60.0));
    let with_demand = world.gateways.iter().filter(|gateway| gateway.demand > 0.0);
    assert!(with_demand.into_iter().all(|gateway| gateway.limit.limit().is_none()));
}

#[test]
fn gateway_that_was_frozen_sends_no_more_than_its_share_of_a_moment() {
    let mut limit = RateLimit::default();
    let fleet = fleet(0, 1);
    limit.record_answer(at(1.0), at(0.9), Some(Rate::per_second(3.0)));
    limit.assign(at(1.0), &upstream(), &fleet);
    let thawed = at(30.0);
    let sent = (0..100).filter(|_| {
        let has_room = limit.has_room(thawed);
        if has_room {
            limit.take(thawed);
        }
        has_room
    });
    assert!(sent.count() <= 2);
}

#[test]
fn late_answer_to_an_earlier_request_neither_ends_nor_raises_a_limit_but_lowers_it() {
    let mut limit = RateLimit::default();
    let rate = |number| Some(Rate::per_second(number));
    assert_eq!(limit.record_answer(at(1.0), at(0.5), None), LimitChange::None);
    assert_eq!(limit.record_answer(at(2.0), at(1.5), rate(4.0)), LimitChange::Began);
    assert_eq!(limit.record_answer(at(2.1), at(1.9), None), LimitChange::None);
    assert_eq!(limit.record_answer(at(2.2), at(1.9), rate(9.0)), LimitChange::None);
    assert_eq!(limit.limit(), rate(4.0));
    assert_eq!(limit.record_answer(at(2.3), at(1.9), rate(2.0)), LimitChange::Adjusted);
    assert_eq!(limit.record_answer(at(3.0), at(2.4), rate(9.0)), LimitChange::Adjusted);
    assert_eq!(limit.record_answer(at(4.0), at(3.1), None), LimitChange::Ended);
}

#[test]
fn report_of_a_peer_neither_ends_a_limit_named_later_nor_is_passed_on() {
    let mut limit = RateLimit::default();
    let rate = Rate::per_second(4.0);
    assert_eq!(limit.record_report(at(5.0), LimitReport { limit: Some(rate), age: at(1.0) }), LimitChange::Began);
    assert_eq!(limit.report(at(5.0)), None);
    limit.record_answer(at(6.0), at(5.5), Some(rate));
    assert_eq!(limit.report(at(7.0)), Some(LimitReport { limit: Some(rate), age: at(1.0) }));
    assert_eq!(limit.record_report(at(7.0), LimitReport { limit: None, age: at(1.5) }), LimitChange::None);
    assert_eq!(limit.record_report(at(8.0), LimitReport { limit: None, age: at(0.1) }), LimitChange::Ended);
    assert_eq!(limit.record_report(at(9.0), LimitReport { limit: Some(rate), age: at(500.0) }), LimitChange::None);
}

#[test]
fn refused_callers_come_back_at_the_rate_at_which_there_is_room() {
    let mut queue = ReturnQueue::default();
    let delays: Vec<Duration> = (0..12).map(|_| queue.schedule(at(10.0), at(0.2), Rate::per_second(4.0))).collect();
    assert_eq!(delays[..4], [at(0.2), at(0.45), at(0.7), at(0.95)]);
    assert!(delays.iter().all(|delay| *delay <= at(5.0)));
    assert_eq!(queue.schedule(at(30.0), at(0.1), Rate::per_second(4.0)), at(0.1));
    assert!(queue.schedule(at(30.0), at(0.1), Rate::default()) <= at(5.0));
}

/// Requests of ranks 0 and 3 served in 100 s by one upstream at 10 a second, of which so many arrive a second: in the order of
/// urgency, or as they come.
fn served_by_rank(urgent: f64, other: f64, ordered: bool) -> [usize; 2] {
    let (mut limit, mut order) = (RateLimit::default(), UrgencyOrder::default());
    limit.record_answer(at(1.0), at(0.5), Some(Rate::per_second(10.0)));
    limit.assign(at(1.0), &upstream(), &fleet(0, 1));
    let mut rng = StdRng::seed_from_u64(5);
    let mut served = [0, 0];
    for step in 0..10_000 {
        let now = at(1.0) + STEP * step;
        for (index, rank, rate) in [(1, 3, other), (0, 0, urgent)] {
            if !rng.random_bool(rate * STEP.as_secs_f64()) {
                continue;
            }
            if !limit.has_room(now) {
                order.record_refused(now, rank);
            } else if !ordered || order.admits(now, rank, limit.available(now).unwrap_or_default()) {
                limit.take(now);
                order.record_sent(now, rank);
                served[index] += 1;
            }
        }
    }
    served
}

#[test]
fn urgent_requests_come_first_under_limits_and_others_keep_a_part() {
    for load in [20.0, 5.0] {
        let [as_they_come, _] = served_by_rank(load, 20.0, false);
        let [urgent, other] = served_by_rank(load, 20.0, true);
        assert!(
            2 * urgent >= 3 * as_they_come,
            "{load} a second: {urgent} urgent requests, {as_they_come} without order"
        );
        assert!(other >= 50, "{load} a second: only {other} other requests beside {urgent} urgent ones");
        assert!(urgent + other >= 950, "{load} a second: room was wasted");
    }
    let [urgent, other] = served_by_rank(0.0, 20.0, true);
    assert!(urgent == 0 && other >= 950, "no urgent ones: {other} other requests");
}
