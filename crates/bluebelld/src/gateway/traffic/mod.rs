//! State that a gateway keeps between requests: load and health of upstreams, prompt parts cached there, retry budgets,
//! tallies by release.

mod announcements;
mod cold;
mod ramp;
mod shares;
mod speeds;
mod upstream_state;

use std::{
    collections::HashSet,
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicU32, Ordering},
    },
    time::Duration,
};

use bluebell_core::{
    canary::{PaceBaseline, SessionPins, Split, Tally},
    cascade::EngineShares,
    cold_start::ColdFleet,
    ids::{InstanceId, ModelId, ReleaseId, ServiceId, SessionId, UpstreamId},
    placing::{
        Admission, Candidate, HealthEvent, PREFILL_TOKENS_PER_MS, Part, PeerLoad, PeerLoads, RampCause, RampUp, Report,
        RequestProfile, UsualSpeed, pick,
    },
    poison::{InFlightTracker, Suspects},
    rate_limit::{Fleet, ReturnQueue, UrgencyOrder},
    retry::{RetryLimit, RetryWindow},
    units::Tokens,
    upstreams::{Upstream, UpstreamIncarnation},
};
use bluebell_wire::messages::{ReleaseTally, SessionRelease, UpstreamLoad};
use indexmap::IndexMap;
use upstream_state::UpstreamState;
pub use upstream_state::{ChosenSpeed, FirstEvent, UpstreamWait, WaitCause};

/// Key of a tally: service, release and kind of work.
type TallyKey = (ServiceId, ReleaseId, String);

/// State that a gateway keeps between requests.
#[derive(Debug, Default)]
pub struct Traffic {
    /// Releases to which sessions are pinned.
    pub sessions: SessionPins,
    /// Requests in flight at each upstream.
    pub in_flight: InFlightTracker,
    upstreams: IndexMap<UpstreamId, UpstreamState>,
    windows: IndexMap<ServiceId, RetryWindow>,
    tallies: IndexMap<TallyKey, Tally>,
    // Version of the latest roll-out order of each service.
    orders: IndexMap<ServiceId, u64>,
    // Usual pace of the old releases, by service and kind of work.
    paces: IndexMap<(ServiceId, String), PaceBaseline>,
    // Loads that the other gateways reported.
    peers: PeerLoads,
    // The gateways that share the upstreams' rate limits.
    fleet: Fleet,
    // The gateways that share the rates of cold upstreams.
    cold_fleet: ColdFleet,
    returns: IndexMap<ServiceId, ReturnQueue>,
    // Use of the engines by organisation.
    shares: IndexMap<ServiceId, EngineShares>,
    // Usual speed of the services of which an upstream has reported the speed of its machine.
    usual_speeds: IndexMap<ServiceId, UsualSpeed>,
    // Upstreams in ramp-up, with their services.
    ramping: IndexMap<UpstreamId, ServiceId>,
    // Usual pace of the heads of answers, by service and kind of work, of upstreams that are not in ramp-up.
    head_paces: IndexMap<(ServiceId, String), PaceBaseline>,
    // The order among requests to services whose upstreams are all limited.
    urgency: IndexMap<ServiceId, UrgencyOrder>,
}

/// An answer to be counted in the tally of its release.
#[derive(Debug, Clone)]
pub struct CountedAnswer<'a> {
    /// The service.
    pub service: &'a ServiceId,
    /// The release that answered.
    pub release: &'a ReleaseId,
    /// Kind of work.
    pub kind: &'a str,
    /// Whether the upstream failed.
    pub failed: bool,
    /// How long it took, relative to its size.
    pub pace: AnswerPace,
}

/// How long an answer took, relative to its size.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum AnswerPace {
    /// Ratio of the time taken to the time expected for its size; for answers without a stream, the time taken in
    /// seconds.
    Ratio(f64),
    /// The gateway stopped waiting for it, or found its stream to be much slower than usual while it was running.
    Overdue,
    /// No meaningful pace, for example because the upstream failed.
    Unknown,
}

