//! Upstreams that announce their departure in their answers, while the store still says that they are ready.

use std::time::{Duration, Instant};

use bluebell_standins::site::{Fault, server_entry};
use serde_json::json;

use super::{
    caller::Ask,
    site::{Site, arrivals, load},
    until,
};

/// Time after an announcement by which no request may reach the upstream any more.
const DRAIN: Duration = Duration::from_secs(2);

/// Time of an answer that makes load decide the choice of an upstream.
const SLOW: Duration = Duration::from_millis(100);

async fn until_announced(site: &Site, path: &str) -> Instant {
    for round in 0..100 {
        let answer = site.gateways[0].ask(&Ask::new(path, &format!("announced-{round}"))).await;
        if answer.header("server-leaving") == "1" {
            return Instant::now();
        }
    }
    panic!("no answer announced the departure");
}

#[tokio::test]
async fn upstream_that_announced_its_departure_is_not_brought_back_by_stale_rows_but_by_a_new_incarnation() {
    let site = Site::start(1).await;
    let leaving = &site.ledger[0];
    leaving.set_leaving(true);
    let announced = until_announced(&site, "/look/1").await;
    let answers = load(&site, "/look/", "ready", DRAIN + Duration::from_millis(500)).await;
    assert!(answers.iter().all(|answer| answer.status == 200), "requests failed beside the departure");
    assert_eq!(arrivals(leaving, announced, 200..60_000), 0, "requests reached the upstream");
    site.put_entry(leaving, "ledger", "v1", "ready");
    load(&site, "/look/", "stale", Duration::from_millis(800)).await;
    site.store.delete("servers", &leaving.id);
    load(&site, "/look/", "removed", Duration::from_millis(2500)).await;
    site.put_entry(leaving, "ledger", "v1", "ready");
    load(&site, "/look/", "again", Duration::from_millis(1500)).await;
    assert_eq!(arrivals(leaving, announced, 200..60_000), 0, "a stale row brought the upstream back");
    leaving.set_leaving(false);
    let mut entry = server_entry(leaving.address, "ledger", "z1", "v1", "ready");
    entry["born"] = json!(2);
    site.store.put("servers", &leaving.id, &entry);
    let restarted = Instant::now();
    until("requests to the new incarnation", || async {
        site.gateways[0].ask(&Ask::new("/look/1", "new")).await;
        arrivals(leaving, restarted, 0..60_000) > 0
    })
    .await;
}

#[tokio::test]
async fn stream_whose_head_announces_the_departure_ends_there_while_others_go_elsewhere() {
    let site = Site::start(1).await;
    let leaving = &site.chat[0];
    leaving.set_leaving(true);
    site.chat.iter().for_each(|engine| engine.set_default_fault(Some(Fault::Paced(Duration::from_millis(400)))));
    let before = leaving.arrivals().len();
    let start = Instant::now();
    let answers = load(&site, "/talk/", "stream", Duration::from_millis(3000)).await;
    assert!(answers.iter().all(|answer| answer.status == 200 && answer.events().len() == 8), "streams were lost");
    let first = leaving.arrivals().get(before).copied().expect("a stream should reach the engine that leaves");
    assert!(first - start < Duration::from_secs(1), "the first stream came too late for this test");
    assert_eq!(arrivals(leaving, first, 300..60_000), 0, "streams reached the engine after its announcement");
    let whole = answers.iter().filter(|answer| answer.header("server-leaving") == "1");
    assert!(whole.count() > 0, "the stream that announced the departure did not end there");
}

#[tokio::test]
async fn refusals_and_answers_to_other_requests_announce_a_departure_as_well() {
    for fault in [Fault::NotRun, Fault::WrongId, Fault::Fails(500)] {
        let site = Site::start(1).await;
        let leaving = &site.ledger[0];
        site.ledger.iter().for_each(|upstream| upstream.set_default_fault(Some(Fault::Slow(SLOW))));
        leaving.set_leaving(true);
        leaving.next_faults([fault.clone()]);
        let before = leaving.arrivals().len();
        until("a request at the upstream", || async {
            site.gateways[0].ask(&Ask::new("/look/1", "first")).await;
            leaving.arrivals().len() > before
        })
        .await;
        // No later answer announces it.
        leaving.set_leaving(false);
        let first = leaving.arrivals()[before];
        load(&site, "/look/", "then", Duration::from_millis(1500)).await;
        assert_eq!(arrivals(leaving, first, 1..60_000), 0, "{fault:?}");
    }
}

#[tokio::test]
async fn upstreams_that_all_announce_their_departure_serve_for_a_while_and_not_after_their_drain() {
    let site = Site::start(1).await;
    site.ledger.iter().for_each(|upstream| upstream.set_leaving(true));
    let start = Instant::now();
    let answers = load(&site, "/look/", "all", Duration::from_millis(3500)).await;
    assert!(answers[..60].iter().all(|answer| answer.status == 200), "callers were refused at once");
    let last = &answers[answers.len() - 1];
    assert_eq!((last.status, site.runs(&format!("all-{}", answers.len() - 1)).len()), (503, 0));
    for upstream in &site.ledger {
        assert_eq!(arrivals(upstream, start, 2000..60_000), 0, "requests reached {} after its drain", upstream.id);
    }
}

#[tokio::test]
async fn departure_announced_to_one_gateway_is_known_to_the_others() {
    let site = Site::start(2).await;
    site.wait_for_peer_connections().await;
    site.ledger.iter().for_each(|upstream| upstream.set_default_fault(Some(Fault::Slow(SLOW))));
    let leaving = &site.ledger[0];
    leaving.set_leaving(true);
    until_announced(&site, "/look/1").await;
    tokio::time::sleep(Duration::from_millis(600)).await;
    let told = Instant::now();
    let asks = (0..100u32).map(|number| async move {
        tokio::time::sleep(Duration::from_millis(10) * number).await;
        number
    });
    let gateway = &site.gateways[1];
    let answers = futures_util::future::join_all(asks.map(|number| async move {
        gateway.ask(&Ask::new("/look/1", &format!("told-{}", number.await))).await.status
    }));
    assert!(answers.await.iter().all(|status| *status == 200));
    assert_eq!(arrivals(leaving, told, 0..60_000), 0, "requests reached the upstream through a gateway that was told");
}
