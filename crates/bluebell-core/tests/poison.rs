//! Tests for crash detection and for deciding which requests caused the crashes.

use std::time::Duration;

use bluebell_core::{
    ids::{InstanceId, OrgId, UpstreamId},
    poison::{
        AttemptOutcome, CRASH_MEMORY, CrashEvidence, CrashReport, CrashedUpstream, Crashes, Fingerprint,
        InFlightTracker, ResponseLoss,
    },
    upstreams::{Phase, Upstream, UpstreamIncarnation},
};

const SECOND: Duration = Duration::from_secs(1);

fn request(name: &str) -> Fingerprint {
    Fingerprint::of(name, None, b"")
}

fn incarnation(number: usize) -> UpstreamIncarnation {
    UpstreamIncarnation { upstream: format!("u-{number}").parse().expect("an id"), started_at_ms: 1 }
}

fn report(number: usize, reporter: &str, suspects: &[&str]) -> CrashReport {
    let reporter: InstanceId = reporter.parse().expect("an id");
    let suspects = suspects.iter().map(|name| request(name)).collect();
    CrashReport { incarnation: incarnation(number), reporter, evidence: CrashEvidence::Refused, suspects }
}

fn crashes(suspects_by_crash: &[&[&str]]) -> Crashes {
    let mut crashes = Crashes::default();
    for (number, suspects) in suspects_by_crash.iter().enumerate() {
        crashes.record(SECOND, Duration::ZERO, &report(number, "g-1", suspects));
    }
    crashes
}

fn is_blocked(crashes: &Crashes, name: &str) -> bool {
    crashes.find_suspects().is_poison(&request(name))
}

#[test]
fn request_in_flight_at_three_crashes_is_blocked_and_not_those_beside_it() {
    let mut known = crashes(&[&["poison", "a", "b"], &["poison", "a", "c"]]);
    assert!(!is_blocked(&known, "poison"));
    known.record(SECOND, Duration::ZERO, &report(9, "g-2", &["poison", "d"]));
    assert!(is_blocked(&known, "poison"));
    for name in ["a", "b", "c", "d"] {
        assert_eq!(
            known.find_suspects().get(&request(name)),
            None,
            "{name} is suspected of crashes that are explained"
        );
    }
}

#[test]
fn bystander_at_each_crash_is_not_blocked_once_another_crash_tells_it_from_the_poison_request() {
    let mut known = crashes(&[&["poison", "bystander"][..]; 3]);
    assert!(!is_blocked(&known, "poison") && !is_blocked(&known, "bystander"));
    known.record(SECOND, Duration::ZERO, &report(9, "g-2", &["poison"]));
    assert!(is_blocked(&known, "poison"));
    assert!(!is_blocked(&known, "bystander"));
}

#[test]
fn requests_always_in_flight_together_are_both_blocked_after_four_crashes() {
    let known = crashes(&[&["one", "other"][..]; 4]);
    assert!(is_blocked(&known, "one") && is_blocked(&known, "other"));
}

#[test]
fn poison_requests_that_shared_a_crash_are_both_blocked_after_three_crashes_of_their_own() {
    let mut known = crashes(&[&["one"], &["one", "other"], &["one"], &["other"], &["other"], &["other", "x"]]);
    assert!(is_blocked(&known, "other") && !is_blocked(&known, "one"));
    known.record(SECOND, Duration::ZERO, &report(9, "g-1", &["one"]));
    assert!(is_blocked(&known, "one") && is_blocked(&known, "other"));
    assert!(!is_blocked(&known, "x"));
}

#[test]
fn answer_clears_a_request_of_all_earlier_crashes() {
    let mut known = crashes(&[&["a"], &["a"], &["a"]]);
    assert!(is_blocked(&known, "a"));
    assert_eq!(known.clear(&[request("a"), request("unknown")]), [request("a")]);
    assert!(!is_blocked(&known, "a"));
    assert!(known.clear(&[request("a")]).is_empty(), "cleared twice");
    known.record(SECOND, Duration::ZERO, &report(0, "g-1", &["a"]));
    assert_eq!(known.find_suspects().get(&request("a")), None, "a late copy of the report made it a suspect again");
}

