//! Rendezvous hashing (highest random weight): each key ranks all nodes, so the removal of a node remaps only the keys
//! assigned to it.

use xxhash_rust::xxh3::Xxh3;

/// Score of a node for a key; the node with the highest score ranks first.
#[must_use]
pub fn score(key: &str, node: &str) -> u64 {
    let mut hasher = Xxh3::new();
    hasher.update(key.as_bytes());
    hasher.update(&[0]);
    hasher.update(node.as_bytes());
    hasher.digest()
}

/// The `count` nodes with the highest scores for a key, best first; ties are ordered by name.
pub fn top<'a, T>(
    key: &str,
    nodes: impl Iterator<Item = &'a T>,
    name: impl Fn(&T) -> &str,
    count: usize,
) -> Vec<&'a T> {
    let mut ranked: Vec<(u64, &T)> = nodes.map(|node| (score(key, name(node)), node)).collect();
    ranked.sort_by(|a, b| b.0.cmp(&a.0).then_with(|| name(a.1).cmp(name(b.1))));
    ranked.into_iter().take(count).map(|(_, node)| node).collect()
}

/// Hashes a text to a number between 0 and 1.
#[must_use]
pub fn fraction(text: &str) -> f64 {
    score(text, "fraction") as f64 / u64::MAX as f64
}
