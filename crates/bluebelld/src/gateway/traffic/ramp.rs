//! Ramp-up of upstreams that started or recovered, for services whose upstreams report the speed of their machines.

use std::time::Duration;

use bluebell_core::{
    canary::PaceBaseline,
    ids::{ServiceId, UpstreamId},
    placing::{RampCause, RampChange, RampEnd, RampSample, RampSignal, RampUp},
    upstreams::Upstream,
};
use indexmap::IndexMap;

use super::Traffic;

/// Factor by which a head's pace is raised for the decision whether it is on pace; with [`PaceBaseline::is_slow`], which
/// allows four times the usual pace, heads of up to twice the usual pace increase the window. Machines whose speeds
/// differ by a factor of two stay within it.
const ON_PACE_MARGIN: f64 = 2.0;

impl Traffic {
    /// Begins the ramp-up of an upstream of which an incarnation is registered for the first time while traffic runs.
    /// Returns whether one begins.
    pub fn begin_ramp(&mut self, now: Duration, upstream: &Upstream) -> bool {
        if !self.reports_speed(&upstream.service) || self.incarnation(upstream).is_some() {
            return false;
        }
        let state = self.upstream(upstream);
        state.ramp.begin(now, RampCause::Start);
        self.ramping.insert(upstream.id.clone(), upstream.service.clone());
        log_begin(upstream, RampCause::Start);
        true
    }

    /// Records that the head of an answer arrived. `kind` is the kind of work, `pace` the time taken relative to the time
    /// expected for its size. Returns whether a ramp-up begins.
    pub fn record_head_pace(
        &mut self,
        now: Duration,
        upstream: &Upstream,
        kind: &str,
        sent_at: Duration,
        pace: f64,
    ) -> bool {
        if !self.reports_speed(&upstream.service) {
            return self.record_ramp(now, upstream, sent_at, RampSignal::OnPace);
        }
        let is_ramping = self.incarnation(upstream).is_some_and(|state| state.ramp.is_active());
        let usual = self.head_paces.entry((upstream.service.clone(), kind.to_owned())).or_default();
        let signal = head_signal(usual, pace);
        if !is_ramping {
            usual.record(pace);
        }
        self.record_ramp(now, upstream, sent_at, signal)
    }

    /// Records what a request shows about the ramp-up of its upstream. Returns whether a ramp-up begins.
    pub fn record_ramp(&mut self, now: Duration, upstream: &Upstream, sent_at: Duration, signal: RampSignal) -> bool {
        let is_used = self.reports_speed(&upstream.service);
        let Some(state) = self.incarnation_mut(upstream) else { return false };
        if !is_used {
            state.ramp = RampUp::Inactive;
            return false;
        }
        let sample = RampSample { sent_at, signal, in_progress: state.load.own_requests(), slots: upstream.slots };
        match state.ramp.record(now, &sample) {
            None => false,
            Some(RampChange::Began(cause)) => {
                self.ramping.insert(upstream.id.clone(), upstream.service.clone());
                log_begin(upstream, cause);
                true
            }
            Some(RampChange::Ended(end)) => {
                self.ramping.swap_remove(&upstream.id);
                log_end(&upstream.id, &end);
                false
            }
        }
    }

    /// Prepares the ramp-up that follows an ejection or a pause.
    pub(super) fn arm_ramp(&mut self, now: Duration, id: &UpstreamId, cause: RampCause) {
        let Some(state) = self.upstreams.get_mut(id) else { return };
        let interrupted = state.ramp.arm(now, cause);
        self.ramping.swap_remove(id);
        if let Some(end) = interrupted {
            log_end(id, &end);
        }
    }

    /// Those of the given upstreams whose windows have room; none if all have, or if no other could take a request.
    pub(super) fn with_room<'a>(&mut self, now: Duration, pool: &[&'a Upstream]) -> Option<Vec<&'a Upstream>> {
        let upstreams = &mut self.upstreams;
        self.ramping.retain(|id, _| upstreams.get(id).is_some_and(|state| state.ramp.is_active()));
        if self.ramping.is_empty() {
            return None;
        }
        let mut is_full = |upstream: &Upstream| {
            let state = self.ramping.get(&upstream.id).and_then(|_| upstreams.get_mut(&upstream.id));
            let full = state.filter(|state| !state.ramp.has_room(now, state.load.own_requests()));
            full.map(|state| state.ramp.record_full(now)).is_some()
        };
        let room: Vec<&Upstream> = pool.iter().copied().filter(|upstream| !is_full(upstream)).collect();
        (!room.is_empty() && room.len() < pool.len()).then_some(room)
    }

    /// Number of upstreams in ramp-up, for each service that reports speeds.
    #[must_use]
    pub fn ramping(&self) -> IndexMap<ServiceId, usize> {
        let mut counts: IndexMap<ServiceId, usize> =
            self.usual_speeds.keys().map(|service| (service.clone(), 0)).collect();
        self.ramping.values().for_each(|service| *counts.entry(service.clone()).or_default() += 1);
        counts
    }
}

fn head_signal(usual: &PaceBaseline, pace: f64) -> RampSignal {
    if usual.is_slow(pace) {
        RampSignal::Slow
    } else if usual.is_slow(pace * ON_PACE_MARGIN) {
        RampSignal::Late
    } else {
        RampSignal::OnPace
    }
}

fn log_begin(upstream: &Upstream, cause: RampCause) {
    log::info!(
        upstream = upstream.id.as_str(), service = upstream.service.as_str(), born = upstream.started_at_ms,
        cause = cause.name(), window = 1;
        "ramp-up of an upstream begins"
    );
}

fn log_end(id: &UpstreamId, end: &RampEnd) {
    log::info!(
        upstream = id.as_str(), cause = end.cause.name(), end = end.reason.name(), window = end.window,
        took_ms = end.took.as_millis() as u64;
        "ramp-up of an upstream ends"
    );
}
