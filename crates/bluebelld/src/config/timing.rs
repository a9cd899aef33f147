//! Periods and patience.

use std::time::Duration;

use bluebell_core::units::HumanTime;
use serde::Deserialize;
use serde_with::serde_as;

/// Periods and patience.
#[serde_as]
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Timing {
    /// Time between two looks at the settings' revision in the store.
    #[serde_as(as = "HumanTime")]
    pub poll: Duration,
    /// Time between two looks at the list of instances.
    #[serde_as(as = "HumanTime")]
    pub list: Duration,
    /// Time between two heartbeats of a connection.
    #[serde_as(as = "HumanTime")]
    pub heartbeat: Duration,
    /// Silence after which a peer is taken for lost.
    #[serde_as(as = "HumanTime")]
    pub silence: Duration,
    /// Time between two heartbeats between an entry and the sidecars it gives work to. There are many of these
    /// connections; changes of standing and settings don't wait for it, and work that stalls shows a loss sooner.
    #[serde_as(as = "HumanTime")]
    pub watch: Duration,
    /// Time to connect to a peer, and to get a short answer.
    #[serde_as(as = "HumanTime")]
    pub connect: Duration,
    /// Silence of a running answer after which it is continued elsewhere.
    #[serde_as(as = "HumanTime")]
    pub stall: Duration,
    /// Time between being told to stop and taking no more callers.
    #[serde_as(as = "HumanTime")]
    pub notice: Duration,
    /// Longest time that a planned stop may take.
    #[serde_as(as = "HumanTime")]
    pub drain: Duration,
}

impl Default for Timing {
    fn default() -> Self {
        Self {
            poll: Duration::from_millis(500),
            list: Duration::from_secs(2),
            heartbeat: Duration::from_secs(4),
            silence: Duration::from_secs(14),
            watch: Duration::from_secs(20),
            connect: Duration::from_secs(1),
            stall: Duration::from_secs(2),
            notice: Duration::from_secs(1),
            drain: Duration::from_secs(60),
        }
    }
}
