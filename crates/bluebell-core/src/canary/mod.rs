//! Roll-out of a new release to the upstreams of a service: a small share of the requests first, judged by failures
//! and pace against the old release, then all of them.
//!
//! The stage lies in one row of the store. Any entry may drive it on; conditional writes keep two drivers from
//! stepping on each other. Every entry judges by the counts of all, and stops sending to a rejected release at
//! once, before the stage says so.

mod analysis;
mod pace;
mod split;
mod stage;
mod tally;

pub use analysis::{Analysis, Finding, Rejection};
pub use split::{SessionPins, Split};
pub use stage::{Order, SETTLE_TIME, Schedule, Stage, StageRow, Verdict, next_stage};
pub use tally::{AggregatedTallies, Moments, PaceBaseline, Tallies, Tally};
