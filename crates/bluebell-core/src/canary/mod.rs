//! Canary roll-out of a new release of a service. A small share of the requests goes to the new release first; its
//! failures and response times are compared with those of the old release before it gets all requests.
//!
//! The stage of a roll-out is stored in one row. Any gateway may advance it; conditional writes keep concurrent writers
//! from overwriting each other. Every gateway evaluates the release by the counts of all gateways, and stops sending
//! requests to a rejected release at once, before the stored stage changes.
//!
//! Completing a roll-out can't be undone, as the old release is stopped then. It needs a number of answers of the new
//! release that show no sign of a partial failure; a release that is still suspect at the end of its time is reverted.
//!
//! The pace of an answer is its response time divided by the time expected for its size.

mod analysis;
mod cusum;
mod pace;
mod split;
mod stage;
mod tally;

pub use analysis::{Analysis, Rejection};
pub use cusum::Finding;
pub use split::{SessionPins, Split};
pub use stage::{Order, SETTLE_TIME, Schedule, Stage, StageRow, Verdict, next_stage};
pub use tally::{AggregatedTallies, Moments, PaceBaseline, Tallies, Tally};
