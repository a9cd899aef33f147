//! Abstraction of the clock, so that tests can control the time.

use std::time::{Duration, SystemTime};

/// Source of time.
pub trait Clock: Send + Sync {
    /// Monotonic time since an arbitrary fixed start.
    fn now(&self) -> Duration;

    /// Wall-clock time, for rows and tokens that other processes read.
    fn wall(&self) -> SystemTime;
}
