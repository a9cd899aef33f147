//! What gateways learn from the store, and from each other while the store turns some of them away.

use std::time::Duration;

use bluebell_standins::site::StoreMode;
use serde_json::json;

use super::{
    caller::Ask,
    site::{IN_FORCE, Site},
    until,
};

async fn status(site: &Site, gateway: usize, ask: &Ask) -> u16 {
    site.gateways[gateway].ask(ask).await.status
}

#[tokio::test]
async fn gateway_without_declarations_says_that_nothing_ran() {
    let mut site = Site::bare().await;
    site.add_gateway(0).await;
    let gateway = &site.gateways[0];
    until("the gateway to listen", || async { tokio::net::TcpStream::connect(gateway.callers).await.is_ok() }).await;
    assert!(!gateway.is_ready().await);
    assert_eq!(status(&site, 0, &Ask::new("/look/1", "r-1")).await, 503);
    site.put_config(1, |_| {});
    until("the gateway to be ready", || gateway.is_ready()).await;
}

#[tokio::test]
async fn peers_tell_a_gateway_that_the_store_turns_away() {
    for closed in [StoreMode::Busy, StoreMode::Reset, StoreMode::Silent] {
        let site = Site::start(2).await;
        site.linked().await;
        site.gateways[1].door.send_replace(closed);
        tokio::time::sleep(Duration::from_millis(300)).await;
        site.put_config(2, |config| config["tenants"][0]["apiKeys"] = json!(["key-2", "key-3"]));
        let old = Ask::new("/look/1", "r-1");
        let new = Ask::new("/look/1", "r-2").key(Some("key-3"));
        let took = until("the key to go", || async { status(&site, 1, &old).await == 401 }).await;
        assert!(took < IN_FORCE, "{closed:?}: {took:?}");
        assert_eq!(status(&site, 1, &new).await, 200, "{closed:?}");
        site.list(&site.ledger[0], "ledger", "v1", "draining");
        tokio::time::sleep(IN_FORCE).await;
        let before = site.ledger[0].runs().len();
        for round in 0..20 {
            assert_eq!(status(&site, 1, &Ask::new("/look/1", &format!("d-{round}")).key(Some("key-3"))).await, 200);
        }
        assert_eq!(site.ledger[0].runs().len(), before, "{closed:?}: work for an upstream that leaves");
    }
}

#[tokio::test]
async fn change_that_falls_into_forgotten_history_is_learnt() {
    let site = Site::start(1).await;
    site.gateways[0].door.send_replace(StoreMode::Reset);
    tokio::time::sleep(Duration::from_millis(100)).await;
    site.store.delete("servers", "ledger-1");
    site.put_config(5, |config| config["tenants"][0]["apiKeys"] = json!(["key-2"]));
    site.store.compact();
    site.gateways[0].door.send_replace(StoreMode::Open);
    let old = Ask::new("/look/1", "r-1");
    until("the key to go", || async { status(&site, 0, &old).await == 401 }).await;
    tokio::time::sleep(IN_FORCE).await;
    let before = site.ledger[0].runs().len();
    for round in 0..10 {
        status(&site, 0, &Ask::new("/look/1", &format!("d-{round}")).key(Some("key-2"))).await;
    }
    assert_eq!(site.ledger[0].runs().len(), before);
}

#[tokio::test]
async fn upstream_deleted_before_a_gateways_start_is_used_by_neither_it_nor_a_peer_that_missed_the_deletion() {
    let mut site = Site::start(2).await;
    site.linked().await;
    site.gateways[0].process.kill();
    site.gateways[1].door.send_replace(StoreMode::Reset);
    tokio::time::sleep(Duration::from_millis(200)).await;
    site.store.delete("servers", "ledger-1");
    site.gateways[0].process.restart();
    until("the gateway to be ready", || site.gateways[0].is_ready()).await;
    let opened = || async { site.gateways[0].process.log().matches("connection to peer opened").count() >= 2 };
    until("connections between gateways", opened).await;
    tokio::time::sleep(IN_FORCE).await;
    let before = site.ledger[0].runs().len();
    for gateway in [0, 1] {
        for round in 0..20 {
            let ask = Ask::new("/look/1", &format!("d-{gateway}-{round}"));
            assert_eq!(status(&site, gateway, &ask).await, 200);
        }
        assert_eq!(site.ledger[0].runs().len(), before, "gateway {gateway} sends to an upstream that is gone");
    }
}

