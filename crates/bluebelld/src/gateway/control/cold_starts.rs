//! Which upstreams are cold: as their registrations say, and where these can't say so yet.

use std::time::Duration;

use bluebell_core::{
    cold_start::{ColdCause, ColdLimit, Contact},
    ids::{ServiceId, ZoneId},
    replica::Origin,
    upstreams::Upstream,
};

use super::{feeds::STORE_TIMEOUT, state::Control};

/// Time after this gateway was in sync in which an incarnation that it sees for the first time has not just started.
const SYNC_MARGIN: Duration = Duration::from_secs(1);

impl Control {
    // What the upstreams of a service accept while they are cold, and for how long they are; none if that has no limit.
    fn cold_limit(&self, service: &ServiceId) -> Option<(ColdLimit, Duration)> {
        let tolerance = self.gateway.settings.cold?;
        let cold = self.declared.as_deref()?.services.get(service)?.cold?;
        Some((ColdLimit::new(cold.rate, tolerance.over, tolerance.slack), cold.period))
    }

    /// Applies a registration of an upstream to its cold state.
    pub(super) fn record_registration(&mut self, now: Duration, upstream: &Upstream) {
        if self.gateway.settings.cold.is_none() {
            return;
        }
        let is_first = self.incarnations.record(now, upstream);
        let limit = self.cold_limit(&upstream.service);
        let mut traffic = self.gateway.traffic();
        traffic.set_cold_limit(upstream, limit.map(|(limit, _)| limit));
        let Some((_, period)) = limit else { return };
        traffic.begin_cold(now, upstream, upstream.cold, ColdCause::Registered);
        if is_first && self.startup.synced_at.is_some_and(|synced_at| now > synced_at + SYNC_MARGIN) {
            traffic.begin_cold(now, upstream, period, ColdCause::FirstSeen);
        }
    }

    /// Takes all upstreams of a zone for cold whose evacuation has ended.
    pub(super) fn take_back(&mut self, now: Duration, zone: &ZoneId) {
        for upstream in self.upstreams.listed().filter(|upstream| upstream.zone == *zone) {
            if let Some((limit, period)) = self.cold_limit(&upstream.service) {
                let mut traffic = self.gateway.traffic();
                traffic.set_cold_limit(upstream, Some(limit));
                traffic.begin_cold(now, upstream, period, ColdCause::TakenBack);
            }
        }
    }

    /// Brings this gateway's shares of what cold upstreams accept up to date.
    pub(super) fn assign_cold(&mut self, now: Duration) {
        if self.gateway.settings.cold.is_none() {
            return;
        }
        let contact = if !self.knows_all(Origin::Fleet) {
            Contact::Unknown
        } else if now < self.gateway.routing.load().last_contact + STORE_TIMEOUT {
            Contact::Connected
        } else {
            Contact::Isolated
        };
        let own = &self.gateway.settings.instance.id;
        let cold = self.gateway.traffic().assign_cold(now, own, self.members.ids(), contact);
        self.gateway.metrics.set_cold(cold);
        let upstreams = &self.upstreams;
        self.incarnations.expire(now, |incarnation| upstreams.is_listed(&incarnation.upstream));
    }
}
