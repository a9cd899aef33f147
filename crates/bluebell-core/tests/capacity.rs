//! Speed of upstreams as learnt from noisy timings and reports that go out of date.

use std::time::Duration;

use bluebell_core::{
    placing::{Candidate, Capacity, RequestProfile, UsualSpeed, pick, prefill_allowance},
    units::{Slowdown, Tokens},
};
use rand::{Rng, SeedableRng, rngs::StdRng};

fn slowdown(factor: f64) -> Slowdown {
    Slowdown::from_percent(100.0 * factor).expect("valid")
}

fn millis(number: u64) -> Duration {
    Duration::from_millis(number)
}

// Time to the first event of an upstream of the given speed, in a service that processes 140 tokens per millisecond.
fn head_time(tokens: u64, speed: f64) -> Duration {
    Duration::from_secs_f64((6.0 + tokens as f64 / 140.0 / speed) / 1000.0)
}

#[test]
fn upstream_without_timings_and_reports_has_usual_speed() {
    let capacity = Capacity::default();
    assert!((capacity.speed(millis(1000)) - 1.0).abs() < 1e-9);
    assert!((UsualSpeed::default().rate() - 90.0).abs() < 1e-9);
    assert_eq!(capacity.report_age(millis(1000)), None);
}

// Guards against an average that a few queued responses dominate.
#[test]
fn relative_speeds_are_learnt_from_noisy_timings() {
    let mut random = StdRng::seed_from_u64(1);
    let mut usual = UsualSpeed::default();
    let speeds = [0.55, 1.2, 1.2, 1.2];
    let mut upstreams: Vec<Capacity> = speeds.iter().map(|_| Capacity::default()).collect();
    for round in 0..400 {
        let now = millis(50 * round);
        for (capacity, speed) in upstreams.iter_mut().zip(speeds) {
            let noise = if random.random_bool(0.1) { 10.0 } else { random.random_range(0.8..1.5) };
            let took = head_time(3000, speed).mul_f64(noise);
            capacity.record_head(now, &mut usual, Tokens(2000), Tokens(1000), took);
            let event = millis(20).div_f64(speed).mul_f64(random.random_range(0.8..1.5));
            capacity.record_events(&mut usual, "chat/small", 30, event * 30);
        }
    }
    let now = millis(20_000);
    let ratio = upstreams[0].speed(now) / upstreams[1].speed(now);
    assert!((0.35..0.6).contains(&ratio), "{ratio}");
    let rate = usual.rate() * upstreams[1].speed(now);
    assert!((90.0..180.0).contains(&rate), "{rate} tokens per ms at an upstream that processes 168");
}

// Guards against the use of a value that is out of date, and against one that is forgotten at once.
#[test]
fn reported_slowdown_gives_way_to_the_mean_as_it_ages() {
    let mut capacity = Capacity::default();
    for round in 0..200 {
        capacity.record_report(millis(200 * round), slowdown(1.0));
    }
    let now = millis(40_000);
    capacity.record_report(now, slowdown(2.5));
    assert!(capacity.speed(now) < 0.45, "{}", capacity.speed(now));
    let later = capacity.speed(now + millis(300));
    assert!((0.55..0.75).contains(&later), "{later}");
    assert!((capacity.speed(now + millis(60_000)) - capacity.mean_speed()).abs() < 1e-9);
    assert!(capacity.mean_speed() > 0.95, "{}", capacity.mean_speed());
    assert_eq!(capacity.report_age(now + millis(300)), Some(millis(300)));
}

// Guards against counting a slowdown twice, once as reported and once in the timings that it explains.
#[test]
fn timings_are_corrected_by_the_reported_slowdown() {
    let mut usual = UsualSpeed::default();
    let (mut steady, mut shared) = (Capacity::default(), Capacity::default());
    for round in 0..300 {
        let now = millis(700 * round);
        let factor = if round % 3 == 0 { 2.5 } else { 1.0 };
        steady.record_report(now, slowdown(1.0));
        shared.record_report(now, slowdown(factor));
        steady.record_head(now, &mut usual, Tokens(4000), Tokens(0), head_time(4000, 1.0));
        shared.record_head(now, &mut usual, Tokens(4000), Tokens(0), head_time(4000, 1.0 / factor));
    }
    let now = millis(700 * 300);
    steady.record_report(now, slowdown(1.0));
    shared.record_report(now, slowdown(1.0));
    let ratio = shared.speed(now) / steady.speed(now);
    assert!((0.95..1.05).contains(&ratio), "{ratio}");
}

