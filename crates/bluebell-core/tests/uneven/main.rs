//! Placement on upstreams of uneven and changing speed, by gateways that each see a part of the requests. Without a
//! network; the rates and sizes are those of a deployment with 55 engines and 30 gateways.

mod engine;
mod gateway;

use std::time::Duration;

use bluebell_core::{placing::Part, units::Tokens};
use engine::{Engine, Event, Task};
use gateway::Gateway;
use rand::{Rng, SeedableRng, rngs::StdRng};

const ENGINES: usize = 55;
const GATEWAYS: usize = 30;
const TICK_MS: u64 = 5;
/// Interval at which machines may change their speed.
const CHANGE_MS: u64 = 600;
/// Interval at which gateways learn of each other's load.
const PEERS_MS: u64 = 250;
/// Time after which figures are counted.
const WARM_UP_MS: u64 = 20_000;
const END_MS: u64 = 60_000;
/// Number of different shared prompt parts of a kind of work; the nth is requested in proportion to 1/n.
const PARTS: usize = 40;

/// A kind of work: requests per second, tokens of the shared part and of the request's own, generated tokens.
struct Kind {
    name: &'static str,
    rate: f64,
    shared: u64,
    own: f64,
    tokens: f64,
}

const KINDS: [Kind; 3] = [
    Kind { name: "review", rate: 60.5, shared: 5382, own: 6610.0, tokens: 384.0 },
    Kind { name: "answer", rate: 88.3, shared: 198, own: 628.0, tokens: 360.0 },
    Kind { name: "classify", rate: 117.0, shared: 568, own: 1800.0, tokens: 30.0 },
];

/// Models with the relative cost of a token and the share of requests.
const MODELS: [(&str, f64, f64); 3] = [("small", 0.22, 0.6), ("middle", 0.58, 0.15), ("large", 2.2, 0.25)];

#[derive(Debug)]
struct Outcome {
    // Work of the busiest engine for its speed, relative to the mean.
    busiest: f64,
    // Share of requests that opened a connection.
    connects: f64,
    // Share of the shared tokens that were cached.
    cached: f64,
    mean_wait: f64,
    p99_wait: f64,
    // Mean of the learnt speeds of the slow and of the fast engines.
    learnt: [f64; 2],
}

fn zipf(random: &mut StdRng) -> usize {
    let total: f64 = (1..=PARTS).map(|rank| 1.0 / rank as f64).sum();
    let mut left = random.random_range(0.0..total);
    (1..PARTS)
        .find(|rank| {
            left -= 1.0 / *rank as f64;
            left < 0.0
        })
        .unwrap_or(PARTS)
}

fn task(random: &mut StdRng, kind: &Kind, id: usize) -> Task {
    let mut share = random.random_range(0.0..1.0);
    let model = MODELS.iter().find(|(_, _, part)| {
        share -= part;
        share < 0.0
    });
    let (model, weight, _) = model.unwrap_or(&MODELS[0]);
    let part = format!("{}-{}", kind.name, zipf(random)).parse().expect("id");
    Task {
        gateway: random.random_range(0..GATEWAYS),
        id,
        model: model.parse().expect("id"),
        shared: vec![Part { id: part, tokens: Tokens(kind.shared) }],
        own: kind.own * random.random_range(0.5..1.5),
        weight: *weight,
        tokens: kind.tokens,
    }
}

fn is_slow(at: usize) -> bool {
    at.is_multiple_of(4)
}

