//! Roll-outs that the operator orders by a row in the store; one of the gateways, the driver, performs them.

use std::time::Duration;

use bluebell_standins::site::{Fault, StoreMode};
use serde_json::json;

use super::{caller::Ask, restores::restore, site::Site, until};

/// Ordered duration of the roll-outs, in seconds.
const ROLLOUT_SECONDS: u64 = 6;

/// Adds an engine with the release `v2` and orders a roll-out of it.
async fn order_rollout(site: &mut Site) {
    site.add_engine("chat-3", "v2").await;
    site.store.put("op", "rollout/chat", &json!({ "service": "chat", "to": "v2", "durationS": ROLLOUT_SECONDS }));
}

/// State of the roll-out as reported in the store, or an empty string before the first report.
fn rollout_state(site: &Site) -> String {
    let report = site.store.get("status", "rollout/chat").unwrap_or_default();
    report["state"].as_str().unwrap_or_default().to_owned()
}

/// Sends requests to the gateways until the roll-out reaches a state.
async fn send_requests_until(site: &Site, gateways: &[usize], wanted: &str) {
    let started = std::time::Instant::now();
    let mut round = 0;
    while rollout_state(site) != wanted {
        assert!(
            started.elapsed() < Duration::from_secs(3 * ROLLOUT_SECONDS),
            "the roll-out is still in state {:?}",
            rollout_state(site)
        );
        let targets = gateways.iter().flat_map(|index| (0..6).map(move |number| (*index, number)));
        let requests: Vec<_> = targets
            .map(|(index, number)| {
                let gateway = &site.gateways[index];
                let ask = Ask::new("/talk/1", &format!("p-{round}-{index}-{number}")).header("model", "small");
                async move { gateway.ask(&ask.header("token-count", "10,5")).await }
            })
            .collect();
        futures_util::future::join_all(requests).await;
        round += 1;
    }
}

#[tokio::test]
async fn good_release_is_completed() {
    let mut site = Site::start(2).await;
    site.wait_for_peer_connections().await;
    order_rollout(&mut site).await;
    send_requests_until(&site, &[0, 1], "completed").await;
    let old_release_runs = site.chat[0].runs().len() + site.chat[1].runs().len();
    for gateway in &site.gateways {
        for round in 0..10 {
            let ask = Ask::new("/talk/1", &format!("after-{round}")).header("model", "small");
            assert_eq!(gateway.ask(&ask.header("token-count", "10,5")).await.status, 200);
        }
    }
    assert_eq!(
        site.chat[0].runs().len() + site.chat[1].runs().len(),
        old_release_runs,
        "requests sent to the old release"
    );
}

#[tokio::test]
async fn bad_release_is_reverted_and_gets_no_more_requests() {
    let mut site = Site::start(2).await;
    site.wait_for_peer_connections().await;
    order_rollout(&mut site).await;
    site.chat[2].set_default_fault(Some(Fault::Fails(500)));
    send_requests_until(&site, &[0, 1], "reverted").await;
    let bad_release_runs = site.chat[2].runs().len();
    assert!(bad_release_runs < 50, "{bad_release_runs} requests sent to the bad release");
    tokio::time::sleep(Duration::from_millis(300)).await;
    let bad_release_runs = site.chat[2].runs().len();
    for round in 0..40 {
        let ask = Ask::new("/talk/1", &format!("after-{round}")).header("model", "small");
        assert_eq!(site.gateways[round % 2].ask(&ask.header("token-count", "10,5")).await.status, 200);
    }
    assert_eq!(site.chat[2].runs().len(), bad_release_runs);
}

#[tokio::test]
async fn fixed_release_that_is_ordered_again_is_judged_by_its_new_answers() {
    let mut site = Site::start(2).await;
    site.wait_for_peer_connections().await;
    order_rollout(&mut site).await;
    site.chat[2].set_default_fault(Some(Fault::Fails(500)));
    send_requests_until(&site, &[0, 1], "reverted").await;
    site.chat[2].set_default_fault(None);
    site.store.put("op", "rollout/chat", &json!({ "service": "chat", "to": "v2", "durationS": ROLLOUT_SECONDS }));
    send_requests_until(&site, &[0, 1], "completed").await;
}

