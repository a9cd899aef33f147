//! Zones that the operator has evacuated: their upstreams get no new requests, and streams that end there go on elsewhere.

use std::time::{Duration, Instant};

use bluebell_standins::site::{Fault, StoreMode, server_entry};
use serde_json::json;
use tokio::time::sleep;

use super::{
    caller::Ask,
    site::{EVENT_COUNT, Site},
    until,
};

/// Time after the order by which no gateway may send to the zone.
const EVACUATION_LIMIT: Duration = Duration::from_secs(5);

/// Registers the second upstream of each service in the zone `z2`.
fn use_two_zones(site: &Site) {
    for (service, upstream) in [("chat", &site.chat[1]), ("ledger", &site.ledger[1])] {
        site.store.put("servers", &upstream.id, &server_entry(upstream.address, service, "z2", "v1", "ready"));
    }
}

async fn start(gateways: usize) -> Site {
    let mut site = Site::start_without_gateways().await;
    use_two_zones(&site);
    site.put_declarations(1, |_| {});
    site.start_gateways(gateways).await;
    if gateways > 1 {
        site.wait_for_peer_connections().await;
    }
    site
}

async fn wait_for_log(site: &Site, gateway: usize, text: &str) {
    until("a log line", || async { site.gateways[gateway].process.log().contains(text) }).await;
}

/// Sends requests to a gateway, and returns how many were served.
async fn served(site: &Site, gateway: usize, name: &str) -> usize {
    let mut served = 0;
    for round in 0..20 {
        let answer = site.gateways[gateway].ask(&Ask::new("/look/1", &format!("{name}-{round}"))).await;
        served += usize::from(answer.status == 200);
    }
    served
}

// Guards against requests and resumptions that go to an evacuated zone, and against streams there that are broken off.
#[tokio::test]
async fn streams_of_an_evacuated_zone_are_resumed_elsewhere_and_new_requests_go_elsewhere() {
    let site = start(1).await;
    let gateway = &site.gateways[0];
    // Both engines pause after two events and then break off; only the order decides where the stream goes on.
    let paced = Fault::Paced(Duration::from_millis(300));
    site.chat.iter().for_each(|engine| engine.set_default_fault(Some(paced.clone())));
    let ask = |id: &str| Ask::new("/talk/1", id).header("model", "small").header("token-count", "100,50");
    let asks: Vec<Ask> = (0..6).map(|number| ask(&format!("stream-{number}"))).collect();
    let streams = futures_util::future::join_all(asks.iter().map(|ask| gateway.ask(ask)));
    let order = async {
        sleep(Duration::from_millis(500)).await;
        site.store.put("op", "evacuate/z1", &json!({}));
        wait_for_log(&site, 0, "evacuation of a zone ordered").await;
        let ordered_at = Instant::now();
        // The engine of the zone ends: its streams have to go on in the other zone.
        site.chat[0].crash(Duration::from_millis(50));
        ordered_at
    };
    let (answers, ordered_at) = tokio::join!(streams, order);
    for answer in &answers {
        assert_eq!((answer.status, answer.complete), (200, true));
        assert_eq!(answer.events(), (1..=EVENT_COUNT).collect::<Vec<_>>());
    }
    let in_zone = site.chat[0].arrivals().iter().filter(|at| **at < ordered_at).count();
    assert!(in_zone > 0, "no stream ran in the zone before the order");
    assert_eq!(served(&site, 0, "after").await, 20);
    for upstream in [&site.chat[0], &site.ledger[0]] {
        let late = upstream.arrivals().iter().filter(|at| **at > ordered_at).count();
        assert_eq!(late, 0, "{} got requests after the order", upstream.id);
    }
    let metrics = reqwest::get(format!("http://{}/metrics", gateway.metrics_address)).await.expect("metrics");
    let text = metrics.text().await.expect("metrics should be text");
    assert!(text.lines().any(|line| line.starts_with("bluebell_evacuated_zones") && line.ends_with(" 1")), "{text}");
}

