//! Which model answers a request that leaves the choice open, and when its answer is dropped for a larger model's.
//!
//! The smallest model goes first where its answers are usually good enough. An answer's own confidence tells, before
//! the caller has seen any of it, whether a larger model should answer instead. The step goes straight to the largest:
//! a request that is too hard for the smallest model is mostly too hard for the middle one, and each step is paid
//! twice, by the run and by the retry budget.

use std::time::Duration;

/// Confidence, in per cent, below which a larger model answers.
pub const MIN_CONFIDENCE: u8 = 60;
/// Time left, as a share of the time that the caller has, without which no larger model is asked.
const MIN_TIME_LEFT: f64 = 0.25;

/// What is known when the head of an answer has come.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Glance {
    /// Position of the model that answers, smallest first.
    pub model: usize,
    /// Number of models.
    pub models: usize,
    /// The model's own confidence in per cent.
    pub confidence: Option<u8>,
    /// Time left for the caller.
    pub left: Duration,
    /// Time that the caller had.
    pub whole: Duration,
    /// Attempts that are still allowed.
    pub attempts: u32,
}

/// Position of the model that should answer instead, if any.
#[must_use]
pub fn escalate(glance: &Glance) -> Option<usize> {
    let confidence = glance.confidence?;
    let largest = glance.models.checked_sub(1)?;
    if glance.model >= largest || glance.attempts == 0 || confidence >= MIN_CONFIDENCE {
        return None;
    }
    let has_time = glance.left.as_secs_f64() >= MIN_TIME_LEFT * glance.whole.as_secs_f64();
    has_time.then_some(largest)
}

/// Position of the model that answers first.
#[must_use]
pub fn first(models: usize, may_escalate: bool) -> usize {
    if may_escalate { 0 } else { models.saturating_sub(1) / 2 }
}
