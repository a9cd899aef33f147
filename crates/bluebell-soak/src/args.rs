//! Command-line options.

use std::time::Duration;

use bpaf::Bpaf;

/// Runs a range of seeds, each with its own fleet, load and faults, and checks what callers and upstreams observe.
#[derive(Debug, Clone, Bpaf)]
#[bpaf(options, version)]
pub struct Options {
    /// First seed
    #[bpaf(argument("SEED"), fallback(1), display_fallback)]
    pub first: u64,
    /// Number of seeds to run
    #[bpaf(argument("COUNT"), fallback(50), display_fallback)]
    pub seeds: u64,
    /// Duration of the fault phase of each run, in seconds
    #[bpaf(argument::<u64>("SECONDS"), map(Duration::from_secs), fallback(Duration::from_secs(25)))]
    pub faults: Duration,
    /// Number of seeds run concurrently
    #[bpaf(argument("COUNT"), fallback(2), display_fallback)]
    pub jobs: usize,
    /// Run large fleets, of up to a few hundred processes
    #[bpaf(switch)]
    pub large: bool,
}
