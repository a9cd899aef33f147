//! A service call with an idempotency key runs at most once, also when processes are killed or frozen, replies of the
//! store are lost, or the call is sent several times.

use std::{collections::HashMap, time::Duration};

use serde_json::Value;

use bluebell_standins::site::StoreMode;

use crate::util::{ATLAS_VAN, Fleet, FleetBuilder, Response, until};

const LOAN_BODY: &str = "book 7 to Amina";

async fn send(fleet: &Fleet, index: usize, key: &str) -> Response {
    fleet.caller(index, ATLAS_VAN).call("ledger", "loans", Some(key), LOAN_BODY).await
}

fn assert_at_most_once(calls: &[Value]) {
    let mut counts: HashMap<&str, usize> = HashMap::new();
    for call in calls {
        *counts.entry(call["key"].as_str().unwrap_or_default()).or_default() += 1;
    }
    let repeated: Vec<_> = counts.iter().filter(|(_, count)| **count > 1).collect();
    assert!(repeated.is_empty(), "ran more than once: {repeated:?}");
}

/// Sends the call until its outcome is final, then once more; returns the last response.
async fn send_until_final(fleet: &Fleet, index: usize, key: &str) -> Response {
    let mut last = None;
    until("a final outcome", || async {
        let response = send(fleet, index, key).await;
        response.status == 201 || response.code() == "outcome_unknown" && response.retry_after.is_none()
    })
    .await;
    last.get_or_insert(send(fleet, index, key).await).clone()
}

/// Process that is killed while a call runs.
#[derive(Debug, Clone, Copy)]
enum KilledProcess {
    Entry,
    Sidecar,
    Ledger,
}

/// Kills a process while a call runs, sends the call again through the other entry, and checks the reported outcome and
/// that the call ran at most once.
async fn assert_runs_at_most_once_after_kill(killed: KilledProcess) {
    let mut fleet = FleetBuilder::default().ledgers(2).micros_per_ledger_call(800_000).start().await;
    let caller = fleet.caller(0, ATLAS_VAN);
    let pending = tokio::spawn(async move { caller.call("ledger", "loans", Some("loan-1"), LOAN_BODY).await });
    until("the call to run", || async { !fleet.ledger_calls().is_empty() }).await;
    let index =
        fleet.ledgers.iter().position(|ledger| !Fleet::runs(ledger).is_empty()).expect("a ledger runs the call");
    match killed {
        KilledProcess::Entry => fleet.entries[0].process.kill(),
        KilledProcess::Sidecar => fleet.ledgers[index].sidecar.kill(),
        KilledProcess::Ledger => fleet.ledgers[index].runner.kill(),
    }
    let first = pending.await.expect("the caller task should not panic");
    assert!(first.status == 0 || first.ran() == "unknown", "{killed:?}: {first:?}");
    if matches!(killed, KilledProcess::Sidecar) {
        fleet.ledgers[index].sidecar.restart();
    }
    let last = send_until_final(&fleet, 1, "loan-1").await;
    match killed {
        KilledProcess::Entry => assert_eq!(last.status, 201, "the sidecar should return the stored reply: {last:?}"),
        KilledProcess::Sidecar | KilledProcess::Ledger => assert_eq!(last.ran(), "unknown", "{killed:?}: {last:?}"),
    }
    assert_at_most_once(&fleet.ledger_calls());
}

