//! Gateways that go on serving callers, but to which no other gateway forwards what the readers of the store learn.

use std::time::{Duration, Instant};

use bluebell_standins::site::{Fault, StoreMode};
use serde_json::json;
use tokio::time::sleep;

use super::{
    caller::{Ask, Caller},
    site::Site,
    until,
};

/// Numbers of the gateways that start first. Only fleets of nine or more rely on readers.
const FIRST: std::ops::Range<usize> = 20..29;
/// Numbers of the gateways that start later: they have the lowest ids, so they are elected readers.
const LATER: std::ops::Range<usize> = 10..13;
/// Place of the gateway that stops.
const STOPPING: usize = 8;
/// Time after which a gateway that hears of enough readers has ceased to read.
const SETTLE_TIME: Duration = Duration::from_secs(6);
/// Time for which a call keeps the stopping gateway running.
const CALL_TIME: Duration = Duration::from_secs(25);
/// Time within which declarations must be in force.
const APPLY_LIMIT: Duration = Duration::from_millis(3000);

fn declare(site: &Site, version: u64, key: &str) {
    site.put_declarations(version, |config| {
        config["routes"][2]["timeoutMs"] = json!(CALL_TIME.as_millis() as u64);
        config["tenants"][0]["apiKeys"] = json!([key]);
    });
}

async fn start_fleet() -> Site {
    let mut site = Site::start_without_gateways().await;
    site.drain_seconds = 30;
    declare(&site, 1, "key-1");
    for number in FIRST {
        site.add_gateway(number).await;
    }
    site.wait_until_serving().await;
    site.wait_for_peer_connections().await;
    site
}

/// Has a gateway stop while a call is in flight that isn't answered.
async fn begin_stop(site: &Site) {
    site.ledger.iter().for_each(|upstream| upstream.set_default_fault(Some(Fault::Silent)));
    let address = site.gateways[STOPPING].caller_address;
    tokio::spawn(async move {
        let ask = Ask::new("/book/1", "r-0").deadline(CALL_TIME);
        Caller::connect(address).await.expect("the connection should be accepted").ask(&ask).await
    });
    until("the call to run", || async { !site.runs("r-0").is_empty() }).await;
    site.ledger.iter().for_each(|upstream| upstream.set_default_fault(None));
    site.gateways[STOPPING].process.terminate();
}

/// Changes the declarations, and checks that they are in force at the stopping gateway in time.
async fn check_change(site: &Site) {
    declare(site, 2, "key-2");
    let start = Instant::now();
    until("the old key to be refused", || async {
        let ask = Ask::new("/look/1", "old").key(Some("key-1"));
        site.gateways[STOPPING].ask(&ask).await.status == 401
    })
    .await;
    let elapsed = start.elapsed();
    assert!(elapsed < APPLY_LIMIT, "in force after {elapsed:?}");
}

#[tokio::test]
async fn declarations_are_in_force_in_time_at_a_stopping_gateway_that_only_newcomers_connect_to() {
    let mut site = start_fleet().await;
    begin_stop(&site).await;
    for number in LATER {
        site.add_gateway(number).await;
    }
    for gateway in &site.gateways[FIRST.len()..] {
        until("a gateway to be ready", || gateway.is_ready()).await;
    }
    sleep(SETTLE_TIME).await;
    check_change(&site).await;
}

#[tokio::test]
async fn declarations_are_in_force_in_time_at_a_stopping_gateway_that_the_store_does_not_answer() {
    let site = start_fleet().await;
    begin_stop(&site).await;
    let row = format!("member/{}", site.gateways[STOPPING].name);
    until("the member row to be deleted", || async { !site.store.keys("bluebell").contains(&row) }).await;
    site.gateways[STOPPING].store_mode.send_replace(StoreMode::Silent);
    check_change(&site).await;
}
