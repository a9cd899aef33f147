//! Evacuated zones. The operator orders an evacuation by a row, and ends it by deleting the row. The upstreams of such a
//! zone get no new requests; those in progress there go on.
//!
//! The last known rows stay in force while the store is unreachable: an evacuation ends only when the deletion is read,
//! from the store or a peer.

use std::sync::Arc;

use bluebell_core::{
    ids::{ServiceId, ZoneId},
    upstreams::Upstream,
};
use indexmap::{IndexMap, IndexSet};

/// Zones of which the operator has ordered the evacuation.
#[derive(Debug, Default)]
pub(super) struct Evacuations {
    zones: Arc<IndexSet<ZoneId>>,
}

impl Evacuations {
    /// Records that the evacuation of a zone was ordered, or that it has ended. Returns whether that is new.
    pub(super) fn set(&mut self, zone: &ZoneId, is_ordered: bool) -> bool {
        if self.zones.contains(zone) == is_ordered {
            return false;
        }
        let zones = Arc::make_mut(&mut self.zones);
        if is_ordered { zones.insert(zone.clone()) } else { zones.shift_remove(zone) }
    }

    /// The zones, for the routing state.
    pub(super) fn zones(&self) -> Arc<IndexSet<ZoneId>> {
        Arc::clone(&self.zones)
    }

    /// Removes the upstreams of evacuated zones, and returns how many of each service were removed.
    pub(super) fn remove_from(&self, open: &mut IndexMap<ServiceId, Vec<Arc<Upstream>>>) -> IndexMap<ServiceId, usize> {
        let mut removed = IndexMap::new();
        if self.zones.is_empty() {
            return removed;
        }
        for (service, upstreams) in open.iter_mut() {
            let before = upstreams.len();
            upstreams.retain(|upstream| !self.zones.contains(&upstream.zone));
            if upstreams.len() < before {
                removed.insert(service.clone(), before - upstreams.len());
            }
        }
        removed
    }
}