#[tokio::test(flavor = "multi_thread")]
async fn a_call_runs_at_most_once_when_the_entry_is_killed() {
    assert_runs_at_most_once_after_kill(KilledProcess::Entry).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_call_runs_at_most_once_when_the_sidecar_is_killed() {
    assert_runs_at_most_once_after_kill(KilledProcess::Sidecar).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_call_runs_at_most_once_when_the_service_is_killed() {
    assert_runs_at_most_once_after_kill(KilledProcess::Ledger).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn calls_are_refused_as_not_run_while_the_records_table_is_down() {
    let fleet = Fleet::start().await;
    fleet.set_store_mode(StoreMode::RecordsBusy).await;
    let response = send(&fleet, 0, "loan-1").await;
    assert_eq!((response.status, response.code(), response.ran()), (503, "platform_down", "no"), "{response:?}");
    assert!(response.retry_after.is_some());
    assert!(fleet.ledger_calls().is_empty());
    fleet.set_store_mode(StoreMode::Open).await;
    assert_eq!(send(&fleet, 1, "loan-1").await.status, 201);
    assert_at_most_once(&fleet.ledger_calls());
}

#[tokio::test(flavor = "multi_thread")]
async fn a_call_runs_once_when_replies_of_the_store_are_lost() {
    let fleet = FleetBuilder::default().ledgers(2).start().await;
    for round in 0..3 {
        let key = format!("loan-{round}");
        fleet.set_store_mode(StoreMode::Lossy).await;
        let during = send(&fleet, 0, &key).await;
        fleet.set_store_mode(StoreMode::Open).await;
        let after = send(&fleet, 1, &key).await;
        assert!(during.status == 201 || during.ran() == "no", "{during:?}");
        assert_eq!(after.status, 201, "{after:?}");
    }
    assert_eq!(fleet.ledger_calls().len(), 3);
    assert_at_most_once(&fleet.ledger_calls());
}

#[tokio::test(flavor = "multi_thread")]
async fn a_call_runs_once_when_sent_through_both_entries_at_the_same_time() {
    let fleet = FleetBuilder::default().ledgers(2).micros_per_ledger_call(20_000).start().await;
    send_each_call_six_times(&fleet).await;
}

/// Guards against concurrent senders of one call that block each other while the store is slow, so that the call never
/// runs.
#[tokio::test(flavor = "multi_thread")]
async fn a_call_sent_concurrently_runs_once_while_the_store_is_slow() {
    let fleet = FleetBuilder::default().ledgers(2).micros_per_ledger_call(20_000).start().await;
    fleet.set_store_mode(StoreMode::Slow(150)).await;
    send_each_call_six_times(&fleet).await;
}

/// Sends ten calls six times each, alternating between the entries, and checks that each of them ran exactly once.
async fn send_each_call_six_times(fleet: &Fleet) {
    let mut tasks = Vec::new();
    for number in 0..60 {
        let caller = fleet.caller(number % 2, ATLAS_VAN);
        tasks.push(tokio::spawn(async move {
            let key = format!("loan-{}", number / 6);
            caller.call("ledger", "loans", Some(&key), LOAN_BODY).await
        }));
    }
    for task in tasks {
        let response = task.await.expect("the caller task should not panic");
        let outcome_reported = response.status == 201 || response.ran() == "unknown" || response.ran() == "no";
        assert!(outcome_reported, "{response:?}");
    }
    assert_eq!(fleet.ledger_calls().len(), 10);
    assert_at_most_once(&fleet.ledger_calls());
}

/// Guards against a second run by an entry that is suspended between storing the intent and ordering the run: another
/// entry completes the call in the meantime, and the first one then resumes with outdated state.
#[tokio::test(flavor = "multi_thread")]
async fn an_entry_frozen_after_storing_the_intent_does_not_run_the_call_again() {
    let fleet = FleetBuilder::default().ledgers(1).start().await;
    fleet.set_store_mode(StoreMode::Slow(700)).await;
    let caller = fleet.caller(0, ATLAS_VAN);
    let pending = tokio::spawn(async move { caller.call("ledger", "loans", Some("loan-1"), LOAN_BODY).await });
    until("the intent to be stored", || async { !fleet.records("intent/").await.is_empty() }).await;
    fleet.entries[0].process.freeze();
    fleet.set_store_mode(StoreMode::Open).await;
    let other = send_until_final(&fleet, 1, "loan-1").await;
    assert_eq!(other.status, 201, "{other:?}");
    fleet.entries[0].process.thaw();
    let late = pending.await.expect("the caller task should not panic");
    assert!(late.status == 201 || !late.error.is_null(), "{late:?}");
    Fleet::sleep(Duration::from_secs(1)).await;
    assert_eq!(fleet.ledger_calls().len(), 1);
}
