//! Registry of upstreams, which register themselves in the platform's list, and selection of those that accept new
//! requests.
//!
//! A registration that disappears normally means that the upstream has left. There is one exception: when the list was
//! unreachable, registrations lapse although the upstreams are running, and reappear shortly after. If many
//! registrations disappear at once, their upstreams therefore stay in use for a grace period. It is shorter than the
//! shortest drain, so that an upstream that did leave gets its last request before it stops accepting work.
//!
//! An upstream that crashed stays registered for some seconds, and its successor registers itself under another id at the
//! same address. Of several registrations at an address, the one that was written last is in use. That doesn't depend on
//! the order in which they are read: a snapshot has them in the order of their ids.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

use crate::{
    ids::{ReleaseId, ServiceId, UpstreamId, ZoneId},
    store_version::era,
};

/// Time that an upstream stays in use after its registration lapsed together with many others. The platform restores
/// such registrations within about two seconds, and a drain may be as short as two seconds.
pub const LAPSE_GRACE: Duration = Duration::from_millis(1600);
/// Fraction of a service's registrations that must disappear together to count as lapsed rather than removed.
const MIN_LAPSE_FRACTION: f64 = 0.5;
/// Minimum number of registrations that must disappear together to count as lapsed; a single one counts as removed.
const MIN_LAPSE_COUNT: usize = 2;
/// Maximum time between the removals of two registrations that count as disappearing together.
const LAPSE_WINDOW: Duration = Duration::from_millis(1500);

/// Lifecycle phase of an upstream, as registered.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Phase {
    /// It accepts new requests.
    Ready,
    /// It is draining: it completes its requests and accepts no new ones.
    Leaving,
}

/// Registration of an upstream.
#[derive(Debug, Clone, PartialEq)]
pub struct Upstream {
    /// Id of the upstream.
    pub id: UpstreamId,
    /// Service that it provides.
    pub service: ServiceId,
    /// Address on which it listens.
    pub address: SocketAddr,
    /// Its availability zone.
    pub zone: ZoneId,
    /// Release that it runs.
    pub release: ReleaseId,
    /// Maximum number of requests processed concurrently.
    pub slots: u32,
    /// Lifecycle phase.
    pub phase: Phase,
    /// Remaining time during which it is slow after its start.
    pub cold: Duration,
    /// Start time of its process, in milliseconds since the Unix epoch; zero if not registered.
    pub started_at_ms: u64,
}

impl Upstream {
    /// The upstream's current incarnation.
    #[must_use]
    pub fn incarnation(&self) -> UpstreamIncarnation {
        UpstreamIncarnation { upstream: self.id.clone(), started_at_ms: self.started_at_ms }
    }
}

/// Identifies one incarnation of an upstream: one run of its process, from its start to its exit.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct UpstreamIncarnation {
    /// Id of the upstream.
    pub upstream: UpstreamId,
    /// Start time of its process, in milliseconds since the Unix epoch; zero if not registered.
    #[serde(rename = "born")]
    pub started_at_ms: u64,
}

#[derive(Debug, Clone)]
struct Record {
    upstream: Arc<Upstream>,
    // Version of the row that the registration was read from.
    version: u64,
    removed_at: Option<Duration>,
    seen: Duration,
    // Whether it is the one in use of the registrations at its address.
    in_use: bool,
}

impl Record {
    fn claim(&self) -> Claim {
        Claim {
            is_listed: self.removed_at.is_none(),
            version: self.version,
            started_at_ms: self.upstream.started_at_ms,
        }
    }
}

// What decides which of several registrations at an address is in use.
#[derive(Debug, Clone, Copy)]
struct Claim {
    is_listed: bool,
    version: u64,
    started_at_ms: u64,
}

impl Claim {
    // Whether this registration is in use rather than the other one. Versions from before and after a restore of the
    // store don't compare.
    fn supersedes(self, other: Self) -> bool {
        if self.is_listed != other.is_listed {
            return self.is_listed;
        }
        if era(self.version) == era(other.version) {
            return self.version > other.version;
        }
        (self.started_at_ms, self.version) > (other.started_at_ms, other.version)
    }
}

/// Registry of upstreams, including those whose registration disappeared recently.
#[derive(Debug, Default)]
pub struct Upstreams {
    records: IndexMap<UpstreamId, Record>,
}

impl Upstreams {
    /// Adds or replaces a registration that was read from a row with the given version.
    pub fn put(&mut self, now: Duration, version: u64, upstream: Upstream) {
        let (id, address) = (upstream.id.clone(), upstream.address);
        let record = Record { upstream: Arc::new(upstream), version, removed_at: None, seen: now, in_use: false };
        let replaced = self.records.insert(id, record);
        let moved_from = replaced.map(|replaced| replaced.upstream.address).filter(|before| *before != address);
        moved_from.into_iter().chain([address]).for_each(|address| self.elect(address));
    }

