//! Errors of connections between processes.

use std::time::Duration;

use bluebell_core::keys::KeyError;
use snafu::Snafu;

/// Error of a connection or of a stream on it.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum WireError {
    /// The TCP connection could not be set up.
    #[snafu(display("can't connect to {address}: {source}"))]
    Connect {
        /// Address of the peer.
        address: String,
        /// Underlying I/O error.
        source: std::io::Error,
    },
    /// The peer didn't answer within the time limit.
    #[snafu(display("{address} did not answer within {time_limit:?}"))]
    Timeout {
        /// Address or instance id of the peer.
        address: String,
        /// Time limit that was exceeded.
        time_limit: Duration,
    },
    /// The h2 connection or stream failed.
    #[snafu(display("connection failed: {source}"), context(false))]
    Broken {
        /// Underlying h2 error.
        source: h2::Error,
    },
    /// The stream was closed before the exchange was complete.
    #[snafu(display("stream closed before the exchange was complete"))]
    Closed,
    /// A frame exceeds [`MAX_FRAME_BYTES`](crate::MAX_FRAME_BYTES).
    #[snafu(display("frame exceeds {} bytes", crate::MAX_FRAME_BYTES))]
    FrameSize,
    /// A frame can't be decoded.
    #[snafu(display("can't decode a frame: {source}"))]
    Decode {
        /// Underlying decoder error.
        source: bincode::error::DecodeError,
    },
    /// A message can't be encoded.
    #[snafu(display("can't encode a message: {source}"))]
    Encode {
        /// Underlying encoder error.
        source: bincode::error::EncodeError,
    },
    /// The HTTP request of a stream can't be built.
    #[snafu(display("can't build the request of a stream: {source}"))]
    Request {
        /// Underlying HTTP error.
        source: http::Error,
    },
    /// The peer's token is not valid.
    #[snafu(display("peer authentication failed: {source}"))]
    InvalidToken {
        /// Reason why the token was rejected.
        source: KeyError,
    },
    /// The peer sent no token, or one that is not text.
    #[snafu(display("peer sent no token"))]
    NoToken,
    /// The peer refused the stream.
    #[snafu(display("peer refused the stream with status {status}"))]
    Status {
        /// HTTP status of the response.
        status: u16,
    },
    /// The path is no known route, or the receiver doesn't serve that route.
    #[snafu(display("unknown route {path}"))]
    UnknownRoute {
        /// Requested path.
        path: String,
    },
}