#[tokio::test]
async fn roll_out_continues_when_its_driver_is_killed_or_cut_off_from_the_store() {
    for cut_off in [false, true] {
        let mut site = Site::start(2).await;
        site.wait_for_peer_connections().await;
        order_rollout(&mut site).await;
        until("the roll-out to begin", || async { rollout_state(&site) == "running" }).await;
        let holder = site.store.get("bluebell", "stage/chat").expect("the stage should be stored")["holder"].clone();
        let driver = site
            .gateways
            .iter()
            .position(|gateway| holder == json!(gateway.name))
            .expect("the holder should be a gateway");
        if cut_off {
            site.gateways[driver].store_mode.send_replace(StoreMode::Reset);
        } else {
            site.gateways[driver].process.kill();
        }
        send_requests_until(&site, &[1 - driver], "completed").await;
    }
}

#[tokio::test]
async fn lost_answers_to_writes_of_the_stage_do_not_stop_the_roll_out() {
    let mut site = Site::start(1).await;
    site.gateways[0].store_mode.send_replace(StoreMode::Lossy);
    order_rollout(&mut site).await;
    send_requests_until(&site, &[0], "completed").await;
}

#[tokio::test]
async fn reverted_release_gets_no_requests_after_a_restart() {
    let mut site = Site::start(1).await;
    order_rollout(&mut site).await;
    site.chat[2].set_default_fault(Some(Fault::Fails(500)));
    send_requests_until(&site, &[0], "reverted").await;
    site.gateways[0].process.kill();
    site.gateways[0].process.restart();
    until("the gateway to be ready", || site.gateways[0].is_ready()).await;
    let bad_release_runs = site.chat[2].runs().len();
    for round in 0..30 {
        let ask = Ask::new("/talk/1", &format!("after-{round}")).header("model", "small");
        assert_eq!(site.gateways[0].ask(&ask.header("token-count", "10,5")).await.status, 200);
    }
    assert_eq!(
        site.chat[2].runs().len(),
        bad_release_runs,
        "requests sent to a release that was reverted before the restart"
    );
}

#[tokio::test]
async fn odd_content_of_the_stage_row_neither_stops_a_roll_out_nor_repeats_it() {
    let mut site = Site::start(2).await;
    site.wait_for_peer_connections().await;
    site.store.put_raw("bluebell", "stage/chat", b"[");
    order_rollout(&mut site).await;
    send_requests_until(&site, &[0, 1], "running").await;
    site.store.put_raw("bluebell", "stage/chat", b"{\"order\":-1}");
    send_requests_until(&site, &[0, 1], "completed").await;
    site.store.put_raw("bluebell", "stage/chat", b"\xff");
    until("the stage to be written again", || async { site.store.get("bluebell", "stage/chat").is_some() }).await;
    for gateway in &mut site.gateways {
        gateway.process.restart();
        until("the gateway to be ready", || gateway.is_ready()).await;
    }
    tokio::time::sleep(Duration::from_secs(2)).await;
    assert_eq!(rollout_state(&site), "completed");
}

#[tokio::test]
async fn completed_rollout_is_written_again_and_not_repeated_after_a_restore_of_the_store() {
    let mut site = Site::start(2).await;
    site.wait_for_peer_connections().await;
    let copy = site.store.copy();
    order_rollout(&mut site).await;
    send_requests_until(&site, &[0, 1], "completed").await;
    let order = site.store.get("op", "rollout/chat").expect("the order should be in the store");
    restore(&site, copy).await;
    assert_eq!(rollout_state(&site), "");
    let old_release_runs = |site: &Site| site.chat[0].runs().len() + site.chat[1].runs().len();
    let before = old_release_runs(&site);
    until("the stage to be written again", || async { rollout_state(&site) == "completed" }).await;
    site.put_entry(&site.chat[2], "chat", "v2", "ready");
    site.store.put("op", "rollout/chat", &order);
    for round in 0..80 {
        for (index, gateway) in site.gateways.iter().enumerate() {
            let ask = Ask::new("/talk/1", &format!("restored-{index}-{round}")).header("model", "small");
            assert_eq!(gateway.ask(&ask.header("token-count", "10,5")).await.status, 200);
        }
        assert_eq!(rollout_state(&site), "completed");
    }
    assert_eq!(old_release_runs(&site), before, "requests were sent to the old release again");
    let stage = site.store.scan("bluebell", "").into_iter().find(|row| row.key == "stage/chat");
    let order_version =
        site.store.scan("op", "").into_iter().find(|row| row.key == "rollout/chat").map(|row| row.version);
    let named = stage.and_then(|row| row.value["order"].as_u64()).map(bluebell_core::store_version::number);
    assert_eq!(named, order_version, "the stage names another order");
}
