//! Requests that end each upstream that runs them, sent again by their callers, and the innocent ones beside them.

use std::time::Duration;

use bluebell_standins::site::{Fault, Poison, StoreMode};
use futures_util::future::join_all;
use serde_json::Value;
use tokio::time::{Instant, sleep};

use super::{caller::Ask, site::Site, until};

/// Body of a request that ends upstreams.
const POISON: &str = "this one ends what runs it";
/// Upstreams of each service.
const UPSTREAMS: usize = 6;
/// Time for which an ended upstream is away.
const DOWN: Duration = Duration::from_secs(2);
/// Time after the third end, from which the users count.
const CONTACT: Duration = Duration::from_secs(3);
/// Repeats that the users allow after that.
const ALLOWED: usize = 3;
/// Time within which a request that is held back is answered.
const AT_ONCE: Duration = Duration::from_millis(300);
/// Pause of a caller before it sends such a request again.
const AGAIN: Duration = Duration::from_millis(300);

/// Gateways before upstreams that end under such a request, after so many events of its answer.
async fn deadly_site(gateways: usize, events: u64) -> Site {
    let mut site = Site::start(gateways).await;
    for number in 3..=UPSTREAMS {
        site.add_engine(&format!("chat-{number}"), "v1").await;
        site.add_ledger(&format!("ledger-{number}")).await;
    }
    for one in site.chat.iter().chain(&site.ledger) {
        one.set_poison(Some(Poison { marker: POISON.to_owned(), events, down: DOWN }));
    }
    site.list_lives();
    site.linked().await;
    sleep(AGAIN).await;
    site
}

/// Times at which upstreams began to run such a request.
fn sends(site: &Site) -> Vec<Instant> {
    let all = site.chat.iter().chain(&site.ledger).flat_map(|one| one.runs());
    let mut times: Vec<Instant> =
        all.filter(|run| run.request.contains(POISON)).map(|run| Instant::from_std(run.began)).collect();
    times.sort();
    times
}

/// Sends that the users count: later than their bound after the third end.
fn late(sends: &[Instant]) -> usize {
    let third = sends.get(2).copied();
    third.map_or(0, |third| sends.iter().filter(|at| **at > third + CONTACT).count())
}

fn poison(path: &str, id: &str) -> Ask {
    Ask::new(path, id).body(POISON)
}

/// Has a caller repeat a request that ends upstreams for so long, at one gateway after the other.
async fn repeat(site: &Site, path: &str, name: &str, time: Duration) {
    let begun = Instant::now();
    let mut round = 0;
    while begun.elapsed() < time {
        let gateway = &site.gateways[round % site.gateways.len()];
        let answer = gateway.ask(&poison(path, &format!("{name}-{round}"))).await;
        assert!(!answer.complete || answer.status >= 500, "{answer:?}");
        round += 1;
        sleep(AGAIN).await;
    }
}

async fn repeats_stop(path: &str, events: u64) {
    let site = deadly_site(3, events).await;
    repeat(&site, path, "p", Duration::from_secs(9)).await;
    let sends = sends(&site);
    assert!(sends.len() >= 3, "{sends:?}");
    let late = late(&sends);
    assert!(late <= ALLOWED, "{late} sends later than {CONTACT:?} after the third end, {} in all", sends.len());
}

#[tokio::test]
async fn repeats_of_an_idempotent_call_that_ends_upstreams_stop() {
    repeats_stop("/look/1", 0).await;
}

#[tokio::test]
async fn repeats_of_a_call_that_may_run_once_and_ends_upstreams_stop() {
    repeats_stop("/book/1", 0).await;
}

#[tokio::test]
async fn repeats_of_a_stream_that_ends_upstreams_at_once_stop() {
    repeats_stop("/talk/1", 0).await;
}

#[tokio::test]
async fn repeats_of_a_stream_that_ends_upstreams_after_some_events_stop() {
    repeats_stop("/talk/1", 3).await;
}

