//! Upstreams that send bytes without end in place of an answer, until the caller closes.

use std::time::Duration;

use bluebell_standins::site::{Endless, Fault};
use futures_util::future::join_all;

use super::{caller::Ask, site::Site};

/// Memory of the smallest instances that gateways run on.
const MEMORY: u64 = 110 << 20;
/// Requests that get such bytes at once.
const AT_ONCE: usize = 24;

/// Has both upstreams of a service but the second send bytes without end.
fn spoil(site: &Site, part: Endless) {
    site.ledger[0].set_default_fault(Some(Fault::Endless(part)));
    site.chat[0].set_default_fault(Some(Fault::Endless(part)));
}

fn check_memory(site: &Site, part: Endless) {
    let peak = site.gateways[0].process.peak_memory();
    assert!(peak < MEMORY, "{part:?}: {} MB at the peak", peak >> 20);
}

#[tokio::test]
async fn calls_that_get_bytes_without_end_are_answered_elsewhere_within_memory() {
    for part in [Endless::Head, Endless::Headers, Endless::Interim, Endless::Body, Endless::Chunks] {
        let site = Site::start(1).await;
        spoil(&site, part);
        let ask = |number: usize| Ask::new("/look/1", &format!("r-{number}")).body(&format!("{number}"));
        let answers = join_all((0..AT_ONCE).map(|number| {
            let (site, ask) = (&site, ask(number));
            async move { site.gateways[0].ask(&ask).await }
        }));
        for answer in answers.await {
            assert_eq!((answer.status, answer.complete), (200, true), "{part:?}: {answer:?}");
        }
        check_memory(&site, part);
    }
}

#[tokio::test]
async fn call_that_may_run_once_and_gets_bytes_without_end_fails_soon_as_of_unknown_outcome() {
    for part in [Endless::Head, Endless::Headers, Endless::Interim, Endless::Body, Endless::Chunks] {
        let site = Site::start(1).await;
        site.ledger.iter().for_each(|one| one.set_default_fault(Some(Fault::Endless(part))));
        let begun = std::time::Instant::now();
        let answer = site.gateways[0].ask(&Ask::new("/book/1", "r-1")).await;
        assert_eq!(answer.status, 502, "{part:?}: {answer:?}");
        assert!(begun.elapsed() < Duration::from_secs(2), "{part:?}: answered after {:?}", begun.elapsed());
        assert_eq!(site.runs("r-1").len(), 1, "{part:?}");
        check_memory(&site, part);
    }
}

#[tokio::test]
async fn streams_that_get_bytes_without_end_go_on_elsewhere() {
    for part in [Endless::Head, Endless::Headers, Endless::Interim, Endless::Body, Endless::Chunks, Endless::Lines] {
        let site = Site::start(1).await;
        spoil(&site, part);
        let answers = join_all((0..AT_ONCE).map(|number| {
            let (site, ask) = (&site, Ask::new("/talk/1", &format!("r-{number}")).body(&format!("{number}")));
            async move { site.gateways[0].ask(&ask).await }
        }));
        for answer in answers.await {
            assert_eq!((answer.status, answer.complete), (200, true), "{part:?}: {answer:?}");
            assert_eq!(answer.events(), (1..=super::site::EVENTS).collect::<Vec<_>>(), "{part:?}");
            assert!(answer.body.len() < 1 << 20, "{part:?}: the caller got {} bytes", answer.body.len());
        }
        check_memory(&site, part);
    }
}
