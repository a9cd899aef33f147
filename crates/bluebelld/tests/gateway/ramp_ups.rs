//! Upstreams that start while traffic runs, with and without reports of the speed of their machines.

use std::time::Duration;

use bluebell_standins::site::Fault;
use futures_util::future::join_all;

use super::{caller::Ask, site::Site, until};

/// Load with the fourth figure, which says that the machine has its usual speed.
const LOAD_WITH_SPEED: &str = "0,0,64,100";
/// Requests at a time; an equal share of three upstreams is 14.
const BURST: usize = 42;
/// Time that the started upstream takes; much longer than it takes to send a burst.
const SLOW: Duration = Duration::from_millis(1500);

/// Plays traffic, starts a slow upstream, sends a burst, and returns the number of requests that reach that upstream
/// while it has not answered any.
async fn burst_after_start(site: &mut Site) -> usize {
    for round in 0..12 {
        assert_eq!(site.gateways[0].ask(&Ask::new("/book/1", &format!("before-{round}"))).await.status, 200);
    }
    site.add_ledger("ledger-3").await;
    site.ledger[2].set_default_fault(Some(Fault::Slow(SLOW)));
    until("the started upstream to be known", || async { site.gateways[0].process.log().contains("ledger-3") }).await;
    let asks = (0..BURST).map(|number| {
        let gateway = &site.gateways[0];
        async move { gateway.ask(&Ask::new(&format!("/book/{number}"), &format!("burst-{number}"))).await }
    });
    let answers = join_all(asks).await;
    assert!(answers.iter().all(|answer| answer.status == 200), "requests were refused or failed");
    let arrivals = site.ledger[2].arrivals();
    let first = arrivals.first().copied();
    arrivals.iter().filter(|at| first.is_some_and(|first| **at < first + SLOW)).count()
}

// Guards against all load at once at an upstream whose speed is not known yet, and against refusals because of that.
#[tokio::test]
async fn started_upstream_gets_few_requests_until_it_has_answered() {
    let mut site = Site::start(1).await;
    site.ledger.iter().for_each(|upstream| upstream.set_load(Some(LOAD_WITH_SPEED)));
    let early = burst_after_start(&mut site).await;
    assert!(early <= 1, "{early} requests reached the upstream before its first answer");
    let log = site.gateways[0].process.log();
    let begins: Vec<&str> = log.lines().filter(|line| line.contains("ramp-up of an upstream begins")).collect();
    assert!(matches!(begins[..], [line] if line.contains("ledger-3") && line.contains("start")), "{begins:?}");
    assert!(log.lines().any(|line| line.contains("\"passed_over\":1")), "no line names the upstream passed over");
    let url = format!("http://{}/metrics", site.gateways[0].metrics_address);
    let text = reqwest::get(url).await.expect("the metrics should be served").text().await.expect("text");
    let counted = text.lines().any(|line| line.starts_with("bluebell_ramp_ups") && line.ends_with(" 1"));
    assert!(counted, "the ramp-up is not counted: {text}");
}

// Guards against a change for services whose upstreams report no speed.
#[tokio::test]
async fn started_upstream_of_a_service_without_reports_of_speed_is_used_at_once() {
    let mut site = Site::start(1).await;
    site.ledger.iter().for_each(|upstream| upstream.set_load(Some("0,0,64")));
    let early = burst_after_start(&mut site).await;
    assert!(early > 1, "the upstream was kept from load");
    assert!(!site.gateways[0].process.log().contains("ramp-up"));
}
