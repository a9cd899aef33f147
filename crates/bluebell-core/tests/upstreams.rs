//! Upstreams are in use while they are registered, and for a grace period after many registrations lapsed at once.

use std::time::Duration;

use bluebell_core::{
    ids::{ServiceId, UpstreamId},
    upstreams::{LAPSE_GRACE, Phase, Upstream, Upstreams},
};

fn upstream(number: u8) -> Upstream {
    Upstream {
        id: format!("i-{number}").parse().expect("id"),
        service: "chat".parse().expect("id"),
        address: format!("10.0.0.{number}:80").parse().expect("address"),
        zone: "a".parse().expect("id"),
        release: "v1".parse().expect("id"),
        slots: 4,
        phase: Phase::Ready,
        cold: Duration::ZERO,
        started_at_ms: 0,
    }
}

fn open_count(upstreams: &Upstreams, now: Duration) -> usize {
    let service: ServiceId = "chat".parse().expect("id");
    upstreams.open(now).get(&service).map_or(0, Vec::len)
}

fn ten_upstreams() -> Upstreams {
    let mut upstreams = Upstreams::default();
    (0..10).for_each(|number| upstreams.put(Duration::ZERO, upstream(number)));
    upstreams
}

fn id(number: u8) -> UpstreamId {
    upstream(number).id
}

#[test]
fn single_removed_registration_takes_the_upstream_out_of_use_at_once() {
    let mut upstreams = ten_upstreams();
    upstreams.remove(Duration::from_secs(1), &id(3));
    assert_eq!(open_count(&upstreams, Duration::from_secs(1)), 9);
}

#[test]
fn leaving_upstream_gets_no_requests() {
    let mut upstreams = ten_upstreams();
    upstreams.put(Duration::from_secs(1), Upstream { phase: Phase::Leaving, ..upstream(3) });
    assert_eq!(open_count(&upstreams, Duration::from_secs(1)), 9);
}

#[test]
fn upstreams_whose_registrations_lapse_together_stay_in_use_for_a_grace_period() {
    let mut upstreams = ten_upstreams();
    let lapse = Duration::from_secs(5);
    (0..8).for_each(|number| upstreams.remove(lapse, &id(number)));
    assert_eq!(open_count(&upstreams, lapse), 10);
    (0..3).for_each(|number| upstreams.put(lapse, upstream(number)));
    let end = lapse + LAPSE_GRACE;
    assert!(upstreams.expire(end));
    assert_eq!(open_count(&upstreams, end), 5);
}

#[test]
fn grace_ends_before_a_drain_of_two_seconds_does() {
    assert!(LAPSE_GRACE < Duration::from_secs(2));
}

#[test]
fn latest_registration_of_an_address_replaces_others() {
    let mut upstreams = ten_upstreams();
    let successor = Upstream { id: id(20), service: "other".parse().expect("id"), ..upstream(3) };
    upstreams.put(Duration::from_secs(1), successor);
    assert_eq!(open_count(&upstreams, Duration::from_secs(1)), 9);
}
