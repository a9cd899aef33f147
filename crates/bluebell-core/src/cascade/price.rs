//! Price of engine time. It is zero while no prompt waits and rises smoothly with the time that prompts wait, so that a
//! little more load takes a little less of the largest model. A choice between two states instead makes gateways that
//! see the same engines stop and start escalating together.

use std::time::Duration;

/// Time that prompts wait at which engine time has the price 1.
const UNIT_BACKLOG: Duration = Duration::from_millis(300);
/// Price above which no answer to a request of rank 0 is escalated. Prompts wait 1.2 s then, which leaves time for one
/// escalation within the shortest target latency of a stream.
const URGENT_LIMIT: f64 = 4.0;
/// Ratio between the limits of two successive ranks.
const RANK_RATIO: f64 = 1.3;
/// Exponent with which the willingness to pay falls towards the limit. Above 1, a short queue changes little.
const EXPONENT: f64 = 1.5;
/// Price from which on the largest model doesn't answer first when the retry budget allows no escalation.
const DIRECT_LIMIT: f64 = 1.0;

/// Price of engine time at the upstreams that a request may go to: zero while no prompt waits, and proportional to the
/// time that prompts wait.
#[derive(Debug, Clone, Copy, PartialEq, PartialOrd, Default)]
pub struct EnginePrice(f64);

impl EnginePrice {
    /// Engine time costs nothing.
    pub const FREE: Self = Self(0.0);

    /// Price where prompts wait this long to be processed.
    #[must_use]
    pub fn of_backlog(backlog: Duration) -> Self {
        Self(backlog.as_secs_f64() / UNIT_BACKLOG.as_secs_f64())
    }

    /// Price for an organisation, given the factor for its use of engine time; see [`EngineShares`](super::EngineShares).
    #[must_use]
    pub fn scaled(self, factor: f64) -> Self {
        if factor.is_finite() { Self(self.0 * factor.max(0.0)) } else { self }
    }

    /// The price.
    #[must_use]
    pub fn value(self) -> f64 {
        self.0
    }

    /// Whether the largest model may answer first.
    #[must_use]
    pub fn allows_largest_first(self) -> bool {
        self.0 < DIRECT_LIMIT
    }

    /// How much of the confidence that is required at no price is required at this one, between 0 and 1. Less urgent
    /// ranks give up escalating earlier.
    #[must_use]
    pub fn willingness(self, rank: u8) -> f64 {
        let limit = URGENT_LIMIT / RANK_RATIO.powi(i32::from(rank));
        (1.0 - (self.0 / limit).powf(EXPONENT)).clamp(0.0, 1.0)
    }
}
