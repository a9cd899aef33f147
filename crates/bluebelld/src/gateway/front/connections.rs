//! Open connections of callers. When their number reaches its limit, the one that has been idle for longest is closed for
//! each new one.

use std::{
    collections::HashMap,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
};

use super::activity::Activity;

/// Connections being closed for new ones are at most the limit divided by this.
const CLOSING_DIVISOR: usize = 8;

#[derive(Default)]
struct Open {
    by_number: HashMap<u64, Arc<Activity>>,
    next_number: u64,
    // Includes connections that are being closed for new ones.
    count: usize,
}

impl Open {
    fn close_longest_idle(&mut self) -> bool {
        let idle = self.by_number.iter().filter_map(|(number, state)| state.idle_since().map(|at| (at, *number)));
        let Some((_, number)) = idle.min() else { return false };
        if let Some(activity) = self.by_number.remove(&number) {
            activity.close();
        }
        true
    }
}

/// Open connections of callers.
pub struct Connections {
    open: Mutex<Open>,
    limit: usize,
}

/// What happens to a new connection.
pub enum Admission {
    /// It is served.
    Free(Slot),
    /// It is served, and an idle one is closed for it.
    Replaces(Slot),
    /// It is closed, as there are too many and none is idle.
    Refused,
}

/// Place of an open connection, given back on drop.
pub struct Slot {
    connections: Arc<Connections>,
    number: u64,
}

impl Connections {
    /// Creates the registry, without connections.
    #[must_use]
    pub fn new(limit: usize) -> Arc<Self> {
        Arc::new(Self { open: Mutex::default(), limit })
    }

    fn lock(&self) -> MutexGuard<'_, Open> {
        self.open.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Number of open connections.
    #[must_use]
    pub fn count(&self) -> usize {
        self.lock().count
    }

    /// Decides about a new connection.
    #[must_use]
    pub fn admit(self: &Arc<Self>, activity: &Arc<Activity>) -> Admission {
        let mut open = self.lock();
        let is_full = open.by_number.len() >= self.limit;
        let is_over = open.count >= self.limit + self.limit / CLOSING_DIVISOR;
        if is_over || (is_full && !open.close_longest_idle()) {
            return Admission::Refused;
        }
        let number = open.next_number;
        open.next_number += 1;
        open.count += 1;
        open.by_number.insert(number, Arc::clone(activity));
        let slot = Slot { connections: Arc::clone(self), number };
        if is_full { Admission::Replaces(slot) } else { Admission::Free(slot) }
    }
}

impl Drop for Slot {
    fn drop(&mut self) {
        let mut open = self.connections.lock();
        open.by_number.remove(&self.number);
        open.count -= 1;
    }
}
