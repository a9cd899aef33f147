//! Each request is billed exactly once.

use std::time::Duration;

use bluebell_standins::site::StoreMode;

use crate::util::{ATLAS_DESK, ATLAS_VAN, Ask, Fleet, FleetBuilder, KOVACS_BENCH, until};

async fn ask_many(fleet: &Fleet, count: usize) {
    for number in 0..count {
        let key = [ATLAS_VAN, KOVACS_BENCH, ATLAS_DESK][number % 3];
        let answer = fleet.caller(number % fleet.entries.len(), key).ask(&Ask::default()).await;
        assert!(answer.whole, "{answer:?}");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn rows_survive_the_kill_of_the_entry_that_answered() {
    let mut fleet = FleetBuilder::default().entries(2).start().await;
    for _ in 0..6 {
        let answer = fleet.caller(0, ATLAS_VAN).ask(&Ask::default()).await;
        assert!(answer.whole, "{answer:?}");
    }
    fleet.entries[0].process.kill();
    assert!(fleet.rows("bill/").await.len() < 6, "some rows were in the memory of the entry alone");
    fleet.wait_bills(6).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn rows_survive_the_kill_of_the_sidecars_that_ran() {
    let mut fleet = Fleet::start().await;
    ask_many(&fleet, 9).await;
    for engine in &mut fleet.engines {
        engine.sidecar.kill();
    }
    fleet.wait_bills(9).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn rows_survive_an_outage_of_the_table() {
    let fleet = Fleet::start().await;
    ask_many(&fleet, 3).await;
    fleet.set_door(StoreMode::RecordsBusy).await;
    ask_many(&fleet, 12).await;
    Fleet::pause(Duration::from_secs(5)).await;
    fleet.set_door(StoreMode::Open).await;
    fleet.wait_bills(15).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_lost_answer_of_the_table_bills_once() {
    let fleet = Fleet::start().await;
    fleet.set_door(StoreMode::Lossy).await;
    ask_many(&fleet, 9).await;
    until("rows whose answer was lost", || async { fleet.rows("bill/").await.len() == 9 }).await;
    let before = fleet.rows("bill/").await;
    fleet.set_door(StoreMode::Open).await;
    Fleet::pause(Duration::from_secs(4)).await;
    assert_eq!(fleet.wait_bills(9).await, before, "a row that is there is not written again");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_request_sent_again_under_its_key_is_billed_once() {
    let fleet = Fleet::start().await;
    for at in [0, 1, 0] {
        let ask = Ask { key: Some("question-1"), ..Ask::default() };
        let answer = fleet.caller(at, ATLAS_VAN).ask(&ask).await;
        assert!(answer.whole, "{answer:?}");
    }
    fleet.wait_bills(1).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn an_entry_that_stops_while_the_table_is_down_hands_its_rows_over() {
    let mut fleet = Fleet::start().await;
    fleet.set_door(StoreMode::RecordsBusy).await;
    for _ in 0..5 {
        let answer = fleet.caller(0, ATLAS_VAN).ask(&Ask::default()).await;
        assert!(answer.whole, "{answer:?}");
    }
    fleet.entries[0].process.terminate();
    assert_eq!(fleet.entries[0].process.ended().await, Some(0));
    fleet.set_door(StoreMode::Open).await;
    fleet.wait_bills(5).await;
}
