//! Retry decisions for failed attempts, and the budgets that limit retries.

mod takeover;
mod window;

use std::time::Duration;

use serde::{Deserialize, Serialize};

pub use takeover::{MAX_OVERLAP, Takeover};
pub use window::{RetryLimit, RetryWindow};

/// Retry credit earned by each first attempt.
pub const RETRY_CREDIT_PER_REQUEST: f64 = 0.1;
/// Upper bound and initial value of the retry credit.
pub const MAX_RETRY_CREDIT: f64 = 50.0;
/// Runner failures during one request after which it is no longer retried, because it is the likely cause.
pub const MAX_CRASHES: u32 = 2;
/// Default delay suggested to callers before they retry.
pub const DEFAULT_PAUSE: Duration = Duration::from_millis(1000);

/// How an attempt failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum AttemptFailure {
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
    Retry,
    /// Return the failure to the caller.
    GiveUp,
}

/// Attempts of one request.
#[derive(Debug, Clone, Default)]
pub struct Attempts {
    /// Attempts started.
    pub started: u32,
    /// Attempts during which the runner failed.
    pub crashes: u32,
    /// Attempts that may or may not have run.
    pub lost: u32,
}

impl Attempts {
    /// Whether it is certain that no attempt ran.
    #[must_use]
    pub fn none_ran(&self) -> bool {
        self.crashes == 0 && self.lost == 0
    }

    /// Records a failed attempt of an idempotent request and decides whether to retry it.
    pub fn next_step(&mut self, failure: AttemptFailure, budget: &mut RetryBudget) -> RetryStep {
        match failure {
            AttemptFailure::Refused => {}
            AttemptFailure::Lost => self.lost += 1,
            AttemptFailure::Failed => self.crashes += 1,
        }
        if self.crashes >= MAX_CRASHES || !budget.take() {
            return RetryStep::GiveUp;
        }
        RetryStep::Retry
    }
}

/// Credit-based retry budget: each first attempt earns a fraction of a retry.
#[derive(Debug, Clone)]
pub struct RetryBudget {
    credit: f64,
}

impl Default for RetryBudget {
    fn default() -> Self {
        Self { credit: MAX_RETRY_CREDIT }
    }
}

impl RetryBudget {
    /// Adds the credit for a first attempt.
    pub fn earn(&mut self) {
        self.credit = (self.credit + RETRY_CREDIT_PER_REQUEST).min(MAX_RETRY_CREDIT);
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
