//! Gateways as real processes before a stand-in of the users' platform: what callers and upstreams see under failure.

mod answers;
mod caller;
mod endless;
mod explain;
mod members;
mod poison;
#[allow(dead_code, reason = "the other tests use more of it")]
#[path = "../integration/util/process.rs"]
mod process;
mod rollouts;
mod site;
mod stops;
mod streams;

use std::{future::Future, time::Duration};

use tokio::time::Instant;

/// Time that anything a test waits for may take.
const PATIENCE: Duration = Duration::from_secs(20);
/// Time between two looks.
const LOOK: Duration = Duration::from_millis(20);

/// Waits until something holds; gives the time it took.
async fn until<F: Future<Output = bool>>(what: &str, mut holds: impl FnMut() -> F) -> Duration {
    let begun = Instant::now();
    while !holds().await {
        assert!(begun.elapsed() < PATIENCE, "waited {PATIENCE:?} for: {what}");
        tokio::time::sleep(LOOK).await;
    }
    begun.elapsed()
}