    /// Records that a registration disappeared or became unreadable.
    pub fn remove(&mut self, now: Duration, id: &UpstreamId) {
        if let Some(record) = self.records.get_mut(id) {
            record.removed_at.get_or_insert(now);
            let address = record.upstream.address;
            self.elect(address);
        }
    }

    /// Removes upstreams whose registration disappeared longer ago than the grace period. Returns whether there were
    /// any.
    pub fn expire(&mut self, now: Duration) -> bool {
        let is_over = |record: &Record| record.removed_at.is_some_and(|removed_at| now >= removed_at + LAPSE_GRACE);
        let expired: Vec<SocketAddr> =
            self.records.values().filter(|record| is_over(record)).map(|record| record.upstream.address).collect();
        self.records.retain(|_, record| !is_over(record));
        expired.iter().for_each(|address| self.elect(*address));
        !expired.is_empty()
    }

    // Determines which of the registrations at an address is in use.
    fn elect(&mut self, address: SocketAddr) {
        let all = self.records.values().filter(|record| record.upstream.address == address);
        let elected = all.reduce(|best, record| if record.claim().supersedes(best.claim()) { record } else { best });
        let Some(elected) = elected.map(|record| Arc::clone(&record.upstream)) else { return };
        for record in self.records.values_mut().filter(|record| record.upstream.address == address) {
            record.in_use = Arc::ptr_eq(&record.upstream, &elected);
        }
    }

    fn in_use(&self) -> impl Iterator<Item = &Record> {
        self.records.values().filter(|record| record.in_use)
    }

    /// Whether a registration from a row with the given version is superseded by another one at its address.
    #[must_use]
    pub fn is_superseded(&self, version: u64, upstream: &Upstream) -> bool {
        let own = Claim { is_listed: true, version, started_at_ms: upstream.started_at_ms };
        let is_other = |other: &Upstream| other.address == upstream.address && other.id != upstream.id;
        self.in_use().any(|other| is_other(&other.upstream) && !own.supersedes(other.claim()))
    }

    /// Whether any upstream without a registration is still kept.
    #[must_use]
    pub fn has_lapsed(&self) -> bool {
        self.records.values().any(|record| record.removed_at.is_some())
    }

    /// Upstreams that accept new requests, by service.
    #[must_use]
    pub fn open(&self, now: Duration) -> IndexMap<ServiceId, Vec<Arc<Upstream>>> {
        let mut open: IndexMap<ServiceId, Vec<Arc<Upstream>>> = IndexMap::new();
        for record in self.in_use().filter(|record| record.upstream.phase == Phase::Ready) {
            let is_open = match record.removed_at {
                None => true,
                Some(removed_at) => now < removed_at + LAPSE_GRACE && self.lapsed_together(record, removed_at),
            };
            if is_open {
                let service = &record.upstream.service;
                match open.get_mut(service) {
                    Some(all) => all.push(Arc::clone(&record.upstream)),
                    None => drop(open.insert(service.clone(), vec![Arc::clone(&record.upstream)])),
                }
            }
        }
        open
    }

    fn lapsed_together(&self, own: &Record, removed_at: Duration) -> bool {
        let same_service = |record: &&Record| record.upstream.service == own.upstream.service;
        let removed_together =
            |record: &&Record| record.removed_at.is_some_and(|other| other.abs_diff(removed_at) < LAPSE_WINDOW);
        let all = self.in_use().filter(same_service).count();
        let lapsed = self.in_use().filter(same_service).filter(removed_together).count();
        lapsed >= MIN_LAPSE_COUNT && lapsed as f64 >= MIN_LAPSE_FRACTION * all as f64
    }

    /// Upstreams with a current registration, including those that are leaving.
    pub fn listed(&self) -> impl Iterator<Item = &Upstream> {
        self.records.values().filter(|record| record.removed_at.is_none()).map(|record| record.upstream.as_ref())
    }

    /// Whether an upstream has a current registration.
    #[must_use]
    pub fn is_listed(&self, id: &UpstreamId) -> bool {
        self.records.get(id).is_some_and(|record| record.removed_at.is_none())
    }

    /// Looks up an upstream, whether or not its registration has disappeared.
    #[must_use]
    pub fn get(&self, id: &UpstreamId) -> Option<&Upstream> {
        self.records.get(id).map(|record| record.upstream.as_ref())
    }

    /// Time at which the registration of an upstream was last updated.
    #[must_use]
    pub fn seen(&self, id: &UpstreamId) -> Option<Duration> {
        self.records.get(id).map(|record| record.seen)
    }
}
