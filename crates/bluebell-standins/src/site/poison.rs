//! Requests that crash the upstreams which run them.

use std::time::Duration;

use super::http1::Request;

/// Which requests crash each upstream that runs them.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum PoisonMarker {
    /// Those whose body contains this text.
    Body(String),
    /// Those with this part in their prompt, other than as the last one.
    Part(String),
}

impl PoisonMarker {
    /// Whether a request is marked.
    #[must_use]
    pub fn matches(&self, request: &Request) -> bool {
        match self {
            Self::Body(text) => request.contains(text),
            Self::Part(part) => {
                let parts = request.header("prompt-prefix").rsplit_once(',').map_or("", |(shared, _)| shared);
                parts.split(',').filter_map(|entry| entry.split(':').next()).any(|id| id == part)
            }
        }
    }
}

/// Makes marked requests crash each upstream that runs them.
#[derive(Debug, Clone)]
pub struct Poison {
    /// Which requests.
    pub marker: PoisonMarker,
    /// Number of events sent before the crash.
    pub events: u64,
    /// Time from the crash to the restart.
    pub down: Duration,
}

impl Poison {
    /// A marker that occurs in no request body.
    pub(super) fn none() -> Self {
        Self { marker: PoisonMarker::Body("\0".to_owned()), events: 0, down: Duration::ZERO }
    }
}
