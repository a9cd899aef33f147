//! Cost of an upstream for services whose upstreams differ in speed. All times are divided by the upstream's speed at the
//! moment.
//!
//! There is no partition for long prompts: where a fast upstream has twice the capacity of a slow one, halves of the
//! upstreams are not halves of the capacity. Instead of sending requests with a common prompt part to one upstream
//! however much it gets, an upstream whose average load is above that of the others costs more, so that popular parts
//! are cached at several, which are the same for all gateways.

use rand::Rng;
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

use super::pick::{
    COLD_PENALTY_MS, CONCURRENT_REQUEST_MS, Candidate, FAILURE_PENALTY_MS, FREE_UTILISATION, JITTER_MS,
    OTHER_ZONE_PENALTY_MS, OVERLOAD_PENALTY_MS, PREFERRED_CACHED_FRACTION, PREFILL_DELAY_WEIGHT, RequestProfile,
    UNCACHED_SHARED_FACTOR,
};

/// Lowest speed by which times are divided.
const MIN_SPEED: f64 = 0.01;
/// Lowest rate of a service by which tokens are divided, in tokens per millisecond.
const MIN_RATE: f64 = 0.1;
/// Number of upstreams that are assumed to have cached a common prompt part, as requests with a popular one are too many
/// for a single upstream. With no more candidates than that, one.
const PREFERRED: usize = 3;
/// Cost in milliseconds of opening a connection.
const CONNECT_MS: f64 = 12.0;
/// Average load, relative to the mean of the candidates, up to which an upstream costs nothing more.
const FREE_SHARE: f64 = 1.3;
/// Cost in milliseconds of an average load that exceeds [`FREE_SHARE`] by one.
const SHARE_PENALTY_MS: f64 = 80.0;
/// Mean number of requests at an upstream below which the shares are not compared, as single requests decide them.
const MIN_MEAN: f64 = 0.5;

/// Returns the index of the candidate with the lowest cost, or `None` if there are no candidates.
pub(super) fn pick(
    request: &RequestProfile,
    rate: f64,
    candidates: &[Candidate],
    random: &mut impl Rng,
) -> Option<usize> {
    let scores = request.key.as_deref().map(|key| Scores::of(key, candidates));
    let mean = candidates.iter().map(|candidate| candidate.average).sum::<f64>() / candidates.len().max(1) as f64;
    let mean = mean.max(MIN_MEAN);
    let mut best: Option<(usize, f64)> = None;
    for (position, candidate) in candidates.iter().enumerate() {
        let is_preferred = scores.as_ref().is_some_and(|scores| scores.prefers(position));
        let cost = cost(request, rate.max(MIN_RATE), candidate, is_preferred)
            + SHARE_PENALTY_MS * (candidate.average / mean - FREE_SHARE).max(0.0)
            + random.random_range(0.0..JITTER_MS);
        if best.is_none_or(|(_, lowest)| cost < lowest) {
            best = Some((position, cost));
        }
    }
    best.map(|(position, _)| position)
}

/// Rendezvous scores of the candidates for an affinity key, by position. All gateways compute the same.
struct Scores {
    all: Vec<u64>,
    min_preferred: u64,
}

impl Scores {
    fn of(key: &str, candidates: &[Candidate]) -> Self {
        // The key is hashed only once.
        let seed = xxh3_64(key.as_bytes());
        let all: Vec<u64> =
            candidates.iter().map(|candidate| xxh3_64_with_seed(candidate.name.as_bytes(), seed)).collect();
        let min_preferred = if all.len() > PREFERRED {
            *all.clone().select_nth_unstable_by(PREFERRED - 1, |a, b| b.cmp(a)).1
        } else {
            all.iter().copied().max().unwrap_or_default()
        };
        Self { all, min_preferred }
    }

    fn prefers(&self, position: usize) -> bool {
        self.all[position] >= self.min_preferred
    }
}

fn cost(request: &RequestProfile, rate: f64, candidate: &Candidate, is_preferred: bool) -> f64 {
    let cached =
        if is_preferred { candidate.cached.max(PREFERRED_CACHED_FRACTION * request.shared) } else { candidate.cached };
    let uncached_shared = (request.shared - cached).max(0.0) * UNCACHED_SHARED_FACTOR;
    let uncached_own = (request.prompt - request.shared).max(0.0);
    let prompt = (uncached_shared + uncached_own) * request.weight / rate;
    let waiting = candidate.pending_prefill / rate + prompt;
    let concurrent = (CONCURRENT_REQUEST_MS + PREFILL_DELAY_WEIGHT * prompt) * candidate.requests;
    let overload = (candidate.requests / candidate.slots.max(1.0) - FREE_UTILISATION).max(0.0);
    let mut cost = (waiting + concurrent) / candidate.speed.max(MIN_SPEED)
        + OVERLOAD_PENALTY_MS * overload
        + FAILURE_PENALTY_MS * candidate.failure_rate;
    cost += if candidate.other_zone { OTHER_ZONE_PENALTY_MS } else { 0.0 };
    cost += if candidate.cold { COLD_PENALTY_MS } else { 0.0 };
    cost + if candidate.has_connection { 0.0 } else { CONNECT_MS }
}
