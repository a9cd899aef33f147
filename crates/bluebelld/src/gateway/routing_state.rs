//! The routing state: everything that the traffic thread needs to route requests. The control thread publishes it as a
//! whole.

use std::{sync::Arc, time::Duration};

use bluebell_core::{
    canary::Split,
    ids::{ServiceId, ZoneId},
    ingress::Declared,
    poison::Suspects,
    upstreams::Upstream,
};
use indexmap::{IndexMap, IndexSet};

/// Time without contact to the store, directly or by way of peers, after which the declarations known here may be out
/// of date: what they lack may have been declared since.
const STALE_AFTER: Duration = Duration::from_secs(4);

/// Everything that the traffic thread needs to route requests.
#[derive(Debug, Clone, Default)]
pub struct RoutingState {
    /// The operators' declarations, or `None` until they were first read.
    pub declared: Option<Arc<Declared>>,
    /// Upstreams that accept new requests, by service, without those of evacuated zones.
    pub open: IndexMap<ServiceId, Vec<Arc<Upstream>>>,
    /// Number of upstreams that would accept new requests but are in evacuated zones, by service.
    pub left_out: IndexMap<ServiceId, usize>,
    /// Evacuated zones.
    pub evacuated: Arc<IndexSet<ZoneId>>,
    /// How requests are split among the releases of each service; services without a roll-out have no entry.
    pub splits: IndexMap<ServiceId, Split>,
    /// Requests suspected of crashing upstreams.
    pub suspects: Arc<Suspects>,
    /// Number of gateways that share the retry budget, including this one.
    pub gateways: usize,
    /// When the store last responded to this gateway, or a peer last reported contact with the store.
    pub last_contact: Duration,
}

impl RoutingState {
    /// Whether the declarations known here can be assumed to be the latest.
    #[must_use]
    pub fn is_current(&self, now: Duration) -> bool {
        now < self.last_contact + STALE_AFTER
    }

    /// How requests are split among the releases of a service.
    #[must_use]
    pub fn split(&self, service: &ServiceId) -> &Split {
        self.splits.get(service).unwrap_or(&Split::Any)
    }

    /// Upstreams of a service that accept new requests.
    #[must_use]
    pub fn upstreams(&self, service: &ServiceId) -> &[Arc<Upstream>] {
        self.open.get(service).map_or(&[], Vec::as_slice)
    }
}
