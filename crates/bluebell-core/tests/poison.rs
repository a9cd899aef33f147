//! Which requests the ends of upstreams are put down to.

use std::time::Duration;

use bluebell_core::{
    ids::{InstanceId, OrgId, UpstreamId},
    poison::{
        AttemptOutcome, CRASH_MEMORY, CrashEvidence, CrashReport, CrashedUpstream, Crashes, Fingerprint,
        InFlightTracker, ResponseLoss,
    },
    upstreams::{Life, Phase, Upstream},
};

const SECOND: Duration = Duration::from_secs(1);

fn request(name: &str) -> Fingerprint {
    Fingerprint::of(name, None, b"")
}

fn life(number: usize) -> Life {
    Life { upstream: format!("u-{number}").parse().expect("an id"), born: 1 }
}

fn report(number: usize, reporter: &str, suspects: &[&str]) -> CrashReport {
    let reporter: InstanceId = reporter.parse().expect("an id");
    let suspects = suspects.iter().map(|name| request(name)).collect();
    CrashReport { life: life(number), reporter, evidence: CrashEvidence::Refused, suspects }
}

fn crashes(ends: &[&[&str]]) -> Crashes {
    let mut crashes = Crashes::default();
    for (number, suspects) in ends.iter().enumerate() {
        crashes.record(SECOND, Duration::ZERO, &report(number, "g-1", suspects));
    }
    crashes
}

fn is_held(crashes: &Crashes, name: &str) -> bool {
    crashes.find_suspects().is_poison(&request(name))
}

#[test]
fn request_at_three_ends_is_held_back_and_not_those_beside_it() {
    let mut known = crashes(&[&["poison", "a", "b"], &["poison", "a", "c"]]);
    assert!(!is_held(&known, "poison"));
    known.record(SECOND, Duration::ZERO, &report(9, "g-2", &["poison", "d"]));
    assert!(is_held(&known, "poison"));
    for name in ["a", "b", "c", "d"] {
        assert_eq!(known.find_suspects().get(&request(name)), None, "{name} is suspected of ends that are explained");
    }
}

#[test]
fn request_that_rode_along_to_each_end_is_not_held_back_once_one_end_tells_them_apart() {
    let mut known = crashes(&[&["poison", "rider"][..]; 3]);
    assert!(!is_held(&known, "poison") && !is_held(&known, "rider"));
    known.record(SECOND, Duration::ZERO, &report(9, "g-2", &["poison"]));
    assert!(is_held(&known, "poison"));
    assert!(!is_held(&known, "rider"));
}

#[test]
fn two_that_cannot_be_told_apart_are_held_back_after_four_ends() {
    let known = crashes(&[&["one", "other"][..]; 4]);
    assert!(is_held(&known, "one") && is_held(&known, "other"));
}

#[test]
fn two_poison_requests_that_met_are_both_held_back_after_three_ends_of_their_own() {
    let mut known = crashes(&[&["one"], &["one", "other"], &["one"], &["other"], &["other"], &["other", "x"]]);
    assert!(is_held(&known, "other") && !is_held(&known, "one"));
    known.record(SECOND, Duration::ZERO, &report(9, "g-1", &["one"]));
    assert!(is_held(&known, "one") && is_held(&known, "other"));
    assert!(!is_held(&known, "x"));
}

#[test]
fn answer_clears_a_request_of_all_ends_before() {
    let mut known = crashes(&[&["a"], &["a"], &["a"]]);
    assert!(is_held(&known, "a"));
    assert!(known.clear(&[request("a")]));
    assert!(!is_held(&known, "a"));
    assert!(!known.clear(&[request("a")]), "cleared twice");
    known.record(SECOND, Duration::ZERO, &report(0, "g-1", &["a"]));
    assert_eq!(known.find_suspects().get(&request("a")), None, "a late copy of the report brings it up again");
}

#[test]
fn the_same_end_reported_by_several_gateways_counts_once() {
    let mut known = Crashes::default();
    for reporter in ["g-1", "g-2", "g-3", "g-4"] {
        known.record(SECOND, Duration::ZERO, &report(1, reporter, &["a"]));
    }
    assert_eq!(known.find_suspects().get(&request("a")).map(|one| one.crashes), Some(1));
}

#[test]
fn gateways_decide_the_same_in_whatever_order_reports_come() {
    let reports = [
        report(1, "g-1", &["p", "a"]),
        report(1, "g-2", &["b"]),
        report(2, "g-2", &["p", "b"]),
        report(3, "g-3", &["p", "q"]),
        report(4, "g-1", &["q"]),
        report(5, "g-1", &["q", "a"]),
    ];
    let judge = |order: Vec<usize>| {
        let mut known = Crashes::default();
        for one in order {
            known.record(SECOND, Duration::ZERO, &reports[one]);
        }
        ["p", "q", "a", "b"].map(|name| known.find_suspects().get(&request(name)))
    };
    let first = judge(vec![0, 1, 2, 3, 4, 5]);
    assert_eq!(first, judge(vec![5, 4, 3, 2, 1, 0]));
    assert_eq!(first, judge(vec![3, 0, 5, 1, 4, 2]));
    assert!(first[0].is_some_and(|one| one.is_poison) && first[1].is_some_and(|one| one.is_poison));
}