// Guards against divisions by zero, overflows and infinite speeds by odd figures.
#[test]
fn extreme_figures_leave_speeds_in_range() {
    let mut usual = UsualSpeed::default();
    let mut capacity = Capacity::default();
    for round in 0..1000 {
        let now = millis(round);
        capacity.record_report(now, slowdown(if round % 2 == 0 { 1e-300 } else { 1e300 }));
        capacity.record_head(now, &mut usual, Tokens(u64::MAX), Tokens(u64::MAX), Duration::ZERO);
        capacity.record_head(now, &mut usual, Tokens(1000), Tokens(0), Duration::MAX);
        capacity.record_events(&mut usual, "odd", u64::MAX, Duration::MAX);
        capacity.record_events(&mut usual, "odd", u64::MAX, Duration::from_nanos(1));
        capacity.record_events(&mut usual, "odd", 0, Duration::ZERO);
        for speed in [capacity.speed(now), capacity.speed(Duration::MAX), capacity.mean_speed()] {
            assert!((0.05..=10.0).contains(&speed), "{speed}");
        }
        assert!((1.0..=10_000.0).contains(&usual.rate()));
    }
}

// Guards against a silence limit that a slow upstream, or a fast report, makes too short.
#[test]
fn allowance_for_a_prompt_is_never_shorter_than_without_known_speed() {
    let usual = prefill_allowance(Tokens(9000), None);
    assert_eq!(usual, millis(300));
    assert_eq!(prefill_allowance(Tokens(9000), Some(1e9)), usual);
    assert_eq!(prefill_allowance(Tokens(9000), Some(45.0)), millis(600));
    assert!(prefill_allowance(Tokens(9000), Some(0.0)) < Duration::from_secs(5));
    assert!(prefill_allowance(Tokens(9000), Some(f64::NAN)) < Duration::from_secs(5));
}

fn candidate(name: &str) -> Candidate {
    Candidate {
        name: name.to_owned(),
        requests: 4.0,
        slots: 64.0,
        pending_prefill: 2000.0,
        cached: 0.0,
        failure_rate: 0.0,
        other_zone: false,
        cold: false,
        speed: 1.0,
        has_connection: false,
        average: 4.0,
    }
}

fn choose(candidates: &[Candidate]) -> Option<usize> {
    let profile = RequestProfile { key: None, prompt: 1000.0, shared: 0.0, weight: 1.0, rate: Some(100.0) };
    pick(&profile, candidates, &mut StdRng::seed_from_u64(1))
}

#[test]
fn faster_connected_and_less_loaded_upstreams_are_preferred() {
    let base = candidate("base");
    let fast = Candidate { speed: 1.2, ..candidate("fast") };
    let slow = Candidate { speed: 0.55, ..candidate("slow") };
    assert_eq!(choose(&[base.clone(), slow, fast]), Some(2));
    let connected = Candidate { has_connection: true, ..candidate("connected") };
    assert_eq!(choose(&[base.clone(), connected.clone()]), Some(1));
    let busy = Candidate { requests: 12.0, ..connected };
    assert_eq!(choose(&[base.clone(), busy]), Some(0), "a connection is worth a few ms, not a queue");
    let frequented = Candidate { average: 16.0, ..candidate("frequented") };
    assert_eq!(choose(&[frequented, base]), Some(1));
    assert_eq!(choose(&[]), None);
}

#[test]
fn odd_figures_of_candidates_give_a_choice() {
    let odd = Candidate { speed: 0.0, average: f64::INFINITY, slots: 0.0, ..candidate("odd") };
    assert!(choose(std::slice::from_ref(&odd)).is_some());
    assert_eq!(choose(&[odd, candidate("sound")]), Some(1));
}
