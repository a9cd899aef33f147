//! Tests for the decision which prompt parts crash upstreams.

mod load;

use std::time::Duration;

use bluebell_core::{
    ids::InstanceId,
    poison::{AttemptOutcome, CRASH_MEMORY, CrashEvidence, CrashReport, Crashes, Fingerprint, InFlightTracker},
    upstreams::UpstreamIncarnation,
};

const SECOND: Duration = Duration::from_secs(1);

fn request(name: &str) -> Fingerprint {
    Fingerprint::of(name, None, b"")
}

fn part(name: &str) -> Fingerprint {
    Fingerprint::of_part(&"s".parse().expect("an id"), &name.parse().expect("an id"))
}

fn incarnation(number: usize) -> UpstreamIncarnation {
    UpstreamIncarnation { upstream: format!("u-{number}").parse().expect("an id"), started_at_ms: 1 }
}

fn report(number: usize, suspects: Vec<Fingerprint>) -> CrashReport {
    let reporter: InstanceId = "g-1".parse().expect("an id");
    CrashReport { incarnation: incarnation(number), reporter, evidence: CrashEvidence::Refused, suspects }
}

fn record(crashes: &mut Crashes, at: Duration, number: usize, suspects: &[Fingerprint]) {
    crashes.record(at, Duration::ZERO, &report(number, suspects.to_vec()));
}

fn is_blocked(crashes: &Crashes, one: Fingerprint) -> bool {
    crashes.find_suspects().is_poison(&one)
}

#[test]
fn part_of_different_requests_is_blocked_after_three_crashes_and_not_what_ran_beside_it() {
    let mut crashes = Crashes::default();
    for number in 0..3 {
        assert!(!is_blocked(&crashes, part("bad")));
        let (poison, sound) = (request(&format!("p-{number}")), request(&format!("s-{number}")));
        let suspects = [poison, sound, part("bad"), part(&format!("rare-{number}"))];
        record(&mut crashes, SECOND * number as u32, number, &suspects);
    }
    let suspects = crashes.find_suspects();
    assert_eq!(suspects.poison().map(|(one, _)| *one).collect::<Vec<_>>(), [part("bad")]);
    assert_eq!(suspects.get(&request("p-0")), None, "the part explains the crashes of the requests with it");
}

#[test]
fn inseparable_part_is_blocked_by_the_fourth_crash() {
    let mut crashes = Crashes::default();
    for number in 0..4 {
        let suspects = [request(&format!("p-{number}")), part("bad"), part("always-with-it")];
        record(&mut crashes, SECOND * number as u32, number, &suspects);
    }
    assert!(is_blocked(&crashes, part("bad")));
}

#[test]
fn part_that_was_at_the_same_crashes_as_the_crashing_one_blocks_no_request_without_it() {
    let mut crashes = Crashes::default();
    for number in 0..4 {
        let suspects = [request(&format!("p-{number}")), part("common"), part("bad")];
        record(&mut crashes, SECOND * number as u32, number, &suspects);
    }
    let blocks = |crashes: &Crashes, causes: &[Fingerprint]| {
        crashes.find_suspects().worst(causes.iter()).is_some_and(|(_, found)| found.is_poison)
    };
    assert!(blocks(&crashes, &[request("r"), part("common"), part("bad")]));
    assert!(!blocks(&crashes, &[request("r"), part("common"), part("p-1")]));
    record(&mut crashes, SECOND * 5, 5, &[request("r"), part("bad"), part("other")]);
    assert!(blocks(&crashes, &[request("r"), part("bad")]), "a crash without the common part tells");
    assert!(!blocks(&crashes, &[request("r"), part("common")]));
}

#[test]
fn part_of_a_single_request_that_crashes_upstreams_is_not_blocked_with_it() {
    let mut crashes = Crashes::default();
    for number in 0..8 {
        record(&mut crashes, SECOND * number as u32, number, &[request("poison"), part("rare")]);
        assert_eq!(is_blocked(&crashes, request("poison")), number >= 2);
        assert!(!is_blocked(&crashes, part("rare")));
    }
}

#[test]
fn request_that_was_resent_through_the_first_crashes_of_a_part_is_released_by_the_next_crash() {
    let mut crashes = Crashes::default();
    for number in 0..4 {
        let suspects = [request("sound"), request(&format!("p-{number}")), part("bad")];
        record(&mut crashes, SECOND * number as u32, number, &suspects);
    }
    record(&mut crashes, SECOND * 4, 4, &[request("p-4"), part("bad")]);
    assert!(is_blocked(&crashes, part("bad")) && !is_blocked(&crashes, request("sound")));
}

#[test]
fn crashes_at_the_same_moment_block_no_part() {
    let mut crashes = Crashes::default();
    for number in 0..12 {
        record(&mut crashes, SECOND, number, &[part("common"), part(&format!("p-{}", number % 2))]);
    }
    assert_eq!(crashes.find_suspects().poison().count(), 0);
}

