//! Which requests may go to which release, and which release each session is on.

use std::time::Duration;

use indexmap::IndexMap;

use super::stage::{Order, Schedule, Stage};
use crate::{
    ids::{ReleaseId, SessionId},
    routing::rendezvous,
};

/// Releases of a service that may get requests.
#[derive(Debug, Clone, Default, PartialEq)]
pub enum Split {
    /// Any release.
    #[default]
    Any,
    /// Only this release.
    Only(ReleaseId),
    /// Any but this release.
    Without(ReleaseId),
    /// A share of the requests goes to the release, the others to the rest.
    Share {
        /// The release.
        to: ReleaseId,
        /// The share, 0 to 1.
        share: f64,
        /// Whether sessions under way stay on the release that they are on.
        sticky: bool,
    },
}

impl Split {
    /// The split that a roll-out stands at.
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

    /// Whether a release is being judged.
    #[must_use]
    pub fn evaluates(&self, release: &ReleaseId) -> bool {
        matches!(self, Self::Share { to, .. } if to == release)
    }

    /// Whether a request may go to a release, by a key that it shares with its session, and by the release that the
    /// session is on.
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

/// Releases that sessions are on.
#[derive(Debug, Default)]
pub struct SessionPins {
    pins: IndexMap<SessionId, (ReleaseId, Duration)>,
}

impl SessionPins {
    /// The release that a session is on, if its last request is not too long ago.
    #[must_use]
    pub fn get(&self, now: Duration, session: &SessionId, life: Duration) -> Option<&ReleaseId> {
        let (release, at) = self.pins.get(session)?;
        (now < *at + life).then_some(release)
    }

    /// A request of a session went to a release, or was answered by it, at a time; an older word changes nothing.
    pub fn set(&mut self, at: Duration, session: &SessionId, release: &ReleaseId) {
        let pin = self.pins.entry(session.clone()).or_insert_with(|| (release.clone(), at));
        if pin.1 <= at {
            *pin = (release.clone(), at);
        }
    }

    /// Sessions that a canary of a share would take up, with the time of their last request.
    pub fn pins_in_share(&self, share: f64) -> impl Iterator<Item = (&SessionId, &ReleaseId, Duration)> {
        let taken = move |session: &SessionId| rendezvous::fraction(session.as_str()) < share;
        let pins = self.pins.iter().filter(move |(session, _)| taken(session));
        pins.map(|(session, (release, at))| (session, release, *at))
    }

    /// Forgets sessions that are over.
    pub fn expire(&mut self, now: Duration, life: Duration) {
        self.pins.retain(|_, (_, at)| now < *at + life);
    }
}
