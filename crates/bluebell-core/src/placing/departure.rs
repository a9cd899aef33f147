//! Departure of one incarnation of an upstream, as the upstream announces it in its answers. It is never taken back: only
//! another incarnation receives requests again.

use std::time::Duration;

/// Time after the first announcement during which the upstream may still receive requests that no other one takes. It is
/// shorter than the shortest drain, so that these requests arrive while the upstream accepts work.
pub const LAST_RESORT_PERIOD: Duration = Duration::from_secs(1);
/// Time for which a departure is remembered once the upstream is no longer registered, as a stale registration may
/// reappear.
const DEPARTURE_MEMORY: Duration = Duration::from_secs(600);

/// Whether an upstream may receive a new request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Admission {
    /// It accepts requests.
    Open,
    /// It accepts requests, but only those that no other upstream takes.
    LastResort,
    /// It must not receive any.
    Closed,
}

/// Departure state of one incarnation of an upstream.
#[derive(Debug, Clone, Copy, Default)]
pub struct Departure {
    announced_at: Option<Duration>,
}

impl Departure {
    /// Records that the upstream announced its departure. Returns whether this is the first announcement.
    pub fn announce(&mut self, now: Duration) -> bool {
        let is_first = self.announced_at.is_none();
        self.announced_at.get_or_insert(now);
        is_first
    }

    /// Whether the upstream has announced its departure.
    #[must_use]
    pub fn is_announced(&self) -> bool {
        self.announced_at.is_some()
    }

    /// Whether the upstream may receive a new request.
    #[must_use]
    pub fn admission(&self, now: Duration) -> Admission {
        match self.announced_at {
            None => Admission::Open,
            Some(at) if now < at + LAST_RESORT_PERIOD => Admission::LastResort,
            Some(_) => Admission::Closed,
        }
    }

    /// Whether the departure has to be remembered although the upstream is no longer registered.
    #[must_use]
    pub fn is_remembered(&self, now: Duration) -> bool {
        self.announced_at.is_some_and(|at| now < at + DEPARTURE_MEMORY)
    }
}
