//! Which model answers, and when a larger one answers instead, against fixed choices and hindsight.

use std::time::Duration;

use bluebell_core::cascade::{AnswerHead, escalate, first_model, has_room};
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
};

#[test]
fn unsure_answers_go_to_the_largest_model_and_sure_ones_stand() {
    assert_eq!(escalate(&HEAD), Some(2));
    assert_eq!(escalate(&AnswerHead { confidence: Some(90), ..HEAD }), None);
    assert_eq!(escalate(&AnswerHead { confidence: None, ..HEAD }), None);
}

#[test]
fn urgent_answers_must_be_surer() {
    let unsure = AnswerHead { confidence: Some(62), ..HEAD };
    assert_eq!(escalate(&unsure), None);
    assert_eq!(escalate(&AnswerHead { rank: 0, ..unsure }), Some(2));
}

#[test]
fn no_step_without_time_attempts_or_a_larger_model() {
    assert_eq!(escalate(&AnswerHead { time_left: Duration::from_secs(2), ..HEAD }), None);
    assert_eq!(escalate(&AnswerHead { attempts_left: 0, ..HEAD }), None);
    assert_eq!(escalate(&AnswerHead { model: 2, ..HEAD }), None);
}

#[test]
fn largest_model_answers_first_where_no_step_is_left() {
    assert_eq!(first_model(3, true, true), 0);
    assert_eq!(first_model(3, false, true), 2);
    assert_eq!(first_model(0, false, true), 0);
}

#[test]
fn flood_leaves_the_larger_models_to_urgent_requests() {
    let (target, reading) = (Duration::from_secs(4), Duration::from_millis(350));
    assert!(has_room(2, Duration::from_millis(100), reading, target));
    assert!(!has_room(2, Duration::from_millis(2500), reading, target));
    assert!(has_room(0, Duration::from_millis(2500), reading, target));
    assert!(!has_room(2, Duration::from_millis(400), reading, Duration::from_secs(60)), "a far target makes no room");
    assert_eq!(escalate(&AnswerHead { has_room: false, ..HEAD }), None);
    assert_eq!(first_model(3, false, false), 0);
}

/// Quality of the models played: the share of requests that each answers well, smallest first.
const QUALITY: [f64; 3] = [0.58, 0.67, 1.0];
/// Price of an answer by each, against its worth of 1.
const PRICE: [f64; 3] = [0.01, 0.07, 0.14];
/// Most that noise moves a confidence.
const NOISE: f64 = 20.0;

struct Played {
    gain: f64,
}

// Plays requests whose difficulty lies between 0 and 1; a model's confidence is its margin with noise.
fn play(choose: impl Fn(f64, &mut StdRng) -> Vec<usize>) -> Played {
    let mut random = StdRng::seed_from_u64(7);
    let mut gain = 0.0;
    for _ in 0..4000 {
        let difficulty = random.random_range(0.0..1.0);
        let runs = choose(difficulty, &mut random);
        let last = *runs.last().expect("a run");
        gain += if difficulty <= QUALITY[last] { 1.0 } else { 0.05 };
        gain -= runs.iter().map(|model| PRICE[*model]).sum::<f64>();
    }
    Played { gain: gain / 4000.0 }
}

fn cascade(difficulty: f64, random: &mut StdRng) -> Vec<usize> {
    let margin = 50.0 + 120.0 * (QUALITY[0] - difficulty) + random.random_range(-NOISE..NOISE);
    let confidence = Some(margin.clamp(0.0, 100.0) as u8);
    match escalate(&AnswerHead { confidence, rank: 0, ..HEAD }) {
        Some(larger) => vec![0, larger],
        None => vec![0],
    }
}

#[test]
fn cascade_gains_more_than_any_fixed_model_and_comes_near_hindsight() {
    let found = play(cascade).gain;
    for fixed in 0..3 {
        let fixed = play(|_, _| vec![fixed]).gain;
        assert!(found > fixed, "{found} against {fixed}");
    }
    let hindsight = play(|difficulty, _| vec![QUALITY.iter().position(|q| difficulty <= *q).unwrap_or(2)]).gain;
    assert!(found > 0.95 * hindsight, "{found} against {hindsight} in hindsight");
}