fn simulate(seed: u64, rate: f64, knows_speed: bool) -> Outcome {
    let mut random = StdRng::seed_from_u64(seed);
    let mut engines: Vec<Engine> = (0..ENGINES).map(|at| Engine::new(if is_slow(at) { 0.55 } else { 1.2 })).collect();
    let mut gateways: Vec<Gateway> = (0..GATEWAYS).map(|_| Gateway::new(ENGINES, knows_speed)).collect();
    let (mut id, mut shared) = (0, 0.0);
    let mut events = Vec::new();
    for tick in 0..END_MS / TICK_MS {
        let millis = tick * TICK_MS;
        let now = Duration::from_millis(millis);
        if millis.is_multiple_of(CHANGE_MS) {
            engines.iter_mut().for_each(|engine| engine.slowdown = if random.random_bool(0.15) { 2.5 } else { 1.0 });
        }
        if millis == WARM_UP_MS {
            shared = 0.0;
            engines.iter_mut().for_each(|engine| (engine.work, engine.cached) = (0.0, 0.0));
            for gateway in &mut gateways {
                (gateway.sends, gateway.connects) = (0.0, 0.0);
                gateway.waits.clear();
            }
        }
        if millis.is_multiple_of(PEERS_MS) {
            for at in 0..ENGINES {
                let sum = |(a, b), (c, d)| (a + c, b + d);
                let total = gateways.iter().map(|gateway| gateway.load(at)).fold((0, 0), sum);
                gateways.iter_mut().for_each(|gateway| gateway.apply_peers(now, at, total));
            }
        }
        for kind in &KINDS {
            // Two chances per tick approximate a Poisson process.
            for _ in 0..2 {
                if random.random_bool((kind.rate * rate * TICK_MS as f64 / 2000.0).min(1.0)) {
                    id += 1;
                    let task = task(&mut random, kind, id);
                    shared += kind.shared as f64;
                    let at = gateways[task.gateway].send(now, &task, kind.name, &mut random);
                    engines[at].accept(now, task);
                }
            }
        }
        for engine in &mut engines {
            engine.run(millis as f64, (millis + TICK_MS) as f64, &mut events);
        }
        let now = now + Duration::from_millis(TICK_MS);
        for event in events.drain(..) {
            match event {
                Event::First { gateway, id, report } => gateways[gateway].receive_first(now, id, report),
                Event::Last { gateway, id } => gateways[gateway].receive_last(now, id),
            }
        }
    }
    let total = |of: fn(&Engine) -> f64| engines.iter().map(of).sum::<f64>();
    let mean = total(|engine| engine.work) / total(|engine| engine.speed);
    let mut waits: Vec<f64> = gateways.iter().flat_map(|gateway| gateway.waits.iter().copied()).collect();
    waits.sort_by(f64::total_cmp);
    let sum = |of: fn(&Gateway) -> f64| gateways.iter().map(of).sum::<f64>();
    let learnt = |slow: bool| {
        let of: Vec<f64> = (0..ENGINES)
            .filter(|at| is_slow(*at) == slow)
            .flat_map(|at| gateways.iter().map(move |gateway| gateway.mean_speed(at)))
            .collect();
        of.iter().sum::<f64>() / of.len() as f64
    };
    Outcome {
        busiest: engines.iter().map(|engine| engine.work / engine.speed / mean).fold(0.0, f64::max),
        connects: sum(|gateway| gateway.connects) / sum(|gateway| gateway.sends),
        cached: total(|engine| engine.cached) / shared,
        mean_wait: waits.iter().sum::<f64>() / waits.len() as f64,
        p99_wait: waits[waits.len() * 99 / 100],
        learnt: [learnt(true), learnt(false)],
    }
}

// Guards against gateways that concentrate requests on a few upstreams, because of common prompt parts or because all of
// them read the same report, and against the opposite: spreading them so evenly that connections and cached prompt parts
// are not reused.
#[test]
fn busiest_of_uneven_upstreams_is_not_far_above_the_mean() {
    for rate in [1.0, 1.8] {
        let before = simulate(1, rate, false);
        let after = simulate(1, rate, true);
        println!("rate {rate}, speed unknown {before:.3?}");
        println!("rate {rate}, speed known   {after:.3?}");
        assert!(after.busiest < 1.6 && after.busiest < before.busiest, "{after:?} against {before:?}");
        assert!(after.connects < 0.125, "{after:?}");
        assert!(after.cached > 0.8 * before.cached, "{after:?} against {before:?}");
        assert!(after.mean_wait < before.mean_wait && after.p99_wait < before.p99_wait, "{after:?} against {before:?}");
        let [slow, fast] = after.learnt;
        assert!(slow < 0.85 * fast, "{after:?}");
    }
}
