//! Tests for the queue of the control thread. Guard against declarations that wait behind thousands of reports of crashes.

use bluebelld::gateway::lanes::{Lane, lanes};

#[tokio::test]
async fn urgent_items_overtake_all_deferred_ones_and_each_lane_keeps_its_order() {
    let (sender, mut queue) = lanes();
    for number in 0..10_000 {
        sender.send(Lane::Deferred, number).expect("the queue is open");
    }
    assert_eq!(queue.next().await, Some(0));
    for number in [-1, -2] {
        sender.send(Lane::Urgent, number).expect("the queue is open");
    }
    assert_eq!((queue.next().await, queue.try_next(), queue.try_next()), (Some(-1), Some(-2), Some(1)));
    assert_eq!(queue.len(), 9_998);
}

#[tokio::test]
async fn queue_ends_once_both_lanes_are_empty_and_the_senders_are_gone() {
    let (sender, mut queue) = lanes();
    sender.send(Lane::Deferred, 1).expect("the queue is open");
    sender.clone().send(Lane::Urgent, 2).expect("the queue is open");
    drop(sender);
    assert_eq!((queue.next().await, queue.next().await, queue.next().await), (Some(2), Some(1), None));
    assert!(queue.is_empty());
}
