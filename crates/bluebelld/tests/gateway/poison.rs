//! Poison requests: they crash each upstream that runs them, and their callers send them again and again. Gateways have
//! to hold them back, but no innocent request that runs beside them.

use std::time::Duration;

use bluebell_standins::site::{Fault, Poison, PoisonMarker, StoreMode};
use futures_util::future::join_all;
use serde_json::Value;
use tokio::time::{Instant, sleep};

use super::{caller::Ask, site::Site, until};

/// Body of a poison request.
const POISON_BODY: &str = "this one ends what runs it";
/// Number of upstreams of each service.
const UPSTREAMS_PER_SERVICE: usize = 6;
/// Time from the crash of an upstream to its restart.
const RESTART_DELAY: Duration = Duration::from_secs(2);
/// Time after the third crash in which the users' requirement does not count further sends. A gateway that was out of
/// contact gets the same time.
const GRACE_PERIOD: Duration = Duration::from_secs(3);
/// Number of sends that the users' requirement allows after the grace period.
const MAX_LATE_SENDS: usize = 3;
/// Time within which a request that is held back must be refused.
const REFUSAL_TIME_LIMIT: Duration = Duration::from_millis(300);
/// Pause of a caller before it repeats a poison request, and between other steps of the tests.
const PAUSE: Duration = Duration::from_millis(300);

/// Starts gateways in front of upstreams that a poison request crashes after the given number of events of its answer.
async fn start_poisonable_site(gateway_count: usize, events: u64) -> Site {
    let mut site = Site::start(gateway_count).await;
    for number in 3..=UPSTREAMS_PER_SERVICE {
        site.add_engine(&format!("chat-{number}"), "v1").await;
        site.add_ledger(&format!("ledger-{number}")).await;
    }
    for upstream in site.chat.iter().chain(&site.ledger) {
        upstream.set_poison(Some(Poison {
            marker: PoisonMarker::Body(POISON_BODY.to_owned()),
            events,
            down: RESTART_DELAY,
        }));
    }
    site.register_all();
    site.wait_for_peer_connections().await;
    sleep(PAUSE).await;
    site
}

/// Times at which upstreams started to run a poison request, in order.
fn poison_send_times(site: &Site) -> Vec<Instant> {
    let all = site.chat.iter().chain(&site.ledger).flat_map(|upstream| upstream.runs());
    let mut times: Vec<Instant> =
        all.filter(|run| run.request.contains(POISON_BODY)).map(|run| Instant::from_std(run.began)).collect();
    times.sort();
    times
}

/// Number of sends later than the grace period after the third send. Each send crashes an upstream.
fn count_late_sends(send_times: &[Instant]) -> usize {
    let third = send_times.get(2).copied();
    third.map_or(0, |third| send_times.iter().filter(|at| **at > third + GRACE_PERIOD).count())
}

fn poison_request(path: &str, id: &str) -> Ask {
    Ask::new(path, id).body(POISON_BODY)
}

/// Repeats a poison request for the given time, at one gateway after the other. The request ids start with `id_prefix`.
async fn repeat_poison_request(site: &Site, path: &str, id_prefix: &str, duration: Duration) {
    let started = Instant::now();
    let mut round = 0;
    while started.elapsed() < duration {
        let gateway = &site.gateways[round % site.gateways.len()];
        let answer = gateway.ask(&poison_request(path, &format!("{id_prefix}-{round}"))).await;
        assert!(!answer.complete || answer.status >= 500, "{answer:?}");
        round += 1;
        sleep(PAUSE).await;
    }
}

/// Checks that upstreams get only few sends of a poison request after the grace period.
async fn check_that_repeats_stop(path: &str, events: u64) {
    let site = start_poisonable_site(3, events).await;
    repeat_poison_request(&site, path, "p", Duration::from_secs(9)).await;
    let send_times = poison_send_times(&site);
    assert!(send_times.len() >= 3, "{send_times:?}");
    let late_sends = count_late_sends(&send_times);
    assert!(
        late_sends <= MAX_LATE_SENDS,
        "{late_sends} sends later than {GRACE_PERIOD:?} after the third, {} in all",
        send_times.len()
    );
}

#[tokio::test]
async fn repeats_of_an_idempotent_call_that_crashes_upstreams_stop() {
    check_that_repeats_stop("/look/1", 0).await;
}

#[tokio::test]
async fn repeats_of_a_non_idempotent_call_that_crashes_upstreams_stop() {
    check_that_repeats_stop("/book/1", 0).await;
}

