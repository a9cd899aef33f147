//! Messages between the processes of bluebellstack and their transport: length-prefixed bincode frames on h2 streams.
//!
//! Each kind of exchange has its own [`Route`], and each stream carries a token that authenticates the sender. A frame
//! that can't be decoded or is too long ends its connection with a typed error.

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

/// Header with the token that authenticates the sender of a stream.
pub const TOKEN_HEADER: &str = "bluebell-token";

/// Kind of exchange on a stream; its text form is the request path.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Route {
    /// Entry to sidecar: runs one attempt.
    Run,
    /// Entry to sidecar: looks up the outcome of an attempt.
    Resolve,
    /// Any instance to an entry: both sides report their settings revision for the lifetime of the connection.
    Follow,
    /// Entry to sidecar: both sides report readiness, load and settings revision, at a longer interval than on
    /// [`Route::Follow`], for the lifetime of the connection.
    Watch,
    /// Any instance to any other: fetches the settings after a revision.
    Fetch,
    /// Any instance to any other: hands over billing rows, or tells which are stored.
    Bills,
    /// Entry to entry: queries the revisions confirmed by the peer's followers.
    Confirmed,
    /// Gateway to gateway: shares store rows, loads and counters for the lifetime of the connection.
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
        found.ok_or_else(|| WireError::UnknownRoute { path: path.to_owned() })
    }
}
