//! Upstreams that name in their answers the rate at which they take requests from all gateways together.

use std::time::{Duration, Instant};

use bluebell_standins::site::{Fault, SiteUpstream};
use futures_util::future::join_all;
use tokio::time::sleep;

use super::{
    caller::{Answer, Ask},
    site::{Site, arrivals},
};

/// Time after the first answer that names a limit by which all gateways must keep to it.
const CONTACT: u64 = 3000;
/// Length of the sliding window in which requests are counted.
const WINDOW: u64 = 4000;

/// Sends a request every `interval` to the gateways in turn for `time`, without waiting for the answers.
async fn load(site: &Site, path: &str, name: &str, interval: Duration, time: Duration) -> Vec<Answer> {
    let count = (time.as_millis() / interval.as_millis()) as u32;
    let asks = (0..count).map(|number| async move {
        sleep(interval * number).await;
        let gateway = &site.gateways[number as usize % site.gateways.len()];
        gateway.ask(&Ask::new(&format!("{path}{number}"), &format!("{name}-{number}"))).await
    });
    join_all(asks).await
}

/// Most requests that reached an upstream in any window that begins `from` after `start`.
fn most_in_window(upstream: &SiteUpstream, start: Instant, from: u64, until: u64) -> usize {
    let begins = (from..until.saturating_sub(WINDOW)).step_by(50);
    begins.map(|begin| arrivals(upstream, start, begin..begin + WINDOW)).max().unwrap_or(0)
}

/// What the limit allows in a window, with the users' tolerance.
fn allowed(limit: f64) -> usize {
    (1.5 * limit * WINDOW as f64 / 1000.0 + 5.0) as usize
}

#[tokio::test]
async fn upstream_that_names_its_rate_limit_gets_no_more_than_that_from_all_gateways_together() {
    let mut site = Site::start(4).await;
    site.add_ledger("ledger-3").await;
    site.add_engine("chat-3", "v1").await;
    site.wait_for_peer_connections().await;
    let slow = Fault::Slow(Duration::from_millis(100));
    site.ledger.iter().chain(&site.chat).for_each(|upstream| upstream.set_default_fault(Some(slow.clone())));
    site.ledger[0].set_limit(Some("3.4"));
    site.chat[0].set_limit(Some("2.5"));
    let start = Instant::now();
    let (interval, time) = (Duration::from_millis(12), Duration::from_millis(12_000));
    let (calls, streams) =
        tokio::join!(load(&site, "/look/", "call", interval, time), load(&site, "/talk/", "stream", interval, time));
    for (upstream, limit) in [(&site.ledger[0], 3.4), (&site.chat[0], 2.5)] {
        let most = most_in_window(upstream, start, CONTACT, 12_000);
        assert!(most <= allowed(limit), "{} got {most} requests in a window at a limit of {limit}", upstream.id);
    }
    let failed = calls.iter().chain(&streams).filter(|answer| answer.status != 200).count();
    assert_eq!(failed, 0, "requests were not served, though other upstreams named no limit");
}

#[tokio::test]
async fn callers_are_refused_at_once_as_not_run_when_all_upstreams_are_at_their_limits() {
    let site = Site::start(1).await;
    site.ledger.iter().for_each(|upstream| upstream.set_limit(Some("2")));
    for number in 0..4 {
        site.gateways[0].ask(&Ask::new("/look/1", &format!("told-{number}"))).await;
    }
    sleep(Duration::from_secs(2)).await;
    let start = Instant::now();
    let gateway = &site.gateways[0];
    let asks = (0..40).map(|number| async move {
        let asked = Instant::now();
        let answer = gateway.ask(&Ask::new("/look/1", &format!("at-once-{number}"))).await;
        (answer, asked.elapsed())
    });
    let answers = join_all(asks).await;
    let refused: Vec<_> = answers.iter().filter(|(answer, _)| answer.status == 503).collect();
    let served = answers.iter().filter(|(answer, _)| answer.status == 200).count();
    assert_eq!(served + refused.len(), 40);
    assert!((1..=4).contains(&served), "{served} requests were served within {:?}", start.elapsed());
    assert!(refused.iter().all(|(_, took)| *took < Duration::from_millis(500)), "refusals came late");
    let runs = (0..40).map(|number| site.runs(&format!("at-once-{number}")).len());
    assert_eq!(runs.sum::<usize>(), served, "refused requests have run");
    let mut delays: Vec<f64> =
        refused.iter().filter_map(|(answer, _)| answer.header("retry-after").parse().ok()).collect();
    delays.sort_by(f64::total_cmp);
    // Two upstreams at 2 a second have room for 4 of the refused callers a second.
    let returning = |until: f64| delays.iter().filter(|delay| **delay < until).count();
    assert!(delays[0] <= 1.1, "no caller comes back soon: {delays:?}");
    assert!(returning(1.0) <= 8, "callers do not come back at the rate of the limits: {delays:?}");
}

