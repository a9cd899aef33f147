//! Local replica of rows in the platform's store, updated from the store's change feed, its snapshots and other
//! gateways. The version of a row only increases, even if a source is delayed. A row that is missing from a snapshot is
//! not restored by a source that has not yet seen its deletion.
//!
//! When the store itself was restored from an older copy, the replica knows more than the store. Operators and upstreams
//! write theirs again, so where the two differ the replica keeps what it knows for a while; see [`Replica::release`].

mod restore;

use std::cmp::Ordering;

use indexmap::{IndexMap, IndexSet};
use restore::Held;
pub use restore::Reverted;
use serde::{Deserialize, Serialize};

use crate::store_version;

/// Writer of a row.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Origin {
    /// Operators, who write declarations and roll-out orders.
    Operator,
    /// Upstreams, which register themselves.
    Upstreams,
    /// Gateways, for data shared among them.
    Fleet,
    /// Gateways, for reports to operators.
    Reports,
    /// Entries and sidecars, which write settings, intents, sessions and bills.
    Records,
    /// The deployment, which lists the instances of entries and sidecars.
    Instances,
    /// Sources of answer ratings.
    Ratings,
}

/// A row at one version.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Row {
    /// Writer of the row.
    pub origin: Origin,
    /// Key, unique for each writer.
    pub key: String,
    /// Content, or `None` if the row is deleted.
    pub value: Option<Vec<u8>>,
    /// Store version of the last change to the row; see [`crate::store_version`].
    pub version: u64,
}

/// What orders the contents of a row, whatever their versions are. A content without it is ordered by version alone.
pub type Recency = [u64; 3];

/// Reads the recency of a row's content.
pub type ReadRecency = fn(&Row) -> Option<Recency>;

/// Local replica of the store's rows.
#[derive(Debug, Default)]
pub struct Replica {
    rows: IndexMap<(Origin, String), Row>,
    // Version of the latest snapshot of each origin.
    snapshots: IndexMap<Origin, u64>,
    recency: Option<ReadRecency>,
    // Rows of which the store, since it was restored, has another content than the replica.
    held: IndexMap<(Origin, String), Held>,
    reverted: Vec<Reverted>,
}

impl Replica {
    /// Creates a replica that compares contents by the given recency where versions can't be compared.
    #[must_use]
    pub fn with_recency(recency: ReadRecency) -> Self {
        Self { recency: Some(recency), ..Self::default() }
    }

    /// Applies a row. Returns whether it changed the visible content.
    pub fn apply(&mut self, row: Row) -> bool {
        let key = (row.origin, row.key.clone());
        if self.held.contains_key(&key) {
            return self.apply_to_held(&key, row);
        }
        let current = self.rows.get(&key);
        // Within an era, versions tell which content is newer.
        let by_content =
            current.filter(|current| !is_same_era(&row, current)).and_then(|current| self.compare(&row, current));
        // The rows of the snapshot are already applied; any other row up to its version was replaced or deleted before.
        let is_in_snapshot = self.snapshots.get(&row.origin).is_some_and(|version| row.version <= *version);
        match current {
            Some(current) if is_in_snapshot || current.version >= row.version => {
                let is_lost_change = by_content == Some(Ordering::Greater);
                if is_lost_change {
                    let stored = current.clone();
                    self.rows.insert(key.clone(), row);
                    self.hold(key, stored);
                }
                return is_lost_change;
            }
            None if is_in_snapshot => return false,
            Some(_) if by_content == Some(Ordering::Less) => {
                self.hold(key, row);
                return false;
            }
            None if row.value.is_none() => {
                self.rows.insert(key, row);
                return false;
            }
            _ => {}
        }
        self.rows.insert(key, row);
        true
    }

    /// Applies a snapshot: all rows of an origin as of one store version. Returns the rows that changed. A row missing
    /// from the snapshot is deleted, unless a later version of it is known, or the store was restored since.
    pub fn apply_snapshot(&mut self, origin: Origin, rows: Vec<Row>, version: u64) -> Vec<Row> {
        match self.known_era(origin).map(|known| store_version::era(version).cmp(&known)) {
            Some(Ordering::Less) => return Vec::new(),
            Some(Ordering::Greater) => return self.apply_restored(origin, rows, version),
            Some(Ordering::Equal) | None => {}
        }
        let present: IndexSet<&str> = rows.iter().map(|row| row.key.as_str()).collect();
        let is_missing = |row: &&Row| {
            row.origin == origin && row.value.is_some() && !present.contains(row.key.as_str()) && !self.is_lost(row)
        };
        let delete = |row: &Row| Row { value: None, version, ..row.clone() };
        let deleted: Vec<Row> = self.rows.values().filter(is_missing).map(delete).collect();
        let all = rows.into_iter().chain(deleted);
        let changed = all.filter_map(|row| self.apply(row.clone()).then_some(row)).collect();
        self.record_snapshot(origin, version);
        changed
    }

    /// Version of the latest snapshot of each origin. A row up to that version that is not in the replica does not
    /// exist.
    pub fn snapshots(&self) -> impl Iterator<Item = (Origin, u64)> {
        self.snapshots.iter().map(|(origin, version)| (*origin, *version))
    }

    /// Merges the rows and snapshot versions of another replica. Returns the rows that changed.
    pub fn apply_copy(&mut self, rows: Vec<Row>, snapshots: &[(Origin, u64)]) -> Vec<Row> {
        let mut changed = Vec::new();
        let mut from_later_era = IndexSet::new();
        for (origin, version) in snapshots {
            if self.known_era(*origin).is_some_and(|known| known < store_version::era(*version)) {
                from_later_era.insert(*origin);
                continue;
            }
            let live = rows.iter().filter(|row| row.origin == *origin && row.value.is_some()).cloned().collect();
            changed.extend(self.apply_snapshot(*origin, live, *version));
        }
        // What a later era lacks or has in another content is for the store itself to tell.
        let is_new = |replica: &Self, row: &Row| match replica.rows.get(&(row.origin, row.key.clone())) {
            Some(known) => replica.compare(row, known) == Some(Ordering::Greater),
            None => true,
        };
        for row in rows {
            if (!from_later_era.contains(&row.origin) || is_new(self, &row)) && self.apply(row.clone()) {
                changed.push(row);
            }
        }
        changed
    }

    /// Content and version of a row, or `None` if it is deleted or unknown.
    #[must_use]
    pub fn get(&self, origin: Origin, key: &str) -> Option<(&[u8], u64)> {
        let row = self.rows.get(&(origin, key.to_owned()))?;
        row.value.as_deref().map(|value| (value, row.version))
    }

    /// All rows, including deleted ones, and what the store holds of those of which the replica keeps another content.
    pub fn rows(&self) -> impl Iterator<Item = &Row> {
        self.rows.values().chain(self.held.values().map(Held::stored).filter(|row| row.value.is_some()))
    }

    fn record_snapshot(&mut self, origin: Origin, version: u64) {
        let latest = self.snapshots.entry(origin).or_default();
        *latest = version.max(*latest);
    }

    // Compares the contents of two rows, if both have a recency.
    fn compare(&self, row: &Row, other: &Row) -> Option<Ordering> {
        let recency = self.recency?;
        Some(recency(row)?.cmp(&recency(other)?))
    }
}

fn is_same_era(row: &Row, other: &Row) -> bool {
    store_version::era(row.version) == store_version::era(other.version)
}
