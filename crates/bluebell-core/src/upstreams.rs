//! Which upstreams there are, by their own entries in the platform's list, and which of them take new work.
//!
//! An entry that disappears names an upstream that has left, with one exception: while the list itself was out of
//! reach, entries lapse although their upstreams live, and come back shortly after. Such upstreams stay in use for a
//! short time, which ends before their last work must have arrived.

use std::{net::SocketAddr, time::Duration};

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

use crate::ids::{ReleaseId, ServiceId, UpstreamId, ZoneId};

/// Time that an upstream stays in use after its entry lapsed together with many others: the platform restores such
/// entries within about two seconds, and drains may take as little as two.
pub const LAPSE_GRACE: Duration = Duration::from_millis(1600);
/// Share of a service's upstreams that vanish together when entries lapse, rather than upstreams leave.
const LAPSE_SHARE: f64 = 0.5;
/// Upstreams that vanish together when entries lapse; a single one leaves.
const LAPSE_COUNT: usize = 2;
/// Time within which entries vanish together.
const LAPSE_WINDOW: Duration = Duration::from_millis(1500);

/// Whether an upstream means to stay.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Phase {
    /// It takes work.
    Ready,
    /// It finishes what it has.
    Leaving,
}

/// An upstream by its own entry.
#[derive(Debug, Clone, PartialEq)]
pub struct Upstream {
    /// Its id.
    pub id: UpstreamId,
    /// The service it belongs to.
    pub service: ServiceId,
    /// Where it listens.
    pub address: SocketAddr,
    /// Its zone.
    pub zone: ZoneId,
    /// What it runs.
    pub release: ReleaseId,
    /// Requests that it works on at once.
    pub slots: u32,
    /// Whether it means to stay.
    pub phase: Phase,
    /// Time for which it is still slow after its start.
    pub cold: Duration,
    /// Its start, in milliseconds since the Unix epoch; zero where it doesn't say.
    pub born: u64,
}

impl Upstream {
    /// Its life since this start.
    #[must_use]
    pub fn life(&self) -> Life {
        Life { upstream: self.id.clone(), born: self.born }
    }
}

/// One life of an upstream, from a start to its end.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Life {
    /// The upstream.
    pub upstream: UpstreamId,
    /// Its start, in milliseconds since the Unix epoch; zero where it doesn't say.
    pub born: u64,
}

#[derive(Debug, Clone)]
struct Known {
    upstream: Upstream,
    gone: Option<Duration>,
    seen: Duration,
}

/// All upstreams known here.
#[derive(Debug, Default)]
pub struct Upstreams {
    known: IndexMap<UpstreamId, Known>,
}

impl Upstreams {
    /// Takes an upstream's entry.
    pub fn put(&mut self, now: Duration, upstream: Upstream) {
        // An address belongs to the upstream that was heard of last.
        self.known.retain(|id, known| known.upstream.address != upstream.address || *id == upstream.id);
        self.known.insert(upstream.id.clone(), Known { upstream, gone: None, seen: now });
    }

    /// An upstream's entry is gone, or can't be read any more.
    pub fn remove(&mut self, now: Duration, id: &UpstreamId) {
        if let Some(known) = self.known.get_mut(id) {
            known.gone.get_or_insert(now);
        }
    }

    /// Forgets upstreams whose time is over; tells whether any were in use until now.
    pub fn expire(&mut self, now: Duration) -> bool {
        let before = self.known.len();
        self.known.retain(|_, known| known.gone.is_none_or(|gone| now < gone + LAPSE_GRACE));
        before != self.known.len()
    }

    /// Whether upstreams are kept in use for the grace that follows a lapse.
    #[must_use]
    pub fn has_lapsed(&self) -> bool {
        self.known.values().any(|known| known.gone.is_some())
    }

    /// Upstreams that take new work, by service.
    #[must_use]
    pub fn open(&self, now: Duration) -> IndexMap<ServiceId, Vec<Upstream>> {
        let mut open: IndexMap<ServiceId, Vec<Upstream>> = IndexMap::new();
        for known in self.known.values().filter(|known| known.upstream.phase == Phase::Ready) {
            let stays = match known.gone {
                None => true,
                Some(gone) => now < gone + LAPSE_GRACE && self.lapsed_together(known, gone),
            };
            if stays {
                open.entry(known.upstream.service.clone()).or_default().push(known.upstream.clone());
            }
        }
        open
    }

    fn lapsed_together(&self, own: &Known, gone: Duration) -> bool {
        let same = |known: &&Known| known.upstream.service == own.upstream.service;
        let near = |known: &&Known| known.gone.is_some_and(|other| other.abs_diff(gone) < LAPSE_WINDOW);
        let all = self.known.values().filter(same).count();
        let lost = self.known.values().filter(same).filter(near).count();
        lost >= LAPSE_COUNT && lost as f64 >= LAPSE_SHARE * all as f64
    }

    /// Upstreams whose entries stand, leaving ones included.
    pub fn listed(&self) -> impl Iterator<Item = &Upstream> {
        self.known.values().filter(|known| known.gone.is_none()).map(|known| &known.upstream)
    }

    /// An upstream that is known.
    #[must_use]
    pub fn get(&self, id: &UpstreamId) -> Option<&Upstream> {
        self.known.get(id).map(|known| &known.upstream)
    }

    /// When an upstream's entry was last heard of.
    #[must_use]
    pub fn seen(&self, id: &UpstreamId) -> Option<Duration> {
        self.known.get(id).map(|known| known.seen)
    }
}
