//! A copy of rows that lie in the platform's store, fed by several sources: the store's feed, its snapshots, and
//! other entries. Each row only moves forward in version, whichever source is late; one that a snapshot lacks does not
//! come back from a source that missed its deletion.

use indexmap::{IndexMap, IndexSet};
use serde::{Deserialize, Serialize};

/// Who writes a row.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Origin {
    /// Operators: declarations and orders.
    Operator,
    /// Upstreams, about themselves.
    Upstreams,
    /// The entries, for each other.
    Fleet,
    /// The entries, for operators.
    Reports,
    /// Entries and sidecars: settings, intents, sessions and bills.
    Records,
    /// The deployment: instances of entries and sidecars.
    Instances,
    /// Whoever rates answers.
    Ratings,
}

/// A row at one version.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Row {
    /// Who writes it.
    pub origin: Origin,
    /// Its key.
    pub key: String,
    /// Its content; none once it is deleted.
    pub value: Option<Vec<u8>>,
    /// Version of the store at which it became so.
    pub version: u64,
}

/// Rows of the store as far as known here.
#[derive(Debug, Default)]
pub struct Replica {
    rows: IndexMap<(Origin, String), Row>,
    // Version of the latest snapshot of each origin.
    snapshots: IndexMap<Origin, u64>,
}

impl Replica {
    /// Takes a row; tells whether it is news.
    pub fn apply(&mut self, row: Row) -> bool {
        // Whatever the snapshot held is known; the rest had been replaced or deleted before it.
        if self.snapshots.get(&row.origin).is_some_and(|version| row.version <= *version) {
            return false;
        }
        let key = (row.origin, row.key.clone());
        match self.rows.get(&key) {
            Some(known) if known.version >= row.version => return false,
            None if row.value.is_none() => {
                self.rows.insert(key, row);
                return false;
            }
            _ => {}
        }
        self.rows.insert(key, row);
        true
    }

    /// Takes all rows of an origin as of one version of the store; gives those that changed. A row that is missing
    /// was deleted, unless a later version of it is known.
    pub fn apply_snapshot(&mut self, origin: Origin, rows: Vec<Row>, version: u64) -> Vec<Row> {
        let present: IndexSet<&str> = rows.iter().map(|row| row.key.as_str()).collect();
        let is_gone = |row: &&Row| row.origin == origin && row.value.is_some() && !present.contains(row.key.as_str());
        let gone = |row: &Row| Row { value: None, version, ..row.clone() };
        let lost: Vec<Row> = self.rows.values().filter(is_gone).map(gone).collect();
        let all = rows.into_iter().chain(lost);
        let news = all.filter_map(|row| self.apply(row.clone()).then_some(row)).collect();
        let latest = self.snapshots.entry(origin).or_default();
        *latest = version.max(*latest);
        news
    }

    /// Versions of the latest snapshots: rows up to there that are not known here do not exist.
    pub fn snapshots(&self) -> impl Iterator<Item = (Origin, u64)> {
        self.snapshots.iter().map(|(origin, version)| (*origin, *version))
    }

    /// Takes all that another copy knows, with the versions of its snapshots; gives the rows that changed.
    pub fn apply_copy(&mut self, rows: Vec<Row>, snapshots: &[(Origin, u64)]) -> Vec<Row> {
        let mut news = Vec::new();
        for (origin, version) in snapshots {
            let live = rows.iter().filter(|row| row.origin == *origin && row.value.is_some()).cloned().collect();
            news.extend(self.apply_snapshot(*origin, live, *version));
        }
        news.extend(rows.into_iter().filter(|row| self.apply(row.clone())));
        news
    }

    /// A row's content and version, unless it is deleted.
    #[must_use]
    pub fn get(&self, origin: Origin, key: &str) -> Option<(&[u8], u64)> {
        let row = self.rows.get(&(origin, key.to_owned()))?;
        row.value.as_deref().map(|value| (value, row.version))
    }

    /// All rows, deleted ones included.
    pub fn rows(&self) -> impl Iterator<Item = &Row> {
        self.rows.values()
    }
}