/// What the choice of an upstream for a request depends on.
#[derive(Debug, Clone)]
pub struct SelectionCriteria<'a> {
    /// Model that is to answer, if any.
    pub model: Option<&'a ModelId>,
    /// Parts of the prompt.
    pub parts: &'a [Part],
    /// Length of the prompt.
    pub prompt: Tokens,
    /// Cost of a token with this model, relative to the mean of all models.
    pub weight: f64,
    /// Addresses of upstreams to which there is an idle connection.
    pub connected: &'a HashSet<SocketAddr>,
    /// Suspected requests from which to keep this one apart, if it is itself suspected of crashing upstreams.
    pub separate_from: Option<&'a Suspects>,
    /// Counts the upstreams that are passed over because of their ramp-up.
    pub passed_over: &'a AtomicU32,
}

impl Traffic {
    /// State of an upstream; reset when the upstream was restarted.
    pub fn upstream(&mut self, upstream: &Upstream) -> &mut UpstreamState {
        let state = self.upstreams.entry(upstream.id.clone()).or_default();
        if state.started_at_ms != upstream.started_at_ms {
            if state.departure.is_announced() {
                log::info!(
                    upstream = upstream.id.as_str(), born = upstream.started_at_ms;
                    "upstream that announced its departure was replaced by a new incarnation"
                );
            }
            let ramp = if state.started_at_ms > 0 { RampUp::Armed(RampCause::Start) } else { RampUp::Inactive };
            *state = UpstreamState { started_at_ms: upstream.started_at_ms, ramp, ..UpstreamState::default() };
        }
        state
    }

    /// State of an upstream, unless it was removed.
    pub fn existing_upstream(&mut self, id: &UpstreamId) -> Option<&mut UpstreamState> {
        self.upstreams.get_mut(id)
    }

    /// Window of a service in which requests and retries are counted against the retry budget.
    pub fn retry_window(&mut self, service: &ServiceId) -> &mut RetryWindow {
        self.windows.entry(service.clone()).or_default()
    }

    /// Retries left in the budget of each service.
    pub fn retries_left(&mut self, now: Duration, limit: &RetryLimit, gateways: usize) -> Vec<(ServiceId, f64)> {
        let left =
            |(service, window): (&ServiceId, &mut RetryWindow)| (service.clone(), window.left(now, limit, gateways));
        self.windows.iter_mut().map(left).collect()
    }

    /// Whether a pace is several times slower than usual for a kind of work.
    #[must_use]
    pub fn is_slow(&self, service: &ServiceId, kind: &str, pace: f64) -> bool {
        self.paces.get(&(service.clone(), kind.to_owned())).is_some_and(|usual| usual.is_slow(pace))
    }

    /// Starts new tallies for a roll-out that was ordered, as earlier answers say nothing about its release.
    pub fn start_tallies(&mut self, service: &ServiceId, version: u64) {
        if self.orders.insert(service.clone(), version) != Some(version) {
            self.tallies.retain(|(counted, _, _), _| counted != service);
        }
    }

    /// Replaces the version of a roll-out's order. Its tallies go on.
    pub fn renumber_order(&mut self, service: &ServiceId, version: u64) {
        self.orders.insert(service.clone(), version);
    }

    /// Counts an answer in the tally of its release and kind of work. Unless the roll-out evaluates that release, its
    /// pace also counts towards the usual one.
    pub fn count_answer(&mut self, answer: &CountedAnswer<'_>, split: &Split) {
        let usual = self.paces.entry((answer.service.clone(), answer.kind.to_owned())).or_default();
        let slow = match answer.pace {
            AnswerPace::Ratio(pace) => usual.is_slow(pace),
            AnswerPace::Overdue => true,
            AnswerPace::Unknown => false,
        };
        if let AnswerPace::Ratio(pace) = answer.pace
            && !split.evaluates(answer.release)
        {
            usual.record(pace);
        }
        let key = (answer.service.clone(), answer.release.clone(), answer.kind.to_owned());
        let tally = self.tallies.entry(key).or_default();
        tally.answers += 1;
        tally.failures += u64::from(answer.failed);
        tally.slow += u64::from(slow);
        if let AnswerPace::Ratio(pace) = answer.pace {
            tally.pace.record(PaceBaseline::log(pace));
        }
    }

