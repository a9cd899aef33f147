//! Registry of two-step calls: the race between the start message of a call and queries from other senders.

use std::time::Duration;

use bluebell_core::{
    calls::{CallRegistry, START_TIMEOUT},
    ids::AttemptId,
    intent::{Resolution, ResolvedStep, resolved_step},
};

const NOW: Duration = Duration::from_secs(100);

fn attempt(number: usize) -> AttemptId {
    format!("attempt-{number}").parse().expect("valid id")
}

#[test]
fn concurrent_senders_of_one_call_do_not_cancel_each_others_reservations() {
    let (mut calls, mut ran, mut row) = (CallRegistry::default(), 0, None);
    for number in 0..6 {
        calls.reserve(&attempt(number), NOW);
    }
    // Each sender finds the row of the previous one, queries its state, and takes the row over if that is allowed.
    for number in 0..6 {
        let resolution = row.as_ref().map(|owner| calls.resolve(owner, NOW));
        if resolution.is_none_or(|resolution| resolved_step(Some(resolution)) == ResolvedStep::TakeOver) {
            row = Some(attempt(number));
        }
    }
    for number in 0..6 {
        ran += usize::from(row == Some(attempt(number)) && calls.start(&attempt(number)));
    }
    assert_eq!((row, ran), (Some(attempt(0)), 1));
}

#[test]
fn query_cancels_a_reservation_whose_start_is_overdue() {
    let mut calls = CallRegistry::default();
    calls.reserve(&attempt(1), NOW);
    assert_eq!(calls.resolve(&attempt(1), NOW + START_TIMEOUT - Duration::from_millis(1)), Resolution::Reserved);
    assert_eq!(calls.resolve(&attempt(1), NOW + START_TIMEOUT), Resolution::NeverRan);
    assert!(!calls.start(&attempt(1)));
}

#[test]
fn call_started_before_the_query_keeps_running() {
    let mut calls = CallRegistry::default();
    calls.reserve(&attempt(1), NOW);
    assert!(calls.start(&attempt(1)));
    assert_eq!(calls.resolve(&attempt(1), NOW + START_TIMEOUT), Resolution::Running);
}
