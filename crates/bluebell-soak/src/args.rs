//! The command line.

use std::time::Duration;

use bpaf::Bpaf;

/// Plays seeds, each with its own fleet, load and faults, and checks what callers and upstreams see.
#[derive(Debug, Clone, Bpaf)]
#[bpaf(options, version)]
pub struct Options {
    /// First seed
    #[bpaf(argument("SEED"), fallback(1), display_fallback)]
    pub first: u64,
    /// Seeds to play
    #[bpaf(argument("COUNT"), fallback(50), display_fallback)]
    pub seeds: u64,
    /// Time of faults in each seed, in seconds
    #[bpaf(argument::<u64>("SECONDS"), map(Duration::from_secs), fallback(Duration::from_secs(25)))]
    pub faults: Duration,
    /// Seeds played at the same time
    #[bpaf(argument("COUNT"), fallback(2), display_fallback)]
    pub jobs: usize,
    /// Largest fleets: a few hundred processes
    #[bpaf(switch)]
    pub large: bool,
}
