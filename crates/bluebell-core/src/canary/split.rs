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

/// The release that each session is pinned to.
#[derive(Debug, Default)]
pub struct SessionPins {
    pins: IndexMap<SessionId, (ReleaseId, Duration)>,
}

impl SessionPins {
    /// The release that a session is on, unless its last request is `ttl` or longer ago.
    #[must_use]
    pub fn get(&self, now: Duration, session: &SessionId, ttl: Duration) -> Option<&ReleaseId> {
        let (release, at) = self.pins.get(session)?;
        (now < *at + ttl).then_some(release)
    }

    /// Pins a session to the release that one of its requests was sent to or answered by at time `at`. Does nothing if
    /// a later request is already known.
    pub fn set(&mut self, at: Duration, session: &SessionId, release: &ReleaseId) {
        let pin = self.pins.entry(session.clone()).or_insert_with(|| (release.clone(), at));
        if pin.1 <= at {
            *pin = (release.clone(), at);
        }
    }

    /// Sessions that would go to a canary with the given share, with their releases and last request times.
    pub fn pins_in_share(&self, share: f64) -> impl Iterator<Item = (&SessionId, &ReleaseId, Duration)> {
        let is_in_share = move |session: &SessionId| rendezvous::fraction(session.as_str()) < share;
        let pins = self.pins.iter().filter(move |(session, _)| is_in_share(session));
        pins.map(|(session, (release, at))| (session, release, *at))
    }

    /// Removes the pins of sessions that are over.
    pub fn expire(&mut self, now: Duration, ttl: Duration) {
        self.pins.retain(|_, (_, at)| now < *at + ttl);
    }
}
