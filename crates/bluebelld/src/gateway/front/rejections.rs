//! Callers that were refused or closed because of a limit: counted by cause, and logged at most once a second for each.

use std::{
    sync::{Mutex, PoisonError},
    time::Duration,
};

use crate::gateway::metrics::GatewayMetrics;

/// Minimum time between two log lines of one cause.
const LOG_INTERVAL: Duration = Duration::from_secs(1);

/// Limit that a caller exceeded.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Cause {
    /// A request head is too long; answered with 431.
    HeadSize,
    /// A request head was not complete in time; answered with 408.
    HeadTime,
    /// A request body is too long; answered with 413.
    BodySize,
    /// A request body was not complete by the deadline of the request; answered with 408.
    BodyTime,
    /// All request bodies together take too much memory; answered with 503.
    BodyMemory,
    /// There are too many connections; the new one was closed.
    Connections,
    /// There are too many connections; the one that was idle for longest was closed.
    IdleReplaced,
    /// The caller did not read its answer; its connection was reset.
    Unread,
}

/// Number of causes.
const CAUSES: usize = 8;

impl Cause {
    /// Name in metrics and log lines.
    #[must_use]
    pub fn name(self) -> &'static str {
        match self {
            Self::HeadSize => "head_size",
            Self::HeadTime => "head_time",
            Self::BodySize => "body_size",
            Self::BodyTime => "body_time",
            Self::BodyMemory => "body_memory",
            Self::Connections => "connections",
            Self::IdleReplaced => "idle_replaced",
            Self::Unread => "unread",
        }
    }
}

#[derive(Debug, Clone, Copy, Default)]
struct Unlogged {
    count: u64,
    next_line: Duration,
}

/// Counts since the last log lines.
#[derive(Debug, Default)]
pub struct Rejections(Mutex<[Unlogged; CAUSES]>);

impl Rejections {
    /// Counts a caller.
    pub fn record(&self, now: Duration, cause: Cause, metrics: &GatewayMetrics) {
        metrics.record_caller_limit(cause.name());
        let mut all = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        let unlogged = &mut all[cause as usize];
        unlogged.count += 1;
        if now >= unlogged.next_line {
            let count = std::mem::take(&mut unlogged.count);
            unlogged.next_line = now + LOG_INTERVAL;
            log::warn!(cause = cause.name(), count = count; "callers exceeded a limit");
        }
    }
}
