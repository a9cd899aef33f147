//! What is known of the quality of each version, from ratings that come late and for some answers only.
//!
//! Two uses: routing takes the cheapest version whose quality is good enough with confidence, and a sequential test
//! stops a version that has turned bad after as few bad answers as the evidence allows.

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

use crate::{ids::VersionId, units::Percent};

/// Ratings that the declared quality of a version counts for.
const PRIOR_RATINGS: f64 = 20.0;
/// Share of its weight that a rating keeps when the next one comes.
const MEMORY: f64 = 0.995;
/// Standard deviations below the mean that are taken for certain.
const CONFIDENCE: f64 = 1.0;
/// Quality below its declared one at which a version counts as bad.
const BAD_DROP: f64 = 0.2;
/// Log likelihood ratio at which a version is stopped: a good version has at most one false alarm in e^14, or a
/// million, ratings.
const STOP_EVIDENCE: f64 = 14.0;

/// Quality of one version, from its ratings.
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
        self.good *= MEMORY;
        self.bad *= MEMORY;
        if good {
            self.good += 1.0;
        } else {
            self.bad += 1.0;
        }
        self.evidence = (self.evidence + self.step(good)).max(0.0);
    }

    // Cumulative sum test: evidence that the quality has dropped, never below none.
    fn step(&self, good: bool) -> f64 {
        let dropped = (self.declared - BAD_DROP).max(0.01);
        if good { (dropped / self.declared).ln() } else { ((1.0 - dropped) / (1.0 - self.declared)).ln() }
    }

    fn mean(&self) -> f64 {
        self.good / (self.good + self.bad)
    }

    fn sure(&self) -> f64 {
        let count = self.good + self.bad;
        let mean = self.mean();
        mean - CONFIDENCE * (mean * (1.0 - mean) / count).sqrt()
    }
}

/// Quality of all versions, from their ratings.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Quality {
    versions: IndexMap<VersionId, Estimate>,
}

impl Quality {
    /// Takes a rating; tells whether it makes the version one to be stopped.
    pub fn record_rating(&mut self, version: &VersionId, declared: Percent, good: bool) -> bool {
        let estimate = self.versions.entry(version.clone()).or_insert_with(|| Estimate::new(declared));
        estimate.add(good);
        let stop = estimate.evidence >= STOP_EVIDENCE && !estimate.stopped;
        estimate.stopped |= stop;
        stop
    }

    /// Forgets what was known of a version, since it was put back into use.
    pub fn forget(&mut self, version: &VersionId) {
        self.versions.shift_remove(version);
    }

    /// Number of ratings of a version.
    #[must_use]
    pub fn ratings(&self, version: &VersionId) -> u64 {
        self.versions.get(version).map_or(0, |estimate| estimate.ratings)
    }

    /// Share of a version's answers that are good, by its ratings so far.
    #[must_use]
    pub fn mean(&self, version: &VersionId) -> Option<f64> {
        self.versions.get(version).map(Estimate::mean)
    }

    /// Quality that a version has with confidence.
    #[must_use]
    pub fn lower_bound(&self, version: &VersionId) -> Option<f64> {
        self.versions.get(version).map(Estimate::sure)
    }
}