#[test]
fn held_back_for_as_long_as_it_comes_and_no_longer() {
    let mut known = crashes(&[&["p"], &["p"], &["p"]]);
    let almost = CRASH_MEMORY - SECOND;
    known.expire(almost);
    known.refresh(almost, &request("p"));
    known.expire(CRASH_MEMORY + SECOND);
    assert!(is_held(&known, "p"));
    assert!(known.expire(almost + CRASH_MEMORY));
    assert!(!is_held(&known, "p"));
    assert!(!known.record(almost, CRASH_MEMORY, &report(1, "g-1", &["p"])), "a report too old is taken");
}

#[test]
fn flood_of_different_failing_requests_is_remembered_within_bounds() {
    let mut known = Crashes::default();
    for number in 0..5000 {
        known.record(SECOND * number as u32, Duration::ZERO, &report(number, "g-1", &[&format!("r-{number}")]));
    }
    assert!(known.reports().count() <= 256);
    let mut flights = InFlightTracker::default();
    for number in 0..50_000 {
        let one = request(&format!("r-{number}"));
        flights.start(&life(1), one);
        let landing = if number % 2 == 0 { AttemptOutcome::Unanswered } else { AttemptOutcome::Answered };
        flights.finish(SECOND, &life(1), one, landing);
    }
    flights.expire(SECOND);
    flights.connection_refused(SECOND, &life(1));
    let ended = flights.take_crashed(SECOND);
    assert!(ended[0].suspects.len() <= 128);
}

fn upstream(number: usize, born: u64, phase: Phase) -> Upstream {
    Upstream {
        id: format!("u-{number}").parse().expect("an id"),
        service: "s".parse().expect("an id"),
        address: "127.0.0.1:1".parse().expect("an address"),
        zone: "z".parse().expect("an id"),
        release: "v1".parse().expect("an id"),
        slots: 8,
        phase,
        cold: Duration::ZERO,
        born,
    }
}

fn nowhere(_: &UpstreamId) -> Option<std::net::SocketAddr> {
    None
}

fn suspects(ended: &[CrashedUpstream]) -> Vec<Fingerprint> {
    ended.iter().flat_map(|one| one.suspects.clone()).collect()
}

#[test]
fn end_is_reported_with_what_ran_and_what_had_just_been_lost() {
    let mut flights = InFlightTracker::default();
    for name in ["runs", "lost", "refused", "answered", "long-gone"] {
        flights.start(&life(1), request(name));
    }
    flights.finish(SECOND, &life(1), request("long-gone"), AttemptOutcome::Unanswered);
    let now = SECOND * 5;
    flights.finish(now, &life(1), request("refused"), AttemptOutcome::UpstreamAlive);
    flights.finish(now, &life(1), request("answered"), AttemptOutcome::Answered);
    flights.finish(now, &life(1), request("lost"), AttemptOutcome::Unanswered);
    assert!(flights.record_loss(now, &life(1), ResponseLoss::Broken), "nobody is asked");
    assert!(!flights.record_loss(now, &life(1), ResponseLoss::Broken), "asked twice at once");
    assert!(flights.take_crashed(now).is_empty(), "a lost connection alone is no end");
    flights.connection_refused(now, &life(1));
    assert_eq!(suspects(&flights.take_crashed(now)), [request("runs"), request("lost")]);
    flights.connection_refused(now, &life(1));
    assert!(flights.take_crashed(now).is_empty(), "reported twice");
}

#[test]
fn reset_connections_of_an_upstream_that_lives_are_no_end() {
    let mut flights = InFlightTracker::default();
    flights.start(&life(1), request("a"));
    flights.finish(SECOND, &life(1), request("a"), AttemptOutcome::Unanswered);
    flights.record_loss(SECOND, &life(1), ResponseLoss::Broken);
    flights.connection_accepted(SECOND, &life(1));
    flights.entry_removed(SECOND * 2, &life(1));
    assert!(flights.take_crashed(SECOND * 8).is_empty());
}

#[test]
fn upstream_that_leaves_ended_as_planned() {
    let mut flights = InFlightTracker::default();
    flights.start(&life(1), request("a"));
    flights.entry_updated(SECOND, &upstream(1, 1, Phase::Leaving), nowhere);
    flights.finish(SECOND, &life(1), request("a"), AttemptOutcome::Unanswered);
    flights.record_loss(SECOND, &life(1), ResponseLoss::Broken);
    flights.connection_refused(SECOND, &life(1));
    assert!(flights.take_crashed(SECOND).is_empty());
    // The request comes to the upstream after the news.
    flights.entry_updated(SECOND, &upstream(3, 1, Phase::Leaving), nowhere);
    flights.expire(SECOND * 2);
    flights.start(&life(3), request("c"));
    flights.record_loss(SECOND * 3, &life(3), ResponseLoss::Broken);
    flights.connection_refused(SECOND * 3, &life(3));
    assert!(flights.take_crashed(SECOND * 3).is_empty());
    // One that says nothing: its entry goes first.
    flights.start(&life(2), request("b"));
    flights.entry_removed(SECOND, &life(2));
    flights.finish(SECOND * 2, &life(2), request("b"), AttemptOutcome::Unanswered);
    flights.record_loss(SECOND * 2, &life(2), ResponseLoss::Broken);
    flights.connection_refused(SECOND * 2, &life(2));
    assert!(flights.take_crashed(SECOND * 9).is_empty());
}

