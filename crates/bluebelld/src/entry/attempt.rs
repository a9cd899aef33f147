//! One attempt at one sidecar: choosing the sidecar, asking, and what came of it.

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

use super::{held::Held, state::Entry};
use crate::shared::{InFlightGuard, Link};

/// Time beyond the patience of an attempt that its sidecar has to say so.
const ANSWER_MARGIN: Duration = Duration::from_millis(500);

/// What all attempts of a request share.
#[derive(Debug, Clone)]
pub struct Job {
    /// The request.
    pub request: RequestId,
    /// Organisation it is for.
    pub org: OrgId,
    /// Branch whose policy holds.
    pub branch: BranchId,
    /// Its rank.
    pub priority: Priority,
    /// Expected work, in tokens.
    pub cost: u64,
    /// Longest time that an attempt may wait for a place.
    pub patience: Duration,
    /// What it has in common with its repeats.
    pub fingerprint: Fingerprint,
}

/// How an attempt that gave nothing ended.
#[derive(Debug, Clone, PartialEq)]
pub enum Setback {
    /// The sidecar refused: it did not run.
    Refused(Refusal),
    /// The sidecar could not be reached: it did not run.
    Unreached,
    /// The connection failed before the sidecar said that the runner has it.
    Lost,
    /// The runner failed under it.
    Failed,
    /// It is held back and did not run, since so many runners ended under it and its repeats.
    Held(u32),
}

impl fmt::Display for Setback {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Refused(refusal) => write!(f, "refused, {}", refusal.reason),
            Self::Unreached => f.write_str("sidecar not reached"),
            Self::Lost => f.write_str("connection lost"),
            Self::Failed => f.write_str("runner failed"),
            Self::Held(crashes) => write!(f, "held back, {crashes} runners ended under it"),
        }
    }
}

impl Setback {
    /// The setback as the retry policy sees it.
    pub fn ended(&self) -> AttemptFailure {
        match self {
            Self::Refused(_) | Self::Unreached | Self::Held(_) => AttemptFailure::Refused,
            Self::Lost => AttemptFailure::Lost,
            Self::Failed => AttemptFailure::Failed,
        }
    }
}

/// An open conversation about one attempt.
pub struct Conversation {
    /// Where it runs.
    pub link: Arc<Link>,
    /// From the sidecar.
    pub reader: FrameReader<FromSidecar>,
    /// To the sidecar.
    pub writer: FrameWriter<ToSidecar>,
    /// Whether the sidecar has said its last word.
    pub over: bool,
    held: Arc<Held>,
    fingerprint: Fingerprint,
    _use: InFlightGuard,
}

impl Conversation {
    /// The sidecar's next message.
    ///
    /// # Errors
    /// When the connection broke.
    pub async fn receive(&mut self) -> Result<FromSidecar, WireError> {
        let message = self.reader.expect().await?;
        match &message {
            FromSidecar::Failed { ended: true } => self.held.crashed(self.fingerprint, self.link.peer()),
            FromSidecar::Finished(_) | FromSidecar::Reply(_) => self.held.answered(self.fingerprint),
            _ => {}
        }
        Ok(message)
    }
}

impl Drop for Conversation {
    // A sidecar that has not ended the attempt sees that nobody listens any more.
    fn drop(&mut self) {
        if self.over {
            self.writer.close();
        } else {
            self.writer.reset();
        }
    }
}

/// Chooses a sidecar that serves a version or service and has not been tried.
pub fn choose(entry: &Entry, work: &Work, tried: &[InstanceId]) -> Option<Arc<Link>> {
    let now = entry.shared.clock.now();
    let zone = &entry.shared.config.instance.zone;
    let subset = entry.shared.subset.load();
    let known = subset.by_target.get(work.name())?;
    let links: Vec<Arc<Link>> = known
        .iter()
        .filter(|peer| !tried.contains(peer))
        .filter_map(|peer| entry.shared.links.get(peer))
        .filter(|link| link.is_available(now))
        .collect();
    let loads: Vec<Load> = links.iter().map(|link| link.load(zone)).collect();
    routing::pick_two(&loads, &mut rand::rng()).map(|at| Arc::clone(&links[at]))
}

/// Asks a sidecar to start an attempt, or to reserve a place for it; gives the conversation and its first answer.
///
/// # Errors
/// When the attempt did not start.
pub async fn ask(
    entry: &Entry,
    link: Arc<Link>,
    job: &Job,
    work: Work,
    request: AttemptRequest,
) -> Result<(Conversation, FromSidecar), Setback> {
    if let Some(crashes) = entry.held.crashes(&job.fingerprint) {
        return Err(Setback::Held(crashes));
    }
    let attempt = entry.next_attempt(&job.request).map_err(|_| Setback::Unreached)?;
    let connection = link.connection().ok_or(Setback::Unreached)?;
    let in_use = link.begin_request();
    // An answer that was begun waits for its rest as long as there is time.
    let patience = if request.resumed { request.deadline } else { job.patience };
    let ask = AdmissionRequest {
        attempt,
        org: job.org.clone(),
        branch: job.branch.clone(),
        work,
        priority: job.priority,
        cost: job.cost,
        max_wait: patience,
        two_step: request.two_step,
        resumed: request.resumed,
        isolated: request.isolated,
    };
    let task = Task { request: job.request.clone(), ask, deadline: request.deadline, payload: request.payload };
    let now = entry.shared.clock.now();
    let opened = connection.stream(Route::Run).await;
    let (writer, reader) = opened.map_err(|error| {
        log::debug!("{} can't be asked: {error}", link.peer());
        link.eject(now);
        Setback::Unreached
    })?;
    let (held, fingerprint) = (Arc::clone(&entry.held), job.fingerprint);
    let mut talk = Conversation { link, reader, writer, over: false, held, fingerprint, _use: in_use };
    if talk.writer.send(&ToSidecar::Submit(Box::new(task))).await.is_err() {
        talk.link.eject(now);
        return Err(Setback::Lost);
    }
    let Ok(Ok(first)) = timeout(patience + ANSWER_MARGIN, talk.receive()).await else {
        talk.link.eject(now);
        return Err(Setback::Lost);
    };
    match first {
        FromSidecar::Refused(refusal) => Err(Setback::Refused(refusal)),
        FromSidecar::Failed { .. } => Err(Setback::Failed),
        other => Ok((talk, other)),
    }
}

/// What differs between attempts of one request.
pub struct AttemptRequest {
    /// Whether it runs only on a second order.
    pub two_step: bool,
    /// Whether it goes on with an answer that the caller has a part of.
    pub resumed: bool,
    /// Whether it runs with nothing beside it.
    pub isolated: bool,
    /// Time left.
    pub deadline: Duration,
    /// What to send to the runner.
    pub payload: Payload,
}
