//! What a replica does when the store was restored from an older copy: it keeps what it knows where the store has
//! something older, until the writers of the rows have written them again or had time enough to do so.

use std::{cmp::Ordering, time::Duration};

use indexmap::{IndexMap, IndexSet};

use super::{Origin, Replica, Row};
use crate::store_version;

/// Time that the writers of rows have to write them again: upstreams do so within about two seconds, and registrations
/// of those that are gone lapse within about four.
const REWRITE_PERIOD: Duration = Duration::from_secs(6);

/// What the store holds of a row of which the replica keeps another content.
#[derive(Debug, Clone)]
pub(super) struct Held {
    // Without a value if the store lacks the row.
    stored: Row,
    // Set by the next call of `release`.
    until: Option<Duration>,
}

impl Held {
    pub(super) fn stored(&self) -> &Row {
        &self.stored
    }
}

/// A row that the store has lost, or has in another version than before, since it was restored.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Reverted {
    /// What the replica knows, and keeps.
    pub known: Row,
    /// What the store holds; none if it lacks the row.
    pub stored: Option<Row>,
}

impl Reverted {
    /// Whether the store holds the content that the replica knows.
    #[must_use]
    pub fn is_renumbered(&self) -> bool {
        self.stored.as_ref().is_some_and(|stored| stored.value == self.known.value)
    }
}

impl Replica {
    /// Takes the rows that were found to be reverted since the last call.
    pub fn take_reverted(&mut self) -> Vec<Reverted> {
        std::mem::take(&mut self.reverted)
    }

    /// Accepts what the store holds of the rows that were not written again in time. Returns those that changed. A
    /// content that is known to be older is never accepted, except for a registration: an upstream that runs renews it.
    pub fn release(&mut self, now: Duration) -> Vec<Row> {
        self.held.values_mut().for_each(|held| _ = held.until.get_or_insert(now + REWRITE_PERIOD));
        let is_due = |held: &Held| held.until.is_some_and(|until| now >= until);
        let is_older = |key: &(Origin, String), held: &Held| {
            let known = self.rows.get(key).and_then(|known| self.compare(&held.stored, known));
            known == Some(Ordering::Less) && key.0 != Origin::Upstreams
        };
        let due = self.held.iter().filter(|(key, held)| is_due(held) && !is_older(key, held));
        let due: Vec<(Origin, String)> = due.map(|(key, _)| key.clone()).collect();
        let rows: Vec<Row> = due.iter().filter_map(|key| self.held.shift_remove(key)).map(|held| held.stored).collect();
        rows.iter().for_each(|row| drop(self.rows.insert((row.origin, row.key.clone()), row.clone())));
        rows
    }

    /// Number of rows of which the replica keeps another content than the store has.
    #[must_use]
    pub fn held(&self) -> usize {
        self.held.len()
    }

    // Latest era in which rows of an origin were read; none if there were none.
    pub(super) fn known_era(&self, origin: Origin) -> Option<u64> {
        self.snapshots.get(&origin).map(|version| store_version::era(*version))
    }

    // Whether a row is kept although the store lacks it since it was restored.
    pub(super) fn is_lost(&self, row: &Row) -> bool {
        self.held.get(&(row.origin, row.key.clone())).is_some_and(|held| held.stored.value.is_none())
    }

    // Keeps the known content of a row, of which the store holds another one.
    pub(super) fn hold(&mut self, key: (Origin, String), stored: Row) {
        if let Some(known) = self.rows.get(&key) {
            self.reverted.push(Reverted { known: known.clone(), stored: Some(stored.clone()) });
        }
        self.held.insert(key, Held { stored, until: None });
    }

    pub(super) fn apply_to_held(&mut self, key: &(Origin, String), row: Row) -> bool {
        let is_older = self.rows.get(key).and_then(|known| self.compare(&row, known)) == Some(Ordering::Less);
        let Some(held) = self.held.get_mut(key) else { return false };
        if row.version <= held.stored.version {
            return false;
        }
        if is_older {
            held.stored = row;
            return false;
        }
        self.held.shift_remove(key);
        self.rows.insert(key.clone(), row);
        true
    }

    // Applies the first snapshot of an origin since the store was restored.
    pub(super) fn apply_restored(&mut self, origin: Origin, rows: Vec<Row>, version: u64) -> Vec<Row> {
        self.held.retain(|(held, _), _| *held != origin);
        let present: IndexSet<String> = rows.iter().map(|row| row.key.clone()).collect();
        let mut changed: Vec<Row> =
            rows.into_iter().filter_map(|row| self.apply_restored_row(row.clone()).then_some(row)).collect();
        let is_missing = |(key, row): &(&(Origin, String), &Row)| {
            key.0 == origin && row.value.is_some() && row.version <= version && !present.contains(&key.1)
        };
        let missing: IndexMap<(Origin, String), Row> =
            self.rows.iter().filter(is_missing).map(|(key, row)| (key.clone(), row.clone())).collect();
        for (key, known) in missing {
            let stored = Row { value: None, version, ..known.clone() };
            if store_version::era(known.version) == store_version::era(version) {
                // A peer had already read it since the restore, so it was deleted after that.
                self.rows.insert(key, stored.clone());
                changed.push(stored);
            } else {
                self.held.insert(key, Held { stored, until: None });
                self.reverted.push(Reverted { known, stored: None });
            }
        }
        self.record_snapshot(origin, version);
        changed
    }

    fn apply_restored_row(&mut self, row: Row) -> bool {
        let key = (row.origin, row.key.clone());
        let Some(known) = self.rows.get(&key) else {
            self.rows.insert(key, row);
            return true;
        };
        if store_version::era(known.version) == store_version::era(row.version) {
            return self.apply(row);
        }
        if known.value == row.value {
            self.rows.insert(key, row.clone());
            self.reverted.push(Reverted { known: row.clone(), stored: Some(row) });
            return false;
        }
        if self.compare(&row, known) == Some(Ordering::Greater) {
            self.rows.insert(key, row);
            return true;
        }
        self.hold(key, row);
        false
    }
}
