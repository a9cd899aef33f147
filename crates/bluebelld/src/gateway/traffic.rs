//! What the traffic of a gateway keeps between requests: load and health of upstreams, cached parts of prompts, the
//! retry budget, counts by release.

use std::{sync::Arc, time::Duration};

use bluebell_core::{
    canary::{PaceBaseline, SessionPins, Split, Tally},
    ids::{InstanceId, ModelId, ReleaseId, ServiceId, SessionId, UpstreamId},
    placing::{
        Candidate, Health, HealthEvent, Liveness, Load, PREFILL_TOKENS_PER_MS, Part, PartCache, Report, RequestProfile,
        pick,
    },
    poison::{InFlightTracker, Suspects},
    retry::{RetryLimit, RetryWindow},
    units::Tokens,
    upstreams::{Life, Upstream},
};
use bluebell_wire::messages::{ReleaseTally, SessionRelease, UpstreamLoad};
use indexmap::IndexMap;

/// State of one upstream.
#[derive(Debug, Clone, Default)]
pub struct UpstreamState {
    /// Its load.
    pub load: Load,
    /// Its health.
    pub health: Health,
    /// Parts of prompts that it has read.
    pub parts: PartCache,
    /// Signs of life that it showed.
    pub liveness: Liveness,
    born: u64,
}

/// Counts of one release in one kind of work.
type TallyKey = (ServiceId, ReleaseId, String);

/// What the traffic of a gateway keeps between requests.
#[derive(Debug, Default)]
pub struct Traffic {
    /// Releases that sessions are on.
    pub sessions: SessionPins,
    /// What runs at which upstream.
    pub flights: InFlightTracker,
    upstreams: IndexMap<UpstreamId, UpstreamState>,
    windows: IndexMap<ServiceId, RetryWindow>,
    tallies: IndexMap<TallyKey, Tally>,
    orders: IndexMap<ServiceId, u64>,
    paces: IndexMap<(ServiceId, String), PaceBaseline>,
    peers: IndexMap<InstanceId, Vec<UpstreamLoad>>,
}

/// An answer to be counted.
#[derive(Debug, Clone)]
pub struct Counted<'a> {
    /// The service.
    pub service: &'a ServiceId,
    /// The release that answered.
    pub release: &'a ReleaseId,
    /// Kind of work.
    pub kind: &'a str,
    /// Whether the upstream failed.
    pub failed: bool,
    /// How long it took.
    pub pace: Took,
}

/// How long an answer took.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Took {
    /// So long, against what its size lets expect.
    Pace(f64),
    /// It was not waited for any longer.
    Overdue,
    /// It says nothing about the pace.
    Unknown,
}

/// What a request asks for when an upstream is chosen.
#[derive(Debug, Clone)]
pub struct Demand<'a> {
    /// Model that answers.
    pub model: Option<&'a ModelId>,
    /// Parts of the prompt.
    pub parts: &'a [Part],
    /// Tokens of the prompt.
    pub prompt: Tokens,
    /// Work that a token makes with the model, against the mean of the models.
    pub weight: f64,
    /// Requests to keep apart from, where upstreams ended under this one, too.
    pub apart: Option<&'a Suspects>,
}

impl Traffic {
    /// State of an upstream; a new start of it begins anew.
    pub fn upstream(&mut self, upstream: &Upstream) -> &mut UpstreamState {
        let state = self.upstreams.entry(upstream.id.clone()).or_default();
        if state.born != upstream.born {
            *state = UpstreamState { born: upstream.born, ..UpstreamState::default() };
        }
        state
    }

    /// State of an upstream that may be gone.
    pub fn known(&mut self, id: &UpstreamId) -> Option<&mut UpstreamState> {
        self.upstreams.get_mut(id)
    }

    /// Retry budget of a service.
    pub fn window(&mut self, service: &ServiceId) -> &mut RetryWindow {
        self.windows.entry(service.clone()).or_default()
    }

    /// Sends left in the retry budget of each service.
    pub fn budgets(&mut self, now: Duration, limit: &RetryLimit, entries: usize) -> Vec<(ServiceId, f64)> {
        let left =
            |(service, window): (&ServiceId, &mut RetryWindow)| (service.clone(), window.left(now, limit, entries));
        self.windows.iter_mut().map(left).collect()
    }

