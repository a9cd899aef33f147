//! State of a sidecar.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use bluebell_core::{calls::CallRegistry, gate::GateEvent};
use tokio::sync::watch;

use crate::{
    config::Runner,
    shared::{ControlHandle, Shared},
};

/// State of a sidecar.
pub struct Sidecar {
    /// State shared by all threads of the process.
    pub shared: Arc<Shared>,
    /// Handle of the control thread.
    pub control: ControlHandle,
    /// Configuration of the runner.
    pub runner: Runner,
    /// HTTP client for requests to the runner.
    pub client: reqwest::Client,
    /// Registry of the two-step calls.
    pub calls: Mutex<CallRegistry>,
    /// Number of attempts in progress.
    pub in_progress: watch::Sender<u64>,
}

/// Counts an attempt as in progress until dropped, so that a shutdown waits for it.
pub struct WorkGuard(Arc<Sidecar>);

impl Sidecar {
    /// Locks the registry of the two-step calls.
    pub fn calls(&self) -> MutexGuard<'_, CallRegistry> {
        self.calls.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Passes an event to the admission gate.
    pub fn notify_gate(&self, event: GateEvent) {
        if let Some(admission) = &self.shared.admission {
            admission.notify(event);
        }
    }

    /// Counts an attempt as in progress until the returned guard is dropped.
    pub fn track_work(self: &Arc<Self>) -> WorkGuard {
        self.in_progress.send_modify(|count| *count += 1);
        WorkGuard(Arc::clone(self))
    }
}

impl Drop for WorkGuard {
    fn drop(&mut self) {
        self.0.in_progress.send_modify(|count| *count -= 1);
    }
}
