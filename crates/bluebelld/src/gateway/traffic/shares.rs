//! Use of engine time by organisation, and what follows from it for their requests. Only for services whose upstreams
//! report the speed of their machines.

use std::time::Duration;

use bluebell_core::ids::{OrgId, ServiceId};

use super::Traffic;

impl Traffic {
    /// Records work that an organisation gives to the engines of a service.
    pub fn record_work(&mut self, now: Duration, service: &ServiceId, organisation: &OrgId, work: f64) {
        if self.reports_speed(service) {
            self.shares.entry(service.clone()).or_default().record(now, organisation, work);
        }
    }

    /// Factor on the price of engine time for an organisation.
    #[must_use]
    pub fn price_factor(&self, now: Duration, service: &ServiceId, organisation: Option<&OrgId>) -> f64 {
        let shares = self.shares.get(service).zip(organisation);
        shares.map_or(1.0, |(shares, organisation)| shares.price_factor(now, organisation))
    }

    /// Rank with which a request is sent to an upstream. Where the use by organisation is known, there are two ranks for
    /// each one declared: requests of organisations in excess wait behind the others of their rank.
    #[must_use]
    pub fn upstream_rank(&self, now: Duration, service: &ServiceId, rank: u8, organisation: Option<&OrgId>) -> u8 {
        let Some(shares) = self.shares.get(service) else { return rank };
        let is_in_excess = organisation.is_some_and(|organisation| shares.is_in_excess(now, organisation));
        rank.saturating_mul(2).saturating_add(u8::from(is_in_excess))
    }
}
