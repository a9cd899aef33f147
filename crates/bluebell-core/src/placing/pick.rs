//! The choice among upstreams by expected time: what waits to be read there, what of this prompt is not cached, how
//! many requests share its steps, and what distance and failures cost.

use rand::Rng;

use crate::routing::rendezvous;

/// What a request asks of an upstream.
#[derive(Debug, Clone)]
pub struct Work {
    /// Key under which requests that share a long prompt go to the same upstream.
    pub key: Option<String>,
    /// Tokens of the prompt.
    pub prompt: f64,
    /// Tokens of the prompt that other requests share.
    pub shared: f64,
    /// Work that a token makes with the model that answers, against the mean of the models.
    pub weight: f64,
}

/// An upstream that may get the request.
#[derive(Debug, Clone)]
pub struct Candidate {
    /// Its id, which ranks it for a key.
    pub name: String,
    /// Requests there.
    pub requests: f64,
    /// Requests that it works on at once.
    pub slots: f64,
    /// Tokens to be read before a new request's.
    pub unread: f64,
    /// Tokens of the prompt that it has read before.
    pub cached: f64,
    /// Share of its recent answers that failed.
    pub failing: f64,
    /// Whether it is in another zone.
    pub far: bool,
    /// Whether it is still slow after its start.
    pub cold: bool,
}

/// Tokens that an engine reads in a millisecond, about; the engines in use read 85 to 101.
pub const READ_PER_MS: f64 = 90.0;
/// Milliseconds that each request at work adds to another one's time.
const REQUEST_MS: f64 = 3.0;
/// Milliseconds that an upstream with all slots taken costs.
const FULL_MS: f64 = 400.0;
/// Milliseconds that a failing upstream costs, times its share of failures.
const FAILING_MS: f64 = 600.0;
/// Milliseconds that another zone costs.
const FAR_MS: f64 = 4.0;
/// Milliseconds that an upstream costs that is still slow after its start.
const COLD_MS: f64 = 40.0;
/// Part of the shared tokens taken for cached at the upstream that ranks first for the key.
const HOME_CACHED: f64 = 0.8;
/// Times that reading shared tokens again weighs more than its time, for the memory that a second copy takes.
const AGAIN_WEIGHT: f64 = 1.5;
/// Weight of the delay that reading a prompt causes to each request under way there.
const DELAY_WEIGHT: f64 = 0.08;
/// Greatest random part of a figure, in milliseconds, so that entries that know the same don't all choose the same.
const SPREAD_MS: f64 = 2.0;

/// Position of the upstream that should get the request.
pub fn pick(work: &Work, candidates: &[Candidate], random: &mut impl Rng) -> Option<usize> {
    let home = work.key.as_deref().and_then(|key| {
        let best = |(_, one): &(usize, &Candidate)| rendezvous::score(key, &one.name);
        candidates.iter().enumerate().max_by_key(best).map(|(position, _)| position)
    });
    let mut best: Option<(usize, f64)> = None;
    for (position, one) in candidates.iter().enumerate() {
        let cost = cost(work, one, home == Some(position)) + random.random_range(0.0..SPREAD_MS);
        if best.is_none_or(|(_, least)| cost < least) {
            best = Some((position, cost));
        }
    }
    best.map(|(position, _)| position)
}

fn cost(work: &Work, one: &Candidate, home: bool) -> f64 {
    let cached = if home { one.cached.max(HOME_CACHED * work.shared) } else { one.cached };
    let again = (work.shared - cached).max(0.0) * AGAIN_WEIGHT;
    let own = (work.prompt - work.shared).max(0.0);
    let prompt = (again + own) * work.weight / READ_PER_MS;
    let reading = one.unread / READ_PER_MS + prompt;
    let fullness = (one.requests / one.slots.max(1.0) - 0.9).max(0.0);
    let mut cost = reading + REQUEST_MS * one.requests + FULL_MS * fullness + FAILING_MS * one.failing;
    cost += DELAY_WEIGHT * prompt * one.requests;
    cost += if one.far { FAR_MS } else { 0.0 };
    cost + if one.cold { COLD_MS } else { 0.0 }
}
