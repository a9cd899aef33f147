//! Replicas of a store that is restored from older copies: what they know of declarations never goes back, and once the
//! writers have written their rows again, all replicas have what the store has.

use std::{collections::BTreeMap, time::Duration};

use bluebell_core::{
    replica::{Origin, Recency, Replica, Row},
    store_version::{era, number, pack},
};
use rand::{Rng, SeedableRng, rngs::StdRng};

const DECLARED: &str = "declared";
const WRITTEN_AGAIN: Duration = Duration::from_secs(7);

// Declarations are texts of numbers, which order them; other rows have no order.
fn recency(row: &Row) -> Option<Recency> {
    let text = std::str::from_utf8(row.value.as_deref()?).ok()?;
    (row.key == DECLARED).then(|| text.parse().ok().map(|number| [number, 0, 0])).flatten()
}

fn row(key: &str, value: Option<&str>, version: u64) -> Row {
    let value = value.map(|text| text.as_bytes().to_vec());
    Row { origin: Origin::Operator, key: key.to_owned(), value, version }
}

fn value(replica: &Replica, key: &str) -> Option<String> {
    replica.get(Origin::Operator, key).map(|(value, _)| String::from_utf8_lossy(value).into_owned())
}

fn release(replica: &mut Replica) -> Vec<Row> {
    assert!(replica.release(Duration::from_secs(100)).is_empty());
    replica.release(Duration::from_secs(100) + WRITTEN_AGAIN)
}

#[test]
fn versions_of_a_later_era_are_higher_and_those_of_the_first_are_the_stores_own() {
    assert_eq!(pack(0, 9), 9);
    assert!(pack(1, 1) > pack(0, u64::MAX));
    assert_eq!((era(pack(3, 7)), number(pack(3, 7))), (3, 7));
    assert!(pack(u64::MAX, 1) >= pack(1 << 19, 1));
}

#[test]
fn row_whose_version_was_given_out_before_is_taken() {
    let mut replica = Replica::with_recency(recency);
    replica.apply_snapshot(Origin::Operator, vec![row("key", Some("a"), 5)], 5);
    replica.apply(row("key", Some("b"), 9));
    replica.apply_snapshot(Origin::Operator, vec![row("key", Some("a"), pack(1, 5))], pack(1, 5));
    assert_eq!(value(&replica, "key").as_deref(), Some("b"), "the row went back to that of the copy");
    assert!(replica.apply(row("key", Some("c"), pack(1, 6))));
    assert_eq!(value(&replica, "key").as_deref(), Some("c"));
    assert_eq!(replica.held(), 0);
}

#[test]
fn lost_row_is_kept_until_it_had_time_to_be_written_again() {
    let mut replica = Replica::default();
    replica.apply_snapshot(Origin::Operator, vec![], 5);
    replica.apply(row("new", Some("a"), 8));
    replica.apply(row("rewritten", Some("a"), 9));
    assert!(replica.apply_snapshot(Origin::Operator, vec![], pack(1, 5)).is_empty());
    let lost: Vec<bool> = replica.take_reverted().iter().map(|one| one.stored.is_none()).collect();
    assert_eq!(lost, [true, true]);
    replica.apply(row("rewritten", Some("a"), pack(1, 6)));
    // Another snapshot of the same era, as after a compaction, doesn't delete it sooner.
    replica.apply_snapshot(Origin::Operator, vec![row("rewritten", Some("a"), pack(1, 6))], pack(1, 7));
    assert!(value(&replica, "new").is_some());
    assert_eq!(release(&mut replica), [row("new", None, pack(1, 5))]);
    assert_eq!((value(&replica, "new"), value(&replica, "rewritten").as_deref()), (None, Some("a")));
}

#[test]
fn row_deleted_since_the_copy_is_not_revived_before_it_had_time_to_be_deleted_again() {
    let mut replica = Replica::default();
    replica.apply_snapshot(Origin::Operator, vec![row("gone", Some("a"), 2), row("back", Some("a"), 3)], 5);
    replica.apply(row("gone", None, 6));
    replica.apply(row("back", None, 7));
    let copy = vec![row("gone", Some("a"), pack(1, 2)), row("back", Some("a"), pack(1, 3))];
    assert!(replica.apply_snapshot(Origin::Operator, copy, pack(1, 5)).is_empty());
    assert!(replica.apply(row("back", Some("b"), pack(1, 6))));
    replica.apply(row("gone", None, pack(1, 7)));
    assert_eq!(release(&mut replica), []);
    assert_eq!((value(&replica, "gone"), value(&replica, "back").as_deref()), (None, Some("b")));
}

#[test]
fn peer_of_an_earlier_era_brings_back_no_rows_but_newer_declarations() {
    let mut replica = Replica::with_recency(recency);
    let copy = vec![row(DECLARED, Some("3"), pack(1, 4)), row("key", Some("a"), pack(1, 2))];
    replica.apply_snapshot(Origin::Operator, copy, pack(1, 5));
    let rows = vec![row(DECLARED, Some("5"), 9), row("key", Some("old"), 8), row("other", Some("old"), 7)];
    let changed = replica.apply_copy(rows, &[(Origin::Operator, 6)]);
    assert_eq!(changed.len(), 1);
    assert_eq!(value(&replica, DECLARED).as_deref(), Some("5"));
    assert_eq!((value(&replica, "key").as_deref(), value(&replica, "other")), (Some("a"), None));
    assert!(replica.apply(row(DECLARED, Some("6"), pack(1, 6))));
}

