//! Row versions in the replica only increase, whichever source is delayed.

use bluebell_core::replica::{Origin, Replica, Row};
use proptest::prelude::*;

fn row(key: &str, value: Option<&str>, version: u64) -> Row {
    let value = value.map(|text| text.as_bytes().to_vec());
    Row { origin: Origin::Operator, key: key.to_owned(), value, version }
}

#[test]
fn older_rows_are_ignored() {
    let mut replica = Replica::default();
    assert!(replica.apply(row("config", Some("new"), 9)));
    assert!(!replica.apply(row("config", Some("old"), 7)));
    assert!(!replica.apply(row("config", Some("new"), 9)));
    assert_eq!(replica.get(Origin::Operator, "config"), Some((b"new".as_slice(), 9)));
}

#[test]
fn deleted_row_is_not_restored_by_a_delayed_peer() {
    let mut replica = Replica::default();
    replica.apply(row("key", Some("a"), 3));
    assert!(replica.apply(row("key", None, 5)));
    assert!(!replica.apply(row("key", Some("a"), 3)));
    assert_eq!(replica.get(Origin::Operator, "key"), None);
}

#[test]
fn row_deleted_before_a_snapshot_is_not_restored_by_a_delayed_peer() {
    let mut replica = Replica::default();
    replica.apply_snapshot(Origin::Operator, vec![row("kept", Some("c"), 4)], 6);
    assert!(!replica.apply(row("gone", Some("a"), 5)));
    assert!(replica.apply(row("newer", Some("b"), 7)));
    assert_eq!(replica.get(Origin::Operator, "gone"), None);
}

#[test]
fn row_recreated_and_deleted_before_a_snapshot_is_not_restored() {
    let mut replica = Replica::default();
    replica.apply(row("key", Some("a"), 3));
    replica.apply(row("key", None, 5));
    replica.apply_snapshot(Origin::Operator, Vec::new(), 8);
    assert!(!replica.apply(row("key", Some("b"), 7)));
    assert_eq!(replica.get(Origin::Operator, "key"), None);
}

#[test]
fn snapshot_deletes_missing_rows_except_newer_ones() {
    let mut replica = Replica::default();
    replica.apply(row("gone", Some("a"), 2));
    replica.apply(row("newer", Some("b"), 8));
    let changed = replica.apply_snapshot(Origin::Operator, vec![row("kept", Some("c"), 4)], 6);
    let keys: Vec<_> = changed.iter().map(|row| (row.key.as_str(), row.value.is_some())).collect();
    assert_eq!(keys, [("kept", true), ("gone", false)]);
    assert!(replica.get(Origin::Operator, "newer").is_some());
}

#[test]
fn snapshot_of_one_origin_does_not_affect_other_origins() {
    let mut replica = Replica::default();
    replica.apply(Row { origin: Origin::Upstreams, ..row("i-1", Some("a"), 2) });
    assert!(replica.apply_snapshot(Origin::Operator, Vec::new(), 9).is_empty());
    assert!(replica.get(Origin::Upstreams, "i-1").is_some());
}

proptest! {
    // Replicas that receive the same rows in different orders, some of them twice, converge to the same content.
    #[test]
    fn order_of_arrival_does_not_matter(
        rows in prop::collection::vec((0u8..4, prop::option::of(0u8..9)), 1..24),
        order in prop::collection::vec(any::<prop::sample::Index>(), 0..48),
    ) {
        let all: Vec<Row> = rows
            .iter()
            .enumerate()
            .map(|(at, (key, value))| row(&key.to_string(), value.map(|v| v.to_string()).as_deref(), at as u64 + 1))
            .collect();
        let (mut first, mut second) = (Replica::default(), Replica::default());
        for row in &all {
            first.apply(row.clone());
        }
        for at in &order {
            second.apply(at.get(&all).clone());
        }
        for row in all.iter().rev() {
            second.apply(row.clone());
        }
        for key in 0..4 {
            let key = key.to_string();
            prop_assert_eq!(first.get(Origin::Operator, &key), second.get(Origin::Operator, &key));
        }
    }
}
