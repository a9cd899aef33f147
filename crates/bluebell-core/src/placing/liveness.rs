//! Last activity of one upstream over all its connections. A waiting request times out only if no connection of the
//! upstream shows any activity: a retry after a plain time-out would add the same work to an upstream that is merely
//! overloaded.

use std::time::Duration;

/// Time of the last activity of an upstream.
#[derive(Debug, Clone, Copy, Default)]
pub struct Liveness {
    last_activity: Duration,
}

impl Liveness {
    /// Records that data arrived from the upstream.
    pub fn record_activity(&mut self, now: Duration) {
        self.last_activity = self.last_activity.max(now);
    }

    /// Time left until a request sent at `since` counts as lost if no further data arrives; zero if it is lost already.
    #[must_use]
    pub fn remaining(&self, now: Duration, since: Duration, timeout: Duration) -> Duration {
        (self.last_activity.max(since) + timeout).saturating_sub(now)
    }
}
