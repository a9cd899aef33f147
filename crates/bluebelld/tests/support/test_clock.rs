//! A clock that tests set.

use std::{
    sync::atomic::{AtomicU64, Ordering},
    time::{Duration, SystemTime},
};

use bluebell_core::clock::Clock;

/// A clock that stands still until it is set.
#[derive(Default)]
pub struct TestClock {
    now_ms: AtomicU64,
}

impl TestClock {
    /// Sets the monotonic time.
    pub fn set(&self, now: Duration) {
        self.now_ms.store(now.as_millis() as u64, Ordering::Relaxed);
    }
}

impl Clock for TestClock {
    fn now(&self) -> Duration {
        Duration::from_millis(self.now_ms.load(Ordering::Relaxed))
    }

    fn wall(&self) -> SystemTime {
        SystemTime::UNIX_EPOCH + self.now()
    }
}
