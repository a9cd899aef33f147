//! Division of a limit among the gateways. As many gateways own a limit as it has whole requests per second, at least
//! one, chosen by rendezvous hashing. So no share is less than half a request per second unless the whole limit is, and
//! what all owners can send at once after a pause is within one second's worth of the limit, in a fleet of any size.

use crate::{
    ids::{InstanceId, UpstreamId},
    routing::rendezvous,
    units::Rate,
};

/// A gateway's share of a limit, with what it was computed from.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct Share {
    rate: Rate,
    owners: usize,
    is_owner: bool,
    rotation: u64,
    revision: u64,
}

impl Share {
    /// The share.
    #[must_use]
    pub fn rate(&self) -> Rate {
        self.rate
    }
}

/// All gateways that may send requests to upstreams.
#[derive(Debug, Clone, Default)]
pub struct Fleet {
    own: Option<InstanceId>,
    // In ascending order; without this gateway.
    others: Vec<InstanceId>,
    // Increases with each change; zero until this gateway is known.
    revision: u64,
}

impl Fleet {
    /// Replaces the gateways.
    pub fn update<'a>(&mut self, own: &InstanceId, others: impl Iterator<Item = &'a InstanceId>) {
        let mut others: Vec<&InstanceId> = others.filter(|other| *other != own).collect();
        others.sort_unstable();
        if self.own.as_ref() == Some(own) && self.others.iter().eq(others.iter().copied()) {
            return;
        }
        self.own = Some(own.clone());
        self.others = others.into_iter().cloned().collect();
        self.revision += 1;
    }

    /// This gateway's share of the limit of an upstream. Each rotation chooses other owners. `known` is an earlier result
    /// for the same upstream, which saves the choice if nothing has changed.
    #[must_use]
    pub fn share(&self, upstream: &UpstreamId, rotation: u64, limit: Rate, known: &Share) -> Share {
        self.share_among(upstream, rotation, limit, limit.value() as usize, known)
    }

    /// As [`Fleet::share`], but with the given number of owners, as far as there are as many gateways.
    #[must_use]
    pub fn share_among(
        &self,
        upstream: &UpstreamId,
        rotation: u64,
        limit: Rate,
        owners: usize,
        known: &Share,
    ) -> Share {
        let Some(own) = &self.own else { return Share::default() };
        let owners = owners.clamp(1, self.others.len() + 1);
        let is_known = (known.owners, known.rotation, known.revision) == (owners, rotation, self.revision);
        let is_owner = if is_known { known.is_owner } else { self.is_owner(own, upstream, rotation, owners) };
        let rate = if is_owner { limit.value() / owners as f64 } else { 0.0 };
        Share { rate: Rate::per_second(rate), owners, is_owner, rotation, revision: self.revision }
    }

    fn is_owner(&self, own: &InstanceId, upstream: &UpstreamId, rotation: u64, owners: usize) -> bool {
        let key = format!("{upstream}/{rotation}");
        let own_score = rendezvous::score(&key, own.as_str());
        let is_ahead = |other: &&InstanceId| (rendezvous::score(&key, other.as_str()), *other) > (own_score, own);
        self.others.iter().filter(is_ahead).count() < owners
    }
}