#[test]
fn part_with_many_crashes_at_the_same_moment_is_blocked_by_the_next_crash() {
    let mut crashes = Crashes::default();
    for number in 0..5 {
        record(&mut crashes, SECOND, number, &[part("bad"), part(&format!("sound-{number}"))]);
    }
    record(&mut crashes, SECOND * 5, 5, &[part("bad"), part("sound-5")]);
    assert!(is_blocked(&crashes, part("bad")));
}

#[test]
fn part_is_still_blocked_by_reports_from_before_the_start_of_a_process() {
    let (mut old, mut started) = (Crashes::default(), Crashes::default());
    for number in 0..3 {
        record(&mut old, SECOND * number as u32, number, &[part("bad"), request(&format!("p-{number}"))]);
    }
    let uptime = Duration::from_millis(50);
    for (report, age) in old.reports(SECOND * 60) {
        started.record(uptime, age, &report);
    }
    assert!(is_blocked(&started, part("bad")));
    let ages = |crashes: &Crashes, now| crashes.reports(now).map(|(_, age)| age).collect::<Vec<_>>();
    assert_eq!(ages(&started, uptime), ages(&old, SECOND * 60));
}

#[test]
fn blocked_part_is_released_an_hour_after_its_crashes_although_it_is_asked_for() {
    let mut crashes = Crashes::default();
    for number in 0..3 {
        record(&mut crashes, SECOND * number as u32, number, &[part("bad"), request(&format!("p-{number}"))]);
    }
    crashes.refresh(CRASH_MEMORY / 2, &part("bad"));
    assert!(is_blocked(&crashes, part("bad")));
    crashes.expire(CRASH_MEMORY + SECOND * 3);
    assert!(!is_blocked(&crashes, part("bad")));
}

#[test]
fn flood_of_other_crashes_does_not_release_a_blocked_part() {
    let mut crashes = Crashes::default();
    for number in 0..3 {
        record(&mut crashes, SECOND * number as u32, number, &[part("bad"), request(&format!("p-{number}"))]);
    }
    for number in 10..2000 {
        record(&mut crashes, SECOND * number as u32, number, &[request(&format!("r-{number}"))]);
    }
    assert!(is_blocked(&crashes, part("bad")));
    assert!(crashes.reports(SECOND * 2000).count() <= 256);
}

/// Suspects of a crash of the upstream, as a tracker reports them.
fn crash(tracker: &mut InFlightTracker, at: Duration, number: usize, causes: &[Fingerprint]) -> Vec<Fingerprint> {
    causes.iter().for_each(|one| tracker.start(&incarnation(number), *one));
    tracker.connection_refused(at, &incarnation(number));
    tracker.take_crashed(at).into_iter().flat_map(|crashed| crashed.suspects).collect()
}

fn answer(tracker: &mut InFlightTracker, at: Duration, outcome: AttemptOutcome, one: Fingerprint) {
    tracker.start(&incarnation(99), one);
    tracker.finish(at, &incarnation(99), one, outcome);
}

#[test]
fn answer_excuses_a_part_from_one_crash_so_that_one_that_turned_bad_is_still_suspected() {
    let mut tracker = InFlightTracker::default();
    answer(&mut tracker, SECOND, AttemptOutcome::Answered, part("a"));
    for (number, expected) in [(1, vec![]), (2, vec![part("a")]), (3, vec![part("a")])] {
        assert_eq!(crash(&mut tracker, SECOND * 10 * number as u32, number, &[part("a")]), expected, "{number}");
    }
    answer(&mut tracker, SECOND * 50, AttemptOutcome::Answered, part("a"));
    assert!(crash(&mut tracker, SECOND * 60, 5, &[part("a")]).is_empty(), "another answer excuses it again");
}

#[test]
fn answer_excuses_a_part_from_all_crashes_of_one_moment() {
    let mut tracker = InFlightTracker::default();
    answer(&mut tracker, SECOND, AttemptOutcome::Answered, part("a"));
    for number in 1..12 {
        let at = SECOND * 2 + Duration::from_millis(number as u64 * 10);
        assert!(crash(&mut tracker, at, number, &[part("a")]).is_empty());
    }
}

#[test]
fn rejected_request_does_not_excuse_its_parts() {
    let mut tracker = InFlightTracker::default();
    for one in [request("r"), part("a")] {
        answer(&mut tracker, SECOND, AttemptOutcome::Rejected, one);
    }
    assert_eq!(crash(&mut tracker, SECOND * 2, 1, &[request("r"), part("a")]), [part("a")]);
}

#[test]
fn many_requests_do_not_displace_parts_in_a_report() {
    let mut tracker = InFlightTracker::default();
    let many: Vec<Fingerprint> = (0..500).map(|number| request(&format!("r-{number}"))).collect();
    let suspects = crash(&mut tracker, SECOND, 1, &[vec![part("a")], many].concat());
    assert!(suspects.contains(&part("a")) && suspects.len() <= 129);
}
