//! Stages of a roll-out and the conditions for moving to the next one.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::{
    ids::{InstanceId, ReleaseId, ServiceId},
    units::Rate,
};

/// Share of the requests that goes to the new release in the canary stage, as a fraction of the exposure allowed.
const CANARY_EXPOSURE_FRACTION: f64 = 0.42;
/// Fraction of the exposure allowed that is left for the full stage, in which the new release gets all requests. The
/// exposure of both stages together stays within the allowed one, so even a bad release that is never detected does.
const FULL_EXPOSURE_FRACTION: f64 = 0.5;
/// Fraction of the requests allowed on top of the exposure that is used for an earlier start of the full stage.
const SLACK_FRACTION: f64 = 0.6;
/// Fraction of the roll-out's time limit before which the full stage never starts.
const MIN_FULL_AT: f64 = 0.5;
/// Fraction of the roll-out's time limit after which it is declared complete; the rest is left for the write to reach
/// all gateways.
const COMPLETE_AT: f64 = 0.97;
/// Fraction of the roll-out's time limit after which a release that is still suspect is reverted.
const GIVE_UP_AT: f64 = 0.975;
/// Time between an order and the first requests for its release, in which gateways exchange their session pins.
pub const SETTLE_TIME: Duration = Duration::from_millis(700);
/// Answers of the new release that are needed before its share is raised.
const MIN_ANSWERS: u64 = 8;
/// Answers of the new release that are needed before the roll-out is completed, which can't be undone. Few releases that
/// fail a fifth of their requests give so many answers without a sign of it.
const MIN_PROVING_ANSWERS: u64 = 30;

/// An operator's order to roll out a release.
#[derive(Debug, Clone, PartialEq)]
pub struct Order {
    /// The service.
    pub service: ServiceId,
    /// The release to roll out.
    pub to: ReleaseId,
    /// Time limit for the roll-out.
    pub within: Duration,
    /// Version of the store at which it was ordered.
    pub version: u64,
}

/// Start times of the stages and the share of the canary.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Schedule {
    /// Share of the requests that goes to the new release in the canary stage.
    pub canary: f64,
    // Fraction of the time limit at which the full stage may start, without the slack.
    full_at: f64,
    // Requests that may go to the new release besides its share.
    slack: f64,
}

impl Schedule {
    /// The schedule that limits a new release to the given share of all requests during the roll-out, even if it is bad
    /// and never rejected.
    #[must_use]
    pub fn for_exposure(exposure: f64) -> Self {
        let full_stage = (FULL_EXPOSURE_FRACTION * exposure).clamp(0.02, 0.5);
        Self { canary: CANARY_EXPOSURE_FRACTION * exposure, full_at: 1.0 - full_stage, slack: 0.0 }
    }

    /// Allows this many requests on top of the share. Where requests are few, they make most of the evidence.
    #[must_use]
    pub fn with_slack(self, requests: f64) -> Self {
        Self { slack: requests, ..self }
    }

    // Fraction of the time limit at which the full stage may start. It starts earlier by the time in which the slack is
    // used up.
    fn full_at(&self, order: &Order, rate: Rate) -> f64 {
        let requests = rate.value() * order.within.as_secs_f64();
        let earlier = if requests > 0.0 { SLACK_FRACTION * self.slack / requests } else { 0.0 };
        (self.full_at - earlier).max(MIN_FULL_AT.min(self.full_at))
    }
}

/// Stage of a roll-out.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Stage {
    /// A small share of the requests goes to the new release.
    Canary,
    /// All requests go to the new release.
    Full,
    /// The old release is no longer needed.
    Completed,
    /// The new release was rejected and gets no requests.
    Reverted,
}

impl Stage {
    /// Whether the roll-out is over.
    #[must_use]
    pub fn is_final(self) -> bool {
        matches!(self, Self::Completed | Self::Reverted)
    }
}

/// Stored state of a roll-out.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct StageRow {
    /// Version of the store at which it was ordered.
    pub order: u64,
    /// The new release.
    pub to: ReleaseId,
    /// The current stage.
    pub stage: Stage,
    /// Time at which the roll-out began, by the store's clock.
    pub began: Duration,
    /// Gateway that last wrote the row.
    pub holder: InstanceId,
}

/// The stage that a roll-out should move to now, if any.
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
    let elapsed = now.saturating_sub(row.began).as_secs_f64() / order.within.as_secs_f64().max(0.001);
    let full_at = schedule.full_at(order, verdict.rate);
    let is_proved = verdict.answers >= MIN_PROVING_ANSWERS && !verdict.is_suspect;
    match row.stage {
        Stage::Canary if elapsed >= full_at && verdict.answers >= MIN_ANSWERS => Some(Stage::Full),
        Stage::Full if elapsed >= COMPLETE_AT && is_proved => Some(Stage::Completed),
        Stage::Full if elapsed >= GIVE_UP_AT && verdict.is_suspect => Some(Stage::Reverted),
        _ => None,
    }
}

/// Result of evaluating a release so far.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Verdict {
    /// Whether the release was rejected.
    pub rejected: bool,
    /// Whether it may be bad, without enough evidence to reject it.
    pub is_suspect: bool,
    /// Number of its answers that were counted.
    pub answers: u64,
    /// Rate of the answers of its service, of all releases.
    pub rate: Rate,
}
