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
    /// What the process shares.
    pub shared: Arc<Shared>,
    /// The control thread.
    pub control: ControlHandle,
    /// The runner.
    pub runner: Runner,
    /// Client of the runner.
    pub client: reqwest::Client,
    /// Calls that run only on a second order.
    pub calls: Mutex<CallRegistry>,
    /// Number of attempts in progress.
    pub working: watch::Sender<u64>,
}

/// Counts as work in progress until dropped, so that a planned stop waits for it.
pub struct Work(Arc<Sidecar>);

impl Sidecar {
    /// Calls that run only on a second order.
    pub fn calls(&self) -> MutexGuard<'_, CallRegistry> {
        self.calls.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Tells the gate what happened.
    pub fn tell(&self, event: GateEvent) {
        if let Some(admission) = &self.shared.admission {
            admission.tell(event);
        }
    }

    /// Counts an attempt until the result is dropped.
    pub fn work(self: &Arc<Self>) -> Work {
        self.working.send_modify(|count| *count += 1);
        Work(Arc::clone(self))
    }
}

impl Drop for Work {
    fn drop(&mut self) {
        self.0.working.send_modify(|count| *count -= 1);
    }
}
