//! Upstreams that refuse a request with 503 and ask for a pause.

use std::time::{Duration, Instant};

use bluebell_standins::site::{Fault, SiteUpstream};

use super::{
    caller::Ask,
    site::{Site, arrivals, load},
    until,
};

fn pause(not_run: bool, values: &[&str]) -> Fault {
    Fault::Pause { not_run, retry_after: values.iter().map(ToString::to_string).collect() }
}

fn refusal_log_line(site: &Site, request: &str) -> Option<String> {
    let log = site.gateways[0].process.log();
    let mut lines = log.lines().filter(|line| line.contains("given up") && line.contains(&format!("\"{request}\"")));
    lines.next().map(str::to_owned)
}

/// Plays load on a route while an upstream asks for a pause of 2 s, and checks what reaches it meanwhile.
async fn check_pause(site: &Site, upstream: &SiteUpstream, path: &str, not_run: bool) {
    // Slow enough for load to decide the choice; an idle upstream that has refused is chosen last.
    let slow = Fault::Slow(Duration::from_millis(100));
    site.ledger.iter().chain(&site.chat).for_each(|upstream| upstream.set_default_fault(Some(slow.clone())));
    let before = upstream.arrivals().len();
    upstream.next_faults([pause(not_run, &["2"])]);
    let answers = load(site, path, &format!("pause-{not_run}"), Duration::from_millis(4000)).await;
    let served = answers.iter().filter(|answer| answer.status == 200).count();
    assert_eq!(served, answers.len(), "{path}: requests failed beside the pause");
    let asked = upstream.arrivals().get(before).copied().expect("a request should reach the upstream");
    assert!(arrivals(upstream, asked, 500..2000) <= 2, "{path}: requests reached the upstream during its pause");
    assert!(arrivals(upstream, asked, 2000..60_000) > 0, "{path}: the upstream was not used after its pause");
}

#[tokio::test]
async fn upstream_that_asked_for_a_pause_gets_no_calls_until_its_end() {
    let site = Site::start(1).await;
    check_pause(&site, &site.ledger[0], "/look/", true).await;
    check_pause(&site, &site.ledger[1], "/look/", false).await;
}

#[tokio::test]
async fn engine_that_asked_for_a_pause_gets_no_streams_until_its_end() {
    let site = Site::start(1).await;
    check_pause(&site, &site.chat[0], "/talk/", true).await;
    check_pause(&site, &site.chat[1], "/talk/", false).await;
}

#[tokio::test]
async fn callers_are_refused_at_once_as_not_run_until_the_first_pause_is_over() {
    let site = Site::start(1).await;
    site.ledger[0].set_default_fault(Some(pause(true, &["2"])));
    site.ledger[1].set_default_fault(Some(pause(true, &["30"])));
    let start = Instant::now();
    assert_eq!(site.gateways[0].ask(&Ask::new("/look/1", "first")).await.status, 503);
    let paused = Instant::now();
    let before: usize = site.ledger.iter().map(|upstream| upstream.arrivals().len()).sum();
    let mut delays = Vec::new();
    for round in 0..8 {
        let asked = Instant::now();
        let answer = site.gateways[0].ask(&Ask::new("/look/1", &format!("r-{round}"))).await;
        assert!(asked.elapsed() < Duration::from_millis(300), "refused after {:?}", asked.elapsed());
        assert_eq!((answer.status, site.runs(&format!("r-{round}")).len()), (503, 0));
        let delay: f64 = answer.header("retry-after").parse().expect("retry-after should be a number");
        let least = 2.0 - start.elapsed().as_secs_f64();
        let most = 2.0 - (asked - paused).as_secs_f64() + 0.5;
        assert!(delay >= least && delay <= most, "retry after {delay} s is not between {least} and {most}");
        delays.push((delay * 1000.0) as u64);
    }
    let after: usize = site.ledger.iter().map(|upstream| upstream.arrivals().len()).sum();
    assert_eq!(before, after, "requests reached an upstream during its pause");
    let spread = delays.iter().max().zip(delays.iter().min()).map(|(most, least)| most - least);
    assert!(spread > Some(20), "all callers return in the same moment: {delays:?}");
    until("the refusal's log line", || async { refusal_log_line(&site, "r-7").is_some() }).await;
    let line = refusal_log_line(&site, "r-7").unwrap_or_default();
    assert!(line.contains("\"paused\":\"ledger-1\""), "{line}");
}

#[tokio::test]
async fn delays_of_any_content_are_bounded_or_ignored() {
    for (values, longest) in
        [(vec!["1e9"], 60_000), (vec!["1", "2"], 2000), (vec!["-1"], 0), (vec!["soon"], 0), (vec!["NaN"], 0)]
    {
        let site = Site::start(1).await;
        site.ledger.iter().for_each(|upstream| upstream.set_default_fault(Some(pause(true, &values))));
        let answer = site.gateways[0].ask(&Ask::new("/look/1", "first")).await;
        assert_eq!(answer.status, 503, "{values:?}");
        // Log lines are written in order.
        until("the refusal's log line", || async { refusal_log_line(&site, "first").is_some() }).await;
        let log = site.gateways[0].process.log();
        let pauses: Vec<serde_json::Value> = log
            .lines()
            .filter(|line| line.contains("upstream asked for a pause"))
            .filter_map(|line| serde_json::from_str(line).ok())
            .collect();
        let of_upstreams: Vec<u64> = pauses.iter().filter_map(|line| line["pause_ms"].as_u64()).collect();
        let expected = if longest == 0 { vec![] } else { vec![longest; 2] };
        assert_eq!(of_upstreams, expected, "{values:?}");
        site.ledger.iter().for_each(|upstream| upstream.set_default_fault(None));
        let served = site.gateways[0].ask(&Ask::new("/look/1", "second")).await.status;
        assert_eq!(served, if longest == 0 { 200 } else { 503 }, "{values:?}");
    }
}
