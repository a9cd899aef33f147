//! Upstreams are in use while they are registered, and for a grace period after many registrations lapsed at once.

use std::time::Duration;

use bluebell_core::{
    ids::{ServiceId, UpstreamId},
    store_version,
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
    (0..10).for_each(|number| upstreams.put(Duration::ZERO, 1, upstream(number)));
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
    upstreams.put(Duration::from_secs(1), 2, Upstream { phase: Phase::Leaving, ..upstream(3) });
    assert_eq!(open_count(&upstreams, Duration::from_secs(1)), 9);
}

#[test]
fn upstreams_whose_registrations_lapse_together_stay_in_use_for_a_grace_period() {
    let mut upstreams = ten_upstreams();
    let lapse = Duration::from_secs(5);
    (0..8).for_each(|number| upstreams.remove(lapse, &id(number)));
    assert_eq!(open_count(&upstreams, lapse), 10);
    (0..3).for_each(|number| upstreams.put(lapse, 2, upstream(number)));
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
    upstreams.put(Duration::from_secs(1), 2, successor);
    assert_eq!(open_count(&upstreams, Duration::from_secs(1)), 9);
}

/// A former and the present incarnation of an upstream, with the versions of their rows. They share an address.
fn incarnations() -> [(u64, Upstream); 2] {
    let former = Upstream { id: "i-9".parse().expect("id"), started_at_ms: 1000, ..upstream(3) };
    let present = Upstream { id: "i-3".parse().expect("id"), started_at_ms: 9000, ..upstream(3) };
    [(10, former), (20, present)]
}

fn open_ids(upstreams: &Upstreams, now: Duration) -> Vec<String> {
    let open = upstreams.open(now);
    open.values().flatten().map(|upstream| upstream.id.as_str().to_owned()).collect()
}

// Guards against an entry of a crashed upstream that takes its successor out of use for good, as it happens to be read
// after it.
#[test]
fn registration_that_was_written_last_is_in_use_whichever_is_read_first() {
    let [former, present] = incarnations();
    for order in [[&former, &present], [&present, &former]] {
        let mut upstreams = Upstreams::default();
        order.iter().for_each(|(version, upstream)| upstreams.put(Duration::ZERO, *version, upstream.clone()));
        assert_eq!(open_ids(&upstreams, Duration::ZERO), ["i-3"]);
        assert!(upstreams.is_superseded(former.0, &former.1));
        assert!(!upstreams.is_superseded(present.0, &present.1));
        upstreams.remove(Duration::from_secs(2), &former.1.id);
        assert_eq!(open_ids(&upstreams, Duration::from_secs(2)), ["i-3"]);
        assert!(upstreams.expire(Duration::from_secs(4)));
        assert_eq!(open_ids(&upstreams, Duration::from_secs(4)), ["i-3"]);
    }
}

// Guards against an entry from a restored store that seems to be the latest, as versions begin anew with each era.
#[test]
fn former_registration_from_a_restored_store_does_not_supersede_the_present_one() {
    let [former, (_, present)] = incarnations();
    let mut upstreams = Upstreams::default();
    upstreams.put(Duration::ZERO, store_version::pack(0, 20), present);
    upstreams.put(Duration::ZERO, store_version::pack(1, 10), former.1);
    assert_eq!(open_ids(&upstreams, Duration::ZERO), ["i-3"]);
}

// Guards against an upstream that stays out of use after a later entry at its address has disappeared.
#[test]
fn earlier_registration_is_in_use_again_once_the_later_one_is_gone() {
    let [former, present] = incarnations();
    let mut upstreams = Upstreams::default();
    [former, present].into_iter().for_each(|(version, upstream)| upstreams.put(Duration::ZERO, version, upstream));
    upstreams.remove(Duration::from_secs(1), &id(3));
    assert_eq!(open_ids(&upstreams, Duration::from_secs(1)), ["i-9"]);
}

// Guards against former entries that lapse and make those of running upstreams seem to have lapsed with them.
#[test]
fn lapsed_registrations_of_former_incarnations_do_not_keep_a_removed_upstream_in_use() {
    let mut upstreams = ten_upstreams();
    let former = |number: u8| format!("i-9{number}").parse::<UpstreamId>().expect("id");
    let lapse = Duration::from_secs(3);
    for number in 0..10 {
        upstreams.put(Duration::ZERO, 0, Upstream { id: former(number), ..upstream(number) });
        upstreams.remove(lapse, &former(number));
    }
    upstreams.remove(lapse, &id(3));
    assert_eq!(open_count(&upstreams, lapse), 9);
}
