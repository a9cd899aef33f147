//! How gateways get changes of declarations and of the registry from the store, and from their peers when the store
//! fails for some of them.

use std::time::Duration;

use bluebell_standins::site::StoreMode;
use serde_json::json;

use super::{
    caller::Ask,
    site::{PROPAGATION_LIMIT, Site},
    until,
};

/// Sends a request to a gateway and returns the HTTP status.
async fn request_status(site: &Site, gateway: usize, ask: &Ask) -> u16 {
    site.gateways[gateway].ask(ask).await.status
}

#[tokio::test]
async fn gateway_without_declarations_is_not_ready_and_answers_503() {
    let mut site = Site::start_without_gateways().await;
    site.add_gateway(0).await;
    let gateway = &site.gateways[0];
    until("the gateway to listen", || async { tokio::net::TcpStream::connect(gateway.caller_address).await.is_ok() })
        .await;
    assert!(!gateway.is_ready().await);
    assert_eq!(request_status(&site, 0, &Ask::new("/look/1", "r-1")).await, 503);
    site.put_declarations(1, |_| {});
    until("the gateway to be ready", || gateway.is_ready()).await;
}

#[tokio::test]
async fn gateway_cut_off_from_the_store_gets_changes_from_peers() {
    for failure_mode in [StoreMode::Busy, StoreMode::Reset, StoreMode::Silent] {
        let site = Site::start(2).await;
        site.wait_for_peer_connections().await;
        site.gateways[1].store_mode.send_replace(failure_mode);
        tokio::time::sleep(Duration::from_millis(300)).await;
        site.put_declarations(2, |config| config["tenants"][0]["apiKeys"] = json!(["key-2", "key-3"]));
        let old_key = Ask::new("/look/1", "r-1");
        let new_key = Ask::new("/look/1", "r-2").key(Some("key-3"));
        let elapsed =
            until("the revoked key to be refused", || async { request_status(&site, 1, &old_key).await == 401 }).await;
        assert!(elapsed < PROPAGATION_LIMIT, "{failure_mode:?}: key refused after {elapsed:?}");
        assert_eq!(request_status(&site, 1, &new_key).await, 200, "{failure_mode:?}");
        site.put_entry(&site.ledger[0], "ledger", "v1", "draining");
        tokio::time::sleep(PROPAGATION_LIMIT).await;
        let runs_before = site.ledger[0].runs().len();
        for round in 0..20 {
            assert_eq!(
                request_status(&site, 1, &Ask::new("/look/1", &format!("d-{round}")).key(Some("key-3"))).await,
                200
            );
        }
        assert_eq!(site.ledger[0].runs().len(), runs_before, "{failure_mode:?}: requests sent to a draining upstream");
    }
}

#[tokio::test]
async fn changes_made_during_a_disconnect_are_applied_after_history_compaction() {
    let site = Site::start(1).await;
    site.gateways[0].store_mode.send_replace(StoreMode::Reset);
    tokio::time::sleep(Duration::from_millis(100)).await;
    site.store.delete("servers", "ledger-1");
    site.put_declarations(5, |config| config["tenants"][0]["apiKeys"] = json!(["key-2"]));
    site.store.compact();
    site.gateways[0].store_mode.send_replace(StoreMode::Open);
    let old_key = Ask::new("/look/1", "r-1");
    until("the revoked key to be refused", || async { request_status(&site, 0, &old_key).await == 401 }).await;
    tokio::time::sleep(PROPAGATION_LIMIT).await;
    let runs_before = site.ledger[0].runs().len();
    for round in 0..10 {
        request_status(&site, 0, &Ask::new("/look/1", &format!("d-{round}")).key(Some("key-2"))).await;
    }
    assert_eq!(site.ledger[0].runs().len(), runs_before);
}

#[tokio::test]
async fn upstream_deleted_before_a_gateways_restart_is_used_by_neither_it_nor_a_peer_that_missed_the_deletion() {
    let mut site = Site::start(2).await;
    site.wait_for_peer_connections().await;
    site.gateways[0].process.kill();
    site.gateways[1].store_mode.send_replace(StoreMode::Reset);
    tokio::time::sleep(Duration::from_millis(200)).await;
    site.store.delete("servers", "ledger-1");
    site.gateways[0].process.restart();
    until("the gateway to be ready", || site.gateways[0].is_ready()).await;
    let connected = || async { site.gateways[0].process.log().matches("connection to peer opened").count() >= 2 };
    until("connections between gateways", connected).await;
    tokio::time::sleep(PROPAGATION_LIMIT).await;
    let runs_before = site.ledger[0].runs().len();
    for gateway in [0, 1] {
        for round in 0..20 {
            let ask = Ask::new("/look/1", &format!("d-{gateway}-{round}"));
            assert_eq!(request_status(&site, gateway, &ask).await, 200);
        }
        assert_eq!(site.ledger[0].runs().len(), runs_before, "gateway {gateway} sends requests to a deleted upstream");
    }
}

