//! State shared by all requests of an entry.

use std::{
    collections::HashMap,
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicU64, Ordering},
    },
};

use bluebell_core::{
    ids::{AttemptId, IdError, OrgId, RequestId},
    retry::RetryBudget,
    routing::rendezvous,
};
use tokio::sync::watch;

use super::poison::PoisonTracker;
use crate::shared::{ControlHandle, Shared};

/// State shared by all requests of an entry.
pub struct Entry {
    /// State shared by all parts of the process.
    pub shared: Arc<Shared>,
    /// Handle of the control thread.
    pub control: ControlHandle,
    /// Tracker of poison requests.
    pub poison: Arc<PoisonTracker>,
    /// Retry budget of this entry.
    pub retry_budget: Mutex<RetryBudget>,
    /// Number of requests in flight by organisation.
    pub in_flight_by_org: Mutex<HashMap<OrgId, u32>>,
    /// Number of requests in flight and of replies being stored, which a graceful shutdown waits for.
    pub active_work: watch::Sender<u64>,
    attempt_counter: AtomicU64,
}

/// Locks a mutex, ignoring poisoning by a thread that panicked while it held the lock.
pub fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl Entry {
    /// Creates the initial state.
    pub fn new(shared: Arc<Shared>, control: ControlHandle) -> Arc<Self> {
        Arc::new(Self {
            poison: Arc::new(PoisonTracker::new(Arc::clone(&shared))),
            shared,
            control,
            retry_budget: Mutex::default(),
            in_flight_by_org: Mutex::default(),
            active_work: watch::Sender::new(0),
            attempt_counter: AtomicU64::new(0),
        })
    }

    /// Returns the id of the next attempt of a request. It includes a hash of the entry's incarnation, so that ids
    /// don't repeat after a restart.
    ///
    /// # Errors
    /// If the request id is too long.
    pub fn next_attempt_id(&self, request: &RequestId) -> Result<AttemptId, IdError> {
        let number = self.attempt_counter.fetch_add(1, Ordering::Relaxed);
        let salt = rendezvous::score(self.shared.config.instance.id.as_str(), &self.shared.incarnation.to_string());
        format!("{request}.{salt:x}.{number}").parse()
    }
}
