//! Last activity of one upstream over all its connections. A waiting request times out only if no connection of the
//! upstream shows any activity: a retry after a plain time-out would add the same work to an upstream that is merely
//! overloaded.

use std::time::Duration;

use super::pick::PREFILL_TOKENS_PER_MS;
use crate::units::Tokens;

/// Time that the slowest engines take for a long prompt, as a multiple of the nominal time: their rate is lower, and
/// attention makes a token of a long prompt more expensive than one of a short prompt.
const SLOW_PREFILL_FACTOR: f64 = 3.0;

/// Lowest rate that is assumed of an upstream, in tokens per millisecond. Lower ones, as after a fault in a report, would
/// delay the detection of a crash by more than callers wait.
const MIN_PREFILL_RATE: f64 = PREFILL_TOKENS_PER_MS / 8.0;

/// Time for which an upstream may be silent because it processes a prompt of the given weighted length. `rate` is the
/// number of tokens that it processes per millisecond, if known; a high one doesn't shorten the time. Prompts of other
/// requests are left out: those of requests that pile up at a crashed upstream would delay its detection.
#[must_use]
pub fn prefill_allowance(prefill: Tokens, rate: Option<f64>) -> Duration {
    let rate = rate.filter(|rate| rate.is_finite()).unwrap_or(PREFILL_TOKENS_PER_MS);
    let rate = rate.clamp(MIN_PREFILL_RATE, PREFILL_TOKENS_PER_MS);
    Duration::from_secs_f64(SLOW_PREFILL_FACTOR * prefill.0 as f64 / rate / 1000.0)
}

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
