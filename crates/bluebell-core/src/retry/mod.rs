//! When a request may be tried again, and how many tries the fleet affords.

mod window;

use std::time::Duration;

use serde::{Deserialize, Serialize};

pub use window::{RetryLimit, RetryWindow};

/// Retries earned by each first try.
pub const RETRY_RATIO: f64 = 0.1;
/// Retries that may be saved up.
pub const RETRY_RESERVE: f64 = 50.0;
/// Runners that may fail under one request before it is given up as the likely cause.
pub const MAX_CRASHES: u32 = 2;
/// Pause suggested to callers when nothing better is known.
pub const DEFAULT_PAUSE: Duration = Duration::from_millis(1000);

/// How one attempt ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Ended {
    /// The sidecar refused it: it did not run.
    Refused,
    /// The connection failed before the runner was known to have it; it may have run.
    Lost,
    /// The runner had it and failed.
    Failed,
}

/// What to do after an attempt that did not complete.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RetryStep {
    /// Try another runner.
    Again,
    /// Answer the caller now.
    GiveUp,
}

/// Tries of one request.
#[derive(Debug, Clone, Default)]
pub struct Tries {
    /// Attempts begun.
    pub begun: u32,
    /// Attempts whose runner failed.
    pub crashes: u32,
    /// Attempts of which nobody knows whether they ran.
    pub lost: u32,
}

impl Tries {
    /// Whether it is certain that no attempt ran.
    #[must_use]
    pub fn none_ran(&self) -> bool {
        self.crashes == 0 && self.lost == 0
    }

    /// Decides what follows an attempt of idempotent work.
    pub fn next_step(&mut self, ended: Ended, budget: &mut Budget) -> RetryStep {
        match ended {
            Ended::Refused => {}
            Ended::Lost => self.lost += 1,
            Ended::Failed => self.crashes += 1,
        }
        if self.crashes >= MAX_CRASHES || !budget.take() {
            return RetryStep::GiveUp;
        }
        RetryStep::Again
    }
}

/// Retries that are affordable, as a share of first tries.
#[derive(Debug, Clone)]
pub struct Budget {
    credit: f64,
}

impl Default for Budget {
    fn default() -> Self {
        Self { credit: RETRY_RESERVE }
    }
}

impl Budget {
    /// Counts a first try.
    pub fn earn(&mut self) {
        self.credit = (self.credit + RETRY_RATIO).min(RETRY_RESERVE);
    }

    /// Spends one retry if there is one.
    pub fn take(&mut self) -> bool {
        if self.credit < 1.0 {
            return false;
        }
        self.credit -= 1.0;
        true
    }
}
