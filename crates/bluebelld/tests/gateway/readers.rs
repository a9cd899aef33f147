//! Which gateways of a larger fleet read the store, and how soon changes are in force at all of them when those fail.

use std::time::{Duration, Instant};

use bluebell_standins::site::StoreMode;
use serde_json::json;

use super::{caller::Ask, site::Site, until};

/// Smallest fleet in which only some gateways read.
const FLEET: usize = 9;
/// Readers in a fleet with a single zone.
const READERS: usize = 3;
/// Time within which declarations must be in force at all gateways.
const APPLY_LIMIT: Duration = Duration::from_millis(3000);
/// Log line of a gateway that begins or ceases to read.
const MODE_CHANGE: &str = "reading of the store changes";
/// Longest time for which a poll that was begun may still bring changes.
const LONGEST_POLL: Duration = Duration::from_millis(2300);
/// Time after which gateways that ceased to read have made their first rare read of the operators' table, which might bring
/// a change; the next one follows 19 s later at the earliest.
const FIRST_RARE_READ: Duration = Duration::from_secs(10);
/// Length of a poll.
const POLL: Duration = Duration::from_millis(2000);
/// Time after the end of a gateway's regular poll of the operators' table at which a poll that begins is the longest.
const LONGEST_POLL_PHASE: Duration = Duration::from_millis(1850);
/// Time over which calls to the store are counted.
const CALM: Duration = Duration::from_secs(4);
/// Calls of all gateways in that time: twice the 18 of three readers; nine readers make 54.
const MOST_CALLS: u64 = 36;

/// Whether a gateway reads the store by long polls.
fn reads(site: &Site, gateway: usize) -> bool {
    let log = site.gateways[gateway].process.log();
    let mut changes = log.lines().filter(|line| line.contains(MODE_CHANGE));
    changes.next_back().is_none_or(|line| !line.contains("Slow"))
}

fn readers(site: &Site, among: &[usize]) -> Vec<usize> {
    among.iter().copied().filter(|gateway| reads(site, *gateway)).collect()
}

/// Waits until the same few gateways have read for longer than any poll takes that others began before.
async fn settle(site: &Site) {
    let all: Vec<usize> = (0..FLEET).collect();
    let changes = || -> usize { site.gateways.iter().map(|one| one.process.log().matches(MODE_CHANGE).count()).sum() };
    for _ in 0..5 {
        until("a few gateways to read", || async { readers(site, &all).len() == READERS }).await;
        let before = changes();
        tokio::time::sleep(LONGEST_POLL).await;
        if changes() == before {
            return;
        }
    }
    panic!("which gateways read does not settle");
}

/// Changes the declarations, and returns the time until they are in force at the given gateways.
async fn change(site: &Site, version: u64, among: &[usize]) -> Duration {
    let (old, new) = (format!("key-{}", version - 1), format!("key-{version}"));
    site.put_declarations(version, |config| config["tenants"][0]["apiKeys"] = json!([new]));
    let start = Instant::now();
    for gateway in among {
        until("the old key to be refused", || async {
            let ask = Ask::new("/look/1", &format!("old-{version}-{gateway}")).key(Some(&old));
            site.gateways[*gateway].ask(&ask).await.status == 401
        })
        .await;
        let ask = Ask::new("/look/1", &format!("new-{version}-{gateway}")).key(Some(&new));
        assert_eq!(site.gateways[*gateway].ask(&ask).await.status, 200);
    }
    start.elapsed()
}

// If all gateways rely on a few readers and don't notice that these are lost, changes come into force too late.
#[tokio::test]
async fn changes_are_in_force_everywhere_in_time_when_the_readers_are_lost() {
    let mut site = Site::start(FLEET).await;
    site.wait_for_peer_connections().await;
    let all: Vec<usize> = (0..FLEET).collect();
    settle(&site).await;
    // First, before the rare reads of the others are due, which would bring the change.
    for (version, mode) in [(2, StoreMode::Silent), (3, StoreMode::Busy)] {
        let lost = readers(&site, &all);
        assert_eq!(lost.len(), READERS);
        for gateway in &lost {
            site.gateways[*gateway].store_mode.send_replace(mode);
        }
        let elapsed = change(&site, version, &all).await;
        println!("{mode:?} at {lost:?}: in force after {elapsed:?}");
        assert!(elapsed < APPLY_LIMIT, "{mode:?} at {lost:?}: in force after {elapsed:?}");
        for gateway in &site.gateways {
            gateway.store_mode.send_replace(StoreMode::Open);
        }
        settle(&site).await;
    }

    let before = site.store.calls();
    tokio::time::sleep(CALM).await;
    let calls = site.store.calls() - before;
    println!("{calls} calls of {FLEET} gateways in {CALM:?}");
    assert!(calls < MOST_CALLS, "{calls} calls in {CALM:?}");
    let elapsed = change(&site, 4, &all).await;
    assert!(elapsed < APPLY_LIMIT, "in force after {elapsed:?} in calm");

    for (version, kills) in [(5, false), (6, true)] {
        let lost = readers(&site, &all);
        for gateway in &lost {
            let process = &mut site.gateways[*gateway].process;
            if kills { process.kill() } else { process.freeze() }
        }
        let rest: Vec<usize> = all.iter().copied().filter(|gateway| !lost.contains(gateway)).collect();
        let elapsed = change(&site, version, &rest).await;
        println!("{lost:?} lost, killed {kills}: in force after {elapsed:?}");
        assert!(elapsed < APPLY_LIMIT, "{lost:?} lost, killed {kills}: in force after {elapsed:?}");
        if !kills {
            lost.iter().for_each(|gateway| site.gateways[*gateway].process.thaw());
            settle(&site).await;
        }
    }
}

/// Sleeps until the gateways have run for a multiple of the length of a poll and this time.
async fn sleep_until_phase(site: &Site, phase: Duration) {
    let log = site.gateways[0].process.log();
    let (_, time) = log.split_once(r#""time":""#).expect("a line should have its time");
    let started = humantime::parse_rfc3339(&time[..time.find('"').expect("the time should end")]);
    let ran = started.expect("the time should be valid").elapsed().expect("the gateway should have started before");
    let since_end = ran.as_millis() as u64 % POLL.as_millis() as u64;
    tokio::time::sleep(POLL + phase - Duration::from_millis(since_end)).await;
}

// The readers look live, as the store goes on answering their polls of other tables.
#[tokio::test]
async fn changes_are_in_force_in_time_when_the_operators_table_alone_is_silent_for_the_readers() {
    let site = Site::start(FLEET).await;
    site.wait_for_peer_connections().await;
    let all: Vec<usize> = (0..FLEET).collect();
    settle(&site).await;
    tokio::time::sleep(FIRST_RARE_READ).await;
    // Has the readers begin their longest polls of that table.
    sleep_until_phase(&site, LONGEST_POLL_PHASE).await;
    let elapsed = change(&site, 2, &all).await;
    assert!(elapsed < APPLY_LIMIT, "in force after {elapsed:?} in calm");
    let silent = readers(&site, &all);
    for gateway in &silent {
        site.gateways[*gateway].store_mode.send_replace(StoreMode::OperatorSilent);
    }
    let elapsed = change(&site, 3, &all).await;
    println!("silent at {silent:?}: in force after {elapsed:?}");
    assert!(elapsed < APPLY_LIMIT, "silent at {silent:?}: in force after {elapsed:?}");
}