#[tokio::test]
async fn malformed_registry_entry_is_ignored_and_does_not_affect_others() {
    let site = Site::start(1).await;
    site.store.put("servers", "i-strange", &json!({ "service": 7, "address": "nowhere" }));
    site.store.put_raw("servers", "i-bytes", &[0xff, 0x00, 0x7b]);
    site.store.put("servers", "ledger-1", &json!({ "service": "ledger" }));
    tokio::time::sleep(Duration::from_millis(300)).await;
    let runs_before = site.ledger[0].runs().len();
    for round in 0..10 {
        assert_eq!(request_status(&site, 0, &Ask::new("/look/1", &format!("r-{round}"))).await, 200);
    }
    assert_eq!(site.ledger[0].runs().len(), runs_before);
}

#[tokio::test]
async fn malformed_declarations_leave_the_previous_ones_in_force() {
    let site = Site::start(1).await;
    site.store.put("op", "config", &json!({ "version": "?" }));
    tokio::time::sleep(Duration::from_millis(300)).await;
    assert_eq!(request_status(&site, 0, &Ask::new("/look/1", "r-1")).await, 200);
}

#[tokio::test]
async fn entry_whose_address_belongs_to_another_upstream_gets_no_requests() {
    let site = Site::start(1).await;
    // The process at the entry's address has another id than the entry.
    let mut entry = site.store.get("servers", "ledger-1").expect("the entry should exist");
    entry["sequence"] = json!(9);
    site.store.delete("servers", "ledger-1");
    site.store.put("servers", "ledger-9", &entry);
    tokio::time::sleep(Duration::from_millis(300)).await;
    let runs_before = site.ledger[0].runs().len();
    for round in 0..10 {
        assert_eq!(request_status(&site, 0, &Ask::new("/book/1", &format!("r-{round}"))).await, 200, "round {round}");
    }
    assert_eq!(site.ledger[0].runs().len(), runs_before);
}

#[tokio::test]
async fn all_gateways_killed_at_once_serve_again_from_the_store() {
    let mut site = Site::start(3).await;
    site.put_declarations(7, |config| config["tenants"][0]["apiKeys"] = json!(["key-9"]));
    site.gateways.iter_mut().for_each(|gateway| gateway.process.kill());
    site.gateways.iter_mut().for_each(|gateway| gateway.process.restart());
    let ask = Ask::new("/look/1", "r-1").key(Some("key-9"));
    for gateway in &site.gateways {
        until("a gateway to be ready", || gateway.is_ready()).await;
        assert_eq!(gateway.ask(&ask).await.status, 200);
        assert_eq!(gateway.ask(&Ask::new("/look/1", "r-2")).await.status, 401);
    }
}

#[tokio::test]
async fn idle_gateway_rarely_calls_the_store() {
    let site = Site::start(1).await;
    let calls_before = site.store.calls();
    tokio::time::sleep(Duration::from_secs(4)).await;
    let calls = site.store.calls() - calls_before;
    assert!(calls <= 10, "{calls} calls in 4 s");
}

/// The first gateway's metric `bluebell_peers`: the number of gateways, itself included, that share the retry budget.
async fn peers_metric(site: &Site) -> String {
    let url = format!("http://{}/metrics", site.gateways[0].metrics_address);
    let text = reqwest::get(url)
        .await
        .expect("the metrics should be served")
        .text()
        .await
        .expect("the metrics should be text");
    let line = text.lines().find(|line| line.starts_with("bluebell_peers"));
    line.and_then(|line| line.split(' ').next_back()).unwrap_or_default().to_owned()
}

#[tokio::test]
async fn unreachable_gateway_keeps_its_share_of_the_retry_budget_until_its_row_is_deleted() {
    let site = Site::start(2).await;
    site.wait_for_peer_connections().await;
    site.gateways[1].process.freeze();
    tokio::time::sleep(Duration::from_secs(17)).await;
    let member_rows = || site.store.keys("bluebell").iter().filter(|key| key.starts_with("member/")).count();
    assert_eq!((peers_metric(&site).await.as_str(), member_rows()), ("2", 2));
    until("the frozen gateway's row to be deleted", || async { member_rows() == 1 }).await;
    until("the frozen gateway not to be counted any more", || async { peers_metric(&site).await == "1" }).await;
}
