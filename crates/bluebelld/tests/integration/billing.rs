//! Each request is billed exactly once, also when processes are killed or the store fails.

use std::time::Duration;

use bluebell_standins::site::StoreMode;

use crate::util::{ATLAS_DESK, ATLAS_VAN, ChatRequest, Fleet, FleetBuilder, KOVACS_BENCH, until};

async fn send_chats(fleet: &Fleet, count: usize) {
    for number in 0..count {
        let key = [ATLAS_VAN, KOVACS_BENCH, ATLAS_DESK][number % 3];
        let response = fleet.caller(number % fleet.entries.len(), key).chat(&ChatRequest::default()).await;
        assert!(response.complete, "{response:?}");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn billing_rows_survive_the_kill_of_the_entry_that_responded() {
    let mut fleet = FleetBuilder::default().entries(2).start().await;
    for _ in 0..6 {
        let response = fleet.caller(0, ATLAS_VAN).chat(&ChatRequest::default()).await;
        assert!(response.complete, "{response:?}");
    }
    fleet.entries[0].process.kill();
    assert!(
        fleet.records("bill/").await.len() < 6,
        "some rows should have been only in the memory of the entry when it was killed"
    );
    fleet.wait_for_billing_rows(6).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn billing_rows_survive_the_kill_of_the_sidecars_that_ran_the_requests() {
    let mut fleet = Fleet::start().await;
    send_chats(&fleet, 9).await;
    for engine in &mut fleet.engines {
        engine.sidecar.kill();
    }
    fleet.wait_for_billing_rows(9).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn billing_rows_survive_an_outage_of_the_records_table() {
    let fleet = Fleet::start().await;
    send_chats(&fleet, 3).await;
    fleet.set_store_mode(StoreMode::RecordsBusy).await;
    send_chats(&fleet, 12).await;
    Fleet::sleep(Duration::from_secs(5)).await;
    fleet.set_store_mode(StoreMode::Open).await;
    fleet.wait_for_billing_rows(15).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_write_whose_reply_is_lost_bills_once() {
    let fleet = Fleet::start().await;
    fleet.set_store_mode(StoreMode::Lossy).await;
    send_chats(&fleet, 9).await;
    until("the billing rows whose replies were lost", || async { fleet.records("bill/").await.len() == 9 }).await;
    let before = fleet.records("bill/").await;
    fleet.set_store_mode(StoreMode::Open).await;
    Fleet::sleep(Duration::from_secs(4)).await;
    assert_eq!(fleet.wait_for_billing_rows(9).await, before, "stored rows should not be written again");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_request_sent_again_under_its_key_is_billed_once() {
    let fleet = Fleet::start().await;
    for index in [0, 1, 0] {
        let request = ChatRequest { key: Some("question-1"), ..ChatRequest::default() };
        let response = fleet.caller(index, ATLAS_VAN).chat(&request).await;
        assert!(response.complete, "{response:?}");
    }
    fleet.wait_for_billing_rows(1).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn an_entry_that_stops_while_the_records_table_is_down_hands_its_billing_rows_over() {
    let mut fleet = Fleet::start().await;
    fleet.set_store_mode(StoreMode::RecordsBusy).await;
    for _ in 0..5 {
        let response = fleet.caller(0, ATLAS_VAN).chat(&ChatRequest::default()).await;
        assert!(response.complete, "{response:?}");
    }
    fleet.entries[0].process.terminate();
    assert_eq!(fleet.entries[0].process.ended().await, Some(0));
    fleet.set_store_mode(StoreMode::Open).await;
    fleet.wait_for_billing_rows(5).await;
}
