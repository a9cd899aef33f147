//! Rows with versions, written on conditions.

use std::collections::{BTreeMap, HashMap};

use bluebell_platform::table::{Expect, Row, Write, WriteCall};

/// All rows.
#[derive(Debug, Default)]
pub struct Table {
    rows: BTreeMap<String, Row>,
    version: u64,
    reads: u64,
    writes: u64,
}

impl Table {
    /// Rows by key, in the order asked.
    pub fn read(&mut self, keys: &[String]) -> Vec<Option<Row>> {
        self.reads += 1;
        keys.iter().map(|key| self.rows.get(key).cloned()).collect()
    }

    /// Rows whose keys begin with a prefix.
    pub fn scan(&self, prefix: &str) -> Vec<Row> {
        let from = self.rows.range(prefix.to_owned()..);
        from.take_while(|(key, _)| key.starts_with(prefix)).map(|(_, row)| row.clone()).collect()
    }

    /// Writes on conditions; tells for each whether its condition held.
    pub fn write(&mut self, call: &WriteCall) -> Vec<bool> {
        self.writes += 1;
        if call.atomic {
            let held: Vec<bool> = call.writes.iter().map(|write| self.holds(write)).collect();
            if held.iter().all(|held| *held) {
                call.writes.iter().for_each(|write| self.put(write));
            }
            return held;
        }
        let one = |write: &Write| {
            let held = self.holds(write);
            if held {
                self.put(write);
            }
            held
        };
        call.writes.iter().map(one).collect()
    }

    /// Calls so far.
    pub fn counts(&self) -> HashMap<&'static str, u64> {
        HashMap::from([("reads", self.reads), ("writes", self.writes)])
    }

    fn holds(&self, write: &Write) -> bool {
        match (write.expect, self.rows.get(&write.key)) {
            (Expect::Absent, row) => row.is_none(),
            (Expect::Version(version), row) => row.is_some_and(|row| row.version == version),
        }
    }

    fn put(&mut self, write: &Write) {
        let Some(value) = write.value.clone() else { return };
        self.version += 1;
        let row = Row { key: write.key.clone(), version: self.version, value };
        self.rows.insert(write.key.clone(), row);
    }
}