#[tokio::test]
async fn upstream_that_names_no_limit_any_more_is_used_as_before_by_all_gateways() {
    let mut site = Site::start(2).await;
    site.add_ledger("ledger-3").await;
    site.wait_for_peer_connections().await;
    site.ledger.iter().for_each(|upstream| {
        upstream.set_default_fault(Some(Fault::Slow(Duration::from_millis(100))));
    });
    let (interval, time) = (Duration::from_millis(12), Duration::from_millis(6000));
    site.ledger[0].set_limit(Some("1.5"));
    load(&site, "/look/", "limited", interval, time).await;
    site.ledger[0].set_limit(None);
    let start = Instant::now();
    let answers = load(&site, "/look/", "free", interval, time).await;
    let free = arrivals(&site.ledger[0], start, 4000..6000);
    assert!(free > 30, "only {free} requests in 2 s after the limit had ended");
    assert!(answers.iter().all(|answer| answer.status == 200));
}

#[tokio::test]
async fn limits_that_are_no_rates_are_ignored() {
    let site = Site::start(1).await;
    for value in ["-1", "NaN", "soon", ""] {
        site.ledger.iter().for_each(|upstream| upstream.set_limit(Some(value)));
        let time = Duration::from_millis(500);
        let answers = load(&site, "/look/", &format!("odd-{value}"), Duration::from_millis(12), time).await;
        assert!(answers.iter().all(|answer| answer.status == 200), "{value:?}");
    }
    // An extreme rate is no limit in practice.
    site.ledger.iter().for_each(|upstream| upstream.set_limit(Some("1e300")));
    load(&site, "/look/", "told", Duration::from_millis(12), Duration::from_millis(500)).await;
    let answers = load(&site, "/look/", "high", Duration::from_millis(12), Duration::from_millis(500)).await;
    assert!(answers.iter().all(|answer| answer.status == 200));
}

#[tokio::test]
async fn room_under_limits_is_left_to_urgent_requests_when_all_upstreams_are_limited() {
    let site = Site::start(1).await;
    site.put_declarations(2, |config| {
        // The route `/book/` is the more urgent one.
        config["routes"][2]["priority"] = serde_json::json!(0);
        config["routes"][3]["priority"] = serde_json::json!(5);
    });
    site.ledger.iter().for_each(|upstream| upstream.set_limit(Some("6")));
    let (interval, time) = (Duration::from_millis(50), Duration::from_millis(1000));
    load(&site, "/look/", "told", interval, time).await;
    let time = Duration::from_millis(8000);
    // Each route alone asks for 20 a second where there is room for 12.
    let (urgent, other) =
        tokio::join!(load(&site, "/book/", "urgent", interval, time), load(&site, "/look/", "other", interval, time));
    let served = |answers: &[Answer]| answers.iter().filter(|answer| answer.status == 200).count();
    let (urgent, other) = (served(&urgent), served(&other));
    assert!(urgent > 5 * other, "{urgent} urgent and {other} other requests were served");
    assert!(other > 0, "less urgent requests were starved");
}

#[tokio::test]
async fn refusal_without_any_upstream_is_not_put_down_to_more_urgent_requests() {
    let site = Site::start(1).await;
    site.put_declarations(2, |config| config["routes"][2]["priority"] = serde_json::json!(0));
    site.ledger.iter().for_each(|upstream| upstream.set_limit(Some("1")));
    let (interval, time) = (Duration::from_millis(50), Duration::from_millis(1500));
    load(&site, "/book/", "urgent", interval, time).await;
    site.ledger.iter().for_each(|upstream| _ = site.store.delete("servers", &upstream.id));
    sleep(Duration::from_millis(2500)).await;
    assert_eq!(site.gateways[0].ask(&Ask::new("/look/1", "without")).await.status, 503);
    let logged = || async { site.gateways[0].process.log().lines().any(|line| line.contains("\"without\"")) };
    super::until("the refusal's log line", logged).await;
    let log = site.gateways[0].process.log();
    let line = log.lines().find(|line| line.contains("\"without\"")).unwrap_or_default();
    assert!(line.contains("none is known"), "{line}");
}
