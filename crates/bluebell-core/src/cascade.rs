//! Which model answers a request that leaves the choice open, and when its answer is dropped for a larger model's.
//!
//! The smallest model goes first where its answers are usually good enough. An answer's own confidence tells, before
//! the caller has seen any of it, whether a larger model should answer instead. The step goes straight to the largest:
//! a request that is too hard for the smallest model is mostly too hard for the middle one, and each step is paid
//! twice, by the run and by the retry budget.

use std::time::Duration;

/// Confidence, in per cent, below which a larger model answers an urgent request: with the engines in use, an answer
/// above 70 is good and one below 30 is not, and a larger model's run costs little against an urgent answer.
const URGENT_CONFIDENCE: u8 = 66;
/// The same for other requests, whose long prompts make a larger model's run cost about a third of the answer's worth.
const OTHER_CONFIDENCE: u8 = 57;
/// Time left, as a share of the time that the caller has, without which no larger model is asked.
const MIN_TIME_LEFT: f64 = 0.25;
/// Part of the target up to which prompts may wait to be read for a step to a larger model. The largest model's runs
/// make up most of the work, and while engines read they hardly generate, so leaving these runs out makes room for all
/// others in a flood.
const BACKLOG_PART: f64 = 0.4;
/// The same in any case: engines that always have this much to read generate a token a chunk, about 100 ms each, and
/// answers of some hundred tokens then outlast every deadline, however far the target is for the first.
const MAX_BACKLOG: Duration = Duration::from_millis(300);
/// Part of the target that the largest model may take to read the prompt.
const READING_PART: f64 = 0.2;

/// What is known when the head of an answer has come.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct AnswerHead {
    /// Position of the model that answers, smallest first.
    pub model: usize,
    /// Number of models.
    pub model_count: usize,
    /// The model's own confidence in per cent.
    pub confidence: Option<u8>,
    /// Time left for the caller.
    pub time_left: Duration,
    /// Time that the caller had.
    pub time_limit: Duration,
    /// Attempts that are still allowed.
    pub attempts_left: u32,
    /// Rank of the request, 0 the most urgent.
    pub rank: u8,
    /// Whether the largest model can be asked without delaying others.
    pub has_room: bool,
}

/// Position of the model that should answer instead, if any.
#[must_use]
pub fn escalate(head: &AnswerHead) -> Option<usize> {
    let confidence = head.confidence?;
    let largest = head.model_count.checked_sub(1)?;
    let enough = if head.rank == 0 { URGENT_CONFIDENCE } else { OTHER_CONFIDENCE };
    if head.model >= largest || head.attempts_left == 0 || confidence >= enough || !head.has_room {
        return None;
    }
    let has_time = head.time_left.as_secs_f64() >= MIN_TIME_LEFT * head.time_limit.as_secs_f64();
    has_time.then_some(largest)
}

/// Position of the model that answers first. Where the retry budget leaves no step to a larger model, the largest
/// answers at once, since a poor answer is worth next to nothing; in a flood the smallest does all the same.
#[must_use]
pub fn first_model(models: usize, may_escalate: bool, has_room: bool) -> usize {
    if may_escalate || !has_room { 0 } else { models.saturating_sub(1) }
}

/// Whether the largest model can be asked without delaying others, by the time that prompts wait to be read and the
/// time that it takes to read this one. Urgent requests are short, so what it takes for them is little beside what it
/// gives.
#[must_use]
pub fn has_room(rank: u8, backlog: Duration, reading: Duration, target: Duration) -> bool {
    let is_calm = backlog <= target.mul_f64(BACKLOG_PART).min(MAX_BACKLOG) && reading <= target.mul_f64(READING_PART);
    rank == 0 || is_calm
}
