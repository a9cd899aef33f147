//! Prompt parts that crash each upstream which begins an answer on them. No two requests with such a part are alike, and
//! sound ones share their caller and their other parts.

use std::time::Duration;

use bluebell_standins::site::{Poison, PoisonMarker};
use serde_json::Value;
use tokio::time::sleep;

use super::{caller::Ask, site::Site};

/// The part that crashes upstreams.
const POISON_PART: &str = "bad0";
/// A part that all requests share.
const COMMON_PART: &str = "c0";
/// Number of engines.
const ENGINES: usize = 8;
/// Time from the crash of an upstream to its restart.
const RESTART_DELAY: Duration = Duration::from_secs(2);
/// Starts gateways in front of engines that crash after the given number of events of an answer on the poison part.
async fn start_site(gateway_count: usize, events: u64) -> Site {
    let mut site = Site::start(gateway_count).await;
    for number in 3..=ENGINES {
        site.add_engine(&format!("chat-{number}"), "v1").await;
    }
    for upstream in &site.chat {
        let marker = PoisonMarker::Part(POISON_PART.to_owned());
        upstream.set_poison(Some(Poison { marker, events, down: RESTART_DELAY }));
    }
    site.register_all();
    site.wait_for_peer_connections().await;
    sleep(Duration::from_millis(300)).await;
    site
}

/// A request that shares only the common part and `part` with others.
fn request_with_part(id: &str, part: &str) -> Ask {
    let parts = format!("{COMMON_PART}:40,{part}:30,own-{id}:30");
    Ask::new("/talk/1", id)
        .header("model", "*")
        .header("token-count", "100,50")
        .header("prompt-prefix", &parts)
        .body(&format!("body of {id}"))
}

#[tokio::test]
async fn logs_name_the_shared_parts_of_a_request_whose_upstream_crashed() {
    let site = start_site(1, 0).await;
    let (id, other_id) = ("bad-1", "bad-2");
    for id in [id, other_id] {
        site.gateways[0].ask(&request_with_part(id, POISON_PART)).await;
    }
    let log = site.gateways[0].process.log();
    let lines: Vec<Value> = log.lines().filter_map(|line| serde_json::from_str(line).ok()).collect();
    let find = |id: &str, message: &str| {
        let is_it = |line: &&Value| {
            line["request"] == id && line["message"].as_str().is_some_and(|text| text.starts_with(message))
        };
        lines.iter().find(is_it).unwrap_or_else(|| panic!("no line {message:?} of {id}"))
    };
    let parts = find(id, "attempt failed")["parts"].clone();
    assert_eq!(parts.as_str().map(|text| text.split(' ').count()), Some(2), "the last part is not shared: {parts}");
    assert_eq!(find(other_id, "attempt failed")["parts"], parts);
    assert_eq!(find(id, "given up")["parts"], parts);
    assert!(!log.contains(POISON_PART), "the part's id is in the log");
}
