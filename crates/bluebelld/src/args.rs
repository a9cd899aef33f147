//! Command line of the daemon.

use std::path::PathBuf;

use bpaf::Bpaf;

/// The bluebellstack daemon
#[derive(Debug, Clone, Bpaf)]
#[bpaf(options, version)]
pub struct Options {
    /// Settings file in YAML format
    #[bpaf(short, long, argument("FILE"), env("BLUEBELLSTACK_CONFIG"))]
    pub config: PathBuf,
    /// Validate the settings file and exit
    pub check: bool,
    /// Role to run in; without it the settings file selects entry or sidecar
    #[bpaf(external, optional)]
    pub mode: Option<Mode>,
}

/// Role to run in; without it the settings file selects entry or sidecar
#[derive(Debug, Clone, Copy, PartialEq, Eq, Bpaf)]
pub enum Mode {
    /// Run a gateway: route requests directly to upstreams, with the platform's store as the only persistent state
    #[bpaf(command)]
    Gateway,
}
