//! Which gateways read the store's change feeds. In fleets of nine gateways or more, a few gateways of each zone (the
//! readers) read all tables by long polls; the others hear of changes from them, and make a rare read of their own.
//!
//! Each gateway decides for itself, on what the status messages of its peers say. It reads if it is elected, or if it
//! does not hear of enough live readers; so a disagreement about who is elected only costs calls. A reader is live while
//! the store has answered one of its reads of the operators' table lately. Its polls of that table are short, so that the
//! store's silence shows before they time out: a reader that stays live for [`READER_CONTACT_LIMIT`] after a change of the
//! declarations has had an answer since, and has been told of the change.

use std::time::Duration;

use indexmap::IndexMap;

use crate::ids::{InstanceId, ZoneId};

/// Smallest fleet in which only some gateways read, and each tells its load to some others only.
pub const MIN_FLEET: usize = 9;
/// Fewest readers that are elected. A change is still read if two of three readers have lost the store.
const MIN_READERS: usize = 3;
/// Fewest live readers that a gateway must hear of so as not to read itself.
const MIN_LIVE_READERS: usize = 2;
/// Time without an answer of the store to a read of the operators' table after which a reader is not live; one is due every
/// [`OPERATOR_POLL_TIME`]. Together with one status interval, it leaves 1,100 ms of the 3,000 ms in which a change must be
/// in force.
const READER_CONTACT_LIMIT: Duration = Duration::from_millis(1650);
/// Time without an answer of the store after which a gateway that reads rarely is not taken for one that can read: two
/// rare reads may be this far apart.
pub const SLOW_CONTACT_LIMIT: Duration = Duration::from_secs(24);
/// Time for which a gateway must have heard of enough readers before it stops reading.
const HOLD_TIME: Duration = Duration::from_secs(2);
/// Length of a reader's long poll of the operators' table.
pub const OPERATOR_POLL_TIME: Duration = Duration::from_millis(1000);
/// Length of a long poll of another table.
const POLL_TIME: Duration = Duration::from_millis(2000);
/// Polls shorter than this are not worth a call.
const MIN_POLL_TIME: Duration = Duration::from_millis(200);
/// Mean time between two reads of a gateway that is no reader.
const SLOW_READ_INTERVAL: Duration = Duration::from_secs(8);

/// What is known of a gateway's contact with the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct MemberContact<'a> {
    /// Its id.
    pub id: &'a InstanceId,
    /// Its availability zone.
    pub zone: &'a ZoneId,
    /// Whether it reads the change feeds.
    pub reads: bool,
    /// Time since the store last answered one of its reads; none if reads fail.
    pub age: Option<Duration>,
}

impl MemberContact<'_> {
    /// Whether it reads the change feeds and has contact with the store.
    #[must_use]
    pub fn is_live_reader(&self) -> bool {
        self.reads && self.age.is_some_and(|age| age < READER_CONTACT_LIMIT)
    }

    fn is_eligible(&self) -> bool {
        self.is_live_reader() || !self.reads && self.age.is_some_and(|age| age < SLOW_CONTACT_LIMIT)
    }
}

/// The gateways elected to read: the one with the lowest id in each zone of those with contact to the store, then the
/// second ones, until there are three.
#[must_use]
pub fn readers<'a>(members: impl IntoIterator<Item = MemberContact<'a>>) -> Vec<&'a InstanceId> {
    let mut eligible: Vec<MemberContact<'a>> = members.into_iter().filter(MemberContact::is_eligible).collect();
    eligible.sort_unstable_by_key(|member| member.id);
    let mut zones: IndexMap<&ZoneId, usize> = IndexMap::new();
    // The place of each gateway in its zone.
    let mut placed: Vec<(usize, &'a InstanceId)> = Vec::with_capacity(eligible.len());
    for member in eligible {
        let count = zones.entry(member.zone).or_default();
        placed.push((*count, member.id));
        *count += 1;
    }
    placed.sort_unstable();
    placed.into_iter().take(zones.len().max(MIN_READERS)).map(|(_, id)| id).collect()
}

/// How a gateway reads the change feeds.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum ReadMode {
    /// By long polls, as all gateways of a small fleet do.
    #[default]
    All,
    /// By long polls that end at evenly spaced times.
    Reader,
    /// By rare reads that don't wait.
    Slow,
}

/// Decides how one gateway reads.
#[derive(Debug, Clone, Default)]
pub struct ReadSchedule {
    mode: ReadMode,
    // Since when others have read enough.
    spared_since: Option<Duration>,
    reads_until: Duration,
}

impl ReadSchedule {
    /// Has the gateway read at least until a time, as it may have missed what others forwarded.
    pub fn read_until(&mut self, until: Duration) {
        self.reads_until = self.reads_until.max(until);
    }

    /// The present mode.
    #[must_use]
    pub fn mode(&self) -> ReadMode {
        self.mode
    }

    /// Decides anew, from this gateway's own contact, that of the connected peers, and the size of the fleet. To be called
    /// with each status interval.
    pub fn decide(
        &mut self,
        now: Duration,
        own: MemberContact<'_>,
        peers: &[MemberContact<'_>],
        fleet: usize,
    ) -> ReadMode {
        let live = peers.iter().filter(|peer| peer.is_live_reader()).count();
        let is_elected = || readers(peers.iter().copied().chain([own])).contains(&own.id);
        let must_read = now < self.reads_until || live < MIN_LIVE_READERS || is_elected();
        self.mode = if fleet < MIN_FLEET {
            self.spared_since = None;
            ReadMode::All
        } else if must_read {
            self.spared_since = None;
            ReadMode::Reader
        } else {
            let since = *self.spared_since.get_or_insert(now);
            let is_spared = self.mode == ReadMode::Slow || now >= since + HOLD_TIME;
            if is_spared { ReadMode::Slow } else { ReadMode::Reader }
        };
        self.mode
    }
}

/// Time for which a reader's next poll of a feed waits. The polls of `count` feeds end at evenly spaced times, whenever
/// changes end them early. `index` is the feed's number, from 0.
#[must_use]
pub fn poll_time(now: Duration, index: u32, count: u32) -> Duration {
    let period = POLL_TIME.as_millis();
    let offset = period * u128::from(index) / u128::from(count.max(1));
    let elapsed = (now.as_millis() + period - offset % period) % period;
    let left = POLL_TIME.saturating_sub(Duration::from_millis(elapsed as u64));
    if left < MIN_POLL_TIME { left + POLL_TIME } else { left }
}

/// Pause of a gateway that is no reader before its next read of a feed. It reads the `count` feeds by turn. `is_first` says
/// whether it has just ceased to be a reader; `jitter` is a factor from 0.8 to 1.2 that spreads the reads of a fleet.
#[must_use]
pub fn slow_read_pause(index: u32, count: u32, is_first: bool, jitter: f64) -> Duration {
    let turns = if is_first { index + 1 } else { count };
    (SLOW_READ_INTERVAL * turns).mul_f64(jitter.clamp(0.8, 1.2))
}
