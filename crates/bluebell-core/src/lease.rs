//! Leases that elect one instance to perform a task for the whole fleet. Each lease is a row of the platform's table.
//!
//! A lease is acquired by a conditional write of its row, which fails if the row has changed since it was read. The
//! expiry time only tells other instances when to try. Safety against a holder that was paused beyond the expiry comes
//! from its writes being conditional on the version of the lease row. The fencing token numbers the changes of holder,
//! so that orders of an earlier holder can be recognised.

use std::time::{Duration, SystemTime};

use serde::{Deserialize, Serialize};

use crate::ids::{FencingToken, InstanceId};

/// Time after which a lease expires unless it is renewed.
pub const LEASE_DURATION: Duration = Duration::from_secs(6);

/// Stored row of a lease.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseRow {
    /// Instance that holds the lease.
    pub holder: InstanceId,
    /// Fencing token, which increases with each change of holder.
    pub fence: FencingToken,
    /// Wall-clock time at which the lease expires.
    pub until: SystemTime,
}

/// What an instance has to do about a lease.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum LeaseStep {
    /// Acquire or renew the lease by writing this row, provided that the row is unchanged since it was read.
    Write(LeaseRow),
    /// Another instance holds the lease.
    Wait,
}

/// Decides from the stored row whether to acquire the lease, renew it, or wait. `wall` is the wall-clock time.
#[must_use]
pub fn next_step(row: Option<&LeaseRow>, own: &InstanceId, wall: SystemTime) -> LeaseStep {
    let until = wall + LEASE_DURATION;
    let holder = own.clone();
    match row {
        None => LeaseStep::Write(LeaseRow { holder, fence: FencingToken(1), until }),
        Some(row) if row.holder == *own => LeaseStep::Write(LeaseRow { holder, fence: row.fence, until }),
        Some(row) if row.until <= wall => LeaseStep::Write(LeaseRow { holder, fence: row.fence.next(), until }),
        Some(_) => LeaseStep::Wait,
    }
}
