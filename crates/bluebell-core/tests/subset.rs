//! Rendezvous hashing for subsets: what moves when an instance goes, and how even the load of runners is.

use std::collections::HashMap;

use bluebell_core::{
    ids::InstanceId,
    routing::{Node, Subset},
};

const RUNNERS: usize = 380;
const ENTRIES: usize = 680;
const TARGET: &str = "atlas-small@1";

fn nodes() -> Vec<Node> {
    let node = |number: usize| Node {
        instance: format!("sidecar-{number}").parse().expect("an id"),
        zone: format!("zone-{}", number % 10).parse().expect("an id"),
        serves: vec![TARGET.to_owned()],
    };
    (0..RUNNERS).map(node).collect()
}

fn subset(entry: usize, nodes: &[Node]) -> Vec<InstanceId> {
    let own = format!("entry-{entry}").parse().expect("an id");
    let zone = format!("zone-{}", entry % 10).parse().expect("an id");
    Subset::choose(&own, &zone, nodes).by_target[TARGET].clone()
}

// A subset by position, as a modulo would give it.
fn by_position(entry: usize, nodes: &[Node], size: usize) -> Vec<InstanceId> {
    (0..size).map(|at| nodes[(entry * size + at) % nodes.len()].instance.clone()).collect()
}

fn moved(before: &[InstanceId], after: &[InstanceId]) -> usize {
    after.iter().filter(|id| !before.contains(id)).count()
}

#[test]
fn a_runner_that_goes_moves_only_its_own_connections() {
    let all = nodes();
    let fewer: Vec<Node> = all.iter().filter(|node| node.instance.as_str() != "sidecar-7").cloned().collect();
    let gone: InstanceId = "sidecar-7".parse().expect("an id");
    let (mut by_hash, mut by_modulo) = (0, 0);
    for entry in 0..ENTRIES {
        let before = subset(entry, &all);
        let after = subset(entry, &fewer);
        assert_eq!(moved(&before, &after), usize::from(before.contains(&gone)));
        by_hash += moved(&before, &after);
        by_modulo += moved(&by_position(entry, &all, before.len()), &by_position(entry, &fewer, before.len()));
    }
    println!("connections that moved: {by_hash} by hash, {by_modulo} by modulo");
    assert!(by_hash * 10 < by_modulo);
}

#[test]
fn every_runner_is_known_to_some_entries_and_none_to_too_many() {
    let all = nodes();
    let mut known: HashMap<InstanceId, usize> = HashMap::new();
    for entry in 0..ENTRIES {
        let chosen = subset(entry, &all);
        assert!(chosen.len() <= 16, "no entry knows all");
        for id in chosen {
            *known.entry(id).or_default() += 1;
        }
    }
    let mean = known.values().sum::<usize>() as f64 / RUNNERS as f64;
    let most = known.values().copied().max().unwrap_or_default();
    println!("known to {mean:.1} entries on average, {most} at most");
    assert_eq!(known.len(), RUNNERS, "none is left out");
    assert!((most as f64) < 2.0 * mean, "{most} against {mean}");
}
