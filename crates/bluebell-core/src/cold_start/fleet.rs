//! The gateways among which the rate of a cold upstream is divided. Gateways may disagree about the fleet: some have just
//! started, some are cut off. So that the sum of their shares stays within the bound:
//!
//! - a gateway owns no share until the others have had time to hear of it;
//! - a gateway that is gone counts for a long time, as it may only be out of reach and still serve callers;
//! - a gateway without contact to the store and all others forgets none, and assumes a fleet of some size. It takes all
//!   upstreams for cold, as it would not hear of one that turns cold.

use std::time::Duration;

use indexmap::IndexMap;

use super::ColdLimit;
use crate::{
    ids::{InstanceId, UpstreamId},
    rate_limit::{Fleet, Share},
    units::Rate,
};

/// Time after which all others have heard of a new gateway: the limit for changes of the store's rows.
const JOIN_TIME: Duration = Duration::from_secs(3);
/// Time for which a gateway counts that is no longer known.
const MEMORY: Duration = Duration::from_secs(600);
/// Number of gateways, at least, that one without contact assumes.
const ISOLATED_FLEET: usize = 4;

/// What a gateway's view of the fleet rests on.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum Contact {
    /// It has not yet read which gateways there are.
    #[default]
    Unknown,
    /// It hears from the store, or from a gateway that does.
    Connected,
    /// It has read which gateways there are, but hears from neither now.
    Isolated,
}

/// All gateways that may send requests to cold upstreams.
#[derive(Debug, Clone, Default)]
pub struct ColdFleet {
    fleet: Fleet,
    // When each of the others was last known.
    others: IndexMap<InstanceId, Duration>,
    contact: Contact,
    joined_at: Option<Duration>,
}

impl ColdFleet {
    /// Brings the view up to date. `others` are the other gateways known at present.
    pub fn update<'a>(
        &mut self,
        now: Duration,
        own: &InstanceId,
        others: impl Iterator<Item = &'a InstanceId>,
        contact: Contact,
    ) {
        for other in others {
            match self.others.get_mut(other) {
                Some(known_at) => *known_at = now,
                None => drop(self.others.insert(other.clone(), now)),
            }
        }
        self.contact = contact;
        match contact {
            Contact::Unknown => {}
            Contact::Connected => {
                self.others.retain(|_, known_at| now < *known_at + MEMORY);
                self.joined_at.get_or_insert(now);
            }
            Contact::Isolated => {
                self.others.values_mut().for_each(|known_at| *known_at = now);
                // It may have missed gateways that started with it.
                if !self.has_joined(now) {
                    self.joined_at = None;
                }
            }
        }
        self.fleet.update(own, self.others.keys());
    }

    /// Whether this gateway would not hear of an upstream that turns cold.
    #[must_use]
    pub fn is_isolated(&self) -> bool {
        self.contact == Contact::Isolated
    }

    fn has_joined(&self, now: Duration) -> bool {
        self.joined_at.is_some_and(|joined_at| now >= joined_at + JOIN_TIME)
    }

    /// This gateway's share of the rate of a cold upstream. `known` is an earlier result for the same upstream.
    #[must_use]
    pub fn share(&self, now: Duration, upstream: &UpstreamId, limit: &ColdLimit, known: &Share) -> Share {
        if !self.has_joined(now) {
            return Share::default();
        }
        let size = self.others.len() + 1;
        let owners = limit.owners().min(size).max(1);
        let assumed = if self.is_isolated() { limit.owners().min(ISOLATED_FLEET).max(owners) } else { owners };
        let rate = Rate::per_second(limit.rate().value() * owners as f64 / assumed as f64);
        self.fleet.share_among(upstream, 0, rate, owners, known)
    }
}
