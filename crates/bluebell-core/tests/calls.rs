//! Calls that run only on a second order: what the register says of them.

use std::time::Duration;

use bluebell_core::{
    calls::{CallRegistry, ORDER_TIME},
    ids::AttemptId,
    intent::{Resolution, ResolvedStep, resolved_step},
};

const NOW: Duration = Duration::from_secs(100);

fn attempt(number: usize) -> AttemptId {
    format!("attempt-{number}").parse().expect("an id")
}

#[test]
fn senders_of_one_call_at_the_same_time_do_not_close_each_others_places() {
    let (mut calls, mut ran, mut row) = (CallRegistry::default(), 0, None);
    for number in 0..6 {
        calls.reserve(&attempt(number), NOW);
    }
    // Each sender finds the row of the one before, asks about it, and takes it over if it may.
    for number in 0..6 {
        let word = row.as_ref().map(|owner| calls.resolve(owner, NOW));
        if word.is_none_or(|word| resolved_step(Some(word)) == ResolvedStep::TakeOver) {
            row = Some(attempt(number));
        }
    }
    for number in 0..6 {
        ran += usize::from(row == Some(attempt(number)) && calls.start(&attempt(number)));
    }
    assert_eq!((row, ran), (Some(attempt(0)), 1));
}

#[test]
fn place_whose_order_is_overdue_is_closed_by_the_question() {
    let mut calls = CallRegistry::default();
    calls.reserve(&attempt(1), NOW);
    assert_eq!(calls.resolve(&attempt(1), NOW + ORDER_TIME - Duration::from_millis(1)), Resolution::Reserved);
    assert_eq!(calls.resolve(&attempt(1), NOW + ORDER_TIME), Resolution::NeverRan);
    assert!(!calls.start(&attempt(1)));
}

#[test]
fn order_that_came_before_the_question_is_followed() {
    let mut calls = CallRegistry::default();
    calls.reserve(&attempt(1), NOW);
    assert!(calls.start(&attempt(1)));
    assert_eq!(calls.resolve(&attempt(1), NOW + ORDER_TIME), Resolution::Running);
}
