//! Tests for quality estimates: a version that turns bad is stopped soon, and a good one is not stopped.

use bluebell_core::{ids::VersionId, quality::Quality, units::Percent};
use rand::{Rng, SeedableRng, rngs::StdRng};

/// Maximum number of bad answers before a version whose quality dropped from 0.9 to 0.5 is stopped.
const MAX_BAD_ANSWERS: u32 = 50;
/// Ratings of a good version per seed.
const GOOD_RATINGS: u32 = 5000;
const SEEDS: u64 = 20;

fn declared() -> Percent {
    "90%".parse().expect("a share")
}

fn version() -> VersionId {
    "atlas-small@2".parse().expect("a version")
}

#[test]
fn a_version_that_turned_bad_is_stopped_in_time() {
    for seed in 0..SEEDS {
        let mut random = StdRng::seed_from_u64(seed);
        let mut quality = Quality::default();
        for _ in 0..300 {
            let stopped = quality.record_rating(&version(), declared(), random.random_bool(0.9));
            assert!(!stopped, "seed {seed}: stopped while still good");
        }
        let mut bad = 0;
        loop {
            let good = random.random_bool(0.5);
            bad += u32::from(!good);
            if quality.record_rating(&version(), declared(), good) {
                break;
            }
        }
        assert!(bad <= MAX_BAD_ANSWERS, "seed {seed}: stopped after {bad} bad answers");
    }
}

#[test]
fn a_good_version_is_not_stopped() {
    for seed in 0..SEEDS {
        let mut random = StdRng::seed_from_u64(1000 + seed);
        let mut quality = Quality::default();
        for count in 0..GOOD_RATINGS {
            let stopped = quality.record_rating(&version(), declared(), random.random_bool(0.9));
            assert!(!stopped, "seed {seed}: stopped after {count} ratings");
        }
    }
}

#[test]
fn estimate_follows_a_change_in_quality() {
    let mut random = StdRng::seed_from_u64(7);
    let mut quality = Quality::default();
    for _ in 0..1000 {
        quality.record_rating(&version(), declared(), random.random_bool(0.9));
    }
    assert!(quality.lower_bound(&version()).expect("it was rated") > 0.85);
    for _ in 0..600 {
        quality.record_rating(&version(), declared(), random.random_bool(0.7));
    }
    let mean = quality.mean(&version()).expect("it was rated");
    assert!((mean - 0.7).abs() < 0.08, "{mean}");
}