#[tokio::test]
async fn repeats_of_a_stream_that_may_run_once_and_ends_upstreams_stop() {
    repeats_stop("/once/1", 2).await;
}

/// Has a request end upstreams until all gateways hold it back, and waits until the upstreams are back.
async fn end_upstreams(site: &Site, among: &[usize]) {
    let ask_all = async {
        for round in 0..6 {
            let gateway = &site.gateways[among[round % among.len()]];
            gateway.ask(&poison("/talk/1", &format!("p-{round}"))).await;
            sleep(AGAIN).await;
        }
    };
    ask_all.await;
    until("the request to be held back", || async { among.iter().all(|one| holds_back(site, *one)) }).await;
    sleep(DOWN + AGAIN).await;
}

fn holds_back(site: &Site, gateway: usize) -> bool {
    site.gateways[gateway].process.log().contains("request is held back")
}

async fn is_refused(site: &Site, gateway: usize, id: &str) {
    let begun = Instant::now();
    let answer = site.gateways[gateway].ask(&poison("/talk/1", id)).await;
    let took = begun.elapsed();
    assert_eq!(answer.status, 503, "gateway {gateway}: {answer:?}");
    assert!(answer.body.contains("held back"), "gateway {gateway}: {answer:?}");
    assert!(took < AT_ONCE, "answered after {took:?}");
    let pause: f64 = answer.header("retry-after").parse().expect("a pause");
    assert!(pause > 60.0, "asked to come back in {pause} s");
    assert!(site.runs(id).is_empty(), "refused as not run, but ran");
}

#[tokio::test]
async fn refusal_of_a_request_held_back_comes_at_once_and_is_true() {
    let site = deadly_site(2, 0).await;
    end_upstreams(&site, &[0, 1]).await;
    for round in 0..10 {
        is_refused(&site, round % 2, &format!("again-{round}")).await;
    }
    assert_eq!(late(&sends(&site)), 0);
}

#[tokio::test]
async fn request_is_held_back_still_after_all_gateways_lost_power() {
    let mut site = deadly_site(3, 0).await;
    end_upstreams(&site, &[0, 1, 2]).await;
    until("the reports to be stored", || async { !reports(&site).is_empty() }).await;
    site.gateways.iter_mut().for_each(|gateway| gateway.process.kill());
    site.gateways.iter_mut().for_each(|gateway| gateway.process.restart());
    for gateway in 0..3 {
        until("a gateway to be ready", || site.gateways[gateway].is_ready()).await;
        is_refused(&site, gateway, &format!("again-{gateway}")).await;
    }
}

fn set_doors(site: &Site, door: StoreMode) {
    for gateway in &site.gateways {
        gateway.door.send_replace(door);
    }
}

fn reports(site: &Site) -> Vec<String> {
    site.store.keys("bluebell").into_iter().filter(|key| key.starts_with("crash/")).collect()
}

#[tokio::test]
async fn request_is_held_back_everywhere_while_the_store_is_away_and_stored_when_it_is_back() {
    for closed in [StoreMode::Busy, StoreMode::Reset, StoreMode::Silent] {
        let mut site = deadly_site(3, 0).await;
        set_doors(&site, closed);
        end_upstreams(&site, &[0, 1, 2]).await;
        assert!(reports(&site).is_empty(), "{closed:?}");
        site.gateways[2].process.restart();
        until("a gateway to be ready", || site.gateways[2].is_ready()).await;
        is_refused(&site, 2, "again-2").await;
        set_doors(&site, StoreMode::Open);
        until("the reports to be stored", || async { reports(&site).len() >= 3 }).await;
        site.gateways.iter_mut().for_each(|gateway| gateway.process.kill());
        site.gateways.iter_mut().for_each(|gateway| gateway.process.restart());
        until("a gateway to be ready", || site.gateways[0].is_ready()).await;
        is_refused(&site, 0, "again-0").await;
    }
}