#[test]
fn crash_reported_by_several_gateways_counts_once() {
    let mut known = Crashes::default();
    for reporter in ["g-1", "g-2", "g-3", "g-4"] {
        known.record(SECOND, Duration::ZERO, &report(1, reporter, &["a"]));
    }
    assert_eq!(known.find_suspects().get(&request("a")).map(|one| one.crashes), Some(1));
}

#[test]
fn decision_does_not_depend_on_the_order_of_reports() {
    let reports = [
        report(1, "g-1", &["p", "a"]),
        report(1, "g-2", &["b"]),
        report(2, "g-2", &["p", "b"]),
        report(3, "g-3", &["p", "q"]),
        report(4, "g-1", &["q"]),
        report(5, "g-1", &["q", "a"]),
    ];
    let find_suspects = |order: Vec<usize>| {
        let mut known = Crashes::default();
        for one in order {
            known.record(SECOND, Duration::ZERO, &reports[one]);
        }
        ["p", "q", "a", "b"].map(|name| known.find_suspects().get(&request(name)))
    };
    let first = find_suspects(vec![0, 1, 2, 3, 4, 5]);
    assert_eq!(first, find_suspects(vec![5, 4, 3, 2, 1, 0]));
    assert_eq!(first, find_suspects(vec![3, 0, 5, 1, 4, 2]));
    assert!(first[0].is_some_and(|one| one.is_poison) && first[1].is_some_and(|one| one.is_poison));
}

#[test]
fn request_stays_blocked_until_it_has_not_arrived_for_the_retention_time() {
    let mut known = crashes(&[&["p"], &["p"], &["p"]]);
    let almost = CRASH_MEMORY - SECOND;
    known.expire(almost);
    known.refresh(almost, &request("p"));
    known.expire(CRASH_MEMORY + SECOND);
    assert!(is_blocked(&known, "p"));
    assert!(known.expire(almost + CRASH_MEMORY));
    assert!(!is_blocked(&known, "p"));
    assert!(!known.record(almost, CRASH_MEMORY, &report(1, "g-1", &["p"])), "an expired report was recorded");
}

#[test]
fn memory_for_many_different_failing_requests_is_bounded() {
    let mut known = Crashes::default();
    for number in 0..5000 {
        known.record(SECOND * number as u32, Duration::ZERO, &report(number, "g-1", &[&format!("r-{number}")]));
    }
    assert!(known.reports(SECOND * 5000).count() <= 256);
    let mut tracker = InFlightTracker::default();
    for number in 0..50_000 {
        let one = request(&format!("r-{number}"));
        tracker.start(&incarnation(1), one);
        let outcome = if number % 2 == 0 { AttemptOutcome::Unanswered } else { AttemptOutcome::Answered };
        tracker.finish(SECOND, &incarnation(1), one, outcome);
    }
    tracker.expire(SECOND);
    tracker.connection_refused(SECOND, &incarnation(1));
    let crashed = tracker.take_crashed(SECOND);
    assert!(crashed[0].suspects.len() <= 128);
}

fn upstream(number: usize, started_at_ms: u64, phase: Phase) -> Upstream {
    Upstream {
        id: format!("u-{number}").parse().expect("an id"),
        service: "s".parse().expect("an id"),
        address: "127.0.0.1:1".parse().expect("an address"),
        zone: "z".parse().expect("an id"),
        release: "v1".parse().expect("an id"),
        slots: 8,
        phase,
        cold: Duration::ZERO,
        started_at_ms,
    }
}

fn no_address(_: &UpstreamId) -> Option<std::net::SocketAddr> {
    None
}

fn suspects(crashed: &[CrashedUpstream]) -> Vec<Fingerprint> {
    crashed.iter().flat_map(|one| one.suspects.clone()).collect()
}

