//! Decision which requests and prompt parts caused the crashes.
//!
//! Suspects with the most crashes come first, and crashes that a blocked suspect explains don't count against the others.
//! If a request and a prompt part were at the same crashes, only the request is blocked, as it alone explains them.
//!
//! Requests that share a part run at many upstreams at the same time. Crashes of many upstreams within a short time,
//! such as those of a rack that loses power, are therefore one event as far as parts are concerned.

use std::time::Duration;

use indexmap::{IndexMap, IndexSet};

use super::{Fingerprint, Suspects, Suspicion};

/// Crashes after which a request that stands out in at least one of them is blocked.
const POISON_CRASHES: u32 = 3;
/// Crashes after which a request is blocked even if other requests were in flight at as many.
const AMBIGUOUS_POISON_CRASHES: u32 = 4;
/// Crashes within this time of the first of them are one event.
pub(super) const EVENT_DURATION: Duration = Duration::from_millis(500);
/// Events after which a part that stands out in at least one crash is blocked.
const POISON_EVENTS: u32 = 3;
/// Events after which a part is blocked even if other parts were in flight at as many crashes.
const AMBIGUOUS_POISON_EVENTS: u32 = 4;
/// Crashes after which two events suffice for a part that stands out.
const MANY_CRASHES: u32 = 5;

/// A crash, with the requests and parts in flight that are not cleared.
#[derive(Debug)]
pub(super) struct CrashSuspects<'a> {
    /// When it was detected.
    pub at: Duration,
    /// The suspects.
    pub suspects: &'a IndexSet<Fingerprint>,
}

#[derive(Debug, Clone, Copy, Default)]
struct Tally {
    crashes: u32,
    events: u32,
    event_start: Duration,
}

impl Tally {
    // Crashes are recorded in the order of time.
    fn record(&mut self, at: Duration) {
        if self.events == 0 || at >= self.event_start + EVENT_DURATION {
            self.events += 1;
            self.event_start = at;
        }
        self.crashes += 1;
    }
}

/// Decides which suspects to block.
pub(super) fn find_suspects(mut unexplained: Vec<CrashSuspects<'_>>) -> Suspects {
    unexplained.sort_by_key(|crash| crash.at);
    let mut suspects = Suspects::default();
    loop {
        let tallies = tally(&unexplained);
        let poison = worst_offenders(&unexplained, &tallies);
        if poison.is_empty() {
            for (one, tally) in tallies {
                suspects.found.entry(one).or_insert(Suspicion { crashes: tally.crashes, is_poison: false });
            }
            return suspects;
        }
        let blocked = |one: &Fingerprint| (*one, Suspicion { crashes: tallies[one].crashes, is_poison: true });
        suspects.found.extend(poison.iter().map(blocked));
        suspects.inseparable.extend(inseparable_parts(&unexplained, &poison));
        unexplained.retain(|crash| !poison.iter().any(|one| crash.suspects.contains(one)));
    }
}

fn tally(crashes: &[CrashSuspects<'_>]) -> IndexMap<Fingerprint, Tally> {
    let mut tallies: IndexMap<Fingerprint, Tally> = IndexMap::new();
    for crash in crashes {
        for one in crash.suspects {
            tallies.entry(*one).or_default().record(crash.at);
        }
    }
    tallies
}

// The suspects to block, of those the ones with the most crashes; of these only the requests, if there are any.
fn worst_offenders(crashes: &[CrashSuspects<'_>], tallies: &IndexMap<Fingerprint, Tally>) -> Vec<Fingerprint> {
    let is_less = |other: &Fingerprint, one: &Fingerprint| {
        let (others, own) = (tallies[other].crashes, tallies[one].crashes);
        others < own || others == own && other.is_part() && !one.is_part()
    };
    let stands_out = |one: &Fingerprint| {
        let has_most =
            |crash: &CrashSuspects<'_>| crash.suspects.iter().all(|other| other == one || is_less(other, one));
        crashes.iter().any(|crash| crash.suspects.contains(one) && has_most(crash))
    };
    let is_poison = |one: &Fingerprint, tally: &Tally| {
        if one.is_part() {
            let is_certain = tally.events >= POISON_EVENTS || tally.events >= 2 && tally.crashes >= MANY_CRASHES;
            tally.events >= AMBIGUOUS_POISON_EVENTS || is_certain && stands_out(one)
        } else {
            tally.crashes >= AMBIGUOUS_POISON_CRASHES || tally.crashes >= POISON_CRASHES && stands_out(one)
        }
    };
    let rank = |one: &Fingerprint| (tallies[one].crashes, !one.is_part());
    let poison: Vec<Fingerprint> =
        tallies.iter().filter(|(one, tally)| is_poison(one, tally)).map(|(one, _)| *one).collect();
    let worst = poison.iter().map(rank).max();
    poison.into_iter().filter(|one| Some(rank(one)) == worst).collect()
}

// For each of the parts, the others that were at exactly the same crashes.
fn inseparable_parts(
    crashes: &[CrashSuspects<'_>],
    poison: &[Fingerprint],
) -> impl Iterator<Item = (Fingerprint, Vec<Fingerprint>)> {
    let is_together = |one: &Fingerprint, other: &Fingerprint| {
        crashes.iter().all(|crash| crash.suspects.contains(one) == crash.suspects.contains(other))
    };
    let parts = poison.iter().filter(|one| one.is_part());
    parts.clone().map(move |one| {
        let others = parts.clone().filter(|other| *other != one && is_together(one, other));
        (*one, others.copied().collect())
    })
}
