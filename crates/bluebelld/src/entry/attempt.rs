//! A single attempt at a sidecar: picks the sidecar, starts the attempt and reports why it failed.

use std::{fmt, sync::Arc, time::Duration};

use bluebell_core::{
    gate::{AdmissionRequest, Refusal, Work},
    ids::{BranchId, InstanceId, OrgId, RequestId},
    poison::Fingerprint,
    retry::AttemptFailure,
    routing::{self, Load},
    units::Priority,
};
use bluebell_wire::{
    FrameReader, FrameWriter, Route, WireError,
    messages::{FromSidecar, Payload, Task, ToSidecar},
};
use tokio::time::timeout;

use super::{poison::PoisonTracker, state::Entry};
use crate::shared::{InFlightGuard, Link};

/// Extra time, beyond an attempt's maximum wait in the queue, for the sidecar's first message to arrive.
const FIRST_MESSAGE_MARGIN: Duration = Duration::from_millis(500);

/// Properties of a request that are the same for all its attempts.
#[derive(Debug, Clone)]
pub struct Job {
    /// Id of the request.
    pub request_id: RequestId,
    /// Organisation that the request belongs to.
    pub org: OrgId,
    /// Settings branch whose policy applies.
    pub branch: BranchId,
    /// Scheduling priority.
    pub priority: Priority,
    /// Estimated cost in tokens.
    pub cost: u64,
    /// Longest time that an attempt may wait in the sidecar's queue for a slot.
    pub max_wait: Duration,
    /// Fingerprint by which repeats of the request are recognised.
    pub fingerprint: Fingerprint,
}

/// Why an attempt did not complete.
#[derive(Debug, Clone, PartialEq)]
pub enum AttemptError {
    /// The sidecar refused the attempt, which did not run.
    Refused(Refusal),
    /// The sidecar could not be reached; the attempt did not run.
    Unreachable,
    /// The connection failed before the sidecar confirmed that the attempt had started; it may have run.
    ConnectionLost,
    /// The runner failed during the attempt.
    RunnerFailed,
    /// The request is blocked as poison and did not run. Holds the number of runners that crashed while running it or
    /// its repeats.
    Blocked(u32),
}

impl fmt::Display for AttemptError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Refused(refusal) => write!(f, "refused: {}", refusal.reason),
            Self::Unreachable => f.write_str("sidecar unreachable"),
            Self::ConnectionLost => f.write_str("connection lost"),
            Self::RunnerFailed => f.write_str("runner failed"),
            Self::Blocked(crashes) => write!(f, "blocked because {crashes} runners crashed while running it"),
        }
    }
}

impl AttemptError {
    /// The failure as classified by the retry policy.
    pub fn failure(&self) -> AttemptFailure {
        match self {
            Self::Refused(_) | Self::Unreachable | Self::Blocked(_) => AttemptFailure::Refused,
            Self::ConnectionLost => AttemptFailure::Lost,
            Self::RunnerFailed => AttemptFailure::Failed,
        }
    }
}

/// Message stream to the sidecar that runs an attempt. Dropping it before the attempt has ended cancels the attempt.
pub struct AttemptStream {
    /// Link to the sidecar.
    pub link: Arc<Link>,
    /// Messages from the sidecar.
    pub reader: FrameReader<FromSidecar>,
    /// Messages to the sidecar.
    pub writer: FrameWriter<ToSidecar>,
    /// Whether the sidecar has sent its last message.
    pub ended: bool,
    poison: Arc<PoisonTracker>,
    fingerprint: Fingerprint,
    _in_use: InFlightGuard,
}

impl AttemptStream {
    /// Receives the sidecar's next message, and updates the crash records of the request if the runner crashed or the
    /// request was answered.
    ///
    /// # Errors
    /// If the connection failed.
    pub async fn receive(&mut self) -> Result<FromSidecar, WireError> {
        let message = self.reader.expect().await?;
        match &message {
            FromSidecar::Failed { ended: true } => self.poison.record_crash(self.fingerprint, self.link.peer()),
            FromSidecar::Finished(_) | FromSidecar::Reply(_) => self.poison.record_answer(self.fingerprint),
            _ => {}
        }
        Ok(message)
    }
}

