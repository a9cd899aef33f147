//! Times at which callers come back that were refused because all upstreams are at their limits. Answers an overload:
//! callers that all came back as soon as one request has room would all but one be refused again.

use std::time::Duration;

use crate::units::Rate;

/// Longest time until a caller comes back. Callers that can't wait as long return elsewhere.
const MAX_RETURN_TIME: Duration = Duration::from_secs(5);

/// Schedule of the returns to one service.
#[derive(Debug, Clone, Copy, Default)]
pub struct ReturnQueue {
    next: Duration,
}

impl ReturnQueue {
    /// Time after which a refused caller is to come back. `first` is the time until a request has room, `rate` the one at
    /// which further ones have.
    pub fn schedule(&mut self, now: Duration, first: Duration, rate: Rate) -> Duration {
        let latest = now + MAX_RETURN_TIME;
        let at = self.next.max(now + first).min(latest);
        let pause = Duration::try_from_secs_f64(1.0 / rate.value()).unwrap_or(MAX_RETURN_TIME);
        self.next = at.saturating_add(pause).min(latest);
        at - now
    }
}
