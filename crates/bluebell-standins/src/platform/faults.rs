//! What a service of the platform can be told to do wrong.

use std::time::Duration;

use serde::{Deserialize, Serialize};

/// Time after which a lost answer's connection is given up, longer than any client waits.
const LOST: Duration = Duration::from_secs(30);

/// Fault of one service.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Fault {
    /// None.
    #[default]
    None,
    /// Every call is refused.
    Down,
    /// Every call takes this much longer, in milliseconds.
    Slow(u64),
    /// Writes take effect, but their answers are lost.
    Lose,
}

impl Fault {
    /// What happens before a call; tells whether it is refused.
    pub async fn before(self) -> bool {
        if let Self::Slow(millis) = self {
            tokio::time::sleep(Duration::from_millis(millis)).await;
        }
        self == Self::Down
    }

    /// What happens after a write took effect.
    pub async fn after(self) {
        if self == Self::Lose {
            tokio::time::sleep(LOST).await;
        }
    }
}

/// Faults by service.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Faults {
    /// Fault of the table.
    #[serde(default)]
    pub table: Fault,
    /// Fault of the object store.
    #[serde(default)]
    pub objects: Fault,
    /// Fault of the instance list.
    #[serde(default)]
    pub instances: Fault,
}
