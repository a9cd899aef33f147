//! Chooses the upstream with the lowest estimated cost in milliseconds. The cost covers the prefill backlog of the
//! upstream, the part of the prompt that it has not cached, the number of concurrent requests, and penalties for full
//! slots, recent failures, a recent start and another availability zone.

use rand::Rng;

use super::uneven;
use crate::routing::rendezvous;

/// Properties of a request that determine its cost at an upstream.
#[derive(Debug, Clone)]
pub struct RequestProfile {
    /// Affinity key: requests that share a long prompt prefix have the same key and prefer the same upstream.
    pub key: Option<String>,
    /// Length of the prompt in tokens.
    pub prompt: f64,
    /// Tokens of the prompt that belong to a prefix shared with other requests.
    pub shared: f64,
    /// Cost of a token with the selected model, relative to the mean of the service's models.
    pub weight: f64,
    /// Prompt tokens per millisecond of an upstream of usual speed, if the speeds of the service's upstreams are known.
    /// Without it, all are taken to be equally fast.
    pub rate: Option<f64>,
}

/// An upstream that is eligible for the request.
#[derive(Debug, Clone)]
pub struct Candidate {
    /// Id of the upstream; input of rendezvous hashing.
    pub name: String,
    /// Estimated number of requests at the upstream, from all callers.
    pub requests: f64,
    /// Maximum number of requests processed concurrently.
    pub slots: f64,
    /// Estimated prompt tokens waiting for prefill ahead of a new request.
    pub pending_prefill: f64,
    /// Estimated tokens of the prompt that are in the prefix cache of the upstream.
    pub cached: f64,
    /// Moving average of its failure rate, 0 to 1.
    pub failure_rate: f64,
    /// Whether it is in another availability zone than the gateway.
    pub other_zone: bool,
    /// Whether it started recently and is still slow.
    pub cold: bool,
    /// Its speed at this moment, relative to the usual speed of the service; 1 without knowledge.
    pub speed: f64,
    /// Whether there is an idle connection to it.
    pub has_connection: bool,
    /// Average number of requests there over the last seconds, from all callers.
    pub average: f64,
}

/// Approximate prefill speed of an engine, in tokens per millisecond; the engines in use reach 85 to 101.
pub const PREFILL_TOKENS_PER_MS: f64 = 90.0;
/// Slowdown that each concurrent request causes to a new one, in milliseconds.
pub(super) const CONCURRENT_REQUEST_MS: f64 = 3.0;
/// Penalty in milliseconds for each unit by which the slot utilisation exceeds `FREE_UTILISATION`.
pub(super) const OVERLOAD_PENALTY_MS: f64 = 400.0;
/// Slot utilisation up to which there is no penalty.
pub(super) const FREE_UTILISATION: f64 = 0.9;
/// Penalty in milliseconds that is multiplied by the failure rate of the upstream.
pub(super) const FAILURE_PENALTY_MS: f64 = 600.0;
/// Penalty in milliseconds for an upstream in another availability zone.
pub(super) const OTHER_ZONE_PENALTY_MS: f64 = 4.0;
/// Penalty in milliseconds for an upstream that is still slow after its start.
pub(super) const COLD_PENALTY_MS: f64 = 40.0;
/// Minimum fraction of the shared tokens assumed to be cached at the preferred upstream of the affinity key.
pub(super) const PREFERRED_CACHED_FRACTION: f64 = 0.8;
/// Cost factor for shared tokens that are not cached: besides prefill time, a second copy takes cache memory.
pub(super) const UNCACHED_SHARED_FACTOR: f64 = 1.5;
/// Weight of the delay that the prefill of this prompt causes to each request already running at the upstream.
pub(super) const PREFILL_DELAY_WEIGHT: f64 = 0.08;
/// Upper bound of the random jitter added to each cost, in milliseconds, so that gateways with the same information do
/// not all choose the same upstream.
pub(super) const JITTER_MS: f64 = 2.0;

/// Prefill time in milliseconds from which a prompt counts as long: about the time of one chunk with the largest model.
/// An engine alternates prefill chunks with decode steps, so during a long prefill its streams get only one token per
/// chunk.
const LONG_PREFILL_MS: f64 = 120.0;
/// Fraction of the upstreams that are preferred for long prompts and avoided for other requests.
const LONG_PROMPT_FRACTION: f64 = 0.5;
/// Minimum number of upstreams for the partition; with fewer, a half would be a single upstream.
const MIN_PARTITIONED: usize = 4;
/// Penalty in milliseconds for an upstream of the other partition. It exceeds the cost differences under normal load,
/// so requests cross over only when their own partition is overloaded.
const OTHER_PARTITION_PENALTY_MS: f64 = 150.0;