#[tokio::test]
async fn entry_that_cannot_be_read_names_no_upstream_and_harms_no_other() {
    let site = Site::start(1).await;
    site.store.put("servers", "i-strange", &json!({ "service": 7, "address": "nowhere" }));
    site.store.put_raw("servers", "i-bytes", &[0xff, 0x00, 0x7b]);
    site.store.put("servers", "ledger-1", &json!({ "service": "ledger" }));
    tokio::time::sleep(Duration::from_millis(300)).await;
    let before = site.ledger[0].runs().len();
    for round in 0..10 {
        assert_eq!(status(&site, 0, &Ask::new("/look/1", &format!("r-{round}"))).await, 200);
    }
    assert_eq!(site.ledger[0].runs().len(), before);
}

#[tokio::test]
async fn declarations_that_cannot_be_read_leave_the_known_ones_in_force() {
    let site = Site::start(1).await;
    site.store.put("op", "config", &json!({ "version": "?" }));
    tokio::time::sleep(Duration::from_millis(300)).await;
    assert_eq!(status(&site, 0, &Ask::new("/look/1", "r-1")).await, 200);
}

#[tokio::test]
async fn address_that_another_upstream_has_now_runs_nothing_of_the_old_ones() {
    let site = Site::start(1).await;
    // The entry names an id that the process at the address doesn't have.
    let mut entry = site.store.get("servers", "ledger-1").expect("an entry");
    entry["sequence"] = json!(9);
    site.store.delete("servers", "ledger-1");
    site.store.put("servers", "ledger-9", &entry);
    tokio::time::sleep(Duration::from_millis(300)).await;
    let before = site.ledger[0].runs().len();
    for round in 0..10 {
        assert_eq!(status(&site, 0, &Ask::new("/book/1", &format!("r-{round}"))).await, 200, "round {round}");
    }
    assert_eq!(site.ledger[0].runs().len(), before);
}

#[tokio::test]
async fn all_gateways_killed_at_once_serve_again_from_the_store() {
    let mut site = Site::start(3).await;
    site.put_config(7, |config| config["tenants"][0]["apiKeys"] = json!(["key-9"]));
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
async fn quiet_store_is_asked_little() {
    let site = Site::start(1).await;
    let before = site.store.calls();
    tokio::time::sleep(Duration::from_secs(4)).await;
    let calls = site.store.calls() - before;
    assert!(calls <= 10, "{calls} calls in 4 s");
}

async fn counted_gateways(site: &Site) -> String {
    let url = format!("http://{}/metrics", site.gateways[0].metrics);
    let text = reqwest::get(url).await.expect("metrics").text().await.expect("text");
    let line = text.lines().find(|line| line.starts_with("bluebell_peers"));
    line.and_then(|line| line.split(' ').next_back()).unwrap_or_default().to_owned()
}

#[tokio::test]
async fn gateway_out_of_reach_keeps_its_part_of_the_retry_budget_while_its_row_stands() {
    let site = Site::start(2).await;
    site.linked().await;
    site.gateways[1].process.freeze();
    tokio::time::sleep(Duration::from_secs(17)).await;
    let rows = || site.store.keys("bluebell").iter().filter(|key| key.starts_with("member/")).count();
    assert_eq!((counted_gateways(&site).await.as_str(), rows()), ("2", 2));
    until("the row to go", || async { rows() == 1 }).await;
    until("its part to be shared out", || async { counted_gateways(&site).await == "1" }).await;
}
