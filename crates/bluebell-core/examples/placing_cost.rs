//! Benchmark of the choice of an upstream, for services with and without known speeds: reading the state of the upstreams
//! into candidates, and choosing one of them.

#![expect(clippy::print_stdout, reason = "prints the measured times")]

use std::{
    hint::black_box,
    time::{Duration, Instant},
};

use bluebell_core::{
    ids::{ModelId, PartId},
    placing::{Candidate, Capacity, Load, Part, PartCache, Report, RequestProfile, pick},
    units::{Slowdown, Tokens},
};
use rand::{Rng, SeedableRng, rngs::StdRng};

#[derive(Default)]
struct Upstream {
    name: String,
    load: Load,
    parts: PartCache,
    capacity: Capacity,
}

fn upstreams(count: usize, model: &ModelId, random: &mut StdRng) -> Vec<Upstream> {
    let upstream = |at| {
        let mut upstream = Upstream { name: format!("i-{at:010x}"), ..Upstream::default() };
        let now = Duration::from_millis(random.random_range(0..1000));
        let slowdown = Slowdown::from_percent(100.0 * random.random_range(0.5..2.5));
        upstream.load.apply_report(now, Report { running: random.random_range(0..9), waiting: 0, slots: 64, slowdown });
        slowdown.into_iter().for_each(|slowdown| upstream.capacity.record_report(now, slowdown));
        let part = Part { id: format!("part-{}", at % 7).parse().expect("an id"), tokens: Tokens(5000) };
        upstream.parts.insert(now, model, &[part], Tokens(400_000));
        upstream
    };
    (0..count).map(upstream).collect()
}

fn main() {
    let mut random = StdRng::seed_from_u64(1);
    let model: ModelId = "model".parse().expect("an id");
    let shared = [Part { id: "part-3".parse::<PartId>().expect("an id"), tokens: Tokens(5000) }];
    for count in [55, 3800] {
        let upstreams = upstreams(count, &model, &mut random);
        let rounds = 4_000_000 / count as u32;
        for knows_speed in [false, true] {
            let profile = RequestProfile {
                key: Some("model/part-3".to_owned()),
                prompt: 6000.0,
                shared: 5000.0,
                weight: 1.0,
                rate: knows_speed.then_some(92.0),
            };
            let now = Duration::from_millis(1100);
            let read = |upstream: &Upstream| {
                let load = upstream.load.estimate(now);
                Candidate {
                    name: upstream.name.clone(),
                    requests: load.requests,
                    slots: 64.0,
                    pending_prefill: load.pending_prefill,
                    cached: upstream.parts.cached(&model, &shared).0 as f64,
                    failure_rate: 0.0,
                    other_zone: false,
                    cold: false,
                    speed: if knows_speed { upstream.capacity.speed(now) } else { 1.0 },
                    has_connection: knows_speed && upstream.name.len() > 40,
                    average: if knows_speed { load.average } else { 0.0 },
                }
            };
            let start = Instant::now();
            for _ in 0..rounds {
                black_box(upstreams.iter().map(read).collect::<Vec<_>>());
            }
            let read_time = start.elapsed() / rounds;
            let candidates: Vec<Candidate> = upstreams.iter().map(read).collect();
            let start = Instant::now();
            for _ in 0..rounds {
                black_box(pick(&profile, &candidates, &mut random));
            }
            let pick_time = start.elapsed() / rounds;
            println!("{count:>5} upstreams, speed known {knows_speed:>5}: read {read_time:?}, choice {pick_time:?}");
        }
    }
}
