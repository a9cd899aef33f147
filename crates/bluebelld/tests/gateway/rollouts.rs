//! Roll-outs ordered in the store, driven by any gateway.

use std::time::Duration;

use bluebell_standins::site::{Fault, StoreMode};
use serde_json::json;

use super::{caller::Ask, site::Site, until};

/// Time in which the roll-outs of the tests have to be done, in seconds.
const WITHIN_S: u64 = 6;

async fn order(site: &mut Site) {
    site.add_engine("chat-3", "v2").await;
    site.store.put("op", "rollout/chat", &json!({ "service": "chat", "to": "v2", "durationS": WITHIN_S }));
}

fn state(site: &Site) -> String {
    let report = site.store.get("status", "rollout/chat").unwrap_or_default();
    report["state"].as_str().unwrap_or_default().to_owned()
}

// Keeps requests coming until the roll-out stands at a state.
async fn play(site: &Site, gateways: &[usize], wanted: &str) {
    let begun = std::time::Instant::now();
    let mut number = 0;
    while state(site) != wanted {
        assert!(begun.elapsed() < Duration::from_secs(3 * WITHIN_S), "stands at {:?}", state(site));
        let round = gateways.iter().flat_map(|at| (0..6).map(move |n| (*at, n)));
        let asks: Vec<_> = round
            .map(|(at, n)| {
                let gateway = &site.gateways[at];
                let ask = Ask::new("/talk/1", &format!("p-{number}-{at}-{n}")).header("model", "small");
                async move { gateway.ask(&ask.header("token-count", "10,5")).await }
            })
            .collect();
        futures_util::future::join_all(asks).await;
        number += 1;
    }
}

#[tokio::test]
async fn good_release_is_completed() {
    let mut site = Site::start(2).await;
    site.linked().await;
    order(&mut site).await;
    play(&site, &[0, 1], "completed").await;
    let old = site.chat[0].runs().len() + site.chat[1].runs().len();
    for gateway in &site.gateways {
        for round in 0..10 {
            let ask = Ask::new("/talk/1", &format!("after-{round}")).header("model", "small");
            assert_eq!(gateway.ask(&ask.header("token-count", "10,5")).await.status, 200);
        }
    }
    assert_eq!(site.chat[0].runs().len() + site.chat[1].runs().len(), old, "work for the old release");
}

#[tokio::test]
async fn bad_release_is_reverted_and_gets_nothing_more() {
    let mut site = Site::start(2).await;
    site.linked().await;
    order(&mut site).await;
    site.chat[2].set_default_fault(Some(Fault::Fails(500)));
    play(&site, &[0, 1], "reverted").await;
    let bad = site.chat[2].runs().len();
    assert!(bad < 50, "{bad} requests for the bad release");
    tokio::time::sleep(Duration::from_millis(300)).await;
    let bad = site.chat[2].runs().len();
    for round in 0..40 {
        let ask = Ask::new("/talk/1", &format!("after-{round}")).header("model", "small");
        assert_eq!(site.gateways[round % 2].ask(&ask.header("token-count", "10,5")).await.status, 200);
    }
    assert_eq!(site.chat[2].runs().len(), bad);
}

#[tokio::test]
async fn release_that_was_mended_and_is_ordered_anew_is_judged_by_its_new_answers() {
    let mut site = Site::start(2).await;
    site.linked().await;
    order(&mut site).await;
    site.chat[2].set_default_fault(Some(Fault::Fails(500)));
    play(&site, &[0, 1], "reverted").await;
    site.chat[2].set_default_fault(None);
    site.store.put("op", "rollout/chat", &json!({ "service": "chat", "to": "v2", "durationS": WITHIN_S }));
    play(&site, &[0, 1], "completed").await;
}

#[tokio::test]
async fn roll_out_goes_on_when_its_driver_is_killed_or_cut_from_the_store() {
    for cut in [false, true] {
        let mut site = Site::start(2).await;
        site.linked().await;
        order(&mut site).await;
        until("the roll-out to begin", || async { state(&site) == "running" }).await;
        let holder = site.store.get("bluebell", "stage/chat").expect("a stage")["holder"].clone();
        let driver = site.gateways.iter().position(|one| holder == json!(one.name)).expect("a driver");
        if cut {
            site.gateways[driver].door.send_replace(StoreMode::Reset);
        } else {
            site.gateways[driver].process.kill();
        }
        play(&site, &[1 - driver], "completed").await;
    }
}

#[tokio::test]
async fn lost_answer_to_a_stages_write_does_not_stop_the_roll_out() {
    let mut site = Site::start(1).await;
    site.gateways[0].door.send_replace(StoreMode::Lossy);
    order(&mut site).await;
    play(&site, &[0], "completed").await;
}

#[tokio::test]
async fn release_without_an_order_that_stands_gets_nothing() {
    let mut site = Site::start(1).await;
    order(&mut site).await;
    site.chat[2].set_default_fault(Some(Fault::Fails(500)));
    play(&site, &[0], "reverted").await;
    site.gateways[0].process.kill();
    site.gateways[0].process.restart();
    until("the gateway to be ready", || site.gateways[0].is_ready()).await;
    let bad = site.chat[2].runs().len();
    for round in 0..30 {
        let ask = Ask::new("/talk/1", &format!("after-{round}")).header("model", "small");
        assert_eq!(site.gateways[0].ask(&ask.header("token-count", "10,5")).await.status, 200);
    }
    assert_eq!(site.chat[2].runs().len(), bad, "work for a release that was reverted before the restart");
}
