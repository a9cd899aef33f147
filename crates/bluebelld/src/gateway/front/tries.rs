//! A request in flight, and what was tried for it.

use std::{sync::Arc, time::Duration};

use bluebell_core::ids::{OrgId, RequestId, RouteId, UpstreamId};

use crate::{
    gateway::{attempt::Failure, job::Job, state::Gateway},
    metrics::Outcome,
};

/// Sends beyond the declared attempts after proofs that nothing ran.
const EXTRA_SENDS: u32 = 2;
/// A request in flight, counted until it is dropped; dropped before its end, its caller has left.
pub struct InFlight {
    gateway: Arc<Gateway>,
    request: RequestId,
    arrived: Duration,
    labels: Option<(Option<OrgId>, RouteId)>,
    progress: Progress,
    ended: bool,
}

/// How far an answer is.
#[derive(Debug, Clone, Default)]
pub struct Progress {
    /// Upstream that answers last.
    pub upstream: Option<UpstreamId>,
    /// Events that the caller has.
    pub events: u64,
    /// When the last of them came.
    pub heard: Duration,
}

impl InFlight {
    /// Begins to count a request.
    pub fn new(gateway: &Arc<Gateway>, request: RequestId) -> Self {
        gateway.working.send_modify(|count| *count += 1);
        Self {
            gateway: Arc::clone(gateway),
            request,
            arrived: gateway.now(),
            labels: None,
            progress: Progress::default(),
            ended: false,
        }
    }

    /// Names what the request is counted under.
    pub fn label(&mut self, job: &Job) {
        self.labels = Some((job.organisation.clone(), job.route.id.clone()));
    }

    /// The answer goes on.
    pub fn progress(&mut self, upstream: &UpstreamId, events: u64) {
        if self.progress.upstream.as_ref() != Some(upstream) {
            self.progress.upstream = Some(upstream.clone());
        }
        self.progress.events = events;
        self.progress.heard = self.gateway.now();
    }

    /// The caller has its answer, or what there is of it.
    pub fn end(&mut self, outcome: Outcome) {
        self.ended = true;
        self.count(outcome);
    }

    fn count(&self, outcome: Outcome) {
        if let Some((organisation, route)) = &self.labels {
            let took = self.gateway.now() - self.arrived;
            self.gateway.metrics.request(organisation.as_ref(), route, outcome, took);
        }
    }
}

impl Drop for InFlight {
    fn drop(&mut self) {
        self.gateway.working.send_modify(|count| *count -= 1);
        if !self.ended {
            self.count(Outcome::Abandoned);
            let now = self.gateway.now();
            let silent = now.saturating_sub(self.progress.heard.max(self.arrived));
            log::info!(
                request = self.request.as_str(),
                upstream = self.progress.upstream.as_ref().map_or("", UpstreamId::as_str),
                events = self.progress.events,
                silent_ms = silent.as_millis() as u64,
                waited_ms = (now - self.arrived).as_millis() as u64;
                "caller left before its answer was whole"
            );
        }
    }
}

/// What was tried for a request.
#[derive(Debug, Default)]
pub struct Tries {
    /// Upstreams that it was sent to.
    pub upstreams: Vec<UpstreamId>,
    /// Sends whose outcome is unknown, or that ran.
    pub ran: u32,
    /// Sends proven not to have run.
    pub refused: u32,
    /// Why the last one failed.
    pub reason: String,
    /// Pause that an upstream asked for.
    pub pause: Option<Duration>,
    /// Upstreams that ended under it and its repeats, where it is held back for that.
    pub crashes: Option<u32>,
}

impl Tries {
    /// Takes a failure; tells whether it may have run.
    pub fn note(&mut self, failure: Failure) -> bool {
        match failure {
            Failure::NotRun { reason, pause, .. } => {
                self.refused += 1;
                self.reason = reason;
                self.pause = pause;
                false
            }
            Failure::Unknown { reason, .. } => {
                self.ran += 1;
                self.reason = reason;
                true
            }
        }
    }

    /// The request is held back, since upstreams end under it.
    pub fn hold(&mut self, crashes: u32) {
        self.reason = format!("{crashes} upstreams ended under it, it is held back");
        self.crashes = Some(crashes);
    }

    /// Whether another send is allowed, its budget aside.
    #[must_use]
    pub fn may_send(&self, job: &Job) -> bool {
        let repeats = self.ran == 0 || job.route.repeat.may_repeat();
        repeats && self.ran < job.route.attempts && self.ran + self.refused < job.route.attempts + EXTRA_SENDS
    }

    /// Sends so far.
    #[must_use]
    pub fn sends(&self) -> u32 {
        self.ran + self.refused
    }
}
