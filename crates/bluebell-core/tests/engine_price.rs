//! Tests for the price of engine time and the shares of organisations: simulates engines under more load than the largest
//! model allows, and checks what callers get.

use std::time::Duration;

use bluebell_core::{
    cascade::{AnswerHead, EnginePrice, EngineShares, escalate, has_room},
    ids::OrgId,
};
use rand::{Rng, SeedableRng, rngs::StdRng};

/// Engine time of a run of the smallest and of the largest model, in seconds.
const SMALL_RUN: f64 = 0.03;
const LARGE_RUN: f64 = 0.3;
/// Share of the requests that the smallest model answers well.
const SMALL_QUALITY: f64 = 0.58;
/// Value of a poor answer; a good one has the value 1.
const POOR_VALUE: f64 = 0.05;
/// Target latency; an answer that comes later has the value of a poor one.
const TARGET: Duration = Duration::from_secs(3);
/// Maximum noise in a confidence, in either direction.
const NOISE: f64 = 20.0;
/// Number of engines. Their work is modelled as one queue.
const ENGINES: f64 = 10.0;
/// Requests per second at usual load: engines are busy 85% of the time if all hard requests are escalated.
const USUAL_RATE: f64 = 55.0;

#[derive(Clone, Copy, PartialEq)]
enum Policy {
    TwoStates,
    Price,
}

struct Request {
    at: f64,
    org: usize,
    rank: u8,
    difficulty: f64,
}

/// Value and number of the requests of each rank and organisation.
#[derive(Default)]
struct Outcome {
    by_rank: [(f64, f64); 3],
    by_org: Vec<(f64, f64)>,
}

impl Outcome {
    fn mean(&self) -> f64 {
        let (value, count) =
            self.by_rank.iter().fold((0.0, 0.0), |(value, count), (more, number)| (value + more, count + number));
        value / count
    }

    fn of_org(&self, org: usize) -> f64 {
        self.by_org[org].0 / self.by_org[org].1
    }
}

// Requests of organisations, of which each sends at the given rate for 30 s.
fn requests(rates: &[f64], random: &mut StdRng) -> Vec<Request> {
    let mut all = Vec::new();
    for (org, rate) in rates.iter().enumerate() {
        let mut at = 0.0;
        loop {
            at += -random.random_range(f64::MIN_POSITIVE..1.0).ln() / rate;
            if at > 30.0 {
                break;
            }
            let (rank, difficulty) = (random.random_range(0..3), random.random_range(0.0..1.0));
            all.push(Request { at, org, rank, difficulty });
        }
    }
    all.sort_by(|one, other| one.at.total_cmp(&other.at));
    all
}

fn org_id(org: usize) -> OrgId {
    format!("org-{org}").parse().expect("an id")
}

fn play(rates: &[f64], policy: Policy, seed: u64) -> Outcome {
    let mut random = StdRng::seed_from_u64(seed);
    let mut outcome = Outcome { by_org: vec![(0.0, 0.0); rates.len()], ..Outcome::default() };
    let mut shares = EngineShares::default();
    // Work that waits, in seconds of all engines together.
    let (mut queue, mut last) = (0.0_f64, 0.0);
    for request in requests(rates, &mut random) {
        queue = (queue - (request.at - last)).max(0.0);
        last = request.at;
        let now = Duration::from_secs_f64(request.at);
        let org = org_id(request.org);
        queue += SMALL_RUN / ENGINES;
        shares.record(now, &org, SMALL_RUN);
        let noise = random.random_range(-NOISE..NOISE);
        let confidence = (50.0 + 100.0 * (SMALL_QUALITY - request.difficulty) + noise).clamp(0.0, 100.0);
        let backlog = Duration::from_secs_f64(queue);
        let (has_room, price) = match policy {
            Policy::TwoStates => {
                (has_room(request.rank, backlog, Duration::from_millis(300), TARGET), EnginePrice::FREE)
            }
            Policy::Price => (true, EnginePrice::of_backlog(backlog).scaled(shares.price_factor(now, &org))),
        };
        let head = AnswerHead {
            model: 0,
            model_count: 3,
            confidence: Some(confidence as u8),
            time_left: Duration::from_secs(18),
            time_limit: Duration::from_secs(20),
            attempts_left: 2,
            rank: request.rank,
            has_room,
            price,
        };
        let mut latency = queue + SMALL_RUN;
        let mut is_good = request.difficulty <= SMALL_QUALITY;
        if escalate(&head).is_some() {
            queue += LARGE_RUN / ENGINES;
            shares.record(now, &org, LARGE_RUN);
            latency += queue + LARGE_RUN;
            is_good = true;
        }
        let value = if is_good && latency <= TARGET.as_secs_f64() { 1.0 } else { POOR_VALUE };
        for total in [&mut outcome.by_rank[usize::from(request.rank)], &mut outcome.by_org[request.org]] {
            *total = (total.0 + value, total.1 + 1.0);
        }
    }
    outcome
}

