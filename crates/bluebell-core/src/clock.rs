//! The clock as an interface, so that decisions run under any time that a test sets.

use std::time::{Duration, Instant, SystemTime};

/// Source of time.
pub trait Clock: Send + Sync {
    /// Time since some fixed start; never goes back.
    fn now(&self) -> Duration;

    /// Time of day, for rows that other processes read.
    fn wall(&self) -> SystemTime;
}

/// The machine's clock.
#[derive(Debug, Clone, Copy)]
pub struct SystemClock {
    start: Instant,
}

impl SystemClock {
    /// Starts a clock at zero.
    #[must_use]
    pub fn start() -> Self {
        Self { start: Instant::now() }
    }
}

impl Clock for SystemClock {
    fn now(&self) -> Duration {
        self.start.elapsed()
    }

    fn wall(&self) -> SystemTime {
        SystemTime::now()
    }
}
