//! Cold upstreams: what this gateway may send to them.

use std::time::Duration;

use bluebell_core::{
    cold_start::{ColdCause, ColdLimit, Contact},
    ids::InstanceId,
    upstreams::Upstream,
};

use super::Traffic;

impl Traffic {
    /// Sets what an upstream accepts while it is cold.
    pub fn set_cold_limit(&mut self, upstream: &Upstream, limit: Option<ColdLimit>) {
        self.upstream(upstream).cold.set_limit(limit);
    }

    /// Records that an upstream is cold for the given time, at least.
    pub fn begin_cold(&mut self, now: Duration, upstream: &Upstream, left: Duration, cause: ColdCause) {
        self.upstream(upstream);
        let Some(state) = self.upstreams.get_mut(&upstream.id) else { return };
        if !state.cold.begin(now, left, cause) {
            return;
        }
        state.cold.assign(now, &upstream.id, &self.cold_fleet);
        let cause = match cause {
            ColdCause::Registered => "registered",
            ColdCause::FirstSeen => "first_seen",
            ColdCause::TakenBack => "taken_back",
        };
        log::info!(
            upstream = upstream.id.as_str(), service = upstream.service.as_str(), born = upstream.started_at_ms,
            cause = cause, left_ms = left.as_millis() as u64, share = state.cold.share().value();
            "upstream is cold"
        );
    }

    /// Divides the rates of cold upstreams among the gateways anew. Returns the number of cold upstreams.
    pub fn assign_cold<'a>(
        &mut self,
        now: Duration,
        own: &InstanceId,
        others: impl Iterator<Item = &'a InstanceId>,
        contact: Contact,
    ) -> usize {
        let was_isolated = self.cold_fleet.is_isolated();
        self.cold_fleet.update(now, own, others, contact);
        if self.cold_fleet.is_isolated() != was_isolated {
            log::info!(
                isolated = !was_isolated;
                "upstreams {} taken for cold for lack of contact", if was_isolated { "are no longer" } else { "are" }
            );
        }
        for (id, state) in &mut self.upstreams {
            state.cold.assign(now, id, &self.cold_fleet);
        }
        self.upstreams.values().filter(|state| state.cold.is_cold(now)).count()
    }

    /// Whether a request may be sent for which an upstream was chosen at `chosen_at`, if the upstream is cold; see
    /// [`bluebell_core::cold_start::ColdStart::confirm`].
    pub fn confirm_cold(&mut self, now: Duration, upstream: &Upstream, chosen_at: Duration) -> bool {
        self.incarnation_mut(upstream).is_none_or(|state| state.cold.confirm(now, chosen_at))
    }
}
