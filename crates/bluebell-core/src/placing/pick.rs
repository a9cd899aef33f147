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

/// Milliseconds of reading from which a prompt is long: about what one chunk takes with the largest model. An engine
/// reads in chunks between the tokens of its streams, which then get one token a chunk.
const LONG_MS: f64 = 120.0;
/// Share of the engines to which long prompts go first, and other requests last.
const LONG_SHARE: f64 = 0.5;
/// Engines from which they are divided; below, a half would be a single one.
const MIN_ENGINES: usize = 4;
/// Milliseconds that an engine of the other half costs: above what a usual load makes of a difference, so that both
/// halves mix only when one of them is crowded.
const OTHER_HALF_MS: f64 = 150.0;

/// Position of the upstream that should get the request.
pub fn pick(work: &Work, candidates: &[Candidate], random: &mut impl Rng) -> Option<usize> {
    let halves = Halves::of(work, candidates);
    let home = work.key.as_deref().and_then(|key| {
        let best = |(_, one): &(usize, &Candidate)| rendezvous::score(key, &one.name);
        let half = candidates.iter().enumerate().filter(|(_, one)| halves.has(one));
        half.max_by_key(best).map(|(position, _)| position)
    });
    let mut best: Option<(usize, f64)> = None;
    for (position, one) in candidates.iter().enumerate() {
        let cost = cost(work, one, home == Some(position)) + halves.cost(one) + random.random_range(0.0..SPREAD_MS);
        if best.is_none_or(|(_, least)| cost < least) {
            best = Some((position, cost));
        }
    }
    best.map(|(position, _)| position)
}

/// Engines for long prompts and those for other requests, by rank, so that all entries divide them alike and a lost
/// engine moves only one other across.
struct Halves {
    is_long: bool,
    // Least rank of the engines for long prompts; none where there are too few, or a service reads no prompts.
    least: Option<u64>,
}

impl Halves {
    fn of(work: &Work, candidates: &[Candidate]) -> Self {
        let is_long = work.prompt * work.weight / READ_PER_MS >= LONG_MS;
        let count = (candidates.len() as f64 * LONG_SHARE).round() as usize;
        let mut ranks: Vec<u64> = candidates.iter().map(Candidate::rank).collect();
        ranks.sort_unstable_by(|one, other| other.cmp(one));
        let least = count.checked_sub(1).and_then(|last| ranks.get(last)).copied();
        let divided = work.prompt > 0.0 && candidates.len() >= MIN_ENGINES;
        Self { is_long, least: least.filter(|_| divided) }
    }

    // Whether an engine is of the half for this work.
    fn has(&self, one: &Candidate) -> bool {
        self.least.is_none_or(|least| (one.rank() >= least) == self.is_long)
    }

    fn cost(&self, one: &Candidate) -> f64 {
        if self.has(one) { 0.0 } else { OTHER_HALF_MS }
    }
}

impl Candidate {
    // Rank among the engines for long prompts.
    fn rank(&self) -> u64 {
        rendezvous::score("long prompts", &self.name)
    }
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
