//! The stages of a roll-out, and when each begins.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::ids::{InstanceId, ReleaseId, ServiceId};

/// Part of the exposure allowed that the release gets while it is judged by a small share of the requests.
const CANARY_PART: f64 = 0.45;
/// Part of the exposure allowed that is left for the last stage, in which the release gets all requests. Both parts
/// together stay below the whole, so a release whose badness never shows stays within it, too.
const LAST_PART: f64 = 0.6;
/// Part of the time ordered after which the roll-out is declared complete; the rest is for the write to arrive.
const COMPLETE_AT: f64 = 0.97;
/// Time between an order and the first requests for its release, in which gateways tell each other which sessions are
/// under way.
pub const SETTLE_TIME: Duration = Duration::from_millis(700);
/// Answers of the new release without which the share doesn't grow.
const MIN_ANSWERS: u64 = 20;

/// An operator's order to bring in a release.
#[derive(Debug, Clone, PartialEq)]
pub struct Order {
    /// The service.
    pub service: ServiceId,
    /// The release to bring in.
    pub to: ReleaseId,
    /// Time in which it has to be done.
    pub within: Duration,
    /// Version of the store at which it was ordered.
    pub version: u64,
}

/// When the stages of a roll-out begin, and how many requests its release gets.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Schedule {
    /// Share of the requests in the first stage.
    pub canary: f64,
    full_at: f64,
}

impl Schedule {
    /// The schedule that keeps a release within a share of the requests, whatever comes of it.
    #[must_use]
    pub fn for_exposure(exposure: f64) -> Self {
        let last = (LAST_PART * exposure).clamp(0.02, 0.5);
        Self { canary: CANARY_PART * exposure, full_at: 1.0 - last }
    }
}

/// How far a roll-out is.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Stage {
    /// A small share of the requests goes to the new release.
    Canary,
    /// All requests go to the new release.
    Full,
    /// The old release is not needed any more.
    Completed,
    /// The new release is bad and gets nothing.
    Reverted,
}

impl Stage {
    /// Whether the roll-out is over.
    #[must_use]
    pub fn is_final(self) -> bool {
        matches!(self, Self::Completed | Self::Reverted)
    }
}

/// The row of a roll-out.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct StageRow {
    /// Version of the store at which it was ordered.
    pub order: u64,
    /// The release.
    pub to: ReleaseId,
    /// How far it is.
    pub stage: Stage,
    /// Time of the store's clock at which it began.
    pub began: Duration,
    /// Entry that wrote the row last.
    pub holder: InstanceId,
}

/// What to do next about a roll-out.
#[must_use]
pub fn next_stage(
    order: &Order,
    row: &StageRow,
    now: Duration,
    schedule: &Schedule,
    verdict: Verdict,
) -> Option<Stage> {
    if row.stage.is_final() {
        return None;
    }
    if verdict.rejected {
        return Some(Stage::Reverted);
    }
    let passed = now.saturating_sub(row.began).as_secs_f64() / order.within.as_secs_f64().max(0.001);
    let judged = verdict.answers >= MIN_ANSWERS;
    match row.stage {
        Stage::Canary if passed >= schedule.full_at && judged => Some(Stage::Full),
        Stage::Full if passed >= COMPLETE_AT => Some(Stage::Completed),
        _ => None,
    }
}

/// What the counts say of a release so far.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Verdict {
    /// Whether it is bad.
    pub rejected: bool,
    /// Answers of it that were counted.
    pub answers: u64,
}
