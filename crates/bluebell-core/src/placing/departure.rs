//! Departure of one incarnation of an upstream, as the upstream announces it in its answers. It is never taken back: only
//! another incarnation receives requests again.
//!
//! Gateways tell each other of announcements. The word of a peer makes the upstream a last resort for a while; an answer of
//! the upstream itself without the announcement outweighs it.

use std::time::Duration;

/// Time after the first announcement during which the upstream may still receive requests that no other one takes. It is
/// shorter than the shortest drain, so that these requests arrive while the upstream accepts work.
pub const LAST_RESORT_PERIOD: Duration = Duration::from_secs(1);
/// Time for which a departure is remembered once the upstream is no longer registered, as a stale registration may
/// reappear.
const DEPARTURE_MEMORY: Duration = Duration::from_secs(600);

/// Time after an announcement to a peer during which the upstream is a last resort here. By then the registry says that it
/// leaves, or it has said so here, unless the announcement was a mistake.
const PEER_REPORT_PERIOD: Duration = Duration::from_secs(10);

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
    // When the upstream announced it to a peer.
    reported_at: Option<Duration>,
    // When an answer to this gateway last lacked the announcement.
    contradicted_at: Option<Duration>,
}

impl Departure {
    /// Records that the upstream announced its departure. Returns whether this is the first announcement.
    pub fn announce(&mut self, now: Duration) -> bool {
        let is_first = self.announced_at.is_none();
        self.announced_at.get_or_insert(now);
        is_first
    }

    /// Records that the upstream announced its departure to a peer, this long ago. Returns whether that is news.
    pub fn report(&mut self, now: Duration, age: Duration) -> bool {
        let at = now.saturating_sub(age);
        let is_outweighed = self.contradicted_at.is_some_and(|contradicted_at| at <= contradicted_at);
        if age >= PEER_REPORT_PERIOD || is_outweighed {
            return false;
        }
        let is_news = self.announced_at.is_none() && self.reported_at.is_none();
        self.reported_at.get_or_insert(at);
        is_news
    }

    /// Records an answer of the upstream without the announcement.
    pub fn contradict(&mut self, now: Duration) {
        if self.reported_at.take().is_some() || self.contradicted_at.is_some() {
            self.contradicted_at = Some(now);
        }
    }

    /// Time since the announcement to this gateway, if peers are to be told of it.
    #[must_use]
    pub fn age_for_peers(&self, now: Duration) -> Option<Duration> {
        let age = now.saturating_sub(self.announced_at?);
        (age < PEER_REPORT_PERIOD).then_some(age)
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
            None if self.reported_at.is_some_and(|at| now < at + PEER_REPORT_PERIOD) => Admission::LastResort,
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