/// Returns the index of the candidate with the lowest cost, or `None` if there are no candidates.
pub fn pick(request: &RequestProfile, candidates: &[Candidate], random: &mut impl Rng) -> Option<usize> {
    if let Some(rate) = request.rate {
        return uneven::pick(request, rate, candidates, random);
    }
    let partition = Partition::of(request, candidates);
    let preferred = request.key.as_deref().and_then(|key| {
        let best = |(_, candidate): &(usize, &Candidate)| rendezvous::score(key, &candidate.name);
        let in_partition = candidates.iter().enumerate().filter(|(_, candidate)| partition.includes(candidate));
        in_partition.max_by_key(best).map(|(position, _)| position)
    });
    let mut best: Option<(usize, f64)> = None;
    for (position, candidate) in candidates.iter().enumerate() {
        let cost = cost(request, candidate, preferred == Some(position))
            + partition.cost(candidate)
            + random.random_range(0.0..JITTER_MS);
        if best.is_none_or(|(_, lowest)| cost < lowest) {
            best = Some((position, cost));
        }
    }
    best.map(|(position, _)| position)
}

/// Partition of the upstreams into those for long prompts and those for other requests. Rendezvous hashing makes all
/// gateways compute the same partition, and the loss of an upstream moves at most one other upstream across.
struct Partition {
    is_long: bool,
    // Lowest score among the upstreams for long prompts. `None` disables the partition: there are too few upstreams,
    // or the request has no prompt.
    min_score: Option<u64>,
}

impl Partition {
    fn of(request: &RequestProfile, candidates: &[Candidate]) -> Self {
        let is_long = request.prompt * request.weight / PREFILL_TOKENS_PER_MS >= LONG_PREFILL_MS;
        let count = (candidates.len() as f64 * LONG_PROMPT_FRACTION).round() as usize;
        let mut scores: Vec<u64> = candidates.iter().map(Candidate::partition_score).collect();
        scores.sort_unstable_by(|a, b| b.cmp(a));
        let min_score = count.checked_sub(1).and_then(|last| scores.get(last)).copied();
        let enabled = request.prompt > 0.0 && candidates.len() >= MIN_PARTITIONED;
        Self { is_long, min_score: min_score.filter(|_| enabled) }
    }

    // Whether an upstream belongs to the partition preferred for this request.
    fn includes(&self, candidate: &Candidate) -> bool {
        self.min_score.is_none_or(|min_score| (candidate.partition_score() >= min_score) == self.is_long)
    }

    fn cost(&self, candidate: &Candidate) -> f64 {
        if self.includes(candidate) { 0.0 } else { OTHER_PARTITION_PENALTY_MS }
    }
}

impl Candidate {
    // Rendezvous score that orders the upstreams for the partition.
    fn partition_score(&self) -> u64 {
        rendezvous::score("long prompts", &self.name)
    }
}

fn cost(request: &RequestProfile, candidate: &Candidate, preferred: bool) -> f64 {
    let cached =
        if preferred { candidate.cached.max(PREFERRED_CACHED_FRACTION * request.shared) } else { candidate.cached };
    let uncached_shared = (request.shared - cached).max(0.0) * UNCACHED_SHARED_FACTOR;
    let uncached_own = (request.prompt - request.shared).max(0.0);
    let prompt = (uncached_shared + uncached_own) * request.weight / PREFILL_TOKENS_PER_MS;
    let waiting = candidate.pending_prefill / PREFILL_TOKENS_PER_MS + prompt;
    let overload = (candidate.requests / candidate.slots.max(1.0) - FREE_UTILISATION).max(0.0);
    let mut cost = waiting
        + CONCURRENT_REQUEST_MS * candidate.requests
        + OVERLOAD_PENALTY_MS * overload
        + FAILURE_PENALTY_MS * candidate.failure_rate;
    cost += PREFILL_DELAY_WEIGHT * prompt * candidate.requests;
    cost += if candidate.other_zone { OTHER_ZONE_PENALTY_MS } else { 0.0 };
    cost + if candidate.cold { COLD_PENALTY_MS } else { 0.0 }
}
