//! A request that may not be repeated runs at most once, whatever dies and however often it is sent.

use std::{collections::HashMap, time::Duration};

use serde_json::Value;

use bluebell_standins::site::StoreMode;

use crate::util::{ATLAS_VAN, Answer, Fleet, FleetBuilder, until};

const LOAN: &str = "book 7 to Amina";

async fn send(fleet: &Fleet, at: usize, key: &str) -> Answer {
    fleet.caller(at, ATLAS_VAN).call("ledger", "loans", Some(key), LOAN).await
}

fn assert_at_most_once(calls: &[Value]) {
    let mut counts: HashMap<&str, usize> = HashMap::new();
    for call in calls {
        *counts.entry(call["key"].as_str().unwrap_or_default()).or_default() += 1;
    }
    let doubled: Vec<_> = counts.iter().filter(|(_, count)| **count > 1).collect();
    assert!(doubled.is_empty(), "ran more than once: {doubled:?}");
}

/// Sends until the outcome is final; gives the last answer.
async fn send_until_final(fleet: &Fleet, at: usize, key: &str) -> Answer {
    let mut last = None;
    until("a final outcome", || async {
        let answer = send(fleet, at, key).await;
        answer.status == 201 || answer.code() == "outcome_unknown" && answer.retry_after.is_none()
    })
    .await;
    last.get_or_insert(send(fleet, at, key).await).clone()
}

#[derive(Debug, Clone, Copy)]
enum Victim {
    Entry,
    Sidecar,
    Ledger,
}

async fn survives(victim: Victim) {
    let mut fleet = FleetBuilder::default().ledgers(2).work(800_000).start().await;
    let caller = fleet.caller(0, ATLAS_VAN);
    let sending = tokio::spawn(async move { caller.call("ledger", "loans", Some("loan-1"), LOAN).await });
    until("the call to run", || async { !fleet.ledger_calls().is_empty() }).await;
    let at = fleet.ledgers.iter().position(|ledger| !Fleet::runs(ledger).is_empty()).expect("one runs it");
    match victim {
        Victim::Entry => fleet.entries[0].process.kill(),
        Victim::Sidecar => fleet.ledgers[at].sidecar.kill(),
        Victim::Ledger => fleet.ledgers[at].runner.kill(),
    }
    let first = sending.await.expect("the caller ends");
    assert!(first.status == 0 || first.ran() == "unknown", "{victim:?}: {first:?}");
    if matches!(victim, Victim::Sidecar) {
        fleet.ledgers[at].sidecar.restart();
    }
    let last = send_until_final(&fleet, 1, "loan-1").await;
    match victim {
        Victim::Entry => assert_eq!(last.status, 201, "the sidecar knows the reply: {last:?}"),
        Victim::Sidecar | Victim::Ledger => assert_eq!(last.ran(), "unknown", "{victim:?}: {last:?}"),
    }
    assert_at_most_once(&fleet.ledger_calls());
}

#[tokio::test(flavor = "multi_thread")]
async fn once_though_the_entry_is_killed() {
    survives(Victim::Entry).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn once_though_the_sidecar_is_killed() {
    survives(Victim::Sidecar).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn once_though_the_service_is_killed() {
    survives(Victim::Ledger).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn refused_at_once_and_not_run_while_the_table_is_down() {
    let fleet = Fleet::start().await;
    fleet.set_door(StoreMode::RecordsBusy).await;
    let answer = send(&fleet, 0, "loan-1").await;
    assert_eq!((answer.status, answer.code(), answer.ran()), (503, "platform_down", "no"), "{answer:?}");
    assert!(answer.retry_after.is_some());
    assert!(fleet.ledger_calls().is_empty());
    fleet.set_door(StoreMode::Open).await;
    assert_eq!(send(&fleet, 1, "loan-1").await.status, 201);
    assert_at_most_once(&fleet.ledger_calls());
}

#[tokio::test(flavor = "multi_thread")]
async fn once_though_answers_of_the_table_are_lost() {
    let fleet = FleetBuilder::default().ledgers(2).start().await;
    for round in 0..3 {
        let key = format!("loan-{round}");
        fleet.set_door(StoreMode::Lossy).await;
        let during = send(&fleet, 0, &key).await;
        fleet.set_door(StoreMode::Open).await;
        let after = send(&fleet, 1, &key).await;
        assert!(during.status == 201 || during.ran() == "no", "{during:?}");
        assert_eq!(after.status, 201, "{after:?}");
    }
    assert_eq!(fleet.ledger_calls().len(), 3);
    assert_at_most_once(&fleet.ledger_calls());
}

#[tokio::test(flavor = "multi_thread")]
async fn once_though_sent_through_both_entries_at_the_same_time() {
    let fleet = FleetBuilder::default().ledgers(2).work(20_000).start().await;
    send_each_call_six_times(&fleet).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn senders_of_one_call_do_not_keep_each_other_from_running_it_while_the_table_is_slow() {
    let fleet = FleetBuilder::default().ledgers(2).work(20_000).start().await;
    fleet.set_door(StoreMode::Slow(150)).await;
    send_each_call_six_times(&fleet).await;
}

async fn send_each_call_six_times(fleet: &Fleet) {
    let mut tasks = Vec::new();
    for number in 0..60 {
        let caller = fleet.caller(number % 2, ATLAS_VAN);
        tasks.push(tokio::spawn(async move {
            let key = format!("loan-{}", number / 6);
            caller.call("ledger", "loans", Some(&key), LOAN).await
        }));
    }
    for task in tasks {
        let answer = task.await.expect("the caller ends");
        let known = answer.status == 201 || answer.ran() == "unknown" || answer.ran() == "no";
        assert!(known, "{answer:?}");
    }
    assert_eq!(fleet.ledger_calls().len(), 10);
    assert_at_most_once(&fleet.ledger_calls());
}

#[tokio::test(flavor = "multi_thread")]
async fn an_entry_frozen_between_the_steps_gives_no_late_order() {
    let fleet = FleetBuilder::default().ledgers(1).start().await;
    fleet.set_door(StoreMode::Slow(700)).await;
    let caller = fleet.caller(0, ATLAS_VAN);
    let sending = tokio::spawn(async move { caller.call("ledger", "loans", Some("loan-1"), LOAN).await });
    until("the intent", || async { !fleet.rows("intent/").await.is_empty() }).await;
    fleet.entries[0].process.freeze();
    fleet.set_door(StoreMode::Open).await;
    let other = send_until_final(&fleet, 1, "loan-1").await;
    assert_eq!(other.status, 201, "{other:?}");
    fleet.entries[0].process.thaw();
    let late = sending.await.expect("the caller ends");
    assert!(late.status == 201 || !late.error.is_null(), "{late:?}");
    Fleet::pause(Duration::from_secs(1)).await;
    assert_eq!(fleet.ledger_calls().len(), 1);
}
