//! In-memory model of the store: rows with a common version counter, and a change history that can be compacted.

use bluebell_core::replica::{Origin, Row};
use indexmap::IndexMap;

#[derive(Debug, Default)]
pub struct Store {
    rows: IndexMap<(Origin, String), Row>,
    pub version: u64,
    // The history up to this version is no longer available.
    compacted_version: u64,
}

impl Store {
    pub fn put(&mut self, origin: Origin, key: &str, value: Option<String>) -> u64 {
        self.version += 1;
        let row = Row { origin, key: key.to_owned(), value: value.map(String::into_bytes), version: self.version };
        self.rows.insert((origin, key.to_owned()), row);
        self.version
    }

    /// Writes a row if its current version is the expected one. Returns the new version, or `None` on a conflict.
    pub fn put_if(&mut self, origin: Origin, key: &str, expected: u64, value: String) -> Option<u64> {
        (self.current_version(origin, key) == expected).then(|| self.put(origin, key, Some(value)))
    }

    /// Version of a row, 0 if it doesn't exist.
    pub fn current_version(&self, origin: Origin, key: &str) -> u64 {
        let row = self.rows.get(&(origin, key.to_owned())).filter(|row| row.value.is_some());
        row.map_or(0, |row| row.version)
    }

    pub fn snapshot(&self, origin: Origin) -> Vec<Row> {
        self.rows.values().filter(|row| row.origin == origin && row.value.is_some()).cloned().collect()
    }

    /// Rows that changed after a version, or `None` if the history since then was compacted.
    pub fn changes(&self, origin: Origin, after: u64) -> Option<Vec<Row>> {
        let mut rows: Vec<Row> =
            self.rows.values().filter(|row| row.origin == origin && row.version > after).cloned().collect();
        rows.sort_by_key(|row| row.version);
        (after >= self.compacted_version).then_some(rows)
    }

    pub fn compact(&mut self) {
        self.compacted_version = self.version;
    }

    pub fn rows(&self) -> impl Iterator<Item = &Row> {
        self.rows.values()
    }
}
