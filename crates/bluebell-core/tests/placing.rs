//! Upstream selection under load, compared with the least loaded upstream, the better of two random ones, and a random
//! one.

use std::time::Duration;

use bluebell_core::{
    ids::{ModelId, PartId},
    placing::{Candidate, Health, HealthEvent, Liveness, Load, Part, PartCache, Report, RequestProfile, pick},
    units::Tokens,
};
use rand::{Rng, SeedableRng, rngs::StdRng};

fn candidate(name: &str) -> Candidate {
    Candidate {
        name: name.to_owned(),
        requests: 0.0,
        slots: 64.0,
        pending_prefill: 0.0,
        cached: 0.0,
        failure_rate: 0.0,
        other_zone: false,
        cold: false,
        speed: 1.0,
        has_connection: false,
        average: 0.0,
    }
}

fn work(prompt: f64) -> RequestProfile {
    RequestProfile { key: None, prompt, shared: 0.0, weight: 1.0, rate: None }
}

fn choose(work: &RequestProfile, candidates: &[Candidate]) -> usize {
    pick(work, candidates, &mut StdRng::seed_from_u64(1)).expect("a choice")
}

#[test]
fn no_candidates_give_no_choice() {
    assert_eq!(pick(&work(1.0), &[], &mut StdRng::seed_from_u64(1)), None);
}

#[test]
fn prompts_prefer_cached_upstream_unless_it_is_much_busier() {
    let warm = Candidate { cached: 5000.0, requests: 4.0, ..candidate("warm") };
    let work = RequestProfile { shared: 5000.0, ..work(6000.0) };
    assert_eq!(choose(&work, &[candidate("cold"), warm.clone()]), 1);
    let flooded = Candidate { pending_prefill: 90_000.0, ..warm };
    assert_eq!(choose(&work, &[candidate("cold"), flooded]), 0);
}

#[test]
fn gateways_without_shared_state_prefer_the_same_upstream() {
    let names = ["a", "b", "c", "d"].map(candidate);
    let work = RequestProfile { key: Some("part-7".to_owned()), shared: 4000.0, ..work(5000.0) };
    let choices: Vec<_> = (0..20).map(|seed| pick(&work, &names, &mut StdRng::seed_from_u64(seed))).collect();
    assert!(choices.iter().all(|choice| *choice == choices[0]));
}

#[test]
fn long_prompts_avoid_upstream_with_many_streams() {
    let streams = Candidate { requests: 12.0, ..candidate("streams") };
    let prompts = Candidate { requests: 2.0, pending_prefill: 9000.0, ..candidate("prompts") };
    assert_eq!(choose(&work(20_000.0), &[streams.clone(), prompts.clone()]), 1);
    assert_eq!(choose(&work(100.0), &[streams, prompts]), 0);
}

#[test]
fn failing_and_full_upstreams_come_last() {
    let failing = Candidate { failure_rate: 0.4, ..candidate("failing") };
    let full = Candidate { requests: 80.0, ..candidate("full") };
    let busy = Candidate { requests: 20.0, ..candidate("busy") };
    assert_eq!(choose(&work(100.0), &[failing, full, busy]), 2);
}

// Simulates a burst of long and short prompts on engines that process prompts one after the other. Returns the mean
// wait of the short ones, in milliseconds.
fn short_wait(mut choose: impl FnMut(&RequestProfile, &[Candidate], &mut StdRng) -> usize) -> f64 {
    const ENGINES: usize = 9;
    const PREFILL_PER_MS: f64 = 90.0;
    let mut random = StdRng::seed_from_u64(3);
    let mut pending_prefill = [0.0f64; ENGINES];
    let (mut waits, mut shorts) = (0.0, 0.0);
    for _ in 0..3000 {
        pending_prefill.iter_mut().for_each(|left| *left = (*left - 8.0 * PREFILL_PER_MS).max(0.0));
        let long = random.random_bool(0.3);
        let prompt = if long { random.random_range(4000.0..30_000.0) } else { random.random_range(200.0..1500.0) };
        let candidates: Vec<Candidate> = (0..ENGINES)
            .map(|at| Candidate {
                pending_prefill: pending_prefill[at],
                requests: pending_prefill[at] / 4000.0,
                ..candidate(&at.to_string())
            })
            .collect();
        let at = choose(&work(prompt), &candidates, &mut random);
        if !long {
            waits += pending_prefill[at] / PREFILL_PER_MS;
            shorts += 1.0;
        }
        pending_prefill[at] += prompt;
    }
    waits / shorts
}

