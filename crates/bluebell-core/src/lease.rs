//! Leases on work that one instance does for all, kept as one row of the platform's table.
//!
//! A lease is taken by writing the row under the condition that nobody else moved it. Time is only a hint for when
//! to try: what keeps a holder that was paused from doing harm is that each of its writes is conditional on the
//! version of the lease row, and each of its orders carries the fencing number.

use std::time::{Duration, SystemTime};

use serde::{Deserialize, Serialize};

use crate::ids::{Fence, InstanceId};

/// Life of a lease without renewal.
pub const LEASE_LIFE: Duration = Duration::from_secs(6);

/// The row of a lease.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseRow {
    /// Instance that holds it.
    pub holder: InstanceId,
    /// Grows with each change of holder.
    pub fence: Fence,
    /// Time of day at which it lapses.
    pub until: SystemTime,
}

/// What an instance should do about a lease.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum LeaseStep {
    /// Write this row, on condition that the row read has not moved.
    Write(LeaseRow),
    /// Another instance holds it.
    Wait,
}

/// Decides from the row as read whether to take, renew or wait.
#[must_use]
pub fn next_step(row: Option<&LeaseRow>, own: &InstanceId, wall: SystemTime) -> LeaseStep {
    let until = wall + LEASE_LIFE;
    let holder = own.clone();
    match row {
        None => LeaseStep::Write(LeaseRow { holder, fence: Fence(1), until }),
        Some(row) if row.holder == *own => LeaseStep::Write(LeaseRow { holder, fence: row.fence, until }),
        Some(row) if row.until <= wall => LeaseStep::Write(LeaseRow { holder, fence: row.fence.next(), until }),
        Some(_) => LeaseStep::Wait,
    }
}