#[test]
fn crash_is_reported_with_running_requests_and_those_just_lost() {
    let mut tracker = InFlightTracker::default();
    for name in ["runs", "lost", "refused", "answered", "long-gone"] {
        tracker.start(&incarnation(1), request(name));
    }
    tracker.finish(SECOND, &incarnation(1), request("long-gone"), AttemptOutcome::Unanswered);
    let now = SECOND * 5;
    tracker.finish(now, &incarnation(1), request("refused"), AttemptOutcome::UpstreamAlive);
    tracker.finish(now, &incarnation(1), request("answered"), AttemptOutcome::Answered);
    tracker.finish(now, &incarnation(1), request("lost"), AttemptOutcome::Unanswered);
    assert!(tracker.record_loss(now, &incarnation(1), ResponseLoss::Broken), "no probe after a lost connection");
    assert!(!tracker.record_loss(now, &incarnation(1), ResponseLoss::Broken), "probed again within the probe interval");
    assert!(tracker.take_crashed(now).is_empty(), "a lost connection alone counted as a crash");
    tracker.connection_refused(now, &incarnation(1));
    assert_eq!(suspects(&tracker.take_crashed(now)), [request("runs"), request("lost")]);
    tracker.connection_refused(now, &incarnation(1));
    assert!(tracker.take_crashed(now).is_empty(), "reported twice");
}

#[test]
fn lost_connection_to_an_upstream_that_accepts_new_ones_is_no_crash() {
    let mut tracker = InFlightTracker::default();
    tracker.start(&incarnation(1), request("a"));
    tracker.finish(SECOND, &incarnation(1), request("a"), AttemptOutcome::Unanswered);
    tracker.record_loss(SECOND, &incarnation(1), ResponseLoss::Broken);
    tracker.connection_accepted(SECOND, &incarnation(1));
    tracker.registration_removed(SECOND * 2, &incarnation(1));
    assert!(tracker.take_crashed(SECOND * 8).is_empty());
}

#[test]
fn end_of_an_upstream_that_leaves_is_no_crash() {
    let mut tracker = InFlightTracker::default();
    tracker.start(&incarnation(1), request("a"));
    tracker.registration_updated(SECOND, &upstream(1, 1, Phase::Leaving), no_address);
    tracker.finish(SECOND, &incarnation(1), request("a"), AttemptOutcome::Unanswered);
    tracker.record_loss(SECOND, &incarnation(1), ResponseLoss::Broken);
    tracker.connection_refused(SECOND, &incarnation(1));
    assert!(tracker.take_crashed(SECOND).is_empty());
    // The request reaches the upstream after its registration says that it is leaving.
    tracker.registration_updated(SECOND, &upstream(3, 1, Phase::Leaving), no_address);
    tracker.expire(SECOND * 2);
    tracker.start(&incarnation(3), request("c"));
    tracker.record_loss(SECOND * 3, &incarnation(3), ResponseLoss::Broken);
    tracker.connection_refused(SECOND * 3, &incarnation(3));
    assert!(tracker.take_crashed(SECOND * 3).is_empty());
    // An upstream that leaves without a notice: its registration is removed before the connection breaks.
    tracker.start(&incarnation(2), request("b"));
    tracker.registration_removed(SECOND, &incarnation(2));
    tracker.finish(SECOND * 2, &incarnation(2), request("b"), AttemptOutcome::Unanswered);
    tracker.record_loss(SECOND * 2, &incarnation(2), ResponseLoss::Broken);
    tracker.connection_refused(SECOND * 2, &incarnation(2));
    assert!(tracker.take_crashed(SECOND * 9).is_empty());
}

#[test]
fn silent_upstream_counts_as_crashed_only_some_time_after_its_registration_lapsed() {
    let mut tracker = InFlightTracker::default();
    tracker.start(&incarnation(1), request("a"));
    tracker.record_loss(SECOND, &incarnation(1), ResponseLoss::TimedOut);
    tracker.finish(SECOND, &incarnation(1), request("a"), AttemptOutcome::Unanswered);
    tracker.registration_removed(SECOND * 2, &incarnation(1));
    assert!(
        tracker.take_crashed(SECOND * 4).is_empty(),
        "registrations that lapsed with the store are back within two seconds"
    );
    assert_eq!(suspects(&tracker.take_crashed(SECOND * 5)), [request("a")]);
}

