//! Tracking of a request in flight, and the history of its attempts.

use std::{sync::Arc, time::Duration};

use bluebell_core::{
    ids::{OrgId, RequestId, RouteId, UpstreamId},
    poison::Fingerprint,
};

use super::takeover::InFlightSince;
use crate::{
    gateway::{attempt::Failure, job::Job, state::Gateway, traffic::UpstreamWait},
    metrics::Outcome,
};

const CALLER_LEFT: &str = "caller left before its answer was whole";

/// Additional sends allowed beyond the route's maximum attempts, for sends that certainly did not run.
const EXTRA_SENDS: u32 = 2;

/// Counts a request as in flight until dropped. If it is dropped before [`InFlight::end`], the caller has disconnected,
/// and the request counts as abandoned.
pub struct InFlight {
    gateway: Arc<Gateway>,
    request: RequestId,
    arrived: Duration,
    labels: Option<(Option<OrgId>, RouteId)>,
    progress: Progress,
    ended: bool,
}

/// Progress of an answer.
#[derive(Debug, Clone, Default)]
pub struct Progress {
    /// Upstream that sent the last events.
    pub upstream: Option<UpstreamId>,
    /// Number of events forwarded to the caller.
    pub events: u64,
    /// When the last of them arrived.
    pub last_event_at: Duration,
}

impl InFlight {
    /// Starts to count a request.
    pub fn new(gateway: &Arc<Gateway>, request: RequestId) -> Self {
        gateway.in_flight.send_modify(|count| *count += 1);
        Self {
            gateway: Arc::clone(gateway),
            request,
            arrived: gateway.now(),
            labels: None,
            progress: Progress::default(),
            ended: false,
        }
    }

    /// Sets the metric labels of the request. Without them, it is not counted in the metrics.
    pub fn set_labels(&mut self, job: &Job) {
        self.labels = Some((job.organisation.clone(), job.route.id.clone()));
    }

    /// Records the number of events that were forwarded so far, and the upstream that sent the last ones.
    pub fn record_progress(&mut self, upstream: &UpstreamId, events: u64) {
        if self.progress.upstream.as_ref() != Some(upstream) {
            self.progress.upstream = Some(upstream.clone());
        }
        self.progress.events = events;
        self.progress.last_event_at = self.gateway.now();
    }

    /// Records the outcome once the answer is complete or has failed.
    pub fn end(&mut self, outcome: Outcome) {
        self.ended = true;
        self.count(outcome);
    }

    fn count(&self, outcome: Outcome) {
        if let Some((organisation, route)) = &self.labels {
            let took = self.gateway.now() - self.arrived;
            self.gateway.metrics.record_request(organisation.as_ref(), route, outcome, took);
        }
    }
}

impl Drop for InFlight {
    fn drop(&mut self) {
        self.gateway.in_flight.send_modify(|count| *count -= 1);
        if !self.ended {
            self.count(Outcome::Abandoned);
            let now = self.gateway.now();
            let silent = now.saturating_sub(self.progress.last_event_at.max(self.arrived));
            log::info!(
                request = self.request.as_str(),
                upstream = self.progress.upstream.as_ref().map_or("", UpstreamId::as_str),
                events = self.progress.events,
                silent_ms = silent.as_millis() as u64,
                waited_ms = (now - self.arrived).as_millis() as u64;
                "{}", if *self.gateway.aborted.borrow() { "given up before its answer was whole" } else { CALLER_LEFT }
            );
        }
    }
}

/// A request, or a part of its prompt, that is blocked.
#[derive(Debug, Clone, Copy)]
pub struct BlockedCause {
    /// Fingerprint of the request or of the part.
    pub fingerprint: Fingerprint,
    /// Number of upstreams that crashed.
    pub crashes: u32,
}

/// Results of the attempts at a request so far.
#[derive(Debug, Default)]
pub struct AttemptHistory {
    /// Upstreams that were tried.
    pub upstreams: Vec<UpstreamId>,
    /// Number of sends that ran or whose outcome is unknown.
    pub maybe_ran: u32,
    /// Number of sends that certainly did not run.
    pub not_run: u32,
    /// Why the last attempt failed.
    pub reason: String,
    /// Retry delay requested by the upstream that refused last.
    pub retry_after: Option<Duration>,
    /// Why the request is blocked, if it is.
    pub blocked: Option<BlockedCause>,
    /// The upstream that is the first to take requests again, if the request was given up because none takes one now.
    pub wait: Option<UpstreamWait>,
    /// Time after which its caller is to come back, if that depends on the rate limits of upstreams.
    pub return_in: Option<Duration>,
}

impl AttemptHistory {
    /// Records a failed attempt. Returns whether the request may have run.
    pub fn record_failure(&mut self, failure: Failure) -> bool {
        match failure {
            Failure::NotRun { reason, retry_after, .. } => {
                self.not_run += 1;
                self.reason = reason;
                self.retry_after = retry_after;
                false
            }
            Failure::Unknown { reason, .. } => {
                self.maybe_ran += 1;
                self.reason = reason;
                true
            }
        }
    }

    /// Counts an attempt that was cancelled. It may have run if it was in flight.
    pub fn count_cancelled(&mut self, in_flight_since: &InFlightSince) {
        self.maybe_ran += u32::from(in_flight_since.borrow().is_some());
    }

    /// Marks the request as blocked because upstreams crashed while they ran it, its repeats, or requests with a part of
    /// its prompt.
    pub fn block(&mut self, cause: BlockedCause) {
        self.reason = if cause.fingerprint.is_part() {
            format!("{} upstreams crashed under requests with a part of its prompt, the part is blocked", cause.crashes)
        } else {
            format!("{} upstreams ended under it, it is held back", cause.crashes)
        };
        self.blocked = Some(cause);
    }

    /// Whether the limits on attempts allow another send. The retry budget is checked separately.
    #[must_use]
    pub fn may_send(&self, job: &Job) -> bool {
        let is_repeatable = self.maybe_ran == 0 || job.route.repeat.may_repeat();
        is_repeatable
            && self.maybe_ran < job.route.attempts
            && self.maybe_ran + self.not_run < job.route.attempts + EXTRA_SENDS
    }

    /// Whether the limits on attempts would allow another send if the attempt in progress were lost.
    #[must_use]
    pub fn may_send_after_loss(&self, job: &Job) -> bool {
        job.route.repeat.may_repeat()
            && self.maybe_ran + 1 < job.route.attempts
            && self.sends() + 1 < job.route.attempts + EXTRA_SENDS
    }

    /// Number of sends so far.
    #[must_use]
    pub fn sends(&self) -> u32 {
        self.maybe_ran + self.not_run
    }
}
