//! What all integration tests share: a fleet of real processes, callers, operators, and waiting on events.

#![allow(dead_code, reason = "each test uses a part of it")]

mod caller;
mod config;
mod fleet;
mod process;

use std::{future::Future, time::Duration};

pub use caller::{ATLAS_DESK, ATLAS_VAN, Answer, Ask, Caller, KOVACS_BENCH, KOVACS_COUNTER};
pub use fleet::{Fleet, FleetBuilder};
use tokio::time::Instant;

/// Time that anything a test waits for may take.
pub const PATIENCE: Duration = Duration::from_secs(20);
/// Time between two looks.
const LOOK: Duration = Duration::from_millis(20);

/// Waits until something holds; gives the time it took.
pub async fn until<F: Future<Output = bool>>(what: &str, mut holds: impl FnMut() -> F) -> Duration {
    let begun = Instant::now();
    while !holds().await {
        assert!(begun.elapsed() < PATIENCE, "waited {PATIENCE:?} for: {what}");
        tokio::time::sleep(LOOK).await;
    }
    begun.elapsed()
}
