//! Traffic split between releases, and the release that each session is pinned to.

use std::time::Duration;

use indexmap::IndexMap;

use super::stage::{Order, Schedule, Stage};
use crate::{
    ids::{ReleaseId, SessionId},
    routing::rendezvous,
};

/// Traffic split of a service: the releases that its requests may go to.
#[derive(Debug, Clone, Default, PartialEq)]
pub enum Split {
    /// Any release.
    #[default]
    Any,
    /// Only this release.
    Only(ReleaseId),
    /// Any but this release.
    Without(ReleaseId),
    /// A share of the requests goes to this release, the others go to the other releases.
    Share {
        /// The release.
        to: ReleaseId,
        /// The share, 0 to 1.
        share: f64,
        /// Whether sessions stay on the release that they are pinned to.
        sticky: bool,
    },
}

impl Split {
    /// The split for the current stage of a roll-out.
    #[must_use]
    pub fn of(order: &Order, stage: Option<Stage>, rejected: bool, schedule: &Schedule) -> Self {
        let to = order.to.clone();
        match stage {
            Some(Stage::Completed) => Self::Only(to),
            _ if rejected => Self::Without(to),
            Some(Stage::Full) => Self::Share { to, share: 1.0, sticky: false },
            Some(Stage::Canary) => Self::Share { to, share: schedule.canary, sticky: true },
            None | Some(Stage::Reverted) => Self::Without(to),
        }
    }

    /// Whether a release is under evaluation.
    #[must_use]
    pub fn evaluates(&self, release: &ReleaseId) -> bool {
        matches!(self, Self::Share { to, .. } if to == release)
    }

    /// Whether a request may go to a release. `key` is the same for all requests of a session; `pinned` is the release
    /// that the session is on.
    #[must_use]
    pub fn admits(&self, key: &str, pinned: Option<&ReleaseId>, release: &ReleaseId) -> bool {
        match self {
            Self::Any => true,
            Self::Only(to) => release == to,
            Self::Without(to) => release != to,
            Self::Share { to, share, sticky } => {
                let moves = match pinned {
                    Some(pinned) if pinned == to => true,
                    Some(_) if *sticky => false,
                    _ => rendezvous::fraction(key) < *share,
                };
                moves == (release == to)
            }
        }
    }
}

#[derive(Debug, Clone)]
struct Pin {
    release: ReleaseId,
    // Time of the session's last request.
    at: Duration,
    // Whether this gateway handled that request, so that the others have to hear of it from this one.
    is_own: bool,
}

/// The release that each session is pinned to.
#[derive(Debug, Default)]
pub struct SessionPins {
    pins: IndexMap<SessionId, Pin>,
}

impl SessionPins {
    /// The release that a session is on, unless its last request is `ttl` or longer ago.
    #[must_use]
    pub fn get(&self, now: Duration, session: &SessionId, ttl: Duration) -> Option<&ReleaseId> {
        let pin = self.pins.get(session)?;
        (now < pin.at + ttl).then_some(&pin.release)
    }

    /// Pins a session to the release that this gateway sent one of its requests to, or got the answer from, at time
    /// `at`. Does nothing if a later request is already known.
    pub fn set(&mut self, at: Duration, session: &SessionId, release: &ReleaseId) {
        self.insert(session, Pin { release: release.clone(), at, is_own: true });
    }

    /// Pins a session to the release of a request that another gateway handled at time `at`. Does nothing if a later
    /// request is already known.
    pub fn learn(&mut self, at: Duration, session: &SessionId, release: &ReleaseId) {
        self.insert(session, Pin { release: release.clone(), at, is_own: false });
    }

    fn insert(&mut self, session: &SessionId, pin: Pin) {
        match self.pins.get_mut(session) {
            Some(known) if known.at > pin.at => {}
            Some(known) => *known = pin,
            None => drop(self.pins.insert(session.clone(), pin)),
        }
    }

    /// Sessions that would go to a canary with the given share and whose last request was handled by this gateway at or
    /// after `since`, with their releases and last request times.
    pub fn own_in_share(
        &self,
        share: f64,
        since: Duration,
    ) -> impl Iterator<Item = (&SessionId, &ReleaseId, Duration)> {
        let own = self.pins.iter().filter(move |(_, pin)| pin.is_own && pin.at >= since);
        let in_share = own.filter(move |(session, _)| rendezvous::fraction(session.as_str()) < share);
        in_share.map(|(session, pin)| (session, &pin.release, pin.at))
    }

    /// Removes the pins of sessions that are over.
    pub fn expire(&mut self, now: Duration, ttl: Duration) {
        self.pins.retain(|_, pin| now < pin.at + ttl);
    }
}
