//! Local replica of rows in the platform's store, updated from the store's change feed, its snapshots and other
//! gateways. The version of a row only increases, even if a source is delayed. A row that is missing from a snapshot is
//! not restored by a source that has not yet seen its deletion.

use indexmap::{IndexMap, IndexSet};
use serde::{Deserialize, Serialize};

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
    /// Store version of the last change to the row.
    pub version: u64,
}

/// Local replica of the store's rows.
#[derive(Debug, Default)]
pub struct Replica {
    rows: IndexMap<(Origin, String), Row>,
    // Version of the latest snapshot of each origin.
    snapshots: IndexMap<Origin, u64>,
}

impl Replica {
    /// Applies a row. Returns whether it changed the visible content.
    pub fn apply(&mut self, row: Row) -> bool {
        // The rows of the snapshot are already applied; any other row up to its version was replaced or deleted before.
        if self.snapshots.get(&row.origin).is_some_and(|version| row.version <= *version) {
            return false;
        }
        let key = (row.origin, row.key.clone());
        match self.rows.get(&key) {
            Some(current) if current.version >= row.version => return false,
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
    /// from the snapshot is deleted, unless a later version of it is known.
    pub fn apply_snapshot(&mut self, origin: Origin, rows: Vec<Row>, version: u64) -> Vec<Row> {
        let present: IndexSet<&str> = rows.iter().map(|row| row.key.as_str()).collect();
        let is_missing =
            |row: &&Row| row.origin == origin && row.value.is_some() && !present.contains(row.key.as_str());
        let delete = |row: &Row| Row { value: None, version, ..row.clone() };
        let deleted: Vec<Row> = self.rows.values().filter(is_missing).map(delete).collect();
        let all = rows.into_iter().chain(deleted);
        let changed = all.filter_map(|row| self.apply(row.clone()).then_some(row)).collect();
        let latest = self.snapshots.entry(origin).or_default();
        *latest = version.max(*latest);
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
        for (origin, version) in snapshots {
            let live = rows.iter().filter(|row| row.origin == *origin && row.value.is_some()).cloned().collect();
            changed.extend(self.apply_snapshot(*origin, live, *version));
        }
        changed.extend(rows.into_iter().filter(|row| self.apply(row.clone())));
        changed
    }

    /// Content and version of a row, or `None` if it is deleted or unknown.
    #[must_use]
    pub fn get(&self, origin: Origin, key: &str) -> Option<(&[u8], u64)> {
        let row = self.rows.get(&(origin, key.to_owned()))?;
        row.value.as_deref().map(|value| (value, row.version))
    }

    /// All rows, including deleted ones.
    pub fn rows(&self) -> impl Iterator<Item = &Row> {
        self.rows.values()
    }
}
