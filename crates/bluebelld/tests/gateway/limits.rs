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
