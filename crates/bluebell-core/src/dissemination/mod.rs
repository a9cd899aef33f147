//! Dissemination of store rows and reports among gateways. A gateway forwards what it learns once, to a number of others
//! that grows with the logarithm of the fleet, and reads the busiest change feed less often the more gateways there are.
//!
//! All gateways are ordered in a ring by their ids. A gateway forwards to its next ones and to some at doubling
//! distances: the next ones give each gateway several senders, so that it is reached although links or senders fail,
//! and the distant ones keep the number of hops low. Each gateway leaves out those to which it has no connection, so the
//! ring closes around them.
//!
//! In large fleets only a few gateways read the change feeds, see [`readers`]. A gateway that hears of rows which don't
//! reach it reads as well, see [`LagMonitor`].

mod lag;
mod loads;
mod readers;

use std::time::Duration;

pub use lag::{LAG_GRACE, Lag, LagMonitor};
pub use loads::{load_targets, load_weights, status_ticks};
pub use readers::{
    MIN_FLEET, MemberContact, OPERATOR_POLL_TIME, ReadMode, ReadSchedule, SLOW_CONTACT_LIMIT, poll_time, readers,
    slow_read_pause,
};

use crate::ids::InstanceId;

/// Number of direct successors to which a gateway forwards. A gateway is reached as long as one of as many predecessors
/// is, even if the store and all distant senders are out of its reach.
const SUCCESSORS: usize = 3;
/// Interval at which the fleet as a whole reads a busy change feed.
const FLEET_READ_INTERVAL: Duration = Duration::from_millis(25);
/// Longest pause between two reads of a gateway. It bounds the delay at a gateway without any connection to others, and
/// is that of the few gateways that read in a large fleet.
pub const MAX_READ_PAUSE: Duration = Duration::from_millis(1000);

/// Gateways to which a gateway forwards what it has just learned. `connected` are the others to which it has a
/// connection, in any order.
#[must_use]
pub fn forward_targets<'a>(
    own: &InstanceId,
    connected: impl IntoIterator<Item = &'a InstanceId>,
) -> Vec<&'a InstanceId> {
    let mut ring: Vec<&InstanceId> = connected.into_iter().collect();
    ring.sort_unstable();
    let first = ring.partition_point(|id| *id < own);
    ring.rotate_left(first);
    // The position in the ring is the distance from this gateway, minus one.
    let distances = (1..=SUCCESSORS).chain(std::iter::successors(Some(2 * SUCCESSORS), |distance| Some(2 * distance)));
    distances.map_while(|distance| ring.get(distance - 1).copied()).collect()
}

/// Pause of a gateway between two reads of a busy change feed, so that changes that come in quick succession are read
/// together. Answers the load of a large fleet: without a pause, each change wakes a call of each gateway.
#[must_use]
pub fn read_pause(gateways: usize) -> Duration {
    FLEET_READ_INTERVAL.saturating_mul(gateways.try_into().unwrap_or(u32::MAX)).min(MAX_READ_PAUSE)
}
