//! Tests for the queue of messages for one peer. Guard against changes of the store that wait behind reports of crashes: a
//! fleet of 30 gateways took declarations up to 9 s late while 28 crashed upstreams were reported.

#[path = "support/test_clock.rs"]
mod test_clock;

use std::{sync::Arc, time::Duration};

use bluebell_core::{
    clock::Clock,
    poison::Fingerprint,
    replica::{Origin, Row},
};
use bluebell_wire::messages::{ExchangeMessage, GatewayStatus, ReadStatus};
use bluebelld::gateway::outbox::{MAX_ROWS, Outbox};
use test_clock::TestClock;

fn status(answer_age: Duration) -> ExchangeMessage {
    let zone = "z1".parse().expect("the id should be valid");
    ExchangeMessage::Status(Box::new(GatewayStatus {
        connected: true,
        loads: Vec::new(),
        tallies: Vec::new(),
        sessions: Vec::new(),
        rejected: Vec::new(),
        limits: Vec::new(),
        departures: Vec::new(),
        reading: Some(ReadStatus { zone, reads: true, answer_age: Some(answer_age), era: 0 }),
        omits_loads: true,
        latest: Vec::new(),
    }))
}

fn row(version: u64) -> Row {
    Row { origin: Origin::Operator, key: "config".to_owned(), value: None, version }
}

fn report_row(version: u64) -> Row {
    Row { origin: Origin::Fleet, key: format!("crash/{version}"), value: None, version }
}

fn report() -> ExchangeMessage {
    ExchangeMessage::Answered(vec![Fingerprint::of("/talk/", None, b"body")])
}

#[tokio::test]
async fn rows_go_before_messages_that_were_queued_earlier() {
    let (outbox, mut queue) = Outbox::new(Arc::new(TestClock::default()));
    for _ in 0..300 {
        assert!(outbox.send(report()));
    }
    assert!(outbox.send(ExchangeMessage::Rows(vec![row(7)])));
    assert_eq!(queue.next().await, Some(ExchangeMessage::Rows(vec![row(7)])));
    let ExchangeMessage::Answered(one) = report() else { panic!("another kind of message") };
    let mut reports = 0;
    while reports < 300 {
        let Some(ExchangeMessage::Answered(all)) = queue.next().await else { panic!("no report") };
        assert!(all.iter().all(|found| *found == one[0]));
        reports += all.len();
    }
    assert_eq!(reports, 300);
}

#[tokio::test]
async fn queued_rows_are_sent_in_order_in_few_messages() {
    let (outbox, mut queue) = Outbox::new(Arc::new(TestClock::default()));
    let count = MAX_ROWS as u64 + 100;
    for version in 0..count {
        assert!(outbox.send(ExchangeMessage::Rows(vec![row(version)])));
    }
    let (mut versions, mut messages) = (Vec::new(), 0);
    while (versions.len() as u64) < count {
        let Some(ExchangeMessage::Rows(rows)) = queue.next().await else { panic!("no rows") };
        versions.extend(rows.iter().map(|row| row.version));
        messages += 1;
    }
    assert_eq!(versions, (0..count).collect::<Vec<_>>());
    assert_eq!(messages, 2);
}

#[tokio::test]
async fn full_queue_of_reports_leaves_room_for_rows() {
    let (outbox, mut queue) = Outbox::new(Arc::new(TestClock::default()));
    while outbox.send(report()) {}
    assert!(outbox.send(ExchangeMessage::Rows(vec![row(1)])));
    queue.clear();
    drop(outbox);
    assert!(queue.is_closed());
    assert_eq!(queue.next().await, None);
}

#[tokio::test]
async fn rows_with_crash_reports_wait_for_all_other_messages() {
    let (outbox, mut queue) = Outbox::new(Arc::new(TestClock::default()));
    assert!(outbox.send(ExchangeMessage::Rows(vec![report_row(1), row(2), report_row(3)])));
    assert!(outbox.send(report()));
    assert!(outbox.send(ExchangeMessage::Rows(vec![report_row(4)])));
    assert_eq!(queue.next().await, Some(ExchangeMessage::Rows(vec![row(2)])));
    assert_eq!(queue.next().await, Some(report()));
    let reports = vec![report_row(1), report_row(3), report_row(4)];
    assert_eq!(queue.next().await, Some(ExchangeMessage::Rows(reports)));
}

// A peer that acknowledges late gets fewer messages, not a growing number of them.
#[tokio::test]
async fn queued_reports_are_sent_as_few_messages_without_overtaking_other_kinds() {
    let (outbox, mut queue) = Outbox::new(Arc::new(TestClock::default()));
    let answered = |number: usize| Fingerprint::of(&format!("/talk/{number}"), None, b"body");
    for number in 0..200 {
        assert!(outbox.send(ExchangeMessage::Answered(vec![answered(number)])));
    }
    assert!(outbox.send(ExchangeMessage::Crashes(Vec::new())));
    assert!(outbox.send(ExchangeMessage::Answered(vec![answered(200)])));
    assert_eq!(queue.next().await, Some(ExchangeMessage::Answered((0..200).map(answered).collect())));
    assert!(outbox.send(ExchangeMessage::Rows(vec![row(1)])));
    assert_eq!(queue.next().await, Some(ExchangeMessage::Rows(vec![row(1)])));
    assert_eq!(queue.next().await, Some(ExchangeMessage::Crashes(Vec::new())));
    assert_eq!(queue.next().await, Some(ExchangeMessage::Answered(vec![answered(200)])));
}

// A reader that has lost the store is taken for live for as long as its statuses wait, if the wait doesn't count.
#[tokio::test]
async fn statuses_go_before_reports_and_tell_the_age_of_the_stores_answer_when_they_are_sent() {
    let clock = Arc::new(TestClock::default());
    let (outbox, mut queue) = Outbox::new(Arc::clone(&clock) as Arc<dyn Clock>);
    assert!(outbox.send(report()));
    assert!(outbox.send(status(Duration::from_millis(100))));
    assert!(outbox.send(ExchangeMessage::Rows(vec![row(1)])));
    clock.set(Duration::from_millis(2000));
    assert_eq!(queue.next().await, Some(ExchangeMessage::Rows(vec![row(1)])));
    assert_eq!(queue.next().await, Some(status(Duration::from_millis(2100))));
    assert_eq!(queue.next().await, Some(report()));
}
