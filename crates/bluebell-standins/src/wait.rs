//! Polling until a condition holds.

use std::{future::Future, time::Duration};

use tokio::time::Instant;

/// Time after which waiting for a condition fails.
pub const WAIT_TIMEOUT: Duration = Duration::from_secs(20);
/// Time between two checks of a condition.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Polls a condition until it holds; returns the time that this took. `what` describes the condition in the panic
/// message.
///
/// # Panics
/// If it does not hold within the timeout.
pub async fn until<F: Future<Output = bool>>(what: &str, mut holds: impl FnMut() -> F) -> Duration {
    let started = Instant::now();
    while !holds().await {
        assert!(started.elapsed() < WAIT_TIMEOUT, "timed out after {WAIT_TIMEOUT:?} waiting for: {what}");
        tokio::time::sleep(POLL_INTERVAL).await;
    }
    started.elapsed()
}
