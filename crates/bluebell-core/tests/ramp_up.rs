//! Ramp-up of upstreams that started or recovered: its window, and what callers get with it, without it and with a fixed
//! slow start.

#[path = "support/ramp_fleet.rs"]
mod ramp_fleet;

use std::time::Duration;

use bluebell_core::placing::{EndReason, RampCause, RampChange, RampSample, RampSignal, RampUp};
use ramp_fleet::{Kind, Outcome, Play, Policy};

/// Seeds over which outcomes are averaged.
const SEEDS: u64 = 3;
/// Numbers of gateways that send to the same upstreams.
const GATEWAYS: [usize; 3] = [1, 4, 12];
const SLOTS: u32 = 64;

fn at(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn started() -> RampUp {
    let mut ramp = RampUp::default();
    ramp.begin(at(0), RampCause::Start);
    ramp
}

fn sample(sent_ms: u64, signal: RampSignal, in_progress: u32) -> RampSample {
    RampSample { sent_at: at(sent_ms), signal, in_progress, slots: SLOTS }
}

// Answers all requests that fit into the window, as a round.
fn round(ramp: &mut RampUp, now_ms: u64, signal: RampSignal) {
    let in_progress = ramp.window().expect("the ramp-up is in force");
    for _ in 0..in_progress {
        ramp.record_full(at(now_ms));
        ramp.record(at(now_ms), &sample(now_ms, signal, in_progress));
    }
}

// Guards against a window that grows too slowly for a fast upstream.
#[test]
fn window_doubles_per_round_until_it_has_the_slots() {
    let mut ramp = started();
    for (index, expected) in [2, 4, 8, 16, 32].into_iter().enumerate() {
        round(&mut ramp, 100 * (index as u64 + 1), RampSignal::OnPace);
        assert_eq!(ramp.window(), Some(expected));
    }
    let changes = (0..32).filter_map(|_| ramp.record(at(600), &sample(500, RampSignal::OnPace, 32)));
    let ends: Vec<RampChange> = changes.collect();
    assert!(matches!(ends[..], [RampChange::Ended(end)] if end.reason == EndReason::AllSlots && end.took == at(600)));
    assert!(ramp.has_room(at(600), 10_000));
}

// Guards against a collapse of the window when all requests of a round are slow, and against doubling after that.
#[test]
fn window_is_halved_once_per_round_and_grows_by_one_per_round_after_that() {
    for signal in [RampSignal::Slow, RampSignal::Silent, RampSignal::Failed] {
        let mut ramp = started();
        (1..=4).for_each(|index| round(&mut ramp, 100 * index, RampSignal::OnPace));
        for _ in 0..16 {
            ramp.record(at(600), &sample(500, signal, 16));
        }
        assert_eq!(ramp.window(), Some(8), "{signal:?}");
        round(&mut ramp, 700, RampSignal::OnPace);
        assert!(matches!(ramp.window(), Some(8 | 9)), "{:?}", ramp.window());
        round(&mut ramp, 800, RampSignal::Late);
        assert!(matches!(ramp.window(), Some(8 | 9)), "a late head changes nothing");
    }
}

// Guards against growth of a window that is not in use, which would admit a burst without any proof.
#[test]
fn window_that_is_not_used_does_not_grow() {
    let mut ramp = started();
    (1..=2).for_each(|index| round(&mut ramp, 100 * index, RampSignal::OnPace));
    ramp.record_full(at(300));
    ramp.record(at(300), &sample(250, RampSignal::OnPace, 1));
    assert_eq!(ramp.window(), Some(4));
}

// Guards against a ramp-up that goes on although nothing is kept away by it, and one that ends while it is the limit.
#[test]
fn ramp_up_ends_once_the_window_is_not_the_limit() {
    for signal in [RampSignal::OnPace, RampSignal::Late] {
        let mut ramp = started();
        ramp.record_full(at(1000));
        assert_eq!(ramp.record(at(2900), &sample(2800, signal, 1)), None);
        let change = ramp.record(at(3000), &sample(2950, signal, 1));
        assert!(matches!(change, Some(RampChange::Ended(end)) if end.reason == EndReason::Unbound), "{change:?}");
        assert!(!ramp.is_active());
    }
    let mut slow = started();
    for second in 1..60 {
        assert_eq!(slow.record(at(1000 * second), &sample(1000 * second - 500, RampSignal::Slow, 1)), None);
    }
    assert_eq!(slow.window(), Some(1));
}

// Guards against a window that a request without an answer keeps full for ever, and against many requests that are lost
// at a silent upstream.
#[test]
fn silent_upstream_gets_one_live_request_at_a_time_and_ever_fewer() {
    let mut ramp = started();
    let (mut in_progress, mut sends) = (0, Vec::new());
    for now in (0..60_000).step_by(10) {
        if ramp.has_room(at(now), in_progress) {
            ramp.record_send(at(now));
            in_progress += 1;
            sends.push(now);
        }
    }
    assert_eq!(sends, [0, 3000, 9000, 21_000, 45_000]);
    let change = ramp.record(at(60_000), &sample(45_000, RampSignal::OnPace, in_progress));
    assert!(matches!(change, Some(RampChange::Ended(_))), "nothing was kept away lately");
}

// Guards against all load at once at an upstream that was ejected or paused.
#[test]
fn recovery_begins_with_the_first_success_and_an_ejection_interrupts() {
    for cause in [RampCause::Ejection, RampCause::Pause] {
        let mut ramp = RampUp::default();
        assert_eq!(ramp.arm(at(0), cause), None);
        for signal in [RampSignal::Failed, RampSignal::Silent] {
            assert_eq!(ramp.record(at(100), &sample(50, signal, 1)), None);
        }
        assert!(ramp.has_room(at(100), 5), "trial requests are the limit");
        assert_eq!(ramp.record(at(200), &sample(150, RampSignal::Slow, 1)), Some(RampChange::Began(cause)));
        assert!(ramp.has_room(at(200), 0) && !ramp.has_room(at(200), 1));
        assert_eq!(ramp.record(at(300), &sample(150, RampSignal::Failed, 1)), None, "sent before the ramp-up");
        let end = ramp.arm(at(500), RampCause::Ejection).expect("the ramp-up is interrupted");
        assert_eq!((end.reason, end.took, end.window), (EndReason::Interrupted, at(300), 1));
    }
}

fn outcomes(play: Play) -> Vec<Outcome> {
    (0..SEEDS).map(|seed| play.run(seed)).collect()
}

fn mean(outcomes: &[Outcome], figure: impl Fn(&Outcome) -> f64) -> f64 {
    outcomes.iter().map(figure).sum::<f64>() / outcomes.len() as f64
}

fn plays(kind: Kind, recovers: bool) -> impl Iterator<Item = [Play; 3]> {
    let play = move |gateways, policy| Play { gateways, policy, kind, recovers };
    GATEWAYS
        .into_iter()
        .map(move |gateways| [Policy::None, Policy::Fixed, Policy::RampUp].map(|policy| play(gateways, policy)))
}

// Guards against requests that are late because they wait at an upstream that is still slow.
#[test]
fn fewer_answers_are_late_at_a_slow_upstream_than_without_ramp_up_and_with_a_fixed_slow_start() {
    for recovers in [false, true] {
        for policies in plays(Kind::Slow, recovers) {
            let late = policies.map(|play| mean(&outcomes(play), |outcome| 1.0 - outcome.on_time));
            println!("{:?}: late {late:.4?}", policies[2]);
            assert!(late[2] < late[0], "{:?}: {late:?}", policies[2]);
            // After a recovery, the fixed slow start begins at the ejection.
            assert!(recovers || late[2] < late[1], "{:?}: {late:?}", policies[2]);
        }
    }
}

// Guards against a fast upstream that is left idle.
#[test]
fn fast_upstream_is_used_as_without_ramp_up_and_more_than_with_a_fixed_slow_start() {
    for recovers in [false, true] {
        for policies in plays(Kind::Fast, recovers) {
            let played = policies.map(outcomes);
            let idle = [0, 1, 2].map(|policy: usize| mean(&played[policy], |outcome| outcome.idle));
            let on_time = [0, 1, 2].map(|policy: usize| mean(&played[policy], |outcome| outcome.on_time));
            println!("{:?}: idle {idle:.3?}, on time {on_time:.4?}", policies[2]);
            assert!(idle[2] < idle[0] + 0.03 && idle[2] < idle[1] + 0.01, "{:?}: {idle:?}", policies[2]);
            assert!(on_time[2] > on_time[0] - 0.001, "{:?}: {on_time:?}", policies[2]);
        }
    }
}

// Guards against an upstream that is probed so often, or so seldom, that callers lose by it.
#[test]
fn failing_upstream_costs_callers_no_more_than_without_ramp_up() {
    for recovers in [false, true] {
        for policies in plays(Kind::Failing, recovers) {
            let on_time = policies.map(|play| mean(&outcomes(play), |outcome| outcome.on_time));
            println!("{:?}: on time {on_time:.4?}", policies[2]);
            assert!(on_time[2] > on_time[0] - 0.001, "{:?}: {on_time:?}", policies[2]);
        }
    }
}

// Guards against requests that are sent to an upstream that has never answered.
#[test]
fn silent_upstream_gets_one_request_of_each_gateway_at_a_time() {
    for policies in plays(Kind::Silent, false) {
        let played = policies.map(outcomes);
        let late = [0, 1, 2].map(|policy: usize| mean(&played[policy], |outcome| 1.0 - outcome.on_time));
        let peak = played[2].iter().map(|outcome| outcome.peak).max().unwrap_or_default();
        println!("{:?}: late {late:.4?}, peak {peak}", policies[2]);
        assert!(late[2] < late[0] && late[2] < late[1], "{:?}: {late:?}", policies[2]);
        assert!(peak <= policies[2].gateways, "{:?}: {peak}", policies[2]);
    }
}