    /// Whether a pace is several times slower than usual for a kind of work.
    #[must_use]
    pub fn is_slow(&self, service: &ServiceId, kind: &str, pace: f64) -> bool {
        self.paces.get(&(service.clone(), kind.to_owned())).is_some_and(|usual| usual.is_slow(pace))
    }

    /// A roll-out of a service was ordered; what was counted before says nothing of its release.
    pub fn begin_order(&mut self, service: &ServiceId, version: u64) {
        if self.orders.insert(service.clone(), version) != Some(version) {
            self.tallies.retain(|(counted, _, _), _| counted != service);
        }
    }

    /// Counts an answer of a release in one kind of work, with its time against what its size lets expect.
    pub fn count(&mut self, work: &Counted<'_>, split: &Split) {
        let usual = self.paces.entry((work.service.clone(), work.kind.to_owned())).or_default();
        let slow = match work.pace {
            Took::Pace(pace) => usual.is_slow(pace),
            Took::Overdue => true,
            Took::Unknown => false,
        };
        if let Took::Pace(pace) = work.pace
            && !split.evaluates(work.release)
        {
            usual.record(pace);
        }
        let key = (work.service.clone(), work.release.clone(), work.kind.to_owned());
        let tally = self.tallies.entry(key).or_default();
        tally.answers += 1;
        tally.failures += u64::from(work.failed);
        tally.slow += u64::from(slow);
        if let Took::Pace(pace) = work.pace {
            tally.pace.record(PaceBaseline::log(pace));
        }
    }

    /// All counts.
    #[must_use]
    pub fn tallies(&self) -> Vec<ReleaseTally> {
        let row = |((service, release, work), tally): (&TallyKey, &Tally)| ReleaseTally {
            service: service.clone(),
            order: self.orders.get(service).copied().unwrap_or_default(),
            release: release.clone(),
            work: work.clone(),
            tally: *tally,
        };
        self.tallies.iter().map(row).collect()
    }

    /// Releases of the sessions that a canary of a share would take up.
    #[must_use]
    pub fn session_releases(&self, now: Duration, share: f64) -> Vec<SessionRelease> {
        let row = |(session, release, at): (&SessionId, &ReleaseId, Duration)| SessionRelease {
            session: session.clone(),
            release: release.clone(),
            age: now.saturating_sub(at),
        };
        self.sessions.pins_in_share(share).map(row).collect()
    }

    /// Work of this gateway at upstreams.
    #[must_use]
    pub fn loads(&self, suspects: &Suspects) -> Vec<UpstreamLoad> {
        let busy = self.upstreams.iter().filter(|(_, state)| state.load.own_requests() > 0);
        let row = |(id, state): (&UpstreamId, &UpstreamState)| UpstreamLoad {
            upstream: id.clone(),
            requests: state.load.own_requests(),
            unread: state.load.own_pending_prefill(),
            suspects: self.suspects_at(&Life { upstream: id.clone(), born: state.born }, suspects) as u32,
        };
        busy.map(row).collect()
    }

    fn suspects_at(&self, life: &Life, suspects: &Suspects) -> usize {
        self.flights.count_running(life, |one| suspects.get(one).is_some())
    }

