//! Incarnations of upstreams that this gateway has seen. One whose registration lapsed and reappears is no new one.

use std::time::Duration;

use bluebell_core::upstreams::{Upstream, UpstreamIncarnation};
use indexmap::IndexMap;

/// Time for which an incarnation is remembered once it is no longer registered.
const MEMORY: Duration = Duration::from_secs(600);

/// Incarnations that were seen, with the time of their latest registration.
#[derive(Debug, Default)]
pub(super) struct SeenIncarnations(IndexMap<UpstreamIncarnation, Duration>);

impl SeenIncarnations {
    /// Records a registration. Returns whether its incarnation was not seen before.
    pub(super) fn record(&mut self, now: Duration, upstream: &Upstream) -> bool {
        self.0.insert(upstream.incarnation(), now).is_none()
    }

    /// Forgets incarnations that have not been registered for long.
    pub(super) fn expire(&mut self, now: Duration, is_listed: impl Fn(&UpstreamIncarnation) -> bool) {
        self.0.retain(|incarnation, seen_at| now < *seen_at + MEMORY || is_listed(incarnation));
    }
}
