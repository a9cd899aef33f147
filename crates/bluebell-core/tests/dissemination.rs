//! Simulations of the dissemination among gateways: who learns of a change, in how many hops and by how many messages,
//! when gateways are turned away by the store and links are cut.

use std::{collections::HashSet, time::Duration};

use bluebell_core::{
    dissemination::{MemberContact, forward_targets, read_pause, readers},
    ids::{InstanceId, ZoneId},
};
use rand::{Rng, SeedableRng, rngs::StdRng, seq::SliceRandom};

/// Sizes of fleets: the smallest site, the grown ones, the large one, and the size that the product is designed for.
const SIZES: [usize; 4] = [4, 9, 41, 681];
/// Most hops that the configuration's bound leaves time for, if each hop takes a tenth of a second.
const MAX_HOPS: usize = 20;

fn gateways(count: usize) -> Vec<InstanceId> {
    // Names as on the sites: the order of the ids is not that of the numbers.
    (0..count).map(|number| format!("front-{}-{number}", number % 6).parse().expect("the id should be valid")).collect()
}

struct Spread {
    hops: Vec<Option<usize>>,
    messages: usize,
}

/// Spreads a change that the given gateways have read from the store. `is_cut` tells whether two gateways have no
/// connection.
fn spread(ids: &[InstanceId], readers: &[usize], is_cut: impl Fn(usize, usize) -> bool) -> Spread {
    let mut hops = vec![None; ids.len()];
    let mut messages = 0;
    readers.iter().for_each(|reader| hops[*reader] = Some(0));
    let mut informed = readers.to_vec();
    for hop in 1.. {
        let mut next = Vec::new();
        for from in informed {
            let connected = (0..ids.len()).filter(|to| *to != from && !is_cut(from, *to)).map(|to| &ids[to]);
            for target in forward_targets(&ids[from], connected) {
                messages += 1;
                let to = ids.iter().position(|id| id == target).expect("the target should be a gateway");
                if hops[to].is_none() {
                    hops[to] = Some(hop);
                    next.push(to);
                }
            }
        }
        if next.is_empty() {
            return Spread { hops, messages };
        }
        informed = next;
    }
    unreachable!("the loop ends when nobody is informed anew")
}

// Forwarding to all others cost 1,640 messages a change with 41 gateways and filled their links.
#[test]
fn messages_of_a_gateway_grow_with_the_logarithm_of_the_fleet() {
    for (size, most) in SIZES.into_iter().zip([3, 4, 7, 11]) {
        let ids = gateways(size);
        let readers: Vec<usize> = (0..size).collect();
        let found = spread(&ids, &readers, |_, _| false);
        assert!(found.messages <= most * size, "{} messages with {size} gateways", found.messages);
    }
}

#[test]
fn change_read_by_one_gateway_reaches_all_in_few_hops() {
    for size in SIZES {
        let ids = gateways(size);
        for reader in [0, size / 2, size - 1] {
            let found = spread(&ids, &[reader], |_, _| false);
            let most = found.hops.iter().map(|hops| hops.expect("all should be reached")).max();
            assert!(most <= Some(MAX_HOPS / 2), "{most:?} hops with {size} gateways");
        }
    }
}

#[test]
fn gateways_that_the_store_turns_away_are_reached_across_cut_links() {
    let mut random = StdRng::seed_from_u64(41);
    for size in SIZES {
        let ids = gateways(size);
        for round in 0..if size > 100 { 10 } else { 200 } {
            let mut all: Vec<usize> = (0..size).collect();
            all.shuffle(&mut random);
            let readers = all.split_off(size / 3);
            let cuts: HashSet<(usize, usize)> = (0..2)
                .map(|_| (random.random_range(0..size), random.random_range(0..size)))
                .flat_map(|(one, other)| [(one, other), (other, one)])
                .collect();
            let found = spread(&ids, &readers, |from, to| cuts.contains(&(from, to)));
            for (number, hops) in found.hops.iter().enumerate() {
                let is_reached = hops.is_some_and(|hops| hops <= MAX_HOPS);
                assert!(
                    is_reached,
                    "{size} gateways, round {round}: {} after {hops:?} hops, cuts {cuts:?}",
                    ids[number]
                );
            }
        }
    }
}

#[test]
fn fleet_without_a_zone_or_with_dead_gateways_is_reached() {
    let mut random = StdRng::seed_from_u64(7);
    for size in SIZES {
        let ids = gateways(size);
        for round in 0..if size > 100 { 10 } else { 100 } {
            let zone = random.random_range(0..6);
            let dead: HashSet<usize> =
                (0..size).filter(|number| number % 6 == zone || random.random_bool(0.1)).collect();
            let Some(reader) = (0..size).find(|number| !dead.contains(number)) else { continue };
            let found = spread(&ids, &[reader], |from, to| dead.contains(&from) || dead.contains(&to));
            for number in (0..size).filter(|number| !dead.contains(number)) {
                let is_reached = found.hops[number].is_some_and(|hops| hops <= MAX_HOPS);
                assert!(is_reached, "{size} gateways, round {round}: {} is not reached", ids[number]);
            }
        }
    }
}

// Each change woke a call of each gateway: 14,482 calls on a quiet day of 41 gateways.
#[test]
fn reads_of_the_whole_fleet_hardly_grow_with_it() {
    let reads_per_second = |size: usize| size as f64 / read_pause(size).as_secs_f64();
    for size in [4, 9, 40] {
        assert!(reads_per_second(size) <= 40.0, "{size} gateways");
    }
    // Drains are announced two seconds or more ahead.
    for size in SIZES {
        assert!(read_pause(size) <= Duration::from_secs(1), "{size} gateways");
    }
}

// In fleets of nine gateways or more only a few of them read the store, so that the others depend on the forwarding alone.
#[test]
fn row_read_by_the_elected_readers_reaches_all_in_three_hops() {
    for (size, zones) in [(9, 3), (30, 4)] {
        let ids = gateways(size);
        let zone: Vec<ZoneId> =
            (0..zones).map(|number| format!("z{number}").parse().expect("the id should be valid")).collect();
        let contact = |at: usize| {
            let age = Some(Duration::from_millis(100));
            MemberContact { id: &ids[at], zone: &zone[at % zones], reads: false, age }
        };
        let elected = readers((0..size).map(contact));
        let elected: Vec<usize> = (0..size).filter(|at| elected.contains(&&ids[*at])).collect();
        // Any one of them may have lost the store.
        for lost in &elected {
            let working: Vec<usize> = elected.iter().copied().filter(|at| at != lost).collect();
            let hops = spread(&ids, &working, |_, _| false).hops;
            let longest = hops.iter().map(|hop| hop.expect("each gateway should hear of it")).max();
            assert!(longest <= Some(3), "{longest:?} hops from {working:?} of {size}");
        }
    }
}
