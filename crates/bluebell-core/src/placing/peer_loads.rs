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

/// Latest reports of the other gateways, and their sums by upstream.
#[derive(Debug, Clone, Default)]
pub struct PeerLoads {
    reports: IndexMap<InstanceId, IndexMap<UpstreamId, Sum>>,
    totals: IndexMap<UpstreamId, Sum>,
}

/// Units of a sum in one request or token. Sums are integers, so that what was added is subtracted exactly.
const UNITS: f64 = 256.0;

// Load times the weight of its report.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
struct Sum {
    requests: u128,
    prefill: u128,
    suspects: u32,
}

impl Sum {
    // A report with weight zero counts for its suspects only.
    fn weighted(load: PeerLoad, weight: f64) -> Self {
        let units = weight.max(0.0) * UNITS;
        let scale = |count: f64| (count * units).round() as u128;
        Self {
            requests: scale(f64::from(load.requests)),
            prefill: scale(load.prefill.0 as f64),
            suspects: load.suspects,
        }
    }

    // Saturates, because the figures come from other processes.
    fn add(&mut self, other: Self) {
        self.requests = self.requests.saturating_add(other.requests);
        self.prefill = self.prefill.saturating_add(other.prefill);
        self.suspects = self.suspects.saturating_add(other.suspects);
    }

    fn subtract(&mut self, other: Self) {
        self.requests = self.requests.saturating_sub(other.requests);
        self.prefill = self.prefill.saturating_sub(other.prefill);
        self.suspects = self.suspects.saturating_sub(other.suspects);
    }

    fn load(self) -> PeerLoad {
        let count = |units: u128| (units as f64 / UNITS).round();
        let requests = count(self.requests) as u32;
        PeerLoad { requests, prefill: Tokens(count(self.prefill) as u64), suspects: self.suspects }
    }
}

impl PeerLoads {
    /// Replaces the report of a gateway, which counts as many times as its weight says: a gateway that doesn't hear all
    /// others scales up what it hears; see [`crate::dissemination::load_weights`]. Suspects count once. Returns the upstreams
    /// of its previous and its new report, with the sums over all gateways.
    pub fn replace_weighted(
        &mut self,
        peer: InstanceId,
        weight: f64,
        loads: impl IntoIterator<Item = (UpstreamId, PeerLoad)>,
    ) -> IndexMap<UpstreamId, PeerLoad> {
        let mut touched = self.remove(&peer);
        let mut report: IndexMap<UpstreamId, Sum> = IndexMap::new();
        for (id, load) in loads {
            report.entry(id).or_default().add(Sum::weighted(load, weight));
        }
        for (id, load) in &report {
            let total = self.totals.entry(id.clone()).or_default();
            total.add(*load);
            touched.insert(id.clone(), total.load());
        }
        if !report.is_empty() {
            self.reports.insert(peer, report);
        }
        touched
    }

    /// Replaces the report of a gateway that counts for itself.
    pub fn replace(
        &mut self,
        peer: InstanceId,
        loads: impl IntoIterator<Item = (UpstreamId, PeerLoad)>,
    ) -> IndexMap<UpstreamId, PeerLoad> {
        self.replace_weighted(peer, 1.0, loads)
    }

    /// Removes the report of a gateway. Returns its upstreams, with the sums over the other gateways.
    pub fn remove(&mut self, peer: &InstanceId) -> IndexMap<UpstreamId, PeerLoad> {
        let Some(report) = self.reports.swap_remove(peer) else { return IndexMap::new() };
        let subtracted = report.into_iter().map(|(id, load)| {
            let mut total = self.totals.get(&id).copied().unwrap_or_default();
            total.subtract(load);
            if total == Sum::default() {
                self.totals.swap_remove(&id);
            } else {
                self.totals.insert(id.clone(), total);
            }
            (id, total.load())
        });
        subtracted.collect()
    }

    /// Sum of the loads that all gateways report for an upstream.
    #[must_use]
    pub fn total(&self, id: &UpstreamId) -> PeerLoad {
        self.totals.get(id).copied().unwrap_or_default().load()
    }
}
