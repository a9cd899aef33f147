//! Which gateways tell each other their load at upstreams, in fleets in which not all tell all. Each gateway hears a few
//! gateways of each zone, most of its own, and takes them for all gateways of that zone: gateways of one zone prefer the
//! same upstreams, so those of another zone don't stand for them.

use indexmap::IndexMap;

use super::MIN_FLEET;
use crate::ids::{InstanceId, ZoneId};

/// Number of gateways of its own zone that a gateway hears.
const OWN_ZONE_SENDERS: usize = 4;
/// Number of gateways of each other zone that a gateway hears.
const OTHER_ZONE_SENDERS: usize = 2;
/// Most gateways that one gateway tells its load, whatever the sizes of the zones.
const MAX_TARGETS: usize = 24;

/// Fleet above which the messages to all other gateways are sent half as often.
const VERY_LARGE_FLEET: usize = 100;

/// Number of status intervals between two messages of a gateway to those that it doesn't tell its load, if nothing has
/// changed that they need at once. With an interval of 250 ms, a dead connection shows after 2.2 s at most.
#[must_use]
pub fn status_ticks(gateways: usize) -> u64 {
    if gateways < MIN_FLEET {
        1
    } else if gateways < VERY_LARGE_FLEET {
        2
    } else {
        4
    }
}

/// Gateways that a gateway tells its load. `peers` are the others, in any order.
#[must_use]
pub fn load_targets<'a>(
    own: (&'a InstanceId, &'a ZoneId),
    peers: impl IntoIterator<Item = (&'a InstanceId, &'a ZoneId)>,
) -> Vec<&'a InstanceId> {
    let (own_id, own_zone) = own;
    let mut zones: IndexMap<&ZoneId, Vec<&'a InstanceId>> = IndexMap::new();
    for (id, zone) in peers.into_iter().chain([own]) {
        zones.entry(zone).or_default().push(id);
    }
    zones.sort_unstable_keys();
    zones.values_mut().for_each(|ids| ids.sort_unstable());
    let senders = zones.get(own_zone).map_or(1, Vec::len);
    let position = zones.get(own_zone).and_then(|ids| ids.iter().position(|id| *id == own_id)).unwrap_or_default();
    let (mut targets, mut distant) = (Vec::new(), Vec::new());
    for (zone, receivers) in zones {
        for (number, receiver) in receivers.iter().enumerate() {
            // The receiver hears consecutive senders, from one that depends on its own place.
            if zone == own_zone {
                let distance = (position + senders - number) % senders;
                if (1..=OWN_ZONE_SENDERS).contains(&distance) {
                    targets.push(*receiver);
                }
            } else {
                let first = number * senders / receivers.len();
                if (position + senders - first) % senders < OTHER_ZONE_SENDERS {
                    distant.push(*receiver);
                }
            }
        }
    }
    targets.append(&mut distant);
    targets.truncate(MAX_TARGETS);
    targets
}

/// Factors by which the loads that a gateway hears are scaled up to the fleet, by zone of the sender. `peers` are the
/// other gateways with their zones, and whether this gateway hears their loads. A zone of which it hears none is taken for
/// the mean of the others.
#[must_use]
pub fn load_weights<'a>(peers: impl IntoIterator<Item = (&'a ZoneId, bool)>) -> IndexMap<ZoneId, f64> {
    let mut zones: IndexMap<&ZoneId, (usize, usize)> = IndexMap::new();
    for (zone, is_heard) in peers {
        let (members, heard) = zones.entry(zone).or_default();
        *members += 1;
        *heard += usize::from(is_heard);
    }
    let all: usize = zones.values().map(|(members, _)| members).sum();
    let represented: usize = zones.values().filter(|(_, heard)| *heard > 0).map(|(members, _)| members).sum();
    let scale = all as f64 / represented.max(1) as f64;
    let weight = |(members, heard): (usize, usize)| scale * members as f64 / heard as f64;
    zones
        .into_iter()
        .filter(|(_, (_, heard))| *heard > 0)
        .map(|(zone, counts)| (zone.clone(), weight(counts)))
        .collect()
}
