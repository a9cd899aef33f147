//! Estimates of the quality of each version from ratings, which arrive late and only for some answers.
//!
//! They have two uses: routing prefers the cheapest version whose lower confidence bound meets the quality target, and
//! a sequential test stops a version whose quality has dropped, after as few bad answers as the evidence allows.

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

use crate::{ids::VersionId, units::Percent};

/// Weight of a version's declared quality in its estimate, as a number of ratings.
const PRIOR_RATINGS: f64 = 20.0;
/// Factor by which the weight of older ratings decays with each new one.
const RATING_DECAY: f64 = 0.995;
/// Standard deviations by which the lower confidence bound lies below the mean.
const CONFIDENCE_DEVIATIONS: f64 = 1.0;
/// Drop below its declared quality at which a version counts as bad.
const BAD_DROP: f64 = 0.2;
/// Log likelihood ratio at which a version is stopped: a good version has at most one false alarm in e^14, or a
/// million, ratings.
const STOP_THRESHOLD: f64 = 14.0;

/// Quality estimate of one version. The ratings in `good` and `bad` are weighted, those in `ratings` are not.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
struct Estimate {
    declared: f64,
    good: f64,
    bad: f64,
    evidence: f64,
    stopped: bool,
    ratings: u64,
}

impl Estimate {
    fn new(declared: Percent) -> Self {
        let declared = declared.fraction().clamp(0.02, 0.98);
        let good = declared * PRIOR_RATINGS;
        Self { declared, good, bad: PRIOR_RATINGS - good, evidence: 0.0, stopped: false, ratings: 0 }
    }

    fn add(&mut self, good: bool) {
        self.ratings += 1;
        self.good *= RATING_DECAY;
        self.bad *= RATING_DECAY;
        if good {
            self.good += 1.0;
        } else {
            self.bad += 1.0;
        }
        self.evidence = (self.evidence + self.log_likelihood_ratio(good)).max(0.0);
    }

    // Step of a cumulative sum (CUSUM) test for a drop in quality; the sum is kept at zero or above.
    fn log_likelihood_ratio(&self, good: bool) -> f64 {
        let dropped = (self.declared - BAD_DROP).max(0.01);
        if good { (dropped / self.declared).ln() } else { ((1.0 - dropped) / (1.0 - self.declared)).ln() }
    }

    fn mean(&self) -> f64 {
        self.good / (self.good + self.bad)
    }

    fn lower_bound(&self) -> f64 {
        let count = self.good + self.bad;
        let mean = self.mean();
        mean - CONFIDENCE_DEVIATIONS * (mean * (1.0 - mean) / count).sqrt()
    }
}

/// Quality estimates of all versions.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Quality {
    versions: IndexMap<VersionId, Estimate>,
}

impl Quality {
    /// Records a rating. Returns whether the version has to be stopped because of it; this is returned only once, until
    /// [`Self::forget`] is called.
    pub fn record_rating(&mut self, version: &VersionId, declared: Percent, good: bool) -> bool {
        let estimate = self.versions.entry(version.clone()).or_insert_with(|| Estimate::new(declared));
        estimate.add(good);
        let must_stop = estimate.evidence >= STOP_THRESHOLD && !estimate.stopped;
        estimate.stopped |= must_stop;
        must_stop
    }

    /// Discards the estimate of a version that is put back into use.
    pub fn forget(&mut self, version: &VersionId) {
        self.versions.shift_remove(version);
    }

    /// Number of ratings of a version.
    #[must_use]
    pub fn ratings(&self, version: &VersionId) -> u64 {
        self.versions.get(version).map_or(0, |estimate| estimate.ratings)
    }

    /// Estimated share of a version's answers that are good, or `None` if it was never rated.
    #[must_use]
    pub fn mean(&self, version: &VersionId) -> Option<f64> {
        self.versions.get(version).map(Estimate::mean)
    }

    /// Lower confidence bound of a version's quality, or `None` if it was never rated.
    #[must_use]
    pub fn lower_bound(&self, version: &VersionId) -> Option<f64> {
        self.versions.get(version).map(Estimate::lower_bound)
    }
}
