//! Section `timing`: periods and timeouts.

use std::time::Duration;

use bluebell_core::units::HumanTime;
use serde::Deserialize;
use serde_with::serde_as;

/// Periods and timeouts.
#[serde_as]
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Timing {
    /// Polling period of the settings' head revision in the store.
    #[serde_as(as = "HumanTime")]
    pub poll: Duration,
    /// Polling period of the list of instances.
    #[serde_as(as = "HumanTime")]
    pub list: Duration,
    /// Heartbeat period of connections to entries, over which settings are distributed.
    #[serde_as(as = "HumanTime")]
    pub heartbeat: Duration,
    /// Time without a heartbeat after which such a connection is considered dead.
    #[serde_as(as = "HumanTime")]
    pub silence: Duration,
    /// Heartbeat period between an entry and the sidecars that it sends work to. It is long because there are many such
    /// connections, and because nothing urgent depends on it: changes of readiness and settings are sent at once, and
    /// stalled work reveals a lost sidecar sooner.
    #[serde_as(as = "HumanTime")]
    pub watch: Duration,
    /// Timeout for connecting to a peer, and for short requests to it.
    #[serde_as(as = "HumanTime")]
    pub connect: Duration,
    /// Time without output after which a running answer is continued at another runner.
    #[serde_as(as = "HumanTime")]
    pub stall: Duration,
    /// Time during which an entry still accepts requests after the signal to shut down, so that callers notice that it
    /// is no longer ready.
    #[serde_as(as = "HumanTime")]
    pub notice: Duration,
    /// Timeout for finishing the work in progress at shutdown, and for storing the billing rows after that.
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
