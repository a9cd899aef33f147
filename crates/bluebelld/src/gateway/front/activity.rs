//! What a caller's connection is doing, and when it is to be closed for doing it too long.

use std::{
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use bluebell_core::{clock::Clock, ingress::Limits};
use tokio::sync::Notify;

/// Time limits of a connection.
#[derive(Debug, Clone, Copy)]
struct TimeLimits {
    head: Duration,
    idle: Duration,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Phase {
    /// Nothing was received since the connection was opened or the last answer ended.
    Idle,
    /// Something was received, but no complete head.
    Head,
    /// A request is in progress. Its own deadline limits it.
    Request,
}

/// Why a connection is closed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Expiry {
    /// It was idle for the idle time.
    Idle,
    /// A request head was not complete in time.
    Head,
    /// The caller has taken nothing of its answer for the idle time.
    Unread,
}

#[derive(Debug, Clone, Copy)]
struct Status {
    phase: Phase,
    since: Duration,
    blocked_since: Option<Duration>,
}

/// What one connection is doing.
pub struct Activity {
    clock: Arc<dyn Clock>,
    limits: TimeLimits,
    status: Mutex<Status>,
    close: Notify,
}

impl Activity {
    /// Creates the state of a connection that was just accepted.
    #[must_use]
    pub fn new(clock: Arc<dyn Clock>, limits: &Limits) -> Self {
        let status = Status { phase: Phase::Idle, since: clock.now(), blocked_since: None };
        let limits = TimeLimits { head: limits.head_time, idle: limits.idle_time };
        Self { clock, limits, status: Mutex::new(status), close: Notify::new() }
    }

    fn lock(&self) -> MutexGuard<'_, Status> {
        self.status.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Records that bytes were received.
    pub fn record_read(&self) {
        let mut status = self.lock();
        if status.phase == Phase::Idle {
            (status.phase, status.since) = (Phase::Head, self.clock.now());
        }
    }

    /// Records whether the caller takes what is sent to it.
    pub fn record_write(&self, is_blocked: bool) {
        let mut status = self.lock();
        if is_blocked != status.blocked_since.is_some() {
            status.blocked_since = is_blocked.then(|| self.clock.now());
            if !is_blocked && status.phase == Phase::Idle {
                status.since = self.clock.now();
            }
        }
    }

    /// Records that the head of a request is complete. The request ends when the guard is dropped.
    #[must_use]
    pub fn start_request(self: &Arc<Self>) -> RequestGuard {
        self.lock().phase = Phase::Request;
        RequestGuard(Arc::clone(self))
    }

    /// Since when the connection has been idle, if it is.
    #[must_use]
    pub fn idle_since(&self) -> Option<Duration> {
        let status = self.lock();
        (status.phase == Phase::Idle && status.blocked_since.is_none()).then_some(status.since)
    }

    /// When the connection is to be closed, and why, if nothing changes.
    #[must_use]
    pub fn expiry(&self) -> Option<(Duration, Expiry)> {
        let status = *self.lock();
        if let Some(since) = status.blocked_since {
            return Some((since.saturating_add(self.limits.idle), Expiry::Unread));
        }
        match status.phase {
            Phase::Idle => Some((status.since.saturating_add(self.limits.idle), Expiry::Idle)),
            Phase::Head => Some((status.since.saturating_add(self.limits.head), Expiry::Head)),
            Phase::Request => None,
        }
    }

    /// Asks for the connection to be closed once no request is in progress.
    pub fn close(&self) {
        self.close.notify_one();
    }

    /// Waits until the connection is to be closed.
    pub async fn closed(&self) {
        self.close.notified().await;
    }
}

/// A request in progress on a connection.
pub struct RequestGuard(Arc<Activity>);

impl Drop for RequestGuard {
    fn drop(&mut self) {
        let now = self.0.clock.now();
        let mut status = self.0.lock();
        (status.phase, status.since) = (Phase::Idle, now);
    }
}