#[tokio::test]
async fn gateway_that_was_frozen_or_turned_away_by_the_store_holds_the_request_back() {
    let site = deadly_site(4, 0).await;
    site.gateways[2].process.freeze();
    site.gateways[3].door.send_replace(StoreMode::Reset);
    end_upstreams(&site, &[0, 1]).await;
    site.store.compact();
    is_refused(&site, 3, "again-3").await;
    site.gateways[2].process.thaw();
    sleep(CONTACT).await;
    is_refused(&site, 2, "again-2").await;
    site.gateways[3].door.send_replace(StoreMode::Open);
    sleep(AGAIN).await;
    is_refused(&site, 3, "again-3b").await;
}

#[tokio::test]
async fn gateway_that_joins_later_holds_the_request_back_from_its_first() {
    let mut site = deadly_site(2, 0).await;
    end_upstreams(&site, &[0, 1]).await;
    site.add_gateway(2).await;
    until("a gateway to be ready", || site.gateways[2].is_ready()).await;
    is_refused(&site, 2, "again").await;
}

#[tokio::test]
async fn reports_of_a_gateway_that_is_gone_are_cleared_by_another() {
    let mut site = deadly_site(2, 0).await;
    site.gateways[0].ask(&poison("/talk/1", "p-0")).await;
    until("the reports to be stored", || async { reports(&site).len() >= 3 }).await;
    site.gateways[0].process.kill();
    site.chat.iter().for_each(|one| one.set_poison(None));
    sleep(DOWN).await;
    until("the gateway to be taken for gone", || async { site.gateways[1].process.log().contains("taken for gone") })
        .await;
    site.gateways[0].process.restart();
    until("a gateway to be ready", || site.gateways[0].is_ready()).await;
    is_refused(&site, 0, "again").await;
}

/// What a caller that comes back like any other got for one request.
#[derive(Debug, Default)]
struct Tally {
    served: usize,
    broken: usize,
    refused: usize,
    held: usize,
}

/// Asks until it is served or the time is over, with the same body and new ids.
async fn persist(site: &Site, path: &str, body: &str, name: &str, tally: &mut Tally) {
    let begun = Instant::now();
    let mut round = 0;
    while begun.elapsed() < Duration::from_secs(6) {
        let gateway = &site.gateways[round % site.gateways.len()];
        let answer = gateway.ask(&Ask::new(path, &format!("{name}-{round}")).body(body)).await;
        match answer.status {
            200 if answer.complete => {
                tally.served += 1;
                return;
            }
            503 if answer.body.contains("held back") => tally.held += 1,
            503 | 429 => tally.refused += 1,
            _ => tally.broken += 1,
        }
        round += 1;
        sleep(Duration::from_millis(100)).await;
    }
}

/// Callers that each ask for their own, again and again.
async fn innocents(site: &Site, path: &str, callers: usize, time: Duration) -> (Tally, usize) {
    let asking = (0..callers).map(|caller| async move {
        let (mut tally, mut asked) = (Tally::default(), 0);
        let begun = Instant::now();
        while begun.elapsed() < time {
            let name = format!("i-{caller}-{asked}");
            persist(site, path, &format!("innocent {name}"), &name, &mut tally).await;
            asked += 1;
        }
        (tally, asked)
    });
    let mut sum = (Tally::default(), 0);
    for (tally, asked) in join_all(asking).await {
        sum.0.served += tally.served;
        sum.0.broken += tally.broken;
        sum.0.refused += tally.refused;
        sum.0.held += tally.held;
        sum.1 += asked;
    }
    eprintln!("innocent callers: {} requests, {:?}", sum.1, sum.0);
    sum
}

