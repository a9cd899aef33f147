//! Signs of life of one upstream. A request that waits there is given up only when the upstream has shown none on any
//! connection: one that is merely busy would get the same work a second time, which is what it can bear least.

use std::time::Duration;

/// When an upstream showed signs of life.
#[derive(Debug, Clone, Copy, Default)]
pub struct Liveness {
    heard: Duration,
}

impl Liveness {
    /// Something came from the upstream.
    pub fn hear(&mut self, now: Duration) {
        self.heard = self.heard.max(now);
    }

    /// Time after which a request counts as swallowed, where nothing more is heard; zero if it does so now.
    #[must_use]
    pub fn remaining(&self, now: Duration, since: Duration, patience: Duration) -> Duration {
        (self.heard.max(since) + patience).saturating_sub(now)
    }
}
