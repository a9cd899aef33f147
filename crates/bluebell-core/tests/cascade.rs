//! Tests for the model cascade: escalation rules, and its net value compared with fixed models and the best choice in
//! hindsight.

use std::time::Duration;

use bluebell_core::cascade::{AnswerHead, EnginePrice, escalate, first_model, has_room};
use rand::{Rng, SeedableRng, rngs::StdRng};

const HEAD: AnswerHead = AnswerHead {
    model: 0,
    model_count: 3,
    confidence: Some(20),
    time_left: Duration::from_secs(18),
    time_limit: Duration::from_secs(20),
    attempts_left: 2,
    rank: 1,
    has_room: true,
    price: EnginePrice::FREE,
};

#[test]
fn answers_of_low_confidence_escalate_to_the_largest_model() {
    assert_eq!(escalate(&HEAD), Some(2));
    assert_eq!(escalate(&AnswerHead { confidence: Some(90), ..HEAD }), None);
    assert_eq!(escalate(&AnswerHead { confidence: None, ..HEAD }), None);
}

#[test]
fn urgent_answers_need_a_higher_confidence() {
    let medium = AnswerHead { confidence: Some(62), ..HEAD };
    assert_eq!(escalate(&medium), None);
    assert_eq!(escalate(&AnswerHead { rank: 0, ..medium }), Some(2));
}

#[test]
fn no_escalation_without_time_attempts_or_a_larger_model() {
    assert_eq!(escalate(&AnswerHead { time_left: Duration::from_secs(2), ..HEAD }), None);
    assert_eq!(escalate(&AnswerHead { attempts_left: 0, ..HEAD }), None);
    assert_eq!(escalate(&AnswerHead { model: 2, ..HEAD }), None);
}

#[test]
fn largest_model_answers_first_if_escalation_is_not_allowed() {
    assert_eq!(first_model(3, true, true), 0);
    assert_eq!(first_model(3, false, true), 2);
    assert_eq!(first_model(0, false, true), 0);
}

#[test]
fn overload_leaves_the_largest_model_to_urgent_requests() {
    let (target, prompt_time) = (Duration::from_secs(4), Duration::from_millis(350));
    assert!(has_room(2, Duration::from_millis(100), prompt_time, target));
    assert!(!has_room(2, Duration::from_millis(2500), prompt_time, target));
    assert!(has_room(0, Duration::from_millis(2500), prompt_time, target));
    assert!(
        !has_room(2, Duration::from_millis(400), prompt_time, Duration::from_secs(60)),
        "a long target latency raised the backlog limit"
    );
    assert_eq!(escalate(&AnswerHead { has_room: false, ..HEAD }), None);
    assert_eq!(first_model(3, false, false), 0);
}

/// Share of requests that each simulated model answers well, smallest model first.
const QUALITY: [f64; 3] = [0.58, 0.67, 1.0];
/// Cost of a run of each model; a good answer has the value 1.
const PRICE: [f64; 3] = [0.01, 0.07, 0.14];
/// Maximum noise in a confidence, in either direction.
const NOISE: f64 = 20.0;

// Simulates requests with a difficulty between 0 and 1 and returns the mean net value. `choose` returns the models that
// run for a request; the last one answers.
fn mean_gain(choose: impl Fn(f64, &mut StdRng) -> Vec<usize>) -> f64 {
    let mut random = StdRng::seed_from_u64(7);
    let mut gain = 0.0;
    for _ in 0..4000 {
        let difficulty = random.random_range(0.0..1.0);
        let runs = choose(difficulty, &mut random);
        let last = *runs.last().expect("a run");
        gain += if difficulty <= QUALITY[last] { 1.0 } else { 0.05 };
        gain -= runs.iter().map(|model| PRICE[*model]).sum::<f64>();
    }
    gain / 4000.0
}

// The confidence of the smallest model is its margin over the difficulty, with noise.
fn cascade(difficulty: f64, random: &mut StdRng) -> Vec<usize> {
    let margin = 50.0 + 120.0 * (QUALITY[0] - difficulty) + random.random_range(-NOISE..NOISE);
    let confidence = Some(margin.clamp(0.0, 100.0) as u8);
    match escalate(&AnswerHead { confidence, rank: 0, ..HEAD }) {
        Some(larger) => vec![0, larger],
        None => vec![0],
    }
}

#[test]
fn cascade_gains_more_than_any_fixed_model_and_is_close_to_the_best_choice_in_hindsight() {
    let found = mean_gain(cascade);
    for fixed in 0..3 {
        let fixed = mean_gain(|_, _| vec![fixed]);
        assert!(found > fixed, "{found} against {fixed}");
    }
    let hindsight = mean_gain(|difficulty, _| vec![QUALITY.iter().position(|q| difficulty <= *q).unwrap_or(2)]);
    assert!(found > 0.95 * hindsight, "{found} against {hindsight} in hindsight");
}
