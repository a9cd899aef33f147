//! The store: rows with one counter of versions, and a history that it may forget.

use bluebell_core::replica::{Origin, Row};
use indexmap::IndexMap;

#[derive(Debug, Default)]
pub struct Store {
    rows: IndexMap<(Origin, String), Row>,
    pub version: u64,
    floor: u64,
}

impl Store {
    pub fn put(&mut self, origin: Origin, key: &str, value: Option<String>) -> u64 {
        self.version += 1;
        let row = Row { origin, key: key.to_owned(), value: value.map(String::into_bytes), version: self.version };
        self.rows.insert((origin, key.to_owned()), row);
        self.version
    }

    /// Writes a row on the condition that it stands at a version; none where it doesn't.
    pub fn put_if(&mut self, origin: Origin, key: &str, expected: u64, value: String) -> Option<u64> {
        (self.standing(origin, key) == expected).then(|| self.put(origin, key, Some(value)))
    }

    /// Version of a row, 0 where it doesn't exist.
    pub fn standing(&self, origin: Origin, key: &str) -> u64 {
        let row = self.rows.get(&(origin, key.to_owned())).filter(|row| row.value.is_some());
        row.map_or(0, |row| row.version)
    }

    pub fn snapshot(&self, origin: Origin) -> Vec<Row> {
        self.rows.values().filter(|row| row.origin == origin && row.value.is_some()).cloned().collect()
    }

    /// Rows that changed after a version; none where the history is gone.
    pub fn changes(&self, origin: Origin, after: u64) -> Option<Vec<Row>> {
        let mut rows: Vec<Row> =
            self.rows.values().filter(|row| row.origin == origin && row.version > after).cloned().collect();
        rows.sort_by_key(|row| row.version);
        (after >= self.floor).then_some(rows)
    }

    pub fn compact(&mut self) {
        self.floor = self.version;
    }

    pub fn rows(&self) -> impl Iterator<Item = &Row> {
        self.rows.values()
    }
}
