//! Command line of the daemon.

use std::path::PathBuf;

use bpaf::Bpaf;

/// The bluebellstack daemon
#[derive(Debug, Clone, Bpaf)]
#[bpaf(options, version)]
pub struct Options {
    /// YAML file with the daemon's settings
    #[bpaf(short, long, argument("FILE"))]
    pub config: PathBuf,
    /// Check the settings and stop
    pub check: bool,
}
