//! Requests that end each upstream that runs them, sent again by their callers, and the innocent ones beside them.

use std::time::Duration;

use bluebell_standins::site::Poison;
use tokio::time::{Instant, sleep};

use super::{caller::Ask, site::Site};

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
        assert!(!answer.whole || answer.status >= 500, "{answer:?}");
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
