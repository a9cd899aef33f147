//! What upstreams say of themselves in their answers, to this gateway or to a peer: departures, pauses and rate limits. And
//! what follows from rate limits for requests that find no room.

use std::{sync::Arc, time::Duration};

use bluebell_core::{
    ids::{InstanceId, ServiceId, UpstreamId},
    placing::RampCause,
    rate_limit::{LimitChange, LimitReport},
    units::Rate,
    upstreams::{Upstream, UpstreamIncarnation},
};
use bluebell_wire::messages::UpstreamLimit;
use indexmap::IndexMap;

use super::{
    Traffic,
    upstream_state::{UpstreamState, UpstreamWait},
};

impl Traffic {
    /// Whether an upstream has announced its departure.
    #[must_use]
    pub fn is_leaving(&self, upstream: &Upstream) -> bool {
        self.incarnation(upstream).is_some_and(|state| state.departure.is_announced())
    }

    /// Records that an upstream announced its departure. Returns whether this is the first announcement.
    pub fn record_leaving(&mut self, now: Duration, upstream: &Upstream) -> bool {
        let is_first = self.incarnation_mut(upstream).is_some_and(|state| state.departure.announce(now));
        if is_first {
            log::info!(
                upstream = upstream.id.as_str(), service = upstream.service.as_str(), born = upstream.started_at_ms;
                "upstream announced its departure and gets no more requests"
            );
        }
        is_first
    }

    /// Records a success of an upstream that doesn't announce its departure.
    pub fn record_staying(&mut self, now: Duration, upstream: &Upstream) {
        if let Some(state) = self.incarnation_mut(upstream) {
            state.departure.contradict(now);
        }
    }

    /// Records that an upstream asked for a pause. Returns whether one begins.
    pub fn record_pause(&mut self, now: Duration, upstream: &Upstream, delay: Duration) -> bool {
        let Some(state) = self.incarnation_mut(upstream) else { return false };
        let begins = state.health.pause(now, delay);
        if begins {
            log::info!(
                upstream = upstream.id.as_str(), service = upstream.service.as_str(),
                asked_ms = delay.as_millis() as u64, pause_ms = state.health.pause_left(now).as_millis() as u64;
                "upstream asked for a pause"
            );
            self.arm_ramp(now, &upstream.id, RampCause::Pause);
        }
        begins
    }

