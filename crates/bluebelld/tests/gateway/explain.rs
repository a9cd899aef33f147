//! What logs and metrics show about a request afterwards.

use bluebell_standins::site::Fault;
use serde_json::Value;

use super::{caller::Ask, site::Site, until};

/// Log lines of the first gateway about a request; waits until there are at least `count`.
async fn request_log_lines(site: &Site, request_id: &str, count: usize) -> Vec<Value> {
    let log = || site.gateways[0].process.log();
    let matching_lines = || {
        let all: Vec<Value> = log().lines().filter_map(|line| serde_json::from_str(line).ok()).collect();
        all.into_iter().filter(|line| line["request"] == request_id).collect::<Vec<_>>()
    };
    until("the request's log lines", || async { matching_lines().len() >= count }).await;
    matching_lines()
}

#[tokio::test]
async fn log_lines_are_json_and_report_failed_attempts_and_the_final_status() {
    let site = Site::start(1).await;
    site.ledger.iter().for_each(|upstream| upstream.set_default_fault(Some(Fault::LoseAnswer)));
    site.gateways[0].ask(&Ask::new("/book/1", "r-1")).await;
    let request_lines = request_log_lines(&site, "r-1", 2).await;
    assert!(request_lines[0]["message"].as_str().is_some_and(|text| text.starts_with("attempt failed")));
    assert!(request_lines[0]["upstream"].as_str().is_some_and(|id| id.starts_with("ledger-")));
    let last = &request_lines[1];
    assert_eq!((last["status"].as_u64(), last["ran"].as_u64()), (Some(502), Some(1)));
    assert!(last["beliefs_ms"].is_u64() && last["declared"].is_u64(), "{last}");
    let log = site.gateways[0].process.log();
    assert!(log.lines().all(|line| serde_json::from_str::<Value>(line).is_ok()), "a log line is not JSON");
}

// Guards against speeds that are used although no upstream states them, and against reports that are not decoded or not
// used.
#[tokio::test]
async fn answered_lines_have_the_speed_of_the_upstream_and_the_age_of_its_report() {
    let site = Site::start(1).await;
    site.chat.iter().for_each(|upstream| upstream.set_load(Some("1,0,64")));
    let speed = async |request: &str| {
        site.gateways[0].ask(&Ask::new(&format!("/talk/{request}"), request)).await;
        let lines = request_log_lines(&site, request, 1).await;
        let last = lines.last().expect("a line").clone();
        assert_eq!(last["message"], "answered", "{last}");
        (last["speed"].as_f64().expect("a number"), last["report_age_ms"].as_i64().expect("a number"))
    };
    assert_eq!(speed("without").await, (-1.0, -1));
    site.chat.iter().for_each(|upstream| upstream.set_load(Some("1,0,64,400")));
    // The speed in a line is that before the request's own answer, and any of the upstreams may be chosen.
    let mut speeds = Vec::new();
    for number in 0..=4 * site.chat.len() {
        speeds.push(speed(&format!("with-{number}")).await);
    }
    let slowed = speeds.iter().filter(|(speed, age)| (0.05..0.7).contains(speed) && *age >= 0).count();
    assert!(slowed >= site.chat.len(), "{speeds:?}");
}

#[tokio::test]
async fn logged_refusals_name_the_version_of_the_declarations() {
    let site = Site::start(1).await;
    site.gateways[0].ask(&Ask::new("/look/1", "r-1").key(Some("other"))).await;
    let request_lines = request_log_lines(&site, "r-1", 1).await;
    assert_eq!(request_lines[0]["status"], 401);
    assert_eq!(request_lines[0]["declared"], 1);
}

#[tokio::test]
async fn metrics_count_by_organisation_route_and_outcome() {
    let site = Site::start(1).await;
    for round in 0..3 {
        site.gateways[0].ask(&Ask::new("/look/1", &format!("r-{round}"))).await;
    }
    let url = format!("http://{}/metrics", site.gateways[0].metrics_address);
    let text = reqwest::get(url)
        .await
        .expect("the metrics should be served")
        .text()
        .await
        .expect("the metrics should be text");
    let served = text.lines().find(|line| {
        line.starts_with("bluebell_requests")
            && line.contains("org-1")
            && line.contains("look")
            && line.contains("served")
    });
    // Three requests from above and the warm-up request of the site's start.
    assert!(served.is_some_and(|line| line.ends_with(" 4")), "{served:?}");
    for name in ["bluebell_request_time", "bluebell_beliefs_age", "bluebell_upstreams", "bluebell_declared_version"] {
        assert!(text.contains(name), "metric {name} is missing");
    }
}

#[tokio::test]
async fn log_rate_is_limited_and_dropped_lines_are_reported() {
    let site = Site::start(1).await;
    let address = site.gateways[0].caller_address;
    let callers = (0..8).map(|caller| async move {
        let mut connection = super::caller::Caller::connect(address).await.expect("the connection should be accepted");
        for number in 0..250 {
            let ask = Ask::new("/nowhere/1", &format!("f-{caller}-{number}"));
            connection.ask(&ask).await.expect("the request should be answered");
        }
    });
    let started = std::time::Instant::now();
    futures_util::future::join_all(callers).await;
    let seconds = started.elapsed().as_secs() + 1;
    until("dropped log lines to be reported", || async {
        site.gateways[0].ask(&Ask::new("/look/1", "r-1")).await;
        let log = site.gateways[0].process.log();
        let line_count = log.lines().count() as u64;
        line_count <= 600 * seconds + 200 && (line_count >= 2000 || log.contains("log lines were dropped"))
    })
    .await;
}
