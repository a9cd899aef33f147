//! Takeover of an attempt whose upstream has fallen silent by an attempt at another upstream.
//!
//! A sound upstream may be silent for a while and then go on. Its attempt is therefore kept until the other upstream has
//! the request and does not refuse it: a takeover that fails at once costs the caller nothing. From then on both
//! upstreams may run the request, so the silent attempt is closed shortly after.

use std::time::Duration;

/// Time for which a silent attempt is kept after the request was sent to the other upstream. A refusal is expected within
/// this time; two upstreams must not run one request for longer than 400 ms.
pub const MAX_OVERLAP: Duration = Duration::from_millis(250);

/// State of one takeover.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Takeover {
    sent_at: Option<Duration>,
}

impl Takeover {
    /// Records that the request was sent to another upstream.
    pub fn record_sent(&mut self, now: Duration) {
        self.sent_at.get_or_insert(now);
    }

    /// Records that the other upstream did not take the request over.
    pub fn record_failure(&mut self) {
        self.sent_at = None;
    }

    /// When the silent attempt must be closed; `None` while no other upstream has the request.
    #[must_use]
    pub fn close_at(&self) -> Option<Duration> {
        self.sent_at.map(|at| at + MAX_OVERLAP)
    }
}
