//! Failures of the stand-ins and the load tool.

use snafu::Snafu;

/// A stand-in that can't do its work.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum StandinError {
    /// The address can't be listened on.
    #[snafu(display("can't serve on {address}: {source}"))]
    Serve {
        /// The address.
        address: String,
        /// What the system said.
        source: std::io::Error,
    },
    /// A file can't be read or written.
    #[snafu(display("file {path}: {source}"))]
    File {
        /// The file.
        path: String,
        /// What the system said.
        source: std::io::Error,
    },
    /// The scenario can't be read.
    #[snafu(display("the scenario can't be read: {source}"))]
    Scenario {
        /// What the parser said.
        source: serde_json::Error,
    },
    /// A request can't be made.
    #[snafu(display("a request failed: {source}"), context(false))]
    Request {
        /// What the library said.
        source: reqwest::Error,
    },
    /// A histogram can't be made.
    #[snafu(display("histogram: {reason}"))]
    Histogram {
        /// What the library said.
        reason: String,
    },
}
