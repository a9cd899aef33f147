//! Clock of the operating system.

use std::time::{Duration, Instant, SystemTime};

use bluebell_core::clock::Clock;

/// Clock of the operating system; its monotonic time starts at zero when it is created.
#[derive(Debug, Clone, Copy)]
pub struct SystemClock {
    start: Instant,
}

impl SystemClock {
    /// Creates a clock whose monotonic time starts at zero.
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
