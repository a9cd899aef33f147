//! An answer that ends too early must not complete its stream.

use bluebell_core::stream_end::{EarlyEnd, EndCheck, EndedAnswer};

fn ended(events: u64, last: u64, is_framed: bool) -> EndedAnswer {
    EndedAnswer { events, last, is_framed }
}

/// A check of the answers after a break.
fn after_break() -> EndCheck {
    let mut check = EndCheck::default();
    check.record_break();
    check
}

#[test]
fn answer_with_events_completes_its_stream() {
    for mut check in [EndCheck::default(), after_break()] {
        assert_eq!(check.check(ended(1, 1, false)), Ok(()));
        assert_eq!(check.check(ended(2, 9, true)), Ok(()));
    }
}

#[test]
fn first_answer_that_closes_after_its_head_is_not_complete() {
    assert_eq!(EndCheck::default().check(ended(0, 0, false)), Err(EarlyEnd::NoEvent));
    assert_eq!(EndCheck::default().check(ended(0, 0, true)), Ok(()));
    // The caller resumes the stream and may already have its last event.
    assert_eq!(EndCheck::default().check(ended(0, 4, false)), Ok(()));
}

#[test]
fn resumed_answer_without_events_needs_another_that_confirms_it() {
    let mut check = after_break();
    assert_eq!(check.check(ended(0, 4, true)), Err(EarlyEnd::Unconfirmed));
    assert_eq!(check.check(ended(0, 4, false)), Err(EarlyEnd::NoEvent));
    assert_eq!(check.check(ended(0, 4, true)), Ok(()));
}

#[test]
fn resumed_answers_that_only_close_confirm_nothing() {
    let mut check = after_break();
    for _ in 0..3 {
        assert_eq!(check.check(ended(0, 4, false)), Err(EarlyEnd::NoEvent));
    }
}

#[test]
fn stream_without_any_event_is_not_complete_after_a_break() {
    let mut check = after_break();
    for is_framed in [true, false, true] {
        assert_eq!(check.check(ended(0, 0, is_framed)), Err(EarlyEnd::NoEvent));
    }
}
