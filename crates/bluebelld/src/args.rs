//! Command line of the daemon.

use std::path::PathBuf;

use bpaf::Bpaf;

/// The bluebellstack daemon
#[derive(Debug, Clone, Bpaf)]
#[bpaf(options, version)]
pub struct Options {
    /// YAML file with the daemon's settings
    #[bpaf(short, long, argument("FILE"), env("BLUEBELLSTACK_CONFIG"))]
    pub config: PathBuf,
    /// Check the settings and stop
    pub check: bool,
    /// What the process does where its settings don't say
    #[bpaf(external, optional)]
    pub mode: Option<Mode>,
}

/// What the process does where its settings don't say
#[derive(Debug, Clone, Copy, PartialEq, Eq, Bpaf)]
pub enum Mode {
    /// Route callers' requests straight to upstreams, with the platform's store as the only memory
    #[bpaf(command)]
    Gateway,
}
