//! Retry decisions for failed attempts, and the budgets that limit retries.

mod window;

use std::time::Duration;

use serde::{Deserialize, Serialize};

pub use window::{RetryLimit, RetryWindow};

/// Retry credit earned by each first attempt.
pub const RETRY_RATIO: f64 = 0.1;
/// Upper bound and initial value of the retry credit.
pub const RETRY_RESERVE: f64 = 50.0;
/// Runner failures during one request after which it is no longer retried, because it is the likely cause.
pub const MAX_CRASHES: u32 = 2;
/// Default delay suggested to callers before they retry.
pub const DEFAULT_PAUSE: Duration = Duration::from_millis(1000);

/// How an attempt failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Ended {
    /// The sidecar rejected the request without running it.
    Refused,
    /// The connection failed before the runner acknowledged the request, so it may have run.
    Lost,
    /// The runner received the request and failed.
    Failed,
}

/// What to do after a failed attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RetryStep {
    /// Retry on another runner.
    Again,
    /// Return the failure to the caller.
    GiveUp,
}

/// Attempts of one request.
#[derive(Debug, Clone, Default)]
pub struct Tries {
    /// Attempts started.
    pub begun: u32,
    /// Attempts during which the runner failed.
    pub crashes: u32,
    /// Attempts that may or may not have run.
    pub lost: u32,
}

impl Tries {
    /// Whether it is certain that no attempt ran.
    #[must_use]
    pub fn none_ran(&self) -> bool {
        self.crashes == 0 && self.lost == 0
    }

    /// Records a failed attempt of an idempotent request and decides whether to retry it.
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

/// Credit-based retry budget: each first attempt earns a fraction of a retry.
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
    /// Adds the credit for a first attempt.
    pub fn earn(&mut self) {
        self.credit = (self.credit + RETRY_RATIO).min(RETRY_RESERVE);
    }

    /// Spends the credit of one retry. Returns false if there is not enough.
    pub fn take(&mut self) -> bool {
        if self.credit < 1.0 {
            return false;
        }
        self.credit -= 1.0;
        true
    }
}
