//! The member table: list changes, notices of leaving, and the rotation of pollers.

use std::time::Duration;

use bluebell_core::{
    ids::{InstanceId, ZoneId},
    members::{LEAVING_MEMORY, Listed, Members, MembersEvent, Phase, Role, ZONE_POLLERS},
};

const TURN: Duration = Duration::from_millis(500);

fn id(number: usize) -> InstanceId {
    format!("entry-{number}").parse().expect("an id")
}

fn zone() -> ZoneId {
    "tiznit".parse().expect("an id")
}

fn entry(number: usize) -> Listed {
    Listed {
        instance: id(number),
        role: Role::Entry,
        zone: zone(),
        address: format!("127.0.0.1:{}", 9000 + number),
        serves: Vec::new(),
        phase: Phase::Live,
    }
}

fn fleet(count: usize) -> Members {
    let mut members = Members::default();
    members.handle(Duration::ZERO, MembersEvent::List((0..count).map(entry).collect()));
    members
}

#[test]
fn changes_lead_to_the_same_table_as_the_complete_list() {
    let mut members = fleet(3);
    let moved = Listed { address: "127.0.0.1:1".to_owned(), ..entry(1) };
    let changes = MembersEvent::Changes { set: vec![moved.clone(), entry(7)], gone: vec![id(0)] };
    assert!(members.handle(Duration::ZERO, changes));
    assert_eq!(members.all().count(), 3);
    assert_eq!(members.get(&id(1)), Some(&moved));
    assert!(members.get(&id(0)).is_none() && members.get(&id(7)).is_some());
    assert!(!members.handle(Duration::ZERO, MembersEvent::Changes { set: Vec::new(), gone: Vec::new() }));
}

#[test]
fn notice_of_leaving_overrides_the_list_until_revoked_or_expired() {
    let mut members = fleet(2);
    members.handle(Duration::ZERO, MembersEvent::Leaving(id(0)));
    members.handle(Duration::from_secs(1), MembersEvent::List(vec![entry(0), entry(1)]));
    assert!(members.is_leaving(&id(0)));
    members.handle(Duration::from_secs(2), MembersEvent::Open(id(0)));
    assert!(!members.is_leaving(&id(0)), "an instance with this id was started again");
    members.handle(Duration::from_secs(3), MembersEvent::Leaving(id(1)));
    let expired = Duration::from_secs(4) + LEAVING_MEMORY;
    members.handle(expired, MembersEvent::List(vec![entry(0), entry(1)]));
    assert!(!members.is_leaving(&id(1)));
}

#[test]
fn exactly_one_poller_of_a_zone_has_its_turn_at_any_time() {
    for count in [1, 2, 5, 68] {
        let members = fleet(count);
        let turns: Vec<_> = (0..count).filter_map(|number| members.poll_turn(&id(number), &zone())).collect();
        assert_eq!(turns.len(), count.min(ZONE_POLLERS));
        for step in 0..50 {
            let at = Duration::from_secs(1_700_000_000) + TURN * step;
            assert_eq!(turns.iter().filter(|turn| turn.is_now(at, TURN)).count(), 1);
        }
    }
}