    /// The upstream that takes a request first, of those that take none now but will.
    #[must_use]
    pub fn first_wait<'a>(
        &self,
        now: Duration,
        among: impl IntoIterator<Item = &'a Arc<Upstream>>,
    ) -> Option<UpstreamWait> {
        let wait = |upstream: &Arc<Upstream>| {
            let (left, cause) = self.incarnation(upstream)?.wait(now).filter(|(left, _)| !left.is_zero())?;
            Some(UpstreamWait { upstream: upstream.id.clone(), cause, left })
        };
        among.into_iter().filter_map(wait).min_by_key(|wait| wait.left)
    }

    /// Whether a request of a rank may be sent to one of the given upstreams, and need not leave it to more urgent ones.
    #[must_use]
    pub fn admits_rank(&self, now: Duration, service: &ServiceId, rank: u8, among: &[Arc<Upstream>]) -> bool {
        let Some(order) = self.urgency.get(service) else { return true };
        // Without a limit, there is room for any number.
        let available = |upstream: &Arc<Upstream>| self.incarnation(upstream)?.available(now);
        let room = among.iter().try_fold(0_usize, |sum, upstream| Some(sum + available(upstream)?));
        // Where there is no room, none is left to others.
        room.is_none_or(|room| room == 0 || order.admits(now, rank, room))
    }

    /// Records that a request of a rank is refused because of the rate limits of upstreams.
    pub fn record_limited(&mut self, now: Duration, service: &ServiceId, rank: u8) {
        self.urgency.entry(service.clone()).or_default().record_refused(now, rank);
    }

    /// Records that a request of a rank is sent to an upstream of a service.
    pub fn record_rank(&mut self, now: Duration, service: &ServiceId, rank: u8) {
        if let Some(order) = self.urgency.get_mut(service) {
            order.record_sent(now, rank);
        }
    }

    /// Whether any of the given upstreams has a rate limit or is cold.
    #[must_use]
    pub fn has_limited(&self, now: Duration, among: &[Arc<Upstream>]) -> bool {
        among.iter().filter_map(|upstream| self.incarnation(upstream)).any(|state| state.is_limited(now))
    }

    /// Time after which a caller is to come back that was refused because of the rate limits of upstreams. `first` is the
    /// time until one of them has room.
    pub fn schedule_return(
        &mut self,
        now: Duration,
        service: &ServiceId,
        first: Duration,
        among: &[Arc<Upstream>],
    ) -> Duration {
        let shares = among.iter().filter_map(|upstream| self.incarnation(upstream)).map(|state| state.share(now));
        let rate = Rate::per_second(shares.sum());
        self.returns.entry(service.clone()).or_default().schedule(now, first, rate)
    }

    /// Records what an answer says about its upstream's rate limit. `sent_at` is when its request was sent. Returns
    /// whether a limit begins.
    pub fn record_limit(&mut self, now: Duration, sent_at: Duration, upstream: &Upstream, limit: Option<Rate>) -> bool {
        let state = self.upstreams.get_mut(&upstream.id).filter(|state| state.started_at_ms == upstream.started_at_ms);
        let Some(state) = state else { return false };
        let change = state.limit.record_answer(now, sent_at, limit);
        state.limit.assign(now, &upstream.id, &self.fleet);
        log_limit(&upstream.id, state, change, "own");
        change == LimitChange::Began
    }

    /// Applies the rate limits that a peer reports.
    pub fn apply_peer_limits(&mut self, now: Duration, peer: &InstanceId, limits: &[UpstreamLimit]) {
        for UpstreamLimit { incarnation, limit, age } in limits {
            let Some(state) = reported(&mut self.upstreams, incarnation) else { continue };
            let change = state.limit.record_report(now, LimitReport { limit: *limit, age: *age });
            state.limit.assign(now, &incarnation.upstream, &self.fleet);
            log_limit(&incarnation.upstream, state, change, peer.as_str());
        }
    }

    /// Applies the departures that were announced to a peer.
    pub fn apply_peer_departures(
        &mut self,
        now: Duration,
        peer: &InstanceId,
        departures: &[(UpstreamIncarnation, Duration)],
    ) {
        for (incarnation, age) in departures {
            let Some(state) = reported(&mut self.upstreams, incarnation) else { continue };
            if state.departure.report(now, *age) {
                log::info!(
                    upstream = incarnation.upstream.as_str(), born = incarnation.started_at_ms, source = peer.as_str();
                    "upstream announced its departure to a peer and is a last resort"
                );
            }
        }
    }

    /// Departures that upstreams announced to this gateway lately, for its peers.
    #[must_use]
    pub fn departures(&self, now: Duration) -> Vec<(UpstreamIncarnation, Duration)> {
        let row = |(id, state): (&UpstreamId, &UpstreamState)| {
            let age = state.departure.age_for_peers(now)?;
            Some((UpstreamIncarnation { upstream: id.clone(), started_at_ms: state.started_at_ms }, age))
        };
        self.upstreams.iter().filter_map(row).collect()
    }

    /// Rate limits that upstreams named to this gateway, for its peers.
    #[must_use]
    pub fn limits(&self, now: Duration) -> Vec<UpstreamLimit> {
        let row = |(id, state): (&UpstreamId, &UpstreamState)| {
            let LimitReport { limit, age } = state.limit.report(now)?;
            let incarnation = UpstreamIncarnation { upstream: id.clone(), started_at_ms: state.started_at_ms };
            Some(UpstreamLimit { incarnation, limit, age })
        };
        self.upstreams.iter().filter_map(row).collect()
    }

    /// Divides the upstreams' rate limits among the gateways anew.
    pub fn assign_limits<'a>(&mut self, now: Duration, own: &InstanceId, others: impl Iterator<Item = &'a InstanceId>) {
        self.fleet.update(own, others);
        for (id, state) in &mut self.upstreams {
            state.limit.assign(now, id, &self.fleet);
        }
    }
}

// State of an incarnation of which a peer reports; none if another one is known here, of which that says nothing.
fn reported<'a>(
    upstreams: &'a mut IndexMap<UpstreamId, UpstreamState>,
    incarnation: &UpstreamIncarnation,
) -> Option<&'a mut UpstreamState> {
    let started_at_ms = incarnation.started_at_ms;
    let state = upstreams
        .entry(incarnation.upstream.clone())
        .or_insert_with(|| UpstreamState { started_at_ms, ..UpstreamState::default() });
    (state.started_at_ms == started_at_ms).then_some(state)
}

fn log_limit(id: &UpstreamId, state: &UpstreamState, change: LimitChange, source: &str) {
    let message = match change {
        LimitChange::None => return,
        LimitChange::Began => "upstream names a rate limit",
        LimitChange::Adjusted => "upstream names another rate limit",
        LimitChange::Ended => "upstream names no rate limit any more",
    };
    log::info!(
        upstream = id.as_str(), born = state.started_at_ms, source = source,
        limit = state.limit.limit().map_or(-1.0, Rate::value), share = state.limit.share().value();
        "{message}"
    );
}