impl Drop for AttemptStream {
    // Resetting the stream tells a sidecar that is still running the attempt that its output is no longer wanted.
    fn drop(&mut self) {
        if self.ended {
            self.writer.close();
        } else {
            self.writer.reset();
        }
    }
}

/// Picks an untried sidecar that serves a version or service: the better of two random ones by load and zone.
pub fn pick_sidecar(entry: &Entry, work: &Work, tried: &[InstanceId]) -> Option<Arc<Link>> {
    let now = entry.shared.clock.now();
    let zone = &entry.shared.config.instance.zone;
    let subset = entry.shared.subset.load();
    let candidates = subset.by_target.get(work.name())?;
    let links: Vec<Arc<Link>> = candidates
        .iter()
        .filter(|peer| !tried.contains(peer))
        .filter_map(|peer| entry.shared.links.get(peer))
        .filter(|link| link.is_available(now))
        .collect();
    let loads: Vec<Load> = links.iter().map(|link| link.load(zone)).collect();
    routing::pick_two(&loads, &mut rand::rng()).map(|index| Arc::clone(&links[index]))
}

/// Asks a sidecar to start an attempt, or to reserve a slot for it. Returns the message stream and the sidecar's first
/// message.
///
/// # Errors
/// If the attempt did not start, or its start was not confirmed.
pub async fn start(
    entry: &Entry,
    link: Arc<Link>,
    job: &Job,
    work: Work,
    request: AttemptRequest,
) -> Result<(AttemptStream, FromSidecar), AttemptError> {
    if let Some(crashes) = entry.poison.blocking_crashes(&job.fingerprint) {
        return Err(AttemptError::Blocked(crashes));
    }
    let attempt = entry.next_attempt_id(&job.request_id).map_err(|_| AttemptError::Unreachable)?;
    let connection = link.connection().ok_or(AttemptError::Unreachable)?;
    let in_use = link.begin_request();
    // The caller already has part of a resumed answer, so the attempt may wait for a slot until the request's deadline.
    let max_wait = if request.resumed { request.time_left } else { job.max_wait };
    let admission = AdmissionRequest {
        attempt,
        org: job.org.clone(),
        branch: job.branch.clone(),
        work,
        priority: job.priority,
        cost: job.cost,
        max_wait,
        two_step: request.two_step,
        resumed: request.resumed,
        isolated: request.isolated,
    };
    let task =
        Task { request: job.request_id.clone(), ask: admission, deadline: request.time_left, payload: request.payload };
    let now = entry.shared.clock.now();
    let opened = connection.stream(Route::Run).await;
    let (writer, reader) = opened.map_err(|error| {
        log::debug!("can't open a stream to sidecar {}: {error}", link.peer());
        link.eject(now);
        AttemptError::Unreachable
    })?;
    let (poison, fingerprint) = (Arc::clone(&entry.poison), job.fingerprint);
    let mut stream = AttemptStream { link, reader, writer, ended: false, poison, fingerprint, _in_use: in_use };
    if stream.writer.send(&ToSidecar::Submit(Box::new(task))).await.is_err() {
        stream.link.eject(now);
        return Err(AttemptError::ConnectionLost);
    }
    let Ok(Ok(first_message)) = timeout(max_wait + FIRST_MESSAGE_MARGIN, stream.receive()).await else {
        stream.link.eject(now);
        return Err(AttemptError::ConnectionLost);
    };
    match first_message {
        FromSidecar::Refused(refusal) => Err(AttemptError::Refused(refusal)),
        FromSidecar::Failed { .. } => Err(AttemptError::RunnerFailed),
        other => Ok((stream, other)),
    }
}

/// Properties that may differ between the attempts of a request.
pub struct AttemptRequest {
    /// Whether a slot is only reserved at first, and the attempt runs when the reservation is executed.
    pub two_step: bool,
    /// Whether the attempt continues an answer that the caller has already received in part.
    pub resumed: bool,
    /// Whether to run the attempt with no other attempt on the runner.
    pub isolated: bool,
    /// Remaining time of the request.
    pub time_left: Duration,
    /// Request to send to the runner.
    pub payload: Payload,
}
