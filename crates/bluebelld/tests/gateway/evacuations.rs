//! Zones that the operator has evacuated: their upstreams get no new requests, and streams that end there go on elsewhere.

use std::time::{Duration, Instant};

use bluebell_standins::site::{Fault, StoreMode, server_entry};
use futures_util::future::join_all;
use serde_json::json;
use tokio::time::sleep;

use super::{
    caller::Ask,
    restores::restore,
    site::{EVENT_COUNT, Site, arrivals},
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
    let streams = join_all(asks.iter().map(|ask| gateway.ask(ask)));
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

// Guards against an evacuation that ends because the store came back from a copy without the order.
#[tokio::test]
async fn evacuation_outlasts_a_restore_of_the_store_if_the_operator_writes_it_again() {
    let site = start(2).await;
    let copy = site.store.copy();
    site.store.put("op", "evacuate/z1", &json!({}));
    for gateway in 0..2 {
        wait_for_log(&site, gateway, "evacuation of a zone ordered").await;
    }
    let before = site.ledger[0].arrivals().len();
    restore(&site, copy).await;
    for round in 0..2 {
        for gateway in 0..2 {
            assert_eq!(served(&site, gateway, &format!("restored-{gateway}-{round}")).await, 20);
        }
        sleep(Duration::from_secs(1)).await;
    }
    site.store.put("op", "evacuate/z1", &json!({}));
    // Longer than a row is kept that nobody writes again.
    sleep(Duration::from_secs(7)).await;
    for gateway in 0..2 {
        assert_eq!(served(&site, gateway, &format!("again-{gateway}")).await, 20);
    }
    assert_eq!(site.ledger[0].arrivals().len(), before, "requests reached the evacuated zone");
    site.store.delete("op", "evacuate/z1");
    for gateway in 0..2 {
        wait_for_log(&site, gateway, "evacuation of a zone ended").await;
    }
}

/// Rate that an upstream of `ledger` accepts while it is cold, and what is allowed in any second.
const COLD_RATE: usize = 20;
const COLD_BOUND: usize = 35;
/// Time after which the gateways of a new site know each other long enough to own shares.
const JOINED: Duration = Duration::from_millis(4000);

async fn start_with_cold_upstreams(gateways: usize) -> Site {
    let mut site = Site::start_without_gateways().await;
    use_two_zones(&site);
    site.put_declarations(1, |config| {
        config["services"][1]["coldStartS"] = json!(3);
        config["services"][1]["coldPerS"] = json!(COLD_RATE);
    });
    site.settings = "cold: { over: 1.5, slack: 5 }\n".to_owned();
    site.start_gateways(gateways).await;
    site.wait_for_peer_connections().await;
    sleep(JOINED).await;
    site
}

/// Sends 200 requests per second to the gateways in turn, and returns the statuses and the longest time of a refusal.
async fn load(site: &Site, name: &str, time: Duration) -> (Vec<u16>, Duration) {
    let count = time.as_millis() as u32 / 5;
    let asks = (0..count).map(|number| async move {
        sleep(Duration::from_millis(5) * number).await;
        let gateway = &site.gateways[number as usize % site.gateways.len()];
        let asked = Instant::now();
        let status = gateway.ask(&Ask::new("/look/1", &format!("{name}-{number}"))).await.status;
        (status, asked.elapsed())
    });
    let answers = join_all(asks).await;
    let longest = answers.iter().filter(|(status, _)| *status != 200).map(|(_, took)| *took).max();
    (answers.into_iter().map(|(status, _)| status).collect(), longest.unwrap_or_default())
}

/// Most requests that reached an upstream in any second of the period after `start`, given in milliseconds.
fn most_in_a_second(upstream: &bluebell_standins::site::SiteUpstream, start: Instant, until: u64) -> usize {
    (0..until - 1000).step_by(20).map(|from| arrivals(upstream, start, from..from + 1000)).max().unwrap_or(0)
}

// Guards against gateways that send as much as before to a zone whose upstreams are cold after its evacuation, although
// their registrations don't say so.
#[tokio::test]
async fn zone_that_is_taken_back_gets_only_what_its_cold_upstreams_accept() {
    let site = start_with_cold_upstreams(3).await;
    site.store.put("op", "evacuate/z1", &json!({}));
    for gateway in 0..3 {
        wait_for_log(&site, gateway, "evacuation of a zone ordered").await;
    }
    let change = async {
        sleep(Duration::from_millis(500)).await;
        site.store.delete("op", "evacuate/z1");
        Instant::now()
    };
    let ((statuses, _), taken_back) = tokio::join!(load(&site, "load", Duration::from_millis(5500)), change);
    let cold = &site.ledger[0];
    let most = most_in_a_second(cold, taken_back, 3000);
    assert!(most <= COLD_BOUND, "the cold upstream got {most} requests in a second");
    let whole = arrivals(cold, taken_back, 0..3000);
    assert!(whole > COLD_RATE, "the cold upstream got only {whole} requests in 3 s");
    let warm = arrivals(cold, taken_back, 3500..4500);
    assert!(warm > COLD_BOUND, "the upstream got only {warm} requests in a second when it was warm");
    assert!(statuses.iter().all(|status| *status == 200), "requests were not served though a warm zone was left");
}

// Guards against requests that wait, or are sent in spite of the limit, when all upstreams are cold at once, and against
// gateways that exceed the bound since one of them is cut off or has just started.
#[tokio::test]
async fn requests_beyond_what_cold_upstreams_accept_are_refused_at_once_as_not_run() {
    let mut site = start_with_cold_upstreams(3).await;
    for zone in ["z1", "z2"] {
        site.store.put("op", &format!("evacuate/{zone}"), &json!({}));
        let line = format!("\"evacuated\":\"{zone}\"");
        for gateway in 0..3 {
            wait_for_log(&site, gateway, &line).await;
        }
    }
    site.gateways[1].store_mode.send_replace(StoreMode::Silent);
    site.add_gateway(3).await;
    until("the new gateway to be ready", || site.gateways[3].is_ready()).await;
    for zone in ["z1", "z2"] {
        site.store.delete("op", &format!("evacuate/{zone}"));
    }
    let taken_back = Instant::now();
    let (statuses, longest) = load(&site, "load", Duration::from_millis(2800)).await;
    for upstream in &site.ledger {
        let most = most_in_a_second(upstream, taken_back, 2800);
        assert!((1..=COLD_BOUND).contains(&most), "{} got {most} requests in a second", upstream.id);
    }
    let served = statuses.iter().filter(|status| **status == 200).count();
    let refused = statuses.iter().filter(|status| **status == 503).count();
    assert_eq!(served + refused, statuses.len(), "requests were neither served nor refused as not run");
    assert!(served > COLD_RATE, "only {served} requests were served");
    assert!(longest < Duration::from_secs(1), "a refusal came after {longest:?}");
    let runs: usize = site.ledger.iter().flat_map(|one| one.runs()).filter(|run| run.began > taken_back).count();
    assert_eq!(runs, served, "refused requests have run");
}
