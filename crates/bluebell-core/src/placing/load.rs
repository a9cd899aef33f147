//! Load of one upstream: what this entry has there, and what the upstream said last about all of it.

use std::time::Duration;

use crate::units::Tokens;

/// Time in which what an upstream said of other callers' work loses half of its weight.
const HALF_LIFE: Duration = Duration::from_millis(700);

/// What an upstream said about itself.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Report {
    /// Requests at work.
    pub running: u32,
    /// Requests that wait.
    pub waiting: u32,
    /// Requests that it works on at once.
    pub slots: u32,
}

/// Load of one upstream as known here.
#[derive(Debug, Clone, Default)]
pub struct Load {
    own: u32,
    unread: u64,
    others: f64,
    others_unread: u64,
    heard: Duration,
}

impl Load {
    /// A request was sent, with the tokens that the upstream has to read for it.
    pub fn begin(&mut self, unread: Tokens) {
        self.own += 1;
        self.unread += unread.0;
    }

    /// The first piece of an answer came, so its prompt is read.
    pub fn read(&mut self, unread: Tokens) {
        self.unread = self.unread.saturating_sub(unread.0);
    }

    /// A request ended.
    pub fn end(&mut self) {
        self.own = self.own.saturating_sub(1);
    }

    /// The upstream said how busy it is.
    pub fn report(&mut self, now: Duration, report: Report) {
        let all = report.running + report.waiting;
        self.others = f64::from(all.saturating_sub(self.own));
        self.heard = now;
    }

    /// Another entry said what it has there.
    pub fn peers(&mut self, now: Duration, requests: u32, unread: Tokens) {
        self.others = f64::from(requests);
        self.others_unread = unread.0;
        self.heard = now;
    }

    /// Requests of this entry.
    #[must_use]
    pub fn own(&self) -> u32 {
        self.own
    }

    /// Tokens that this entry's requests still wait to have read.
    #[must_use]
    pub fn own_unread(&self) -> Tokens {
        Tokens(self.unread)
    }

    /// Requests of all callers, as far as known.
    #[must_use]
    pub fn requests(&self, now: Duration) -> f64 {
        f64::from(self.own) + self.others * self.freshness(now)
    }

    /// Tokens to be read before a new request's, as far as known.
    #[must_use]
    pub fn unread(&self, now: Duration) -> f64 {
        self.unread as f64 + self.others_unread as f64 * self.freshness(now)
    }

    fn freshness(&self, now: Duration) -> f64 {
        let age = now.saturating_sub(self.heard).as_secs_f64();
        0.5f64.powf(age / HALF_LIFE.as_secs_f64())
    }
}