#[tokio::test]
async fn innocent_streams_beside_a_request_that_ends_upstreams_are_never_held_back() {
    let site = deadly_site(3, 3).await;
    site.chat.iter().for_each(|one| one.set_default_fault(Some(Fault::Paced(Duration::from_millis(80)))));
    let time = Duration::from_secs(8);
    let (_, (tally, asked)) = tokio::join!(repeat(&site, "/talk/1", "p", time), innocents(&site, "/talk/2", 24, time));
    assert!(late(&sends(&site)) <= ALLOWED);
    assert_eq!((tally.held, tally.served), (0, asked), "{tally:?}");
}

#[tokio::test]
async fn innocent_calls_beside_a_request_that_ends_upstreams_are_never_held_back() {
    let site = deadly_site(3, 0).await;
    site.ledger.iter().for_each(|one| one.set_default_fault(Some(Fault::Slow(Duration::from_millis(60)))));
    let time = Duration::from_secs(8);
    let (_, (tally, asked)) = tokio::join!(repeat(&site, "/look/1", "p", time), innocents(&site, "/look/2", 24, time));
    assert!(late(&sends(&site)) <= ALLOWED);
    assert_eq!((tally.held, tally.served), (0, asked), "{tally:?}");
}

/// Most upstreams end at once, several times, for a reason of their own.
async fn end_most(site: &Site, times: usize, pause: Duration) {
    for _ in 0..times {
        sleep(pause).await;
        for one in site.chat.iter().chain(&site.ledger).filter(|one| !one.id.ends_with("-1")) {
            one.crash(Duration::from_millis(700));
        }
    }
}

#[tokio::test]
async fn innocent_requests_are_not_held_back_when_many_upstreams_end_at_once() {
    let site = deadly_site(3, 0).await;
    site.chat.iter().for_each(|one| one.set_default_fault(Some(Fault::Paced(Duration::from_millis(150)))));
    let time = Duration::from_secs(9);
    let ends = end_most(&site, 5, Duration::from_millis(1500));
    let (_, (tally, asked)) = tokio::join!(ends, innocents(&site, "/talk/2", 24, time));
    assert_eq!((tally.held, tally.served), (0, asked), "{tally:?}");
}

#[tokio::test]
async fn popular_request_is_not_held_back_when_many_upstreams_end_at_once() {
    let site = deadly_site(3, 0).await;
    site.ledger.iter().for_each(|one| one.set_default_fault(Some(Fault::Slow(Duration::from_millis(100)))));
    let popular = (0..24).map(|caller| {
        let site = &site;
        async move {
            let mut tally = Tally::default();
            for round in 0..50 {
                persist(site, "/look/popular", "the same", &format!("c-{caller}-{round}"), &mut tally).await;
            }
            tally
        }
    });
    let (_, tallies) = tokio::join!(end_most(&site, 4, Duration::from_millis(1200)), join_all(popular));
    let held: usize = tallies.iter().map(|tally| tally.held).sum();
    let served: usize = tallies.iter().map(|tally| tally.served).sum();
    assert_eq!((held, served), (0, 24 * 50), "{tallies:?}");
}

#[tokio::test]
async fn answers_lost_by_upstreams_that_live_hold_nothing_back() {
    let site = deadly_site(2, 0).await;
    site.ledger.iter().for_each(|one| one.set_default_fault(Some(Fault::LoseAnswer)));
    for round in 0..12 {
        let answer = site.gateways[round % 2].ask(&Ask::new("/look/3", &format!("r-{round}"))).await;
        assert!(!answer.body.contains("held back"), "{answer:?}");
        sleep(Duration::from_millis(100)).await;
    }
}

#[tokio::test]
async fn upstreams_that_drain_or_are_replaced_hold_nothing_back() {
    let site = deadly_site(2, 0).await;
    site.chat.iter().for_each(|one| one.set_default_fault(Some(Fault::Paced(Duration::from_millis(150)))));
    let replacing = async {
        for one in &site.chat[..5] {
            site.list(one, "chat", "v1", "draining");
            sleep(AGAIN).await;
            one.crash(Duration::from_millis(200));
            sleep(AGAIN * 2).await;
        }
    };
    let (_, (tally, asked)) = tokio::join!(replacing, innocents(&site, "/talk/2", 12, Duration::from_secs(5)));
    assert_eq!((tally.held, tally.served), (0, asked), "{tally:?}");
    let log = site.gateways[0].process.log();
    assert!(!log.contains("requests were under way at an upstream that ended"), "a drained upstream counts as ended");
}