fn mean_over_seeds(factor: f64, policy: Policy) -> f64 {
    let rates = [USUAL_RATE * factor];
    (0..5).map(|seed| play(&rates, policy, seed).mean()).sum::<f64>() / 5.0
}

#[test]
fn callers_get_more_from_a_price_than_from_two_states_at_each_overload() {
    for factor in [1.4, 2.0, 3.0] {
        let (two_states, price) = (mean_over_seeds(factor, Policy::TwoStates), mean_over_seeds(factor, Policy::Price));
        assert!(
            price >= two_states,
            "at {factor} times the usual load: {price:.3} with a price, {two_states:.3} without"
        );
    }
}

#[test]
fn callers_get_as_much_as_before_without_overload() {
    for factor in [0.3, 0.6, 0.9] {
        let (two_states, price) = (mean_over_seeds(factor, Policy::TwoStates), mean_over_seeds(factor, Policy::Price));
        assert!(price >= two_states - 0.02, "at {factor}: {price:.3} with a price, {two_states:.3} without");
    }
}

#[test]
fn urgent_requests_go_first_and_the_rest_are_not_starved() {
    let outcome = play(&[3.0 * USUAL_RATE], Policy::Price, 7);
    let [urgent, middle, last] = outcome.by_rank.map(|(value, count)| value / count);
    assert!(urgent >= middle && middle >= last, "urgent {urgent:.3}, middle {middle:.3}, last {last:.3}");
    assert!(last >= 0.5, "the least urgent requests get only {last:.3}");
}

#[test]
fn price_changes_smoothly() {
    // Guards against gateways that stop and start escalating together.
    for rank in 0..=2 {
        let steps = (0..2000).map(|ms| EnginePrice::of_backlog(Duration::from_millis(ms)).willingness(rank));
        let steps: Vec<f64> = steps.collect();
        assert_eq!(steps[0], 1.0);
        assert!(steps.windows(2).all(|pair| pair[1] <= pair[0] && pair[0] - pair[1] < 0.01), "rank {rank}");
    }
    assert!(EnginePrice::of_backlog(Duration::from_secs(60)).willingness(0) == 0.0);
    assert!(EnginePrice::FREE.scaled(f64::NAN) == EnginePrice::FREE);
}

#[test]
fn organisation_with_fifteen_times_its_usual_takes_little_from_the_others() {
    let usual = vec![USUAL_RATE / 10.0; 10];
    let mut hot = usual.clone();
    hot[0] *= 15.0;
    let calm = play(&usual, Policy::Price, 3);
    let others = |outcome: &Outcome| (1..10).map(|org| outcome.of_org(org)).sum::<f64>() / 9.0;
    let with_price = play(&hot, Policy::Price, 3);
    let two_states = play(&hot, Policy::TwoStates, 3);
    assert!(with_price.of_org(0) < others(&with_price), "the organisation in excess gets more than the others");
    assert!(others(&with_price) > others(&two_states), "the others get less than without shares");
    assert!(others(&calm) - others(&with_price) < 0.5 * (others(&calm) - others(&two_states)));
}

#[test]
fn share_that_an_organisation_leaves_is_used_by_the_others() {
    let mut shares = EngineShares::default();
    let at = Duration::from_secs;
    for second in 0..10 {
        shares.record(at(second), &org_id(1), 10.0);
        shares.record(at(second), &org_id(2), 10.0);
    }
    assert!((shares.ratio(at(10), &org_id(1)) - 1.0).abs() < 0.01);
    for second in 10..80 {
        shares.record(at(second), &org_id(1), 10.0);
    }
    assert!((shares.ratio(at(80), &org_id(1)) - 1.0).abs() < 0.1, "an organisation alone is in excess");
    assert_eq!(shares.ratio(at(80), &org_id(9)), 1.0);
    shares.record(at(80), &org_id(1), f64::NAN);
    shares.record(at(80), &org_id(1), -4.0);
    assert!(shares.ratio(at(80), &org_id(1)).is_finite());
}
