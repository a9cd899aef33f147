//! Settings of a fuzzing run.
//!
//! `BLUEBELL_SEED` sets the seed and `PROPTEST_CASES` the number of cases; both are printed.

use proptest::test_runner::{Config, RngSeed};

/// Seed where none is set.
const DEFAULT_SEED: u64 = 20_261_204;
/// Tries to make a failing case shorter; each takes as long as a case.
const MAX_SHRINKS: u32 = 100;

fn setting<T: std::str::FromStr>(name: &str, default: T) -> T {
    std::env::var(name).ok().and_then(|text| text.parse().ok()).unwrap_or(default)
}

/// The run that the environment asks for, or one of so many cases.
pub fn config(default_cases: u32) -> Config {
    let seed = setting("BLUEBELL_SEED", DEFAULT_SEED);
    let cases = setting("PROPTEST_CASES", default_cases);
    eprintln!("BLUEBELL_SEED={seed} PROPTEST_CASES={cases}");
    Config {
        cases,
        rng_seed: RngSeed::Fixed(seed),
        failure_persistence: None,
        max_shrink_iters: MAX_SHRINKS,
        ..Config::default()
    }
}