#[tokio::test]
async fn repeats_of_a_stream_that_crashes_upstreams_at_once_stop() {
    check_that_repeats_stop("/talk/1", 0).await;
}

#[tokio::test]
async fn repeats_of_a_stream_that_crashes_upstreams_after_some_events_stop() {
    check_that_repeats_stop("/talk/1", 3).await;
}

#[tokio::test]
async fn repeats_of_a_non_resumable_stream_that_crashes_upstreams_stop() {
    check_that_repeats_stop("/once/1", 2).await;
}

/// Sends a poison request six times, by turns to the given gateways, waits until each of these holds it back, and then
/// until the upstreams have restarted.
async fn crash_upstreams_until_held_back(site: &Site, gateways: &[usize]) {
    let send_repeatedly = async {
        for round in 0..6 {
            let gateway = &site.gateways[gateways[round % gateways.len()]];
            gateway.ask(&poison_request("/talk/1", &format!("p-{round}"))).await;
            sleep(PAUSE).await;
        }
    };
    send_repeatedly.await;
    until("the request to be held back", || async { gateways.iter().all(|gateway| holds_back(site, *gateway)) }).await;
    sleep(RESTART_DELAY + PAUSE).await;
}

/// Whether the gateway has logged that it holds a request back.
fn holds_back(site: &Site, gateway: usize) -> bool {
    site.gateways[gateway].process.log().contains("request is held back")
}

/// Checks that a gateway refuses the poison request at once, as held back and not run, for more than a minute.
async fn assert_held_back(site: &Site, gateway: usize, id: &str) {
    let started = Instant::now();
    let answer = site.gateways[gateway].ask(&poison_request("/talk/1", id)).await;
    let elapsed = started.elapsed();
    assert_eq!(answer.status, 503, "gateway {gateway}: {answer:?}");
    assert!(answer.body.contains("held back"), "gateway {gateway}: {answer:?}");
    assert!(elapsed < REFUSAL_TIME_LIMIT, "answered after {elapsed:?}");
    let retry_after: f64 = answer.header("retry-after").parse().expect("retry-after should be a number");
    assert!(retry_after > 60.0, "retry-after is {retry_after} s");
    assert!(site.runs(id).is_empty(), "the request was refused as not run, but ran");
}

#[tokio::test]
async fn held_back_request_is_refused_at_once_and_does_not_run() {
    let site = start_poisonable_site(2, 0).await;
    crash_upstreams_until_held_back(&site, &[0, 1]).await;
    for round in 0..10 {
        assert_held_back(&site, round % 2, &format!("again-{round}")).await;
    }
    assert_eq!(count_late_sends(&poison_send_times(&site)), 0);
}

#[tokio::test]
async fn request_is_still_held_back_after_all_gateways_were_killed() {
    let mut site = start_poisonable_site(3, 0).await;
    crash_upstreams_until_held_back(&site, &[0, 1, 2]).await;
    until("the crash reports to be stored", || async { !stored_crash_reports(&site).is_empty() }).await;
    site.gateways.iter_mut().for_each(|gateway| gateway.process.kill());
    site.gateways.iter_mut().for_each(|gateway| gateway.process.restart());
    for gateway in 0..3 {
        until("a gateway to be ready", || site.gateways[gateway].is_ready()).await;
        assert_held_back(&site, gateway, &format!("again-{gateway}")).await;
    }
}

/// Sets how the store treats the calls of all gateways.
fn set_store_modes(site: &Site, mode: StoreMode) {
    for gateway in &site.gateways {
        gateway.store_mode.send_replace(mode);
    }
}

/// Keys of the crash reports in the store.
fn stored_crash_reports(site: &Site) -> Vec<String> {
    site.store.keys("bluebell").into_iter().filter(|key| key.starts_with("crash/")).collect()
}

#[tokio::test]
async fn request_is_held_back_by_all_gateways_during_a_store_outage_and_reported_to_the_store_after_it() {
    for failure_mode in [StoreMode::Busy, StoreMode::Reset, StoreMode::Silent] {
        let mut site = start_poisonable_site(3, 0).await;
        set_store_modes(&site, failure_mode);
        crash_upstreams_until_held_back(&site, &[0, 1, 2]).await;
        assert!(stored_crash_reports(&site).is_empty(), "{failure_mode:?}");
        site.gateways[2].process.restart();
        until("a gateway to be ready", || site.gateways[2].is_ready()).await;
        assert_held_back(&site, 2, "again-2").await;
        set_store_modes(&site, StoreMode::Open);
        until("the crash reports to be stored", || async { stored_crash_reports(&site).len() >= 3 }).await;
        site.gateways.iter_mut().for_each(|gateway| gateway.process.kill());
        site.gateways.iter_mut().for_each(|gateway| gateway.process.restart());
        until("a gateway to be ready", || site.gateways[0].is_ready()).await;
        assert_held_back(&site, 0, "again-0").await;
    }
}

