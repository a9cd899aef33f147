//! Load that the other gateways have put on upstreams, with sums by upstream that are kept up to date by difference: a
//! report is applied in time proportional to its own length, whatever the number of gateways and upstreams.

use indexmap::IndexMap;

use crate::{
    ids::{InstanceId, UpstreamId},
    units::Tokens,
};

/// Load that one or more gateways have put on an upstream.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct PeerLoad {
    /// Requests in flight.
    pub requests: u32,
    /// Prompt tokens of these requests that wait for prefill.
    pub prefill: Tokens,
    /// Number of these requests that are suspected of crashing upstreams.
    pub suspects: u32,
}

impl PeerLoad {
    // Saturates, because the figures come from other processes.
    fn add(&mut self, other: Self) {
        self.requests = self.requests.saturating_add(other.requests);
        self.prefill = Tokens(self.prefill.0.saturating_add(other.prefill.0));
        self.suspects = self.suspects.saturating_add(other.suspects);
    }

    fn subtract(&mut self, other: Self) {
        self.requests = self.requests.saturating_sub(other.requests);
        self.prefill = Tokens(self.prefill.0.saturating_sub(other.prefill.0));
        self.suspects = self.suspects.saturating_sub(other.suspects);
    }
}

/// Latest reports of the other gateways, and their sums by upstream.
#[derive(Debug, Clone, Default)]
pub struct PeerLoads {
    reports: IndexMap<InstanceId, IndexMap<UpstreamId, PeerLoad>>,
    totals: IndexMap<UpstreamId, PeerLoad>,
}

impl PeerLoads {
    /// Replaces the report of a gateway. Returns the upstreams of its previous and its new report, with the sums over all
    /// gateways.
    pub fn replace(
        &mut self,
        peer: InstanceId,
        loads: impl IntoIterator<Item = (UpstreamId, PeerLoad)>,
    ) -> IndexMap<UpstreamId, PeerLoad> {
        let mut touched = self.remove(&peer);
        let mut report: IndexMap<UpstreamId, PeerLoad> = IndexMap::new();
        for (id, load) in loads {
            report.entry(id).or_default().add(load);
        }
        for (id, load) in &report {
            let total = self.totals.entry(id.clone()).or_default();
            total.add(*load);
            touched.insert(id.clone(), *total);
        }
        if !report.is_empty() {
            self.reports.insert(peer, report);
        }
        touched
    }

    /// Removes the report of a gateway. Returns its upstreams, with the sums over the other gateways.
    pub fn remove(&mut self, peer: &InstanceId) -> IndexMap<UpstreamId, PeerLoad> {
        let Some(report) = self.reports.swap_remove(peer) else { return IndexMap::new() };
        let subtracted = report.into_iter().map(|(id, load)| {
            let mut total = self.totals.get(&id).copied().unwrap_or_default();
            total.subtract(load);
            if total == PeerLoad::default() {
                self.totals.swap_remove(&id);
            } else {
                self.totals.insert(id.clone(), total);
            }
            (id, total)
        });
        subtracted.collect()
    }

    /// Sum of the loads that all gateways report for an upstream.
    #[must_use]
    pub fn total(&self, id: &UpstreamId) -> PeerLoad {
        self.totals.get(id).copied().unwrap_or_default()
    }
}