#[test]
fn short_prompts_wait_less_than_under_simpler_choices() {
    let ours = short_wait(|work, candidates, random| pick(work, candidates, random).expect("a choice"));
    let random_choice = short_wait(|_, candidates, random| random.random_range(0..candidates.len()));
    let two_choices = short_wait(|_, candidates, random| {
        let (a, b) = (random.random_range(0..candidates.len()), random.random_range(0..candidates.len()));
        if candidates[a].requests <= candidates[b].requests { a } else { b }
    });
    assert!(ours < 0.5 * random_choice, "{ours} against {random_choice} at random");
    assert!(ours < two_choices, "{ours} against {two_choices} for the better of two random ones");
}

#[test]
fn partition_for_long_prompts_is_stable_and_overflows_under_load() {
    let names = ["a", "b", "c", "d", "e", "f"].map(candidate);
    let mut random = StdRng::seed_from_u64(5);
    let mut seen = |prompt: f64| -> Vec<usize> {
        let mut seen: Vec<usize> = (0..200).filter_map(|_| pick(&work(prompt), &names, &mut random)).collect();
        seen.sort_unstable();
        seen.dedup();
        seen
    };
    let (long, short) = (seen(30_000.0), seen(300.0));
    assert_eq!((long.len(), short.len()), (3, 3));
    assert!(long.iter().all(|at| !short.contains(at)), "{long:?} and {short:?}");
    let crowded = |at: usize| if short.contains(&at) { 60.0 } else { 1.0 };
    let busy: Vec<Candidate> =
        names.iter().enumerate().map(|(at, one)| Candidate { requests: crowded(at), ..one.clone() }).collect();
    assert!(long.contains(&choose(&work(300.0), &busy)), "an overloaded partition passes requests to the other");
}

/// An engine that alternates prefill chunks with decode steps of its streams.
#[derive(Clone, Default)]
struct Engine {
    // End of the current step, in milliseconds.
    busy_until: f64,
    pending_prefill: f64,
    // Remaining tokens and arrival time of each stream.
    streams: Vec<(f64, f64)>,
}

impl Engine {
    const CHUNK: f64 = 4096.0;
    const STEP_MS: f64 = 4.0;

    // Simulates the engine until `to`. Returns the durations of the streams that ended.
    fn work(&mut self, from: f64, to: f64) -> Vec<f64> {
        let mut durations = Vec::new();
        self.busy_until = self.busy_until.max(from);
        while self.busy_until < to && (self.pending_prefill > 0.0 || !self.streams.is_empty()) {
            let chunk = self.pending_prefill.min(Self::CHUNK);
            self.pending_prefill -= chunk;
            self.busy_until += Self::STEP_MS + chunk / 90.0;
            let now = self.busy_until;
            self.streams.iter_mut().for_each(|(left, _)| *left -= 1.0);
            durations.extend(self.streams.iter().filter(|(left, _)| *left <= 0.0).map(|(_, begun)| now - begun));
            self.streams.retain(|(left, _)| *left > 0.0);
        }
        durations
    }
}

// Simulates streams with short prompts, mixed with a third of long prompts that keep half of the engines busy. Returns
// the fraction of streams whose 100 tokens took at most 15 ms each on average.
fn streams_in_time(mut choose: impl FnMut(&RequestProfile, &[Candidate], &mut StdRng) -> usize) -> f64 {
    const ENGINES: usize = 8;
    const TICK_MS: f64 = 10.0;
    let mut random = StdRng::seed_from_u64(11);
    let mut engines = vec![Engine::default(); ENGINES];
    let (mut ended, mut in_time) = (0.0, 0.0);
    for tick in 0..4000 {
        let now = f64::from(tick) * TICK_MS;
        for engine in &mut engines {
            for duration in engine.work(now, now + TICK_MS) {
                ended += 1.0;
                in_time += f64::from(duration <= 1500.0);
            }
        }
        let candidate = |(at, engine): (usize, &Engine)| {
            let requests = engine.streams.len() as f64 + (engine.pending_prefill / 10_000.0).ceil();
            Candidate { pending_prefill: engine.pending_prefill, requests, ..candidate(&format!("engine-{at}")) }
        };
        let candidates: Vec<Candidate> = engines.iter().enumerate().map(candidate).collect();
        let long = random.random_bool(0.33);
        let prompt = if long { random.random_range(6000.0..20_000.0) } else { random.random_range(100.0..900.0) };
        let at = choose(&work(prompt), &candidates, &mut random);
        engines[at].pending_prefill += prompt;
        if !long {
            engines[at].streams.push((100.0, now));
        }
    }
    in_time / ended
}