#[tokio::test]
async fn gateway_that_was_frozen_or_cut_off_from_the_store_holds_the_request_back() {
    let site = start_poisonable_site(4, 0).await;
    site.gateways[2].process.freeze();
    site.gateways[3].store_mode.send_replace(StoreMode::Reset);
    crash_upstreams_until_held_back(&site, &[0, 1]).await;
    site.store.compact();
    assert_held_back(&site, 3, "again-3").await;
    site.gateways[2].process.thaw();
    sleep(GRACE_PERIOD).await;
    assert_held_back(&site, 2, "again-2").await;
    site.gateways[3].store_mode.send_replace(StoreMode::Open);
    sleep(PAUSE).await;
    assert_held_back(&site, 3, "again-3b").await;
}

#[tokio::test]
async fn gateway_that_joins_later_holds_the_request_back_from_the_start() {
    let mut site = start_poisonable_site(2, 0).await;
    crash_upstreams_until_held_back(&site, &[0, 1]).await;
    site.add_gateway(2).await;
    until("a gateway to be ready", || site.gateways[2].is_ready()).await;
    assert_held_back(&site, 2, "again").await;
}

#[tokio::test]
async fn request_is_still_held_back_after_the_reporting_gateway_was_taken_for_gone() {
    let mut site = start_poisonable_site(2, 0).await;
    site.gateways[0].ask(&poison_request("/talk/1", "p-0")).await;
    until("the crash reports to be stored", || async { stored_crash_reports(&site).len() >= 3 }).await;
    site.gateways[0].process.kill();
    site.chat.iter().for_each(|upstream| upstream.set_poison(None));
    sleep(RESTART_DELAY).await;
    until("the gateway to be taken for gone", || async { site.gateways[1].process.log().contains("taken for gone") })
        .await;
    site.gateways[0].process.restart();
    until("a gateway to be ready", || site.gateways[0].is_ready()).await;
    assert_held_back(&site, 0, "again").await;
}

/// How often the requests of innocent callers ended in each way.
#[derive(Debug, Default)]
struct OutcomeCounts {
    served: usize,
    /// Truncated answers and errors other than refusals.
    failed: usize,
    /// Refusals for other reasons than holding back.
    refused: usize,
    held_back: usize,
}

/// Sends a request until it is served, for at most 6 s: always the same body, each time under a new id.
async fn retry_until_served(site: &Site, path: &str, body: &str, id_prefix: &str, counts: &mut OutcomeCounts) {
    let started = Instant::now();
    let mut round = 0;
    while started.elapsed() < Duration::from_secs(6) {
        let gateway = &site.gateways[round % site.gateways.len()];
        let answer = gateway.ask(&Ask::new(path, &format!("{id_prefix}-{round}")).body(body)).await;
        match answer.status {
            200 if answer.complete => {
                counts.served += 1;
                return;
            }
            503 if answer.body.contains("held back") => counts.held_back += 1,
            503 | 429 => counts.refused += 1,
            _ => counts.failed += 1,
        }
        round += 1;
        sleep(Duration::from_millis(100)).await;
    }
}

/// Runs innocent callers for the given time. Each of them sends a series of different requests and repeats each until it
/// is served. Returns the outcomes and the number of different requests.
async fn run_innocent_callers(site: &Site, path: &str, callers: usize, duration: Duration) -> (OutcomeCounts, usize) {
    let tasks = (0..callers).map(|caller| async move {
        let (mut counts, mut requests) = (OutcomeCounts::default(), 0);
        let started = Instant::now();
        while started.elapsed() < duration {
            let name = format!("i-{caller}-{requests}");
            retry_until_served(site, path, &format!("innocent {name}"), &name, &mut counts).await;
            requests += 1;
        }
        (counts, requests)
    });
    let (mut total, mut total_requests) = (OutcomeCounts::default(), 0);
    for (counts, requests) in join_all(tasks).await {
        total.served += counts.served;
        total.failed += counts.failed;
        total.refused += counts.refused;
        total.held_back += counts.held_back;
        total_requests += requests;
    }
    eprintln!("innocent callers: {total_requests} requests, {total:?}");
    (total, total_requests)
}

