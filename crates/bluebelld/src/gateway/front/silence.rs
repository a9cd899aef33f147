//! Detection of silent upstreams: how long an attempt without an answer is awaited before another one is started beside
//! it.

use std::time::Duration;

use bluebell_core::ids::UpstreamId;
use tokio::time::sleep;

use crate::gateway::{job::Job, state::Gateway};

/// Interval at which an attempt whose upstream is silent checks whether the request may be retried, and shortest time
/// between two tries to replace it.
pub const RETRY_CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// Time for which an upstream may be silent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SilenceLimit {
    /// Until the request's deadline.
    Deadline,
    /// For a time from the start of the attempt.
    Fixed(Duration),
    /// For a time without any data from it, on any connection.
    Alive(Duration),
}

/// Waits until an attempt that was started at `since` has been silent for too long and the request may be retried.
/// Never returns after the request's deadline, when only the attempt itself can end.
pub async fn silence(gateway: &Gateway, job: &Job, upstream: &UpstreamId, since: Duration, limit: SilenceLimit) {
    loop {
        let now = gateway.now();
        let left = match limit {
            SilenceLimit::Deadline => return std::future::pending().await,
            SilenceLimit::Fixed(time) => (since + time).saturating_sub(now),
            SilenceLimit::Alive(time) => gateway.traffic().remaining_wait(now, upstream, since, time),
        };
        if job.time_left(gateway).is_zero() {
            return std::future::pending().await;
        }
        if left.is_zero() && job.may_be_retried(gateway) {
            return;
        }
        sleep(if left.is_zero() { RETRY_CHECK_INTERVAL } else { left }).await;
    }
}
