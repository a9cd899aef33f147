//! The clock as an interface, so that decisions run under any time that a test sets.

use std::time::{Duration, SystemTime};

/// Source of time.
pub trait Clock: Send + Sync {
    /// Time since some fixed start; never goes back.
    fn now(&self) -> Duration;

    /// Time of day, for rows that other processes read.
    fn wall(&self) -> SystemTime;
}