#[tokio::test]
async fn innocent_streams_beside_a_poison_request_are_never_held_back() {
    let site = start_poisonable_site(3, 3).await;
    site.chat.iter().for_each(|upstream| upstream.set_default_fault(Some(Fault::Paced(Duration::from_millis(80)))));
    let time = Duration::from_secs(8);
    let (_, (counts, requests)) = tokio::join!(
        repeat_poison_request(&site, "/talk/1", "p", time),
        run_innocent_callers(&site, "/talk/2", 24, time)
    );
    assert!(count_late_sends(&poison_send_times(&site)) <= MAX_LATE_SENDS);
    assert_eq!((counts.held_back, counts.served), (0, requests), "{counts:?}");
}

#[tokio::test]
async fn innocent_calls_beside_a_poison_request_are_never_held_back() {
    let site = start_poisonable_site(3, 0).await;
    site.ledger.iter().for_each(|upstream| upstream.set_default_fault(Some(Fault::Slow(Duration::from_millis(60)))));
    let time = Duration::from_secs(8);
    let (_, (counts, requests)) = tokio::join!(
        repeat_poison_request(&site, "/look/1", "p", time),
        run_innocent_callers(&site, "/look/2", 24, time)
    );
    assert!(count_late_sends(&poison_send_times(&site)) <= MAX_LATE_SENDS);
    assert_eq!((counts.held_back, counts.served), (0, requests), "{counts:?}");
}

/// Crashes all upstreams but the first of each service at once, several times, independently of any request.
async fn crash_most_upstreams(site: &Site, times: usize, pause: Duration) {
    for _ in 0..times {
        sleep(pause).await;
        for upstream in site.chat.iter().chain(&site.ledger).filter(|upstream| !upstream.id.ends_with("-1")) {
            upstream.crash(Duration::from_millis(700));
        }
    }
}

#[tokio::test]
async fn innocent_requests_are_not_held_back_when_many_upstreams_crash_at_once() {
    let site = start_poisonable_site(3, 0).await;
    site.chat.iter().for_each(|upstream| upstream.set_default_fault(Some(Fault::Paced(Duration::from_millis(150)))));
    let time = Duration::from_secs(9);
    let crashes = crash_most_upstreams(&site, 5, Duration::from_millis(1500));
    let (_, (counts, requests)) = tokio::join!(crashes, run_innocent_callers(&site, "/talk/2", 24, time));
    assert_eq!((counts.held_back, counts.served), (0, requests), "{counts:?}");
}

#[tokio::test]
async fn popular_request_is_not_held_back_when_many_upstreams_crash_at_once() {
    let site = start_poisonable_site(3, 0).await;
    site.ledger.iter().for_each(|upstream| upstream.set_default_fault(Some(Fault::Slow(Duration::from_millis(100)))));
    let popular = (0..24).map(|caller| {
        let site = &site;
        async move {
            let mut counts = OutcomeCounts::default();
            for round in 0..50 {
                retry_until_served(site, "/look/popular", "the same", &format!("c-{caller}-{round}"), &mut counts)
                    .await;
            }
            counts
        }
    });
    let (_, all_counts) = tokio::join!(crash_most_upstreams(&site, 4, Duration::from_millis(1200)), join_all(popular));
    let held_back: usize = all_counts.iter().map(|counts| counts.held_back).sum();
    let served: usize = all_counts.iter().map(|counts| counts.served).sum();
    assert_eq!((held_back, served), (0, 24 * 50), "{all_counts:?}");
}

#[tokio::test]
async fn answers_lost_by_running_upstreams_cause_no_holding_back() {
    let site = start_poisonable_site(2, 0).await;
    site.ledger.iter().for_each(|upstream| upstream.set_default_fault(Some(Fault::LoseAnswer)));
    for round in 0..12 {
        let answer = site.gateways[round % 2].ask(&Ask::new("/look/3", &format!("r-{round}"))).await;
        assert!(!answer.body.contains("held back"), "{answer:?}");
        sleep(Duration::from_millis(100)).await;
    }
}

#[tokio::test]
async fn draining_and_replaced_upstreams_cause_no_holding_back() {
    let site = start_poisonable_site(2, 0).await;
    site.chat.iter().for_each(|upstream| upstream.set_default_fault(Some(Fault::Paced(Duration::from_millis(150)))));
    let replacing = async {
        for upstream in &site.chat[..5] {
            site.put_entry(upstream, "chat", "v1", "draining");
            sleep(PAUSE).await;
            upstream.crash(Duration::from_millis(200));
            sleep(PAUSE * 2).await;
        }
    };
    let (_, (counts, requests)) =
        tokio::join!(replacing, run_innocent_callers(&site, "/talk/2", 12, Duration::from_secs(5)));
    assert_eq!((counts.held_back, counts.served), (0, requests), "{counts:?}");
    for gateway in &site.gateways {
        assert!(
            !gateway.process.log().contains("requests were under way at an upstream that ended"),
            "a drained upstream was reported as crashed"
        );
    }
}

