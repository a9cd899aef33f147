//! Waiting for something to hold.

use std::{future::Future, time::Duration};

use tokio::time::Instant;

/// Time that anything a test waits for may take.
pub const PATIENCE: Duration = Duration::from_secs(20);
/// Time between two looks.
const LOOK: Duration = Duration::from_millis(20);

/// Waits until something holds; gives the time it took.
///
/// # Panics
/// When it doesn't hold in time.
pub async fn until<F: Future<Output = bool>>(what: &str, mut holds: impl FnMut() -> F) -> Duration {
    let begun = Instant::now();
    while !holds().await {
        assert!(begun.elapsed() < PATIENCE, "waited {PATIENCE:?} for: {what}");
        tokio::time::sleep(LOOK).await;
    }
    begun.elapsed()
}
