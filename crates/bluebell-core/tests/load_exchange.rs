//! Simulations of the exchange of loads in fleets in which each gateway hears a few others only.

use bluebell_core::{
    dissemination::{load_targets, load_weights},
    ids::{InstanceId, UpstreamId, ZoneId},
    placing::{PeerLoad, PeerLoads},
    units::Tokens,
};
use rand::{Rng, SeedableRng, rngs::StdRng};

struct Fleet {
    members: Vec<(InstanceId, ZoneId)>,
}

impl Fleet {
    fn new(count: usize, zones: usize) -> Self {
        let member = |number: usize| {
            let id = format!("front-{}-{number}", number % 6).parse().expect("the id should be valid");
            (id, format!("z{}", number % zones).parse().expect("the id should be valid"))
        };
        Self { members: (0..count).map(member).collect() }
    }

    fn targets(&self, at: usize) -> Vec<&InstanceId> {
        let (id, zone) = &self.members[at];
        let peers = self.members.iter().filter(|(peer, _)| peer != id);
        load_targets((id, zone), peers.map(|(peer, zone)| (peer, zone)))
    }

    // Numbers of the gateways that each one hears.
    fn heard(&self) -> Vec<Vec<usize>> {
        let mut heard = vec![Vec::new(); self.members.len()];
        for from in 0..self.members.len() {
            for target in self.targets(from) {
                let to = self.members.iter().position(|(id, _)| id == target).expect("the target should be known");
                heard[to].push(from);
            }
        }
        heard
    }
}

// Loads sent to all others filled the links: 1,509 kB/s at each of 300 gateways.
#[test]
fn gateways_tell_and_hear_a_bounded_number_of_others() {
    for (count, zones, most) in [(9, 3, 6), (30, 4, 10), (300, 4, 10), (681, 10, 24), (300, 1, 4)] {
        let fleet = Fleet::new(count, zones);
        let told = (0..count).map(|at| fleet.targets(at).len());
        // Zones of nearly equal size differ by one, so that some tell one more in each of the other zones.
        assert!(told.max() <= Some((most + zones - 1).min(24)), "{count} gateways");
        let heard: Vec<usize> = fleet.heard().iter().map(Vec::len).collect();
        let (least, greatest) = (heard.iter().min(), heard.iter().max());
        assert!(
            least >= Some(&(most - 2)) && greatest <= Some(&most),
            "{count} gateways hear {least:?} to {greatest:?}"
        );
    }
}

// A sum that is too low or too high on average sends too much or too little to the upstreams that a zone prefers.
#[test]
fn scaled_loads_are_unbiased_in_fleets_whose_zones_prefer_their_own_upstreams() {
    let mut rng = StdRng::seed_from_u64(5);
    for (count, zones) in [(9, 3), (11, 3), (30, 4), (100, 4), (30, 1)] {
        let fleet = Fleet::new(count, zones);
        let heard = fleet.heard();
        let mut ratios = vec![0.0; zones];
        let rounds = 300;
        for _ in 0..rounds {
            // One upstream in each zone; gateways put most of their load on that of their own.
            let load = |rng: &mut StdRng, own: bool| {
                let requests = if own { rng.random_range(0..12) } else { rng.random_range(0..3) };
                PeerLoad { requests, prefill: Tokens(u64::from(requests) * 100), suspects: 0 }
            };
            let loads: Vec<Vec<PeerLoad>> =
                (0..count).map(|at| (0..zones).map(|zone| load(&mut rng, at % zones == zone)).collect()).collect();
            let at = rng.random_range(0..count);
            let others = (0..count).filter(|peer| *peer != at);
            let weights = load_weights(others.clone().map(|peer| (&fleet.members[peer].1, heard[at].contains(&peer))));
            let mut sums = PeerLoads::default();
            for peer in &heard[at] {
                let (id, zone) = &fleet.members[*peer];
                let rows = loads[*peer].iter().enumerate().map(|(number, load)| (upstream(number), *load));
                sums.replace_weighted(id.clone(), weights[zone], rows);
            }
            for (zone, ratio) in ratios.iter_mut().enumerate() {
                let real: u32 = others.clone().map(|peer| loads[peer][zone].requests).sum();
                *ratio += f64::from(sums.total(&upstream(zone)).requests) - f64::from(real);
            }
        }
        // Error of the mean, relative to the mean load of an upstream.
        let mean = (count as f64 / zones as f64) * 5.5 + (count as f64 * (1.0 - 1.0 / zones as f64));
        for (zone, error) in ratios.iter().enumerate() {
            let bias = error / f64::from(rounds) / mean;
            assert!(bias.abs() < 0.05, "{count} gateways in {zones} zones: bias {bias} at the upstream of zone {zone}");
        }
    }
}

fn upstream(number: usize) -> UpstreamId {
    format!("chat-{number}").parse().expect("the id should be valid")
}

// A zone that is not heard at all, such as behind cut links, must not count as idle.
#[test]
fn zones_that_are_not_heard_count_as_the_mean_of_the_others() {
    let zones: Vec<ZoneId> = ["z0", "z1"].map(|zone| zone.parse().expect("the id should be valid")).to_vec();
    let peers = [(&zones[0], true), (&zones[0], false), (&zones[1], false), (&zones[1], false)];
    let weights = load_weights(peers);
    assert_eq!((weights.len(), weights.get(&zones[0])), (1, Some(&4.0)));
    assert!(load_weights([(&zones[0], false)]).is_empty());
}