    /// All tallies.
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

    /// Releases of the sessions that fall into a canary of the given share, for its peers: those whose last request this
    /// gateway has handled at or after `since`.
    #[must_use]
    pub fn session_releases(&self, now: Duration, share: f64, since: Duration) -> Vec<SessionRelease> {
        let row = |(session, release, at): (&SessionId, &ReleaseId, Duration)| SessionRelease {
            session: session.clone(),
            release: release.clone(),
            age: now.saturating_sub(at),
        };
        self.sessions.own_in_share(share, since).map(row).collect()
    }

    /// Load that this gateway has put on upstreams, for its peers.
    #[must_use]
    pub fn loads(&self, suspects: &Suspects) -> Vec<UpstreamLoad> {
        let busy = self.upstreams.iter().filter(|(_, state)| state.load.own_requests() > 0);
        let row = |(id, state): (&UpstreamId, &UpstreamState)| UpstreamLoad {
            upstream: id.clone(),
            requests: state.load.own_requests(),
            unread: state.load.own_pending_prefill(),
            suspects: self.suspects_at(
                &UpstreamIncarnation { upstream: id.clone(), started_at_ms: state.started_at_ms },
                suspects,
            ) as u32,
        };
        busy.map(row).collect()
    }

    fn suspects_at(&self, incarnation: &UpstreamIncarnation, suspects: &Suspects) -> usize {
        self.in_flight.count_running(incarnation, |fingerprint| suspects.get(fingerprint).is_some())
    }