#[test]
fn declarations_that_are_written_again_one_by_one_do_not_go_back() {
    let mut replica = Replica::with_recency(recency);
    replica.apply_snapshot(Origin::Operator, vec![row(DECLARED, Some("7"), 9)], 9);
    replica.apply_snapshot(Origin::Operator, vec![row(DECLARED, Some("3"), pack(1, 4))], pack(1, 4));
    for (number, text) in [(5, "4"), (6, "6")] {
        assert!(!replica.apply(row(DECLARED, Some(text), pack(1, number))));
    }
    assert_eq!(release(&mut replica), []);
    assert_eq!(value(&replica, DECLARED).as_deref(), Some("7"));
    replica.apply(row(DECLARED, Some("7"), pack(1, 7)));
    assert!(replica.apply(row(DECLARED, Some("8"), pack(1, 8))));
}

/// A store whose rows are all written again after a restore.
#[derive(Default)]
struct Store {
    rows: BTreeMap<String, Row>,
    era: u64,
    number: u64,
    written: BTreeMap<String, Option<String>>,
}

impl Store {
    fn put(&mut self, key: &str, value: Option<String>) {
        self.number += 1;
        self.rows.insert(key.to_owned(), row(key, value.as_deref(), pack(self.era, self.number)));
        self.written.insert(key.to_owned(), value);
    }

    fn snapshot(&self) -> (Vec<Row>, u64) {
        (self.rows.values().filter(|row| row.value.is_some()).cloned().collect(), pack(self.era, self.number))
    }

    fn restore(&mut self, (rows, number): &(BTreeMap<String, Row>, u64)) {
        self.era += 1;
        let repack = |row: &Row| Row {
            version: pack(self.era, bluebell_core::store_version::number(row.version)),
            ..row.clone()
        };
        self.rows = rows.iter().map(|(key, row)| (key.clone(), repack(row))).collect();
        self.number = *number;
    }

    fn write_again(&mut self) {
        for (key, value) in self.written.clone() {
            let stored = self.rows.get(&key).and_then(|row| row.value.clone());
            if stored.as_deref() != value.as_deref().map(str::as_bytes) {
                self.put(&key, value);
            }
        }
    }
}

/// What a replica has read of the store, in one era.
struct Reader {
    replica: Replica,
    position: Option<u64>,
    declared: u64,
}

impl Reader {
    // As a gateway does: a snapshot first and in each new era, changes otherwise.
    fn read(&mut self, store: &Store) {
        let (rows, version) = store.snapshot();
        if self.position.is_none_or(|position| era(position) != store.era) {
            self.replica.apply_snapshot(Origin::Operator, rows, version);
        } else {
            let position = self.position.unwrap_or_default();
            let changes = store.rows.values().filter(|row| row.version > position).cloned().collect();
            self.replica.apply_copy(changes, &[]);
        }
        self.position = Some(version);
    }
}

#[test]
fn replicas_converge_and_declarations_never_go_back_through_restores_in_any_order() {
    for seed in 0..400 {
        let mut rng = StdRng::seed_from_u64(seed);
        let mut store = Store::default();
        let mut declared = 0;
        let new = || Reader { replica: Replica::with_recency(recency), position: None, declared: 0 };
        let mut readers: Vec<Reader> = (0..3).map(|_| new()).collect();
        let mut copy = (BTreeMap::new(), 0);
        for _ in 0..60 {
            match rng.random_range(0..12) {
                0 => copy = (store.rows.clone(), store.number),
                1 if copy.1 > 0 => {
                    store.restore(&copy);
                    if rng.random_bool(0.5) {
                        store.write_again();
                    }
                }
                2..=3 => {
                    declared += rng.random_range(1..4);
                    store.put(DECLARED, Some(declared.to_string()));
                }
                4..=5 => {
                    let value = rng.random_bool(0.7).then(|| rng.random_range(0..5u8).to_string());
                    store.put(&format!("key-{}", rng.random_range(0..3u8)), value);
                }
                6..=8 => {
                    let reader = rng.random_range(0..3usize);
                    readers[reader].read(&store);
                }
                9..=10 => {
                    let (from, to) = (rng.random_range(0..3usize), rng.random_range(0..3usize));
                    let rows: Vec<Row> = readers[from].replica.rows().cloned().collect();
                    let snapshots: Vec<(Origin, u64)> = readers[from].replica.snapshots().collect();
                    readers[to].replica.apply_copy(rows, &snapshots);
                }
                _ => store.write_again(),
            }
            for reader in &mut readers {
                let known = value(&reader.replica, DECLARED).and_then(|text| text.parse().ok()).unwrap_or(0);
                assert!(known >= reader.declared, "seed {seed}: declarations went back from {}", reader.declared);
                reader.declared = known;
            }
        }
        store.write_again();
        for reader in &mut readers {
            reader.read(&store);
            release(&mut reader.replica);
            for (key, written) in &store.written {
                assert_eq!(value(&reader.replica, key), *written, "seed {seed}: {key}");
            }
        }
    }
}
