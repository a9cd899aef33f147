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