#[tokio::test]
async fn story_of_a_request_held_back_is_in_the_logs_without_its_body_or_key() {
    let site = deadly_site(2, 0).await;
    end_upstreams(&site, &[0, 1]).await;
    is_refused(&site, 1, "again").await;
    until("the refusal to be logged", || async { site.gateways[1].process.log().contains("again") }).await;
    let logs: Vec<String> = site.gateways.iter().map(|gateway| gateway.process.log()).collect();
    let lines: Vec<Value> =
        logs.iter().flat_map(|log| log.lines()).filter_map(|line| serde_json::from_str(line).ok()).collect();
    let told = |text: &str| lines.iter().find(|line| line["message"].as_str().is_some_and(|own| own.contains(text)));
    let fingerprint = told("request is held back").expect("a verdict")["fingerprint"].clone();
    for run in site.chat.iter().flat_map(|one| one.runs()).filter(|run| run.request.contains(POISON)) {
        let id = run.request.header("request-id");
        let is_send = |line: &&Value| line["request"] == id && line["upstream"] == run.upstream.as_str();
        let send = lines.iter().find(is_send).unwrap_or_else(|| panic!("no line for {id} at {}", run.upstream));
        assert_eq!(send["fingerprint"], fingerprint);
    }
    assert!(told("upstream ended").is_some_and(|line| line["sign"] == "connection refused"));
    let heard = told("requests were under way").expect("a report");
    assert!(heard["reporter"].is_string() && heard["source"].is_string() && heard["age_ms"].is_u64());
    let refused = lines.iter().find(|line| line["request"] == "again").expect("the refusal");
    assert_eq!((refused["status"].as_u64(), &refused["fingerprint"]), (Some(503), &fingerprint));
    let rows: String =
        reports(&site).iter().filter_map(|key| site.store.get("bluebell", key)).map(|row| row.to_string()).collect();
    for text in [POISON, "key-1"] {
        assert!(!rows.contains(text) && logs.iter().all(|log| !log.contains(text)), "{text:?} is written somewhere");
    }
    let mut metrics = String::new();
    for gateway in &site.gateways {
        let url = format!("http://{}/metrics", gateway.metrics);
        metrics += &reqwest::get(url).await.expect("metrics").text().await.expect("text");
    }
    for name in ["bluebell_upstream_ends", "bluebell_poison_requests", "bluebell_held_requests"] {
        assert!(metrics.contains(name), "{name} is missing");
    }
}

#[tokio::test]
async fn reports_of_ended_upstreams_leave_the_store_once_their_requests_are_answered() {
    let site = deadly_site(2, 0).await;
    site.chat.iter().for_each(|one| one.set_default_fault(Some(Fault::Paced(Duration::from_millis(150)))));
    let ending = end_most(&site, 1, AGAIN);
    let (_, (tally, asked)) = tokio::join!(ending, innocents(&site, "/talk/2", 12, Duration::from_secs(2)));
    assert_eq!(tally.served, asked, "{tally:?}");
    assert!(logs_report(&site), "no end was reported");
    until("the reports to go", || async { reports(&site).is_empty() }).await;
}

fn logs_report(site: &Site) -> bool {
    site.gateways.iter().any(|gateway| gateway.process.log().contains("requests were under way"))
}

#[tokio::test]
async fn step_to_a_larger_model_is_a_send_like_any_other() {
    let site = deadly_site(2, 1).await;
    repeat(&site, "/talk/1", "p", Duration::from_secs(8)).await;
    let sends = sends(&site);
    assert!(late(&sends) <= ALLOWED, "{} late of {}", late(&sends), sends.len());
}