    // Upstreams with the fewest suspected requests in flight, so that the next crash has only one possible cause.
    fn fewest_suspects<'a>(&self, pool: &[&'a Upstream], suspects: &Suspects) -> Vec<&'a Upstream> {
        let count = |upstream: &Upstream| {
            self.suspects_at(&upstream.incarnation(), suspects) + self.peers.total(&upstream.id).suspects as usize
        };
        let counts: Vec<(&Upstream, usize)> = pool.iter().map(|upstream| (*upstream, count(upstream))).collect();
        let least = counts.iter().map(|(_, count)| *count).min();
        counts.into_iter().filter(|(_, count)| Some(*count) == least).map(|(upstream, _)| upstream).collect()
    }

    /// Applies the load that a peer reports to have put on upstreams. `weight` is the number of gateways for which it
    /// stands.
    pub fn apply_peer_loads(&mut self, now: Duration, peer: InstanceId, weight: f64, loads: &[UpstreamLoad]) {
        let load = |load: &UpstreamLoad| {
            let (requests, prefill, suspects) = (load.requests, load.unread, load.suspects);
            (load.upstream.clone(), PeerLoad { requests, prefill, suspects })
        };
        let touched = self.peers.replace_weighted(peer, weight, loads.iter().map(load));
        self.apply_peer_totals(now, &touched);
    }

    /// Removes the load reported by a peer that is no longer connected.
    pub fn remove_peer(&mut self, now: Duration, peer: &InstanceId) {
        let touched = self.peers.remove(peer);
        self.apply_peer_totals(now, &touched);
    }

    fn apply_peer_totals(&mut self, now: Duration, totals: &IndexMap<UpstreamId, PeerLoad>) {
        for (id, total) in totals {
            if let Some(state) = self.upstreams.get_mut(id) {
                state.load.apply_peer_load(now, total.requests, total.prefill);
            }
        }
    }

    /// Removes upstreams that are not known any more and at which this gateway has no requests. Of those that announced
    /// their departure, asked for a pause, named a rate limit or are cold, only this is kept for a while.
    pub fn retain(&mut self, now: Duration, is_known: impl Fn(&UpstreamId) -> bool) {
        self.upstreams.retain(|id, state| {
            if state.load.own_requests() > 0 || is_known(id) {
                return true;
            }
            let is_remembered = state.departure.is_remembered(now)
                || state.health.is_paused(now)
                || state.limit.is_remembered(now)
                || state.cold.is_cold(now);
            if !is_remembered {
                return false;
            }
            let (departure, started_at_ms) = (state.departure, state.started_at_ms);
            let (health, limit) = (std::mem::take(&mut state.health), std::mem::take(&mut state.limit));
            let cold = std::mem::take(&mut state.cold);
            *state = UpstreamState { departure, health, limit, cold, started_at_ms, ..UpstreamState::default() };
            true
        });
    }

    // State of this incarnation of an upstream, if it is known.
    fn incarnation(&self, upstream: &Upstream) -> Option<&UpstreamState> {
        self.upstreams.get(&upstream.id).filter(|state| state.started_at_ms == upstream.started_at_ms)
    }

    fn incarnation_mut(&mut self, upstream: &Upstream) -> Option<&mut UpstreamState> {
        self.upstreams.get_mut(&upstream.id).filter(|state| state.started_at_ms == upstream.started_at_ms)
    }

    /// Whether an upstream may receive a new request.
    #[must_use]
    pub fn admission(&self, now: Duration, upstream: &Upstream) -> Admission {
        self.incarnation(upstream).map_or(Admission::Open, |state| state.admission(now))
    }

    /// Whether a request for which an upstream was chosen may be sent to it.
    #[must_use]
    pub fn admission_of_chosen(&self, now: Duration, upstream: &Upstream) -> Admission {
        self.incarnation(upstream).map_or(Admission::Open, |state| state.admission_of_chosen(now))
    }

    /// Whether an upstream of a service has reported the speed of its machine. If so, the speeds of the service's
    /// upstreams differ and change.
    #[must_use]
    pub fn reports_speed(&self, service: &ServiceId) -> bool {
        self.usual_speeds.contains_key(service)
    }

    /// Applies an upstream's report of its own load.
    pub fn apply_report(&mut self, now: Duration, upstream: &Upstream, report: Report) {
        if report.slowdown.is_some() && !self.reports_speed(&upstream.service) {
            log::info!(service = upstream.service.as_str(); "upstreams report the speed of their machines");
            self.usual_speeds.insert(upstream.service.clone(), UsualSpeed::default());
        }
        if let Some(state) = self.upstreams.get_mut(&upstream.id) {
            state.load.apply_report(now, report);
            report.slowdown.into_iter().for_each(|slowdown| state.capacity.record_report(now, slowdown));
        }
    }

    /// Records that something was received from an upstream.
    pub fn record_activity(&mut self, now: Duration, id: &UpstreamId) {
        if let Some(state) = self.upstreams.get_mut(id) {
            state.liveness.record_activity(now);
        }
    }

    /// Time for which a request may still wait for an upstream that is silent.
    #[must_use]
    pub fn remaining_wait(&self, now: Duration, id: &UpstreamId, since: Duration, timeout: Duration) -> Duration {
        let liveness = self.upstreams.get(id).map(|state| state.liveness).unwrap_or_default();
        liveness.remaining(now, since, timeout)
    }

    /// Mean time until the prompts pending at the available upstreams are processed.
    pub fn mean_prefill_time(&mut self, now: Duration, upstreams: &[Arc<Upstream>]) -> Duration {
        let mut pending = Vec::with_capacity(upstreams.len());
        let has_speeds = upstreams.first().is_some_and(|upstream| self.reports_speed(&upstream.service));
        for upstream in upstreams {
            let state = self.upstream(upstream);
            if state.is_available(now) {
                // Tokens that an upstream of usual speed processes in the same time.
                let speed = if has_speeds { state.capacity.speed(now) } else { 1.0 };
                pending.push(state.load.pending_prefill(now) / speed);
            }
        }
        let mean = pending.iter().sum::<f64>() / pending.len().max(1) as f64;
        // The learnt rate is lower, as it contains the time in which a prompt shares the engine with other requests. Taken
        // here, it would make engines that are half empty look full.
        Duration::from_secs_f64(mean / PREFILL_TOKENS_PER_MS / 1000.0)
    }

    /// Records what an attempt has shown about an upstream's health.
    pub fn record_health(&mut self, now: Duration, id: &UpstreamId, event: HealthEvent) {
        let Some(state) = self.upstreams.get_mut(id) else { return };
        if state.health.record(now, event) {
            let failing = format!("{:.2}", state.health.failure_rate());
            log::warn!(
                upstream = id.as_str(), failing = failing.as_str();
                "upstream is left out for a while: {event:?}"
            );
            self.arm_ramp(now, id, RampCause::Ejection);
        }
    }

    /// Chooses one of the given upstreams and counts the request in its rate limit; none if all of them asked for a pause,
    /// have left or are at their limits. Those that announced their departure are considered only if there are no others,
    /// and unhealthy ones only if there are no healthy ones.
    pub fn choose<'a>(
        &mut self,
        now: Duration,
        zone: &str,
        criteria: &SelectionCriteria<'_>,
        among: &[&'a Upstream],
    ) -> Option<&'a Upstream> {
        let admissions: Vec<(&Upstream, Admission)> =
            among.iter().map(|upstream| (*upstream, self.upstream(upstream).admission(now))).collect();
        let best = admissions.iter().map(|(_, admission)| *admission).min()?;
        if best == Admission::Closed {
            return None;
        }
        let admitted: Vec<&Upstream> =
            admissions.into_iter().filter(|(_, admission)| *admission == best).map(|(upstream, _)| upstream).collect();
        let is_healthy =
            |upstream: &&Upstream| self.upstreams.get(&upstream.id).is_none_or(|state| state.health.is_available(now));
        let healthy: Vec<&Upstream> = admitted.iter().copied().filter(is_healthy).collect();
        let pool = if healthy.is_empty() { &admitted } else { &healthy };
        let separated = criteria.separate_from.map(|suspects| self.fewest_suspects(pool, suspects));
        let pool = separated.as_ref().unwrap_or(pool);
        let with_room = self.with_room(now, pool);
        if let Some(with_room) = &with_room {
            criteria.passed_over.fetch_add((pool.len() - with_room.len()) as u32, Ordering::Relaxed);
        }
        let pool = with_room.as_ref().unwrap_or(pool);
        let shared = criteria.parts.split_last().map_or(&[][..], |(_, shared)| shared);
        let shared_tokens: u64 = shared.iter().map(|part| part.tokens.0).sum();
        let key = shared.last().zip(criteria.model).map(|(part, model)| format!("{model}/{}", part.id));
        let usual_rate = among.first().and_then(|upstream| self.usual_rate(upstream));
        let knows_speed = usual_rate.is_some();
        let profile = RequestProfile {
            key,
            prompt: criteria.prompt.0 as f64,
            shared: shared_tokens as f64,
            weight: criteria.weight,
            rate: usual_rate,
        };
        let unknown = UpstreamState::default();
        let candidates: Vec<Candidate> = pool
            .iter()
            .map(|upstream| {
                // All have an entry, since their admission was looked up above.
                let state = self.upstreams.get(&upstream.id).unwrap_or(&unknown);
                let cached = criteria.model.map_or(0, |model| state.parts.cached(model, shared).0);
                let load = state.load.estimate(now);
                Candidate {
                    name: upstream.id.to_string(),
                    requests: load.requests,
                    slots: f64::from(upstream.slots),
                    pending_prefill: load.pending_prefill,
                    cached: cached as f64,
                    failure_rate: state.health.failure_rate(),
                    other_zone: upstream.zone.as_str() != zone,
                    cold: !upstream.cold.is_zero(),
                    speed: if knows_speed { state.capacity.speed(now) } else { 1.0 },
                    has_connection: knows_speed && criteria.connected.contains(&upstream.address),
                    average: if knows_speed { load.average } else { 0.0 },
                }
            })
            .collect();
        let position = pick(&profile, &candidates, &mut rand::rng())?;
        let chosen = pool.get(position).copied()?;
        self.upstream(chosen).take(now);
        Some(chosen)
    }
}
