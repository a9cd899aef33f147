//! Tests of the sums of the loads that gateways report to each other.

use bluebell_core::{
    ids::{InstanceId, UpstreamId},
    placing::{PeerLoad, PeerLoads},
    units::Tokens,
};
use indexmap::IndexMap;
use proptest::prelude::*;

fn peer(number: usize) -> InstanceId {
    format!("gateway-{number}").parse().expect("the id should be valid")
}

fn upstream(number: usize) -> UpstreamId {
    format!("chat-{number}").parse().expect("the id should be valid")
}

fn load(requests: u32) -> PeerLoad {
    PeerLoad { requests, prefill: Tokens(u64::from(requests) * 100), suspects: requests % 3 }
}

// A gateway of a large fleet gets hundreds of reports a second. Recounting all reports for each of them used up its
// processor.
#[test]
fn work_for_a_report_depends_on_its_own_length_only() {
    for (peers, upstreams) in [(4, 18), (41, 186), (680, 3800)] {
        let mut loads = PeerLoads::default();
        for number in 0..peers {
            loads.replace(peer(number), (0..60).map(|at| (upstream((number + at * 7) % upstreams), load(2))));
        }
        let touched = loads.replace(peer(1), [(upstream(1), load(3)), (upstream(5), load(1))]);
        assert!(touched.len() <= 62, "{} upstreams updated for a report of two with {peers} peers", touched.len());
        let touched = loads.replace(peer(1), [(upstream(1), load(4))]);
        assert!(touched.len() <= 2, "{} upstreams updated for a report of one with {peers} peers", touched.len());
    }
}

proptest! {
    #[test]
    fn sums_equal_those_counted_anew(
        reports in proptest::collection::vec(
            (0..5usize, proptest::option::of(proptest::collection::vec((0..6usize, 0..9u32), 0..6))), 0..60,
        )
    ) {
        let mut loads = PeerLoads::default();
        let mut latest: IndexMap<usize, Vec<(usize, u32)>> = IndexMap::new();
        for (number, report) in reports {
            let touched = match report {
                Some(report) => {
                    let rows = report.iter().map(|(at, requests)| (upstream(*at), load(*requests)));
                    let touched = loads.replace(peer(number), rows);
                    latest.insert(number, report);
                    touched
                }
                None => {
                    latest.shift_remove(&number);
                    loads.remove(&peer(number))
                }
            };
            for at in 0..6 {
                let mut sum = PeerLoad::default();
                for (_, requests) in latest.values().flatten().filter(|(known, _)| *known == at) {
                    let one = load(*requests);
                    sum.requests += one.requests;
                    sum.prefill.0 += one.prefill.0;
                    sum.suspects += one.suspects;
                }
                prop_assert_eq!(loads.total(&upstream(at)), sum);
                if let Some(total) = touched.get(&upstream(at)) {
                    prop_assert_eq!(*total, sum);
                }
            }
        }
    }
}

// Figures of other processes must not overflow the sums.
#[test]
fn absurd_figures_saturate() {
    let mut loads = PeerLoads::default();
    let most = PeerLoad { requests: u32::MAX, prefill: Tokens(u64::MAX), suspects: u32::MAX };
    for number in 0..3 {
        loads.replace(peer(number), [(upstream(0), most)]);
    }
    assert_eq!(loads.total(&upstream(0)), most);
    for number in 0..3 {
        loads.remove(&peer(number));
    }
    assert_eq!(loads.total(&upstream(0)), PeerLoad::default());
}
