//! Errors of the stand-ins and the load generator.

use snafu::Snafu;

/// An error that ends a stand-in or a load run.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum StandinError {
    /// A server cannot listen on its address, or failed while serving.
    #[snafu(display("cannot serve on {address}: {source}"))]
    Serve {
        /// Address to listen on.
        address: String,
        /// Error from the operating system.
        source: std::io::Error,
    },
    /// A file cannot be opened or read.
    #[snafu(display("cannot open or read {path}: {source}"))]
    File {
        /// Path of the file.
        path: String,
        /// Error from the operating system.
        source: std::io::Error,
    },
    /// The file with the mix of callers is malformed.
    #[snafu(display("cannot parse the mix of callers: {source}"))]
    Mix {
        /// Error from the JSON parser.
        source: serde_json::Error,
    },
    /// The HTTP client cannot be built.
    #[snafu(display("cannot build the HTTP client: {source}"), context(false))]
    HttpClient {
        /// Error from the HTTP library.
        source: reqwest::Error,
    },
    /// A latency histogram cannot be created.
    #[snafu(display("cannot create a histogram: {reason}"))]
    Histogram {
        /// Error text of the histogram library.
        reason: String,
    },
}
