//! Estimate of how much slower a new release is than the old one in the same kind of work and the same window of time.

use super::tally::{Moments, Tallies};

/// Mean slowdown, as a natural logarithm, from which a release is bad; about that of a release with a fifth of its
/// answers four times as slow. Good releases are faster than the old one while they get few requests.
const MIN_BAD_SHIFT: f64 = 0.25;
/// Standard errors by which the slowdown must exceed zero for a rejection.
const MIN_BAD_DEVIATIONS: f64 = 3.5;
/// Answers of the new release that are needed to estimate its slowdown.
const MIN_ANSWERS: u64 = 5;
/// Lower bound of the variance of the logarithm of a pace; keeps a few equal values from looking certain.
const MIN_VARIANCE: f64 = 0.1;

/// Mean slowdown of the new release over all kinds of work.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Slowdown {
    /// Mean difference of the logarithms of the pace.
    pub shift: f64,
    /// The shift divided by its standard error.
    pub deviations: f64,
}

impl Slowdown {
    /// Whether the slowdown is large and significant enough to reject the release.
    #[must_use]
    pub fn is_bad(&self) -> bool {
        self.shift >= MIN_BAD_SHIFT && self.deviations >= MIN_BAD_DEVIATIONS
    }
}

/// Estimator of the slowdown: sums over the windows compared so far.
#[derive(Debug, Clone, Copy, Default)]
pub struct SlowdownEstimator {
    weighted_shift: f64,
    weight: f64,
    squares: f64,
    degrees_of_freedom: f64,
    answers: u64,
}

impl SlowdownEstimator {
    /// Adds the answers of one window. Kinds of work in which only one release answered are left out.
    pub fn record(&mut self, window: &Tallies) {
        for (old, new) in window.values().filter(|(old, new)| old.pace.count.min(new.pace.count) > 0) {
            let (old_count, new_count) = (old.pace.count as f64, new.pace.count as f64);
            let weight = old_count * new_count / (old_count + new_count);
            self.weighted_shift += weight * (new.pace.mean() - old.pace.mean());
            self.weight += weight;
            self.squares += [old.pace, new.pace].iter().map(Moments::squared_deviations).sum::<f64>();
            self.degrees_of_freedom += old_count + new_count - 2.0;
            self.answers += new.pace.count;
        }
    }

    /// The slowdown, or `None` while there are too few answers.
    #[must_use]
    pub fn estimate(&self) -> Option<Slowdown> {
        if self.answers < MIN_ANSWERS {
            return None;
        }
        let variance = (self.squares / self.degrees_of_freedom.max(1.0)).max(MIN_VARIANCE);
        let shift = self.weighted_shift / self.weight;
        Some(Slowdown { shift, deviations: shift / (variance / self.weight).sqrt() })
    }
}
