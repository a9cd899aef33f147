//! Messages between the processes of bluebellstack, and how they travel: bincode frames on h2 streams.
//!
//! Each kind of conversation has its own [`Route`]; each stream opens with a token that proves the sender. A frame
//! that can't be read, or is too long, ends its connection with a typed error.

mod client;
mod error;
mod frame;
mod listen;
pub mod messages;
mod server;

pub use client::{Connection, Identity};
pub use error::WireError;
pub use frame::{FrameReader, FrameWriter, MAX_FRAME_BYTES};
pub use listen::listen;
pub use server::{Incoming, Server};

use std::{fmt, str::FromStr};

/// Header with the token that proves the sender.
pub const TOKEN_HEADER: &str = "bluebell-token";

/// Kind of conversation on a stream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Route {
    /// Entry to sidecar: run one attempt.
    Run,
    /// Entry to sidecar: what became of an attempt.
    Resolve,
    /// Any to entry: revisions seen, both ways, as long as the connection lasts.
    Follow,
    /// Entry to sidecar: standing, load and revisions, both ways and at a slow pace, as long as the connection lasts.
    Watch,
    /// Any to any: settings after a revision.
    Fetch,
    /// Any to any: billing rows handed over or stored.
    Bills,
    /// Entry to entry: revisions that followers confirmed.
    Confirmed,
    /// Entry to entry: rows of the store, loads and counts, as long as the connection lasts.
    Exchange,
}

impl Route {
    const ALL: [Self; 8] = [
        Self::Run,
        Self::Resolve,
        Self::Follow,
        Self::Watch,
        Self::Fetch,
        Self::Bills,
        Self::Confirmed,
        Self::Exchange,
    ];
}

impl fmt::Display for Route {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Run => "/run",
            Self::Resolve => "/resolve",
            Self::Follow => "/follow",
            Self::Watch => "/watch",
            Self::Fetch => "/fetch",
            Self::Bills => "/bills",
            Self::Confirmed => "/confirmed",
            Self::Exchange => "/exchange",
        })
    }
}

impl FromStr for Route {
    type Err = WireError;

    fn from_str(path: &str) -> Result<Self, WireError> {
        let found = Self::ALL.into_iter().find(|route| route.to_string() == path);
        found.ok_or_else(|| WireError::Route { path: path.to_owned() })
    }
}
