//! A store that was away comes back from an older copy: what was written since is gone, and versions are given out again.
//! Operators and upstreams write theirs again.

use std::time::Duration;

use bluebell_standins::site::{StoreCopy, StoreMode, server_entry};
use futures_util::future::join_all;
use serde_json::{Value, json};
use tokio::time::sleep;

use super::{
    caller::Ask,
    site::{PROPAGATION_LIMIT, Site},
    until,
};

/// Time for which the store is away.
const AWAY: Duration = Duration::from_millis(1000);
/// Time after the return by which all gateways have read the store again.
const READ_AGAIN: Duration = Duration::from_millis(1500);

/// Takes the store away from all gateways, and brings it back with the content of a copy.
pub async fn restore(site: &Site, copy: StoreCopy) {
    site.gateways.iter().for_each(|gateway| _ = gateway.store_mode.send_replace(StoreMode::Reset));
    sleep(AWAY).await;
    site.store.restore(copy);
    site.gateways.iter().for_each(|gateway| _ = gateway.store_mode.send_replace(StoreMode::Open));
}

/// Adds the route `/NAME/` to the service `ledger`.
fn add_route(config: &mut Value, name: &str) {
    let mut route = config["routes"][3].clone();
    (route["name"], route["prefix"]) = (json!(name), json!(format!("/{name}/")));
    config["routes"].as_array_mut().expect("routes should be an array").push(route);
}

/// Status that each gateway gives to a request.
async fn statuses(site: &Site, path: &str, key: &str, name: &str) -> Vec<u16> {
    let asks = site.gateways.iter().map(|gateway| async move {
        let ask = Ask::new(path, &format!("{name}-{}", gateway.name)).key(Some(key));
        gateway.ask(&ask).await.status
    });
    join_all(asks).await
}

#[tokio::test]
async fn change_whose_version_was_given_out_before_a_restore_is_in_force_in_time() {
    let site = Site::start(2).await;
    site.wait_for_peer_connections().await;
    let copy = site.store.copy();
    let added = |config: &mut Value| add_route(config, "added");
    site.put_declarations(2, |_| {});
    site.put_declarations(3, added);
    until("the added route", || async { statuses(&site, "/added/1", "key-1", "added").await == [200, 200] }).await;
    restore(&site, copy).await;
    sleep(READ_AGAIN).await;
    site.put_declarations(3, added);
    sleep(Duration::from_millis(500)).await;
    site.put_declarations(4, |config| {
        add_route(config, "added");
        add_route(config, "late");
    });
    let elapsed = until("the route added after the restore", || async {
        statuses(&site, "/late/1", "key-1", "late").await == [200, 200]
    })
    .await;
    assert!(elapsed < PROPAGATION_LIMIT, "in force after {elapsed:?}");
}

#[tokio::test]
async fn declarations_do_not_go_back_to_those_of_the_copy() {
    let mut site = Site::start(2).await;
    site.wait_for_peer_connections().await;
    let copy = site.store.copy();
    let changed = |config: &mut Value| {
        add_route(config, "added");
        config["tenants"][0]["apiKeys"] = json!(["key-2", "key-3"]);
    };
    site.put_declarations(2, changed);
    until("the new key", || async { statuses(&site, "/added/1", "key-3", "new").await == [200, 200] }).await;
    restore(&site, copy).await;
    for round in 0..30 {
        assert_eq!(statuses(&site, "/added/1", "key-3", &format!("kept-{round}")).await, [200, 200]);
        assert_eq!(statuses(&site, "/look/1", "key-1", &format!("revoked-{round}")).await, [401, 401]);
        sleep(Duration::from_millis(100)).await;
    }
    // A gateway that starts before the declarations are written again learns them from the others.
    site.add_gateway(2).await;
    until("the new gateway to be ready", || site.gateways[2].is_ready()).await;
    sleep(Duration::from_millis(500)).await;
    assert_eq!(statuses(&site, "/added/1", "key-3", "started").await, [200, 200, 200]);
    assert_eq!(statuses(&site, "/look/1", "key-1", "started").await, [401, 401, 401]);
}

#[tokio::test]
async fn upstreams_keep_their_state_through_a_restore() {
    let mut site = Site::start(2).await;
    site.add_ledger("ledger-gone").await;
    site.add_ledger("ledger-draining").await;
    site.wait_for_peer_connections().await;
    sleep(Duration::from_millis(500)).await;
    let copy = site.store.copy();
    site.add_ledger("ledger-new").await;
    site.store.delete("servers", "ledger-gone");
    let draining = server_entry(site.ledger[3].address, "ledger", "z1", "v1", "draining");
    site.store.put("servers", "ledger-draining", &draining);
    sleep(PROPAGATION_LIMIT).await;
    let runs = |site: &Site, index: usize| site.ledger[index].runs().len();
    let before = [2, 3].map(|index| runs(&site, index));
    let new_before = runs(&site, 4);
    restore(&site, copy).await;
    for round in 0..30 {
        let answers = statuses(&site, "/look/1", "key-1", &format!("round-{round}")).await;
        assert_eq!(answers, [200, 200]);
        sleep(Duration::from_millis(50)).await;
    }
    assert!(runs(&site, 4) > new_before + 5, "the upstream that registered after the copy is not used");
    // Upstreams that run write theirs again, the entry of the one that is gone lapses.
    site.put_entry(&site.ledger[4], "ledger", "v1", "ready");
    site.store.put("servers", "ledger-draining", &draining);
    for round in 0..30 {
        statuses(&site, "/look/1", "key-1", &format!("again-{round}")).await;
        sleep(Duration::from_millis(50)).await;
    }
    site.store.delete("servers", "ledger-gone");
    for round in 0..60 {
        statuses(&site, "/look/1", "key-1", &format!("later-{round}")).await;
        sleep(Duration::from_millis(100)).await;
    }
    assert_eq!([2, 3].map(|index| runs(&site, index)), before, "upstreams that are gone or draining got requests");
}

#[tokio::test]
async fn feed_whose_position_was_passed_again_after_a_restore_misses_nothing() {
    let site = Site::start(2).await;
    site.wait_for_peer_connections().await;
    let copy = site.store.copy();
    let added = |config: &mut Value| add_route(config, "added");
    site.put_declarations(2, |_| {});
    until("the declarations", || async { statuses(&site, "/look/1", "key-1", "two").await == [200, 200] }).await;
    site.gateways.iter().for_each(|gateway| _ = gateway.store_mode.send_replace(StoreMode::Reset));
    sleep(AWAY).await;
    site.store.restore(copy);
    site.put_declarations(3, added);
    for number in 0..6 {
        site.store.put("status", &format!("other-{number}"), &json!({}));
    }
    site.gateways.iter().for_each(|gateway| _ = gateway.store_mode.send_replace(StoreMode::Open));
    let elapsed =
        until("the added route", || async { statuses(&site, "/added/1", "key-1", "added").await == [200, 200] }).await;
    assert!(elapsed < PROPAGATION_LIMIT, "in force after {elapsed:?}");
}