#[test]
fn streams_keep_their_token_rate_beside_long_prompts() {
    let ours = streams_in_time(|work, candidates, random| pick(work, candidates, random).expect("a choice"));
    let least_wait = streams_in_time(|_, candidates, _| {
        let wait = |one: &Candidate| one.pending_prefill / 90.0 + 3.0 * one.requests;
        (0..candidates.len()).min_by(|a, b| wait(&candidates[*a]).total_cmp(&wait(&candidates[*b]))).expect("a choice")
    });
    let random = streams_in_time(|_, candidates, random| random.random_range(0..candidates.len()));
    println!("in time: {ours:.3} ours, {least_wait:.3} least wait, {random:.3} at random");
    assert!(ours >= 0.95, "{ours}");
    assert!(ours > least_wait && ours > random, "{ours} against {least_wait} and {random}");
}

#[test]
fn request_times_out_only_without_upstream_activity() {
    let timeout = Duration::from_secs(2);
    let mut liveness = Liveness::default();
    let sent = Duration::from_secs(10);
    assert_eq!(liveness.remaining(Duration::from_secs(12), sent, timeout), Duration::ZERO);
    liveness.record_activity(Duration::from_millis(11_500));
    assert_eq!(liveness.remaining(Duration::from_secs(12), sent, timeout), Duration::from_millis(1500));
}

#[test]
fn consecutive_failures_eject_upstream_until_a_single_trial() {
    let mut health = Health::default();
    let now = Duration::from_secs(1);
    assert!((0..3).any(|_| health.record(now, HealthEvent::Failed)));
    assert!(!health.is_available(now));
    let later = now + Duration::from_secs(1);
    assert!(health.is_available(later));
    health.record_send(later);
    assert!(!health.is_available(later), "one trial at a time");
    assert!(health.record(later, HealthEvent::Lost), "a failed trial lengthens the ejection");
    assert!(!health.is_available(later + Duration::from_millis(600)));
}

#[test]
fn occasional_failures_do_not_eject_upstream() {
    let mut health = Health::default();
    let now = Duration::from_secs(1);
    for round in 0..400 {
        let event = if round % 7 == 0 { HealthEvent::Failed } else { HealthEvent::Good };
        health.record(now, event);
        assert!(health.is_available(now), "round {round}");
    }
}

#[test]
fn reported_load_of_other_callers_decays() {
    let mut load = Load::default();
    let now = Duration::from_secs(1);
    load.start_request(Tokens(100));
    load.apply_report(now, Report { running: 11, waiting: 0, slots: 64, slowdown: None });
    assert!((load.requests(now) - 11.0).abs() < 0.01);
    assert!(load.requests(now + Duration::from_secs(10)) < 1.1);
    load.finish_request();
    assert_eq!(load.own_requests(), 0);
}

#[test]
fn cached_parts_count_only_as_a_contiguous_prefix_and_are_evicted_by_age() {
    let model: ModelId = "m".parse().expect("id");
    let part = |name: &str, tokens| Part { id: name.parse::<PartId>().expect("id"), tokens: Tokens(tokens) };
    let mut cache = PartCache::default();
    cache.insert(Duration::ZERO, &model, &[part("a", 10), part("b", 20)], Tokens(60));
    assert_eq!(cache.cached(&model, &[part("a", 10), part("b", 20), part("c", 5)]), Tokens(30));
    assert_eq!(cache.cached(&model, &[part("x", 1), part("b", 20)]), Tokens(0));
    cache.insert(Duration::ZERO, &model, &[part("d", 40)], Tokens(60));
    assert_eq!(cache.cached(&model, &[part("a", 10)]), Tokens(0));
}
