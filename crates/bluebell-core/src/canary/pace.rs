//! The pace of a new release against the old one's in the same kind of work and the same stretch of time.

use super::tally::{Moments, Tallies};

/// Mean slowdown, as a logarithm, from which a release is bad: a fifth of the answers four times as slow. Sound
/// releases are faster than the old one while they get few requests.
const SLOW_SHIFT: f64 = 0.25;
/// Standard deviations by which the slowdown must differ from none.
const SLOW_DEVIATIONS: f64 = 3.5;
/// Answers of the new release from which its slowdown is known.
const KNOWN_ANSWERS: u64 = 5;
/// Least variance of a logarithm of a pace; keeps a few equal values from looking certain.
const MIN_VARIANCE: f64 = 0.1;

/// Mean slowdown of a release over all kinds of work.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Slowdown {
    /// As a logarithm.
    pub shift: f64,
    /// Standard deviations by which it differs from none.
    pub deviations: f64,
}

impl Slowdown {
    /// Whether a sound release would hardly be so slow.
    #[must_use]
    pub fn is_bad(&self) -> bool {
        self.shift >= SLOW_SHIFT && self.deviations >= SLOW_DEVIATIONS
    }
}

/// Sums over the stretches of time compared so far.
#[derive(Debug, Clone, Copy, Default)]
pub struct Paces {
    shift: f64,
    weight: f64,
    squares: f64,
    freedom: f64,
    answers: u64,
}

impl Paces {
    /// Takes the answers of a stretch of time; kinds of work in which only one release answered don't count.
    pub fn take(&mut self, stretch: &Tallies) {
        for (old, new) in stretch.values().filter(|(old, new)| old.pace.count.min(new.pace.count) > 0) {
            let (olds, news) = (old.pace.count as f64, new.pace.count as f64);
            let weight = olds * news / (olds + news);
            self.shift += weight * (new.pace.mean() - old.pace.mean());
            self.weight += weight;
            self.squares += [old.pace, new.pace].iter().map(Moments::squared_deviations).sum::<f64>();
            self.freedom += olds + news - 2.0;
            self.answers += new.pace.count;
        }
    }

    /// The slowdown; nothing while there are too few answers.
    #[must_use]
    pub fn slowdown(&self) -> Option<Slowdown> {
        if self.answers < KNOWN_ANSWERS {
            return None;
        }
        let variance = (self.squares / self.freedom.max(1.0)).max(MIN_VARIANCE);
        let shift = self.shift / self.weight;
        Some(Slowdown { shift, deviations: shift / (variance / self.weight).sqrt() })
    }
}
