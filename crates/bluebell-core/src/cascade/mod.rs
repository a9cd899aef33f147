//! Model cascade: chooses the model for a request that doesn't name one, and decides when to escalate to a larger one.
//!
//! The smallest model answers first where its answers are usually good enough. The confidence that comes with the head
//! of its answer decides, before the caller has received any of it, whether a larger model should answer instead.
//! Escalation goes straight to the largest model: a request that is too hard for the smallest model is mostly too hard
//! for the middle one, and each escalation costs both a model run and a part of the retry budget.
//!
//! Answers a load that exceeds what the engines can do with the largest model: engine time has a price, see
//! [`EnginePrice`], and the confidence below which an answer is escalated falls with it. So engine time goes to the
//! requests that gain most from it, and to urgent ones first.

mod price;
mod shares;

use std::time::Duration;

pub use price::EnginePrice;
pub use shares::EngineShares;

/// Confidence, in per cent, below which an urgent request is escalated. With the engines in use, an answer above 70 is
/// good and one below 30 is not, and a larger model's run costs little compared with the value of an urgent answer.
const URGENT_CONFIDENCE: u8 = 66;
/// Confidence, in per cent, below which other requests are escalated. Their long prompts make a larger model's run cost
/// about a third of the answer's value.
const OTHER_CONFIDENCE: u8 = 57;
/// Fraction of the request's time limit that must be left for an escalation.
const MIN_TIME_LEFT_FRACTION: f64 = 0.25;
/// Maximum time that prompts may wait to be processed for an escalation to be allowed, as a fraction of the target
/// latency. The largest model's runs make up most of the work, and engines generate few tokens while they process
/// prompts, so leaving these runs out under overload makes room for all other requests.
const MAX_BACKLOG_FRACTION: f64 = 0.4;
/// Absolute upper limit of the same waiting time, whatever the target latency. Engines that constantly have this much
/// prompt backlog generate one token per prompt chunk, about every 100 ms, so answers of a few hundred tokens exceed
/// every deadline, however long the target for the first token is.
const MAX_BACKLOG: Duration = Duration::from_millis(300);
/// Maximum time that the largest model may take to process the prompt, as a fraction of the target latency.
const MAX_PROMPT_TIME_FRACTION: f64 = 0.2;

/// State of a request when the head of an answer has arrived.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct AnswerHead {
    /// Index of the model that answers; models are ordered by size, smallest first.
    pub model: usize,
    /// Number of models.
    pub model_count: usize,
    /// Confidence reported by the model, in per cent.
    pub confidence: Option<u8>,
    /// Time left until the request's deadline.
    pub time_left: Duration,
    /// Time from the request's arrival to its deadline.
    pub time_limit: Duration,
    /// Number of attempts still allowed.
    pub attempts_left: u32,
    /// Priority rank of the request; 0 is the most urgent.
    pub rank: u8,
    /// Whether the largest model can run without delaying other requests; see [`has_room`].
    pub has_room: bool,
    /// Price of engine time for the request.
    pub price: EnginePrice,
}

/// Index of the model that should answer instead, if any.
#[must_use]
pub fn escalate(head: &AnswerHead) -> Option<usize> {
    let confidence = head.confidence?;
    let largest = head.model_count.checked_sub(1)?;
    let base = if head.rank == 0 { URGENT_CONFIDENCE } else { OTHER_CONFIDENCE };
    let is_good_enough = f64::from(confidence) >= f64::from(base) * head.price.willingness(head.rank);
    if head.model >= largest || head.attempts_left == 0 || is_good_enough || !head.has_room {
        return None;
    }
    let has_time = head.time_left.as_secs_f64() >= MIN_TIME_LEFT_FRACTION * head.time_limit.as_secs_f64();
    has_time.then_some(largest)
}

/// Index of the model that answers first. If the retry budget doesn't allow an escalation, the largest model answers at
/// once, since a poor answer has almost no value; under overload (no room) the smallest model answers regardless.
#[must_use]
pub fn first_model(models: usize, may_escalate: bool, has_room: bool) -> usize {
    if may_escalate || !has_room { 0 } else { models.saturating_sub(1) }
}

/// Whether the largest model can run without delaying other requests. `backlog` is the time that prompts wait to be
/// processed, `prompt_time` the time to process this prompt. Urgent requests always have room: they are short, so their
/// cost is small compared with their value.
#[must_use]
pub fn has_room(rank: u8, backlog: Duration, prompt_time: Duration, target: Duration) -> bool {
    let is_below_limits = backlog <= target.mul_f64(MAX_BACKLOG_FRACTION).min(MAX_BACKLOG)
        && prompt_time <= target.mul_f64(MAX_PROMPT_TIME_FRACTION);
    rank == 0 || is_below_limits
}
