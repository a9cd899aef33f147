//! Speeds of upstreams that report the speed of their machines: what their answers to this gateway show of it.

use std::time::Duration;

use bluebell_core::{placing::UsualSpeed, upstreams::Upstream};

use super::{
    Traffic,
    upstream_state::{ChosenSpeed, FirstEvent},
};

impl Traffic {
    /// Speed of an upstream at this moment; none if its service doesn't report speeds.
    #[must_use]
    pub fn speed(&self, now: Duration, upstream: &Upstream) -> Option<ChosenSpeed> {
        self.usual_speeds.get(&upstream.service)?;
        let capacity = &self.incarnation(upstream)?.capacity;
        Some(ChosenSpeed { speed: capacity.speed(now), report_age: capacity.report_age(now) })
    }

    /// Prompt tokens that an upstream processes per millisecond, the lower of those of this moment and those on average;
    /// none if its service doesn't report speeds.
    #[must_use]
    pub fn prefill_rate(&self, now: Duration, upstream: &Upstream) -> Option<f64> {
        let usual = self.usual_speeds.get(&upstream.service)?;
        let capacity = &self.incarnation(upstream)?.capacity;
        Some(usual.rate() * capacity.speed(now).min(capacity.mean_speed()))
    }

    /// Prompt tokens that an upstream of usual speed processes per millisecond, if speeds are reported.
    #[must_use]
    pub fn usual_rate(&self, upstream: &Upstream) -> Option<f64> {
        self.usual_speeds.get(&upstream.service).map(UsualSpeed::rate)
    }

    /// Records the first event of an answer.
    pub fn record_first_event(&mut self, now: Duration, upstream: &Upstream, event: FirstEvent) {
        let Some(usual) = self.usual_speeds.get_mut(&upstream.service) else { return };
        let state = self.upstreams.get_mut(&upstream.id).filter(|state| state.started_at_ms == upstream.started_at_ms);
        if let Some(state) = state {
            state.capacity.record_head(now, usual, event.prefill, event.queued, event.took);
        }
    }

    /// Records the time from the first to the last event of an answer. `count` is the number of events after those that
    /// came first, `kind` the kind of work.
    pub fn record_events(&mut self, upstream: &Upstream, kind: &str, count: u64, took: Duration) {
        let Some(usual) = self.usual_speeds.get_mut(&upstream.service) else { return };
        let state = self.upstreams.get_mut(&upstream.id).filter(|state| state.started_at_ms == upstream.started_at_ms);
        if let Some(state) = state {
            state.capacity.record_events(usual, kind, count, took);
        }
    }
}
