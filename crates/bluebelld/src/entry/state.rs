//! State of an entry.

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

use super::held::Held;
use crate::shared::{ControlHandle, Shared};

/// State of an entry.
pub struct Entry {
    /// What the process shares.
    pub shared: Arc<Shared>,
    /// The control thread.
    pub control: ControlHandle,
    /// Requests that are held back.
    pub held: Arc<Held>,
    /// Budget for retries.
    pub budget: Mutex<RetryBudget>,
    /// Requests in flight by organisation.
    pub in_flight: Mutex<HashMap<OrgId, u32>>,
    /// Number of requests in flight.
    pub working: watch::Sender<u64>,
    attempts: AtomicU64,
}

/// Locks a mutex, also after a thread panicked under it.
pub fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl Entry {
    /// State at the start.
    pub fn new(shared: Arc<Shared>, control: ControlHandle) -> Arc<Self> {
        Arc::new(Self {
            held: Arc::new(Held::new(Arc::clone(&shared))),
            shared,
            control,
            budget: Mutex::default(),
            in_flight: Mutex::default(),
            working: watch::Sender::new(0),
            attempts: AtomicU64::new(0),
        })
    }

    /// Id of the next attempt of a request. The incarnation keeps a restarted entry's ids apart from its earlier ones.
    ///
    /// # Errors
    /// When the request's id is too long.
    pub fn next_attempt(&self, request: &RequestId) -> Result<AttemptId, IdError> {
        let number = self.attempts.fetch_add(1, Ordering::Relaxed);
        let salt = rendezvous::score(self.shared.config.instance.id.as_str(), &self.shared.incarnation.to_string());
        format!("{request}.{salt:x}.{number}").parse()
    }
}
