//! Logs and metrics explain afterwards what happened to a request.

use bluebell_standins::site::Fault;
use serde_json::Value;

use super::{caller::Ask, site::Site, until};

async fn lines(site: &Site, id: &str, count: usize) -> Vec<Value> {
    let log = || site.gateways[0].process.log();
    let found = || {
        let all: Vec<Value> = log().lines().filter_map(|line| serde_json::from_str(line).ok()).collect();
        all.into_iter().filter(|line| line["request"] == id).collect::<Vec<_>>()
    };
    until("the request's lines", || async { found().len() >= count }).await;
    found()
}

#[tokio::test]
async fn every_line_is_json_and_tells_the_story_of_a_request() {
    let site = Site::start(1).await;
    site.ledger.iter().for_each(|one| one.set_default_fault(Some(Fault::LoseAnswer)));
    site.gateways[0].ask(&Ask::new("/book/1", "r-1")).await;
    let story = lines(&site, "r-1", 2).await;
    assert!(story[0]["message"].as_str().is_some_and(|text| text.starts_with("attempt failed")));
    assert!(story[0]["upstream"].as_str().is_some_and(|id| id.starts_with("ledger-")));
    let last = &story[1];
    assert_eq!((last["status"].as_u64(), last["ran"].as_u64()), (Some(502), Some(1)));
    assert!(last["beliefs_ms"].is_u64() && last["declared"].is_u64(), "{last}");
    let log = site.gateways[0].process.log();
    assert!(log.lines().all(|line| serde_json::from_str::<Value>(line).is_ok()), "a line is no JSON");
}

#[tokio::test]
async fn refusals_name_the_declarations_that_decided_them() {
    let site = Site::start(1).await;
    site.gateways[0].ask(&Ask::new("/look/1", "r-1").key(Some("other"))).await;
    let story = lines(&site, "r-1", 1).await;
    assert_eq!(story[0]["status"], 401);
    assert_eq!(story[0]["declared"], 1);
}

#[tokio::test]
async fn metrics_count_by_organisation_route_and_outcome() {
    let site = Site::start(1).await;
    for round in 0..3 {
        site.gateways[0].ask(&Ask::new("/look/1", &format!("r-{round}"))).await;
    }
    let url = format!("http://{}/metrics", site.gateways[0].metrics);
    let text = reqwest::get(url).await.expect("metrics").text().await.expect("text");
    let served = text.lines().find(|line| {
        line.starts_with("bluebell_requests")
            && line.contains("org-1")
            && line.contains("look")
            && line.contains("served")
    });
    // One more was asked while the site started.
    assert!(served.is_some_and(|line| line.ends_with(" 4")), "{served:?}");
    for name in ["bluebell_request_time", "bluebell_beliefs_age", "bluebell_upstreams", "bluebell_declared_version"] {
        assert!(text.contains(name), "{name} is missing");
    }
}

#[tokio::test]
async fn lines_are_bounded_and_their_loss_is_counted() {
    let site = Site::start(1).await;
    let address = site.gateways[0].callers;
    let flood = (0..8).map(|caller| async move {
        let mut connection = super::caller::Caller::connect(address).await.expect("a connection");
        for number in 0..250 {
            let ask = Ask::new("/nowhere/1", &format!("f-{caller}-{number}"));
            connection.ask(&ask).await.expect("an answer");
        }
    });
    let begun = std::time::Instant::now();
    futures_util::future::join_all(flood).await;
    let seconds = begun.elapsed().as_secs() + 1;
    until("the loss to be counted", || async {
        site.gateways[0].ask(&Ask::new("/look/1", "r-1")).await;
        let log = site.gateways[0].process.log();
        let lines = log.lines().count() as u64;
        lines <= 600 * seconds + 200 && (lines >= 2000 || log.contains("log lines were dropped"))
    })
    .await;
}