// Guards against a gateway that goes on sending to the zone because it lost the store when the order was written, and one
// that starts during the evacuation and doesn't know the order yet.
#[tokio::test]
async fn gateway_cut_off_from_the_store_hears_of_an_evacuation_and_its_end_from_a_peer() {
    let mut site = start(2).await;
    site.gateways[1].store_mode.send_replace(StoreMode::Silent);
    sleep(Duration::from_millis(100)).await;
    let ordered_at = Instant::now();
    site.store.put("op", "evacuate/z1", &json!({}));
    wait_for_log(&site, 1, "evacuation of a zone ordered").await;
    assert!(ordered_at.elapsed() < EVACUATION_LIMIT, "the order was in force after {:?}", ordered_at.elapsed());
    site.add_gateway(2).await;
    until("the new gateway to be ready", || site.gateways[2].is_ready()).await;
    let before = site.ledger[0].arrivals().len();
    for gateway in 0..3 {
        assert_eq!(served(&site, gateway, &format!("during-{gateway}")).await, 20);
    }
    assert_eq!(site.ledger[0].arrivals().len(), before, "requests reached the evacuated zone");
    site.store.delete("op", "evacuate/z1");
    for gateway in 0..3 {
        wait_for_log(&site, gateway, "evacuation of a zone ended").await;
    }
    assert_eq!(served(&site, 1, "ended").await, 20);
    assert!(site.ledger[0].arrivals().len() > before, "the zone is not used after the end of its evacuation");
}

// Guards against requests that wait or get an untrue reason when no zone is left, against odd keys that evacuate anything
// or stop the gateway, and against a deletion that is missed because it is only seen in a snapshot.
#[tokio::test]
async fn requests_are_refused_at_once_when_all_zones_are_evacuated() {
    let mut site = start(1).await;
    for key in ["evacuate/", "evacuate/z 1", "evacuate/%7A1", "evacuate/z1/", "evacuate/Z1", "evacuate"] {
        site.store.put("op", key, &json!({}));
    }
    site.store.put_raw("op", "evacuate/z1", b"not json");
    wait_for_log(&site, 0, "\"evacuated\":\"z1\"").await;
    let before = site.ledger[0].arrivals().len();
    assert_eq!(served(&site, 0, "odd").await, 20);
    assert_eq!(site.ledger[0].arrivals().len(), before, "the row's content decided whether it is an order");
    site.store.put("op", "evacuate/z2", &json!({}));
    wait_for_log(&site, 0, "\"evacuated\":\"z2\"").await;
    site.add_gateway(1).await;
    until("the gateway started during the evacuation to be ready", || site.gateways[1].is_ready()).await;
    for (gateway, id) in [(0, "none-0"), (1, "none-1")] {
        let asked = Instant::now();
        let answer = site.gateways[gateway].ask(&Ask::new("/book/1", id)).await;
        assert_eq!(answer.status, 503);
        assert!(answer.body.contains("evacuated zones"), "{}", answer.body);
        assert!(asked.elapsed() < Duration::from_secs(1), "refused after {:?}", asked.elapsed());
        assert!(site.runs(id).is_empty());
    }
    site.gateways[0].store_mode.send_replace(StoreMode::Reset);
    sleep(Duration::from_millis(300)).await;
    assert_eq!(
        site.gateways[0].ask(&Ask::new("/look/1", "cut-off")).await.status,
        503,
        "the order ended with the store"
    );
    site.gateways[1].process.kill();
    site.store.delete("op", "evacuate/z1");
    site.store.delete("op", "evacuate/z2");
    site.store.compact();
    site.gateways[0].store_mode.send_replace(StoreMode::Open);
    until("requests to be served again", || async {
        site.gateways[0].ask(&Ask::new("/look/1", "again")).await.status == 200
    })
    .await;
}
