//! Steps of an instance about a lease.

use std::time::{Duration, SystemTime};

use bluebell_core::{
    ids::FencingToken,
    lease::{LeaseRow, LeaseStep, next_step},
};

#[test]
fn expired_lease_with_the_highest_fencing_token_can_be_taken_over() {
    let wall = SystemTime::UNIX_EPOCH + Duration::from_secs(100);
    let holder = "entry-1".parse().expect("an id");
    let row = LeaseRow { holder, fence: FencingToken(u64::MAX), until: SystemTime::UNIX_EPOCH };
    let own = "entry-2".parse().expect("an id");
    let LeaseStep::Write(next) = next_step(Some(&row), &own, wall) else { panic!("the lease should be taken over") };
    assert_eq!((next.holder, next.fence), (own, FencingToken(u64::MAX)));
}