#[test]
fn restart_that_shows_before_the_connection_loss_is_a_crash() {
    let mut tracker = InFlightTracker::default();
    tracker.start(&incarnation(1), request("a"));
    tracker.registration_updated(SECOND, &upstream(1, 2, Phase::Ready), no_address);
    tracker.finish(SECOND, &incarnation(1), request("a"), AttemptOutcome::Unanswered);
    tracker.record_loss(SECOND, &incarnation(1), ResponseLoss::Broken);
    assert_eq!(suspects(&tracker.take_crashed(SECOND)), [request("a")]);
}

#[test]
fn request_recently_answered_elsewhere_is_no_suspect() {
    let mut tracker = InFlightTracker::default();
    tracker.start(&incarnation(1), request("popular"));
    tracker.start(&incarnation(2), request("popular"));
    tracker.finish(SECOND, &incarnation(2), request("popular"), AttemptOutcome::Answered);
    tracker.connection_refused(SECOND * 3, &incarnation(1));
    assert!(suspects(&tracker.take_crashed(SECOND * 3)).is_empty());
}

#[test]
fn crash_inferred_from_a_lapsed_registration_is_retracted_when_the_upstream_is_back() {
    let mut known = Crashes::default();
    let lapsed = CrashReport { evidence: CrashEvidence::Lapsed, ..report(1, "g-1", &["a"]) };
    known.record(SECOND, Duration::ZERO, &lapsed);
    assert!(known.retract(&incarnation(1)));
    assert_eq!(known.find_suspects().get(&request("a")), None);
    known.record(SECOND, Duration::ZERO, &report(2, "g-1", &["a"]));
    assert!(
        !known.retract(&incarnation(2)),
        "a refused connection proves the crash, even if the registration comes late"
    );
}

#[test]
fn fingerprint_depends_on_path_organisation_and_body_and_parses_back() {
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
fn part_fingerprint_depends_on_service_and_part_and_is_told_from_a_requests() {
    let part = |service: &str, part: &str| {
        Fingerprint::of_part(&service.parse().expect("an id"), &part.parse().expect("an id"))
    };
    let one = part("s", "ab");
    assert_eq!(one.to_string().parse(), Ok(one));
    assert!(one.is_part() && !request("ab").is_part());
    assert!(part("s", "abc") != one && part("sa", "b") != one && part("t", "ab") != one);
}

#[test]
fn peer_that_missed_an_answer_learns_of_it_by_the_cleared_crashes() {
    let suspects_by_crash: [&[&str]; 4] =
        [&["innocent", "a"], &["innocent", "b"], &["innocent", "c"], &["innocent", "d"]];
    let (mut own, mut peer) = (crashes(&suspects_by_crash), crashes(&suspects_by_crash));
    own.clear(&[request("innocent")]);
    peer.record(SECOND, Duration::ZERO, &report(9, "g-2", &["innocent", "e"]));
    assert!(is_blocked(&peer, "innocent"));
    for (incarnation, answered) in own.answered() {
        assert!(!peer.clear_at(incarnation, &answered.iter().copied().collect::<Vec<_>>()).is_empty());
    }
    assert!(!is_blocked(&peer, "innocent"));
    assert_eq!(
        peer.find_suspects().get(&request("innocent")).map(|one| one.crashes),
        Some(1),
        "a later crash still counts"
    );
}

#[test]
fn suspects_missing_from_a_stored_report_are_cleared() {
    let mut known = crashes(&[&["innocent", "poison"][..]; 4]);
    for number in 0..4 {
        assert!(known.reconcile(&report(number, "g-1", &["poison"])));
        assert!(!known.reconcile(&report(number, "g-1", &["poison"])), "cleared twice by the same report");
    }
    assert!(is_blocked(&known, "poison") && !is_blocked(&known, "innocent"));
}