    // Upstreams at which the fewest requests run under which others ended: the next end should have one cause.
    fn apart<'a>(&self, pool: &[&'a Upstream], suspects: &Suspects) -> Vec<&'a Upstream> {
        let at_peers = |one: &Upstream| -> u32 {
            let loads = self.peers.values().flatten().filter(|load| load.upstream == one.id);
            loads.map(|load| load.suspects).sum()
        };
        let counted: Vec<(&Upstream, usize)> =
            pool.iter().map(|one| (*one, self.suspects_at(&one.life(), suspects) + at_peers(one) as usize)).collect();
        let least = counted.iter().map(|(_, count)| *count).min();
        counted.into_iter().filter(|(_, count)| Some(*count) == least).map(|(one, _)| one).collect()
    }

    /// A peer said what it has at upstreams.
    pub fn take_loads(&mut self, now: Duration, peer: InstanceId, loads: Vec<UpstreamLoad>) {
        self.peers.insert(peer, loads);
        for (id, state) in &mut self.upstreams {
            let all = self.peers.values().flatten().filter(|load| load.upstream == *id);
            let (requests, unread) = all.fold((0, 0), |sum, load| (sum.0 + load.requests, sum.1 + load.unread.0));
            state.load.apply_peer_load(now, requests, Tokens(unread));
        }
    }

    /// A peer is gone.
    pub fn forget_peer(&mut self, peer: &InstanceId) {
        self.peers.shift_remove(peer);
    }

    /// Forgets upstreams that are gone.
    pub fn retain(&mut self, is_known: impl Fn(&UpstreamId) -> bool) {
        self.upstreams.retain(|id, state| state.load.own_requests() > 0 || is_known(id));
    }

    /// An upstream said how busy it is.
    pub fn report(&mut self, now: Duration, id: &UpstreamId, report: Report) {
        if let Some(state) = self.upstreams.get_mut(id) {
            state.load.apply_report(now, report);
        }
    }

    /// Something came from an upstream.
    pub fn hear(&mut self, now: Duration, id: &UpstreamId) {
        if let Some(state) = self.upstreams.get_mut(id) {
            state.liveness.record_activity(now);
        }
    }

    /// Time for which a request may still wait for an upstream from which nothing comes.
    #[must_use]
    pub fn patience(&self, now: Duration, id: &UpstreamId, since: Duration, patience: Duration) -> Duration {
        let life = self.upstreams.get(id).map(|state| state.liveness).unwrap_or_default();
        life.remaining(now, since, patience)
    }

    /// Time that prompts wait to be read at upstreams that are in use, on average.
    pub fn backlog(&mut self, now: Duration, upstreams: &[Arc<Upstream>]) -> Duration {
        let mut unread = Vec::with_capacity(upstreams.len());
        for one in upstreams {
            let state = self.upstream(one);
            if state.health.is_available(now) {
                unread.push(state.load.pending_prefill(now));
            }
        }
        let mean = unread.iter().sum::<f64>() / unread.len().max(1) as f64;
        Duration::from_secs_f64(mean / PREFILL_TOKENS_PER_MS / 1000.0)
    }

    /// Takes what an upstream's answer shows of its health.
    pub fn note(&mut self, now: Duration, id: &UpstreamId, event: HealthEvent) {
        let Some(state) = self.upstreams.get_mut(id) else { return };
        if state.health.record(now, event) {
            let failing = format!("{:.2}", state.health.failure_rate());
            log::warn!(upstream = id.as_str(), failing = failing.as_str(); "upstream is left out for a while: {event:?}");
        }
    }

    /// Chooses among upstreams; those out of use only when there are no others.
    pub fn choose<'a>(
        &mut self,
        now: Duration,
        zone: &str,
        demand: &Demand<'_>,
        among: &[&'a Upstream],
    ) -> Option<&'a Upstream> {
        let healthy: Vec<&Upstream> =
            among.iter().copied().filter(|one| self.upstream(one).health.is_available(now)).collect();
        let pool = if healthy.is_empty() { among } else { &healthy };
        let apart = demand.apart.map(|suspects| self.apart(pool, suspects));
        let pool = apart.as_deref().unwrap_or(pool);
        let shared = demand.parts.split_last().map_or(&[][..], |(_, shared)| shared);
        let shared_tokens: u64 = shared.iter().map(|part| part.tokens.0).sum();
        let key = shared.last().zip(demand.model).map(|(part, model)| format!("{model}/{}", part.id));
        let work =
            RequestProfile { key, prompt: demand.prompt.0 as f64, shared: shared_tokens as f64, weight: demand.weight };
        let candidates: Vec<Candidate> = pool
            .iter()
            .map(|one| {
                let state = self.upstream(one);
                let cached = demand.model.map_or(0, |model| state.parts.cached(model, shared).0);
                Candidate {
                    name: one.id.to_string(),
                    requests: state.load.requests(now),
                    slots: f64::from(one.slots),
                    pending_prefill: state.load.pending_prefill(now),
                    cached: cached as f64,
                    failure_rate: state.health.failure_rate(),
                    other_zone: one.zone.as_str() != zone,
                    cold: !one.cold.is_zero(),
                }
            })
            .collect();
        let position = pick(&work, &candidates, &mut rand::rng())?;
        pool.get(position).copied()
    }
}
