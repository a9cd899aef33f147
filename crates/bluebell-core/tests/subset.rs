//! Subsets by rendezvous hashing: few connections change when a runner is removed, and runners get similar numbers of
//! entries.

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

// Subset by position modulo the number of runners, for comparison.
fn by_modulo_position(entry: usize, nodes: &[Node], size: usize) -> Vec<InstanceId> {
    (0..size).map(|at| nodes[(entry * size + at) % nodes.len()].instance.clone()).collect()
}

fn moved(before: &[InstanceId], after: &[InstanceId]) -> usize {
    after.iter().filter(|id| !before.contains(id)).count()
}

#[test]
fn removed_runner_moves_only_its_own_connections() {
    let all = nodes();
    let remaining: Vec<Node> = all.iter().filter(|node| node.instance.as_str() != "sidecar-7").cloned().collect();
    let removed: InstanceId = "sidecar-7".parse().expect("an id");
    let (mut by_hash, mut by_modulo) = (0, 0);
    for entry in 0..ENTRIES {
        let before = subset(entry, &all);
        let after = subset(entry, &remaining);
        assert_eq!(moved(&before, &after), usize::from(before.contains(&removed)));
        by_hash += moved(&before, &after);
        by_modulo +=
            moved(&by_modulo_position(entry, &all, before.len()), &by_modulo_position(entry, &remaining, before.len()));
    }
    println!("connections that moved: {by_hash} by hash, {by_modulo} by modulo");
    assert!(by_hash * 10 < by_modulo);
}

#[test]
fn runners_are_evenly_distributed_over_entries() {
    let all = nodes();
    let mut entries_by_runner: HashMap<InstanceId, usize> = HashMap::new();
    for entry in 0..ENTRIES {
        let chosen = subset(entry, &all);
        assert!(chosen.len() <= 16, "subset of {} runners", chosen.len());
        for id in chosen {
            *entries_by_runner.entry(id).or_default() += 1;
        }
    }
    let mean = entries_by_runner.values().sum::<usize>() as f64 / RUNNERS as f64;
    let max = entries_by_runner.values().copied().max().unwrap_or_default();
    println!("entries per runner: {mean:.1} on average, {max} at most");
    assert_eq!(entries_by_runner.len(), RUNNERS, "some runners are in no subset");
    assert!((max as f64) < 2.0 * mean, "at most {max} entries per runner, mean {mean}");
}
