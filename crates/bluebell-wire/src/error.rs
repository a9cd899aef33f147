//! Failures of connections between processes.

use std::time::Duration;

use bluebell_core::keys::KeyError;
use snafu::Snafu;

/// A conversation that failed.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum WireError {
    /// The address can't be reached.
    #[snafu(display("can't connect to {address}: {source}"))]
    Connect {
        /// The address.
        address: String,
        /// What the system said.
        source: std::io::Error,
    },
    /// The peer didn't answer in time.
    #[snafu(display("no answer from {address} within {patience:?}"))]
    Timeout {
        /// The address.
        address: String,
        /// Time that was given.
        patience: Duration,
    },
    /// The connection broke.
    #[snafu(display("connection broke: {source}"), context(false))]
    Broken {
        /// What the library said.
        source: h2::Error,
    },
    /// The peer closed the stream before the conversation was over.
    #[snafu(display("the peer closed the stream"))]
    Closed,
    /// A frame is longer than allowed.
    #[snafu(display("a frame was longer than allowed"))]
    FrameSize,
    /// A frame can't be read.
    #[snafu(display("a frame can't be read: {source}"))]
    Decode {
        /// What the decoder said.
        source: bincode::error::DecodeError,
    },
    /// A message can't be written.
    #[snafu(display("a message can't be written: {source}"))]
    Encode {
        /// What the encoder said.
        source: bincode::error::EncodeError,
    },
    /// A request can't be formed.
    #[snafu(display("a request can't be formed: {source}"))]
    Request {
        /// What the library said.
        source: http::Error,
    },
    /// The peer did not prove itself.
    #[snafu(display("the peer did not prove itself: {source}"))]
    Peer {
        /// What is wrong with its token.
        source: KeyError,
    },
    /// The peer sent no token.
    #[snafu(display("the peer sent no token"))]
    NoToken,
    /// The peer refused the conversation.
    #[snafu(display("the peer refused the conversation with status {status}"))]
    Status {
        /// The status.
        status: u16,
    },
    /// There is no such conversation.
    #[snafu(display("no conversation {path}"))]
    Route {
        /// The path asked for.
        path: String,
    },
}
