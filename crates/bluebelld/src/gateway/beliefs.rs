//! What the control thread believes, published as one unit for the traffic thread.

use std::{sync::Arc, time::Duration};

use bluebell_core::{canary::Split, ids::ServiceId, ingress::Declared, poison::Suspects, upstreams::Upstream};
use indexmap::IndexMap;

/// Silence of the store and of all peers that hear from it, after which what isn't declared here may be declared
/// elsewhere.
const CURRENT_TIME: Duration = Duration::from_secs(4);

/// What the control thread believes.
#[derive(Debug, Clone, Default)]
pub struct Beliefs {
    /// The operators' declarations; none until the first is known.
    pub declared: Option<Arc<Declared>>,
    /// Upstreams that take new work, by service.
    pub open: IndexMap<ServiceId, Vec<Arc<Upstream>>>,
    /// Releases that get requests, by service.
    pub splits: IndexMap<ServiceId, Split>,
    /// Requests under which upstreams ended.
    pub suspects: Arc<Suspects>,
    /// Gateways that share the retry budget, this one included.
    pub entries: usize,
    /// When the store was last heard of, here or by a peer.
    pub heard: Duration,
}

impl Beliefs {
    /// Whether the declarations known here are the latest, as far as can be told.
    #[must_use]
    pub fn are_current(&self, now: Duration) -> bool {
        now < self.heard + CURRENT_TIME
    }

    /// Releases of a service that get requests.
    #[must_use]
    pub fn split(&self, service: &ServiceId) -> &Split {
        self.splits.get(service).unwrap_or(&Split::Any)
    }

    /// Upstreams of a service that take new work.
    #[must_use]
    pub fn upstreams(&self, service: &ServiceId) -> &[Arc<Upstream>] {
        self.open.get(service).map_or(&[], Vec::as_slice)
    }
}