#[tokio::test]
async fn logs_trace_a_held_back_request_without_its_body_or_key() {
    let site = start_poisonable_site(2, 0).await;
    crash_upstreams_until_held_back(&site, &[0, 1]).await;
    assert_held_back(&site, 1, "again").await;
    until("the refusal to be logged", || async { site.gateways[1].process.log().contains("again") }).await;
    let logs: Vec<String> = site.gateways.iter().map(|gateway| gateway.process.log()).collect();
    let lines: Vec<Value> =
        logs.iter().flat_map(|log| log.lines()).filter_map(|line| serde_json::from_str(line).ok()).collect();
    let find_message =
        |text: &str| lines.iter().find(|line| line["message"].as_str().is_some_and(|message| message.contains(text)));
    let fingerprint =
        find_message("request is held back").expect("the holding back should be logged")["fingerprint"].clone();
    for run in site.chat.iter().flat_map(|upstream| upstream.runs()).filter(|run| run.request.contains(POISON_BODY)) {
        let id = run.request.header("request-id");
        let is_send = |line: &&Value| line["request"] == id && line["upstream"] == run.upstream.as_str();
        let send = lines.iter().find(is_send).unwrap_or_else(|| panic!("no log line for {id} at {}", run.upstream));
        assert_eq!(send["fingerprint"], fingerprint);
    }
    assert!(find_message("upstream ended").is_some_and(|line| line["sign"] == "connection refused"));
    let report = find_message("requests were under way").expect("the crash report should be logged");
    assert!(report["reporter"].is_string() && report["source"].is_string() && report["age_ms"].is_u64());
    let refused = lines.iter().find(|line| line["request"] == "again").expect("the refusal should be logged");
    assert_eq!((refused["status"].as_u64(), &refused["fingerprint"]), (Some(503), &fingerprint));
    let rows: String = stored_crash_reports(&site)
        .iter()
        .filter_map(|key| site.store.get("bluebell", key))
        .map(|row| row.to_string())
        .collect();
    for text in [POISON_BODY, "key-1"] {
        assert!(
            !rows.contains(text) && logs.iter().all(|log| !log.contains(text)),
            "{text:?} is in the store or the logs"
        );
    }
    let mut metrics = String::new();
    for gateway in &site.gateways {
        let url = format!("http://{}/metrics", gateway.metrics_address);
        metrics += &reqwest::get(url)
            .await
            .expect("the metrics should be served")
            .text()
            .await
            .expect("the metrics should be text");
    }
    for name in ["bluebell_upstream_ends", "bluebell_poison_requests", "bluebell_held_requests"] {
        assert!(metrics.contains(name), "metric {name} is missing");
    }
}

#[tokio::test]
async fn crash_reports_are_deleted_once_their_requests_are_answered() {
    let site = start_poisonable_site(2, 0).await;
    site.chat.iter().for_each(|upstream| upstream.set_default_fault(Some(Fault::Paced(Duration::from_millis(150)))));
    let crashes = crash_most_upstreams(&site, 1, PAUSE);
    let (_, (counts, requests)) =
        tokio::join!(crashes, run_innocent_callers(&site, "/talk/2", 12, Duration::from_secs(2)));
    assert_eq!(counts.served, requests, "{counts:?}");
    assert!(logged_crash_report(&site), "no crash was reported");
    until("the crash reports to be deleted", || async { stored_crash_reports(&site).is_empty() }).await;
}

/// Whether a gateway has logged a crash report.
fn logged_crash_report(site: &Site) -> bool {
    site.gateways.iter().any(|gateway| gateway.process.log().contains("requests were under way"))
}

#[tokio::test]
async fn escalations_to_a_larger_model_count_as_sends() {
    let site = start_poisonable_site(2, 1).await;
    repeat_poison_request(&site, "/talk/1", "p", Duration::from_secs(8)).await;
    let send_times = poison_send_times(&site);
    let late_sends = count_late_sends(&send_times);
    assert!(late_sends <= MAX_LATE_SENDS, "{late_sends} late sends, {} in all", send_times.len());
}