#[test]
fn upstream_that_goes_dark_ended_once_its_entry_has_lapsed_for_good() {
    let mut flights = InFlightTracker::default();
    flights.start(&life(1), request("a"));
    flights.record_loss(SECOND, &life(1), ResponseLoss::TimedOut);
    flights.finish(SECOND, &life(1), request("a"), AttemptOutcome::Unanswered);
    flights.entry_removed(SECOND * 2, &life(1));
    assert!(
        flights.take_crashed(SECOND * 4).is_empty(),
        "entries that lapsed with the store are back within two seconds"
    );
    assert_eq!(suspects(&flights.take_crashed(SECOND * 5)), [request("a")]);
}

#[test]
fn restart_faster_than_the_question_is_an_end() {
    let mut flights = InFlightTracker::default();
    flights.start(&life(1), request("a"));
    flights.entry_updated(SECOND, &upstream(1, 2, Phase::Ready), nowhere);
    flights.finish(SECOND, &life(1), request("a"), AttemptOutcome::Unanswered);
    flights.record_loss(SECOND, &life(1), ResponseLoss::Broken);
    assert_eq!(suspects(&flights.take_crashed(SECOND)), [request("a")]);
}

#[test]
fn request_that_many_send_and_get_answered_is_no_suspect() {
    let mut flights = InFlightTracker::default();
    flights.start(&life(1), request("popular"));
    flights.start(&life(2), request("popular"));
    flights.finish(SECOND, &life(2), request("popular"), AttemptOutcome::Answered);
    flights.connection_refused(SECOND * 3, &life(1));
    assert!(suspects(&flights.take_crashed(SECOND * 3)).is_empty());
}

#[test]
fn end_of_an_upstream_that_was_only_cut_off_is_taken_back() {
    let mut known = Crashes::default();
    let lapsed = CrashReport { evidence: CrashEvidence::Lapsed, ..report(1, "g-1", &["a"]) };
    known.record(SECOND, Duration::ZERO, &lapsed);
    assert!(known.retract(&life(1)));
    assert_eq!(known.find_suspects().get(&request("a")), None);
    known.record(SECOND, Duration::ZERO, &report(2, "g-1", &["a"]));
    assert!(!known.retract(&life(2)), "nobody listened there, whatever its late entry says");
}

#[test]
fn fingerprint_is_that_of_path_organisation_and_body_and_reads_back() {
    let org = |name: &str| -> OrgId { name.parse().expect("an id") };
    let one = Fingerprint::of("/a/b?c=1", Some(&org("o")), b"body");
    assert_eq!(one.to_string().parse(), Ok(one));
    let others = [
        Fingerprint::of("/a/b?c=2", Some(&org("o")), b"body"),
        Fingerprint::of("/a/b?c=1", Some(&org("p")), b"body"),
        Fingerprint::of("/a/b?c=1", None, b"body"),
        Fingerprint::of("/a/b?c=1", Some(&org("o")), b"bodY"),
        Fingerprint::of("/a/b?c=1", Some(&org("ob")), b"ody"),
    ];
    assert!(others.iter().all(|other| *other != one));
    for text in ["", "zz", "00", &"0".repeat(34)] {
        assert!(text.parse::<Fingerprint>().is_err(), "{text:?}");
    }
}

#[test]
fn answer_that_a_peer_missed_is_told_by_the_ends_it_clears() {
    let ends: [&[&str]; 4] = [&["innocent", "a"], &["innocent", "b"], &["innocent", "c"], &["innocent", "d"]];
    let (mut own, mut peer) = (crashes(&ends), crashes(&ends));
    own.clear(&[request("innocent")]);
    peer.record(SECOND, Duration::ZERO, &report(9, "g-2", &["innocent", "e"]));
    assert!(is_held(&peer, "innocent"));
    for (life, answered) in own.answered() {
        assert!(peer.clear_at(life, &answered.iter().copied().collect::<Vec<_>>()));
    }
    assert!(!is_held(&peer, "innocent"));
    assert_eq!(
        peer.find_suspects().get(&request("innocent")).map(|one| one.crashes),
        Some(1),
        "a later end still counts"
    );
}

#[test]
fn what_a_stored_report_does_not_hold_any_more_was_answered() {
    let mut known = crashes(&[&["innocent", "poison"][..]; 4]);
    for number in 0..4 {
        assert!(known.reconcile(&report(number, "g-1", &["poison"])));
        assert!(!known.reconcile(&report(number, "g-1", &["poison"])), "no news");
    }
    assert!(is_held(&known, "poison") && !is_held(&known, "innocent"));
}
