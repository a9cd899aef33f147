//! Departures and pauses that upstreams announce, with the clock passed in.

use std::time::Duration;

use bluebell_core::placing::{Admission, Departure, Health, HealthEvent, LAST_RESORT_PERIOD, MAX_PAUSE};

const NOW: Duration = Duration::from_secs(5);

#[test]
fn departure_counts_from_the_first_announcement_and_is_final() {
    let mut departure = Departure::default();
    assert_eq!(departure.admission(NOW), Admission::Open);
    assert!(departure.announce(NOW));
    assert_eq!(departure.admission(NOW), Admission::LastResort);
    let later = NOW + LAST_RESORT_PERIOD;
    assert!(!departure.announce(later), "only the first announcement counts");
    assert_eq!(departure.admission(later), Admission::Closed);
    assert_eq!(departure.admission(later * 1000), Admission::Closed);
}

#[test]
fn departure_told_by_a_peer_is_a_last_resort_for_a_while_and_ends_by_the_upstreams_own_word() {
    let second = Duration::from_secs(1);
    let mut departure = Departure::default();
    assert!(departure.report(NOW, second));
    assert!(!departure.report(NOW, second), "told again");
    assert_eq!(departure.admission(NOW), Admission::LastResort);
    assert!(departure.age_for_peers(NOW).is_none(), "a peer's word is not passed on");
    assert_eq!(departure.admission(NOW + 60 * second), Admission::Open);
    departure.contradict(NOW + second);
    assert_eq!(departure.admission(NOW + second), Admission::Open);
    assert!(!departure.report(NOW + 2 * second, 2 * second), "the peer's word is older than the upstream's");
    assert!(departure.report(NOW + 2 * second, Duration::ZERO));
    departure.announce(NOW + 3 * second);
    assert_eq!(departure.age_for_peers(NOW + 4 * second), Some(second));
    assert_eq!(departure.admission(NOW + 5 * second), Admission::Closed);
    assert!(!Departure::default().report(NOW + 60 * second, 60 * second), "too old");
}

#[test]
fn pause_is_bounded_and_never_shortened() {
    let mut health = Health::default();
    assert!(!health.pause(NOW, Duration::ZERO) && health.is_available(NOW), "a pause of no time is none");
    assert!(health.pause(NOW, Duration::from_secs(2)));
    assert!(!health.pause(NOW, Duration::from_millis(1)), "the pause has begun already");
    assert!(health.is_paused(NOW + Duration::from_millis(1999)));
    assert!(!health.is_paused(NOW + Duration::from_secs(2)));
    health.pause(NOW, Duration::MAX);
    assert_eq!(health.pause_left(NOW), MAX_PAUSE);
}

#[test]
fn pause_ends_with_single_trials_until_a_request_is_accepted() {
    let mut health = Health::default();
    health.pause(NOW, Duration::from_secs(2));
    assert!(!health.record_send(NOW), "a request on its way is no trial");
    let end = NOW + Duration::from_secs(2);
    assert!(health.is_available(end) && health.record_send(end));
    assert!(!health.is_available(end), "one trial at a time");
    health.record(end, HealthEvent::Refused);
    assert!(!health.is_available(end), "a refused trial ejects");
    let later = end + Duration::from_secs(1);
    assert!(health.is_available(later));
    health.record_send(later);
    health.record(later, HealthEvent::Accepted);
    health.record(later, HealthEvent::Good);
    assert!(health.is_available(later) && !health.record_send(later), "an accepted trial ends them");
}

#[test]
fn event_of_one_upstream_concerns_one_gateway_and_no_other_upstream() {
    for (gateways, upstreams) in [(4, 100), (41, 3800)] {
        let mut states = vec![vec![(Health::default(), Departure::default()); upstreams]; gateways];
        let (health, _) = &mut states[1][7];
        health.pause(NOW, Duration::from_secs(2));
        states[2][9].1.announce(NOW);
        for (gateway, all) in states.iter().enumerate() {
            for (upstream, (health, departure)) in all.iter().enumerate() {
                let is_open = health.is_available(NOW) && departure.admission(NOW) == Admission::Open;
                assert_eq!(is_open, ![(1, 7), (2, 9)].contains(&(gateway, upstream)), "{gateway}/{upstream}");
            }
        }
    }
}
