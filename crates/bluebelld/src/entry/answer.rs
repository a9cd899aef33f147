//! An answer on its way to a caller, over as many attempts as it takes.
//!
//! A refused attempt is tried at another runner. When a runner fails in the middle, the answer goes on from the
//! tokens that the caller has, on another runner of the same version; where there is none it ends with a typed
//! error, never silently short.

use std::time::Duration;

use bluebell_core::{
    billing::{BillRow, BillingEvent},
    gate::{RefusalReason, Work},
    ids::{InstanceId, VersionId},
    kernel::Input,
    retry::{Attempts, RetryStep},
    units::{Price, Tokens},
};
use bluebell_wire::messages::{Chat, Delta, FromSidecar, Payload, Prior, Usage};
use tokio::time::timeout;

use super::{
    attempt::{self, AttemptRequest, Conversation, Job, Setback},
    fault::{Fault, Ran},
    flow::Flow,
    state::lock,
};
use crate::metrics::Outcome;

/// Overloaded runners that are asked before the caller is told to come back.
const OVERLOAD_TRIES: u32 = 2;

/// A piece of an answer.
#[derive(Debug)]
pub enum Piece {
    /// More text.
    Delta(Delta),
    /// The answer is whole.
    Done(Usage),
}

/// What to answer.
pub struct Question {
    /// What all attempts share.
    pub job: Job,
    /// Version that answers.
    pub version: VersionId,
    /// Its price.
    pub price: Price,
    /// The caller's body.
    pub body: String,
    /// Tokens that the answer may have.
    pub max_tokens: Tokens,
    /// Whether the caller gets the answer piece by piece.
    pub stream: bool,
    /// Time that the whole answer may take.
    pub deadline: Duration,
}

/// An answer on its way.
pub struct Answer {
    flow: Flow,
    question: Question,
    tries: Attempts,
    tried: Vec<InstanceId>,
    overloads: u32,
    setback: Option<Setback>,
    talk: Option<Conversation>,
    prior: Prior,
    prompt: Tokens,
    billed: bool,
    suspect: bool,
    progress: bool,
}

impl Answer {
    /// An answer that has not begun.
    pub fn new(flow: Flow, question: Question) -> Self {
        lock(&flow.entry().budget).earn();
        Self {
            flow,
            question,
            tries: Attempts::default(),
            tried: Vec::new(),
            overloads: 0,
            setback: None,
            talk: None,
            prior: Prior::default(),
            prompt: Tokens::default(),
            billed: false,
            suspect: false,
            progress: false,
        }
    }

    /// The next piece.
    ///
    /// # Errors
    /// When the request can't be served, or not to its end.
    pub async fn next(&mut self) -> Result<Piece, Fault> {
        let result = self.advance().await;
        match &result {
            Ok(Piece::Delta(_)) => self.flow.first_token(),
            Ok(Piece::Done(_)) => self.end(Outcome::Served),
            Err(fault) if fault.ran() == Ran::No => self.end(Outcome::Refused),
            Err(_) => self.end(Outcome::Failed),
        }
        result
    }

    async fn advance(&mut self) -> Result<Piece, Fault> {
        loop {
            if self.talk.is_none() {
                self.begin().await?;
            }
            match self.receive().await? {
                Some(FromSidecar::Delta(delta)) => {
                    self.prior.text.push_str(&delta.text);
                    self.prior.output = self.prior.output + delta.tokens;
                    self.progress = true;
                    return Ok(Piece::Delta(delta));
                }
                Some(FromSidecar::Finished(usage)) => {
                    self.prompt = usage.prompt;
                    if let Some(talk) = &mut self.talk {
                        talk.over = true;
                        talk.link.record_success();
                        talk.link.update_load(usage.load);
                    }
                    return Ok(Piece::Done(Usage { output: self.prior.output, ..usage }));
                }
                Some(FromSidecar::Preempted) => self.preempted(),
                _ => self.fail_attempt()?,
            }
        }
    }

    // None when the attempt failed.
    async fn receive(&mut self) -> Result<Option<FromSidecar>, Fault> {
        let left = self.left()?;
        let stall = self.flow.entry().shared.config.timing.stall;
        let Some(talk) = self.talk.as_mut() else { return Ok(None) };
        match timeout(left.min(stall), talk.receive()).await {
            Ok(Ok(message)) => Ok(Some(message)),
            Ok(Err(error)) => {
                log::debug!("attempt at {} broke: {error}", talk.link.peer());
                Ok(None)
            }
            Err(_) => Ok(None),
        }
    }

    fn left(&self) -> Result<Duration, Fault> {
        let left = self.question.deadline.saturating_sub(self.flow.age());
        let ran = if self.prior.attempts > 0 { Ran::Yes } else { Ran::No };
        if left.is_zero() { Err(Fault::Deadline { ran }) } else { Ok(left) }
    }

    async fn begin(&mut self) -> Result<(), Fault> {
        loop {
            let deadline = self.left()?;
            let entry = self.flow.entry();
            let work = Work::Version(self.question.version.clone());
            let Some(link) = attempt::choose(entry, &work, &self.tried) else {
                return Err(self.give_up());
            };
            self.tried.push(link.peer().clone());
            self.tries.started += 1;
            let request = AttemptRequest {
                two_step: false,
                resumed: self.prior.attempts > 0,
                isolated: self.suspect,
                deadline,
                payload: self.payload(),
            };
            match attempt::ask(entry, link, &self.question.job, work, request).await {
                Ok((talk, _)) => {
                    self.prior.attempts += 1;
                    self.progress = false;
                    self.talk = Some(talk);
                    return Ok(());
                }
                Err(setback) => self.retry(setback)?,
            }
        }
    }

    fn payload(&self) -> Payload {
        Payload::Chat(Chat {
            body: self.question.body.clone(),
            max_tokens: self.question.max_tokens,
            prior: self.prior.clone(),
            price: self.question.price,
            buffered: !self.question.stream,
        })
    }

    // Nothing failed, so any runner will do, also the one that has just stopped it.
    fn preempted(&mut self) {
        if let Some(mut talk) = self.talk.take() {
            talk.over = true;
        }
        self.tried.clear();
    }

    fn fail_attempt(&mut self) -> Result<(), Fault> {
        if let Some(talk) = self.talk.take() {
            talk.link.eject(self.flow.entry().shared.clock.now());
        }
        // Those that had given something are likely innocent of the failure, and those that had not are few.
        self.suspect |= !self.progress;
        self.retry(Setback::Failed)
    }

    fn retry(&mut self, setback: Setback) -> Result<(), Fault> {
        let ended = setback.ended();
        self.log_setback(&setback);
        let last = self.is_last(&setback);
        self.setback = Some(setback);
        let entry = self.flow.entry();
        let step = self.tries.next_step(ended, &mut lock(&entry.budget));
        if last || step == RetryStep::GiveUp {
            return Err(self.give_up());
        }
        entry.shared.metrics.retry();
        Ok(())
    }

    fn log_setback(&self, setback: &Setback) {
        let job = &self.question.job;
        log::info!(
            request = job.request.as_str(),
            organisation = job.org.as_str(),
            version = self.question.version.as_str(),
            attempt = self.tries.started,
            sidecar = self.tried.last().map_or("", |sidecar| sidecar.as_str()),
            revision = *self.flow.entry().shared.revision.borrow();
            "attempt did not complete: {setback}"
        );
    }

    // Some refusals would be the same everywhere.
    fn is_last(&mut self, setback: &Setback) -> bool {
        let refusal = match setback {
            Setback::Refused(refusal) => refusal,
            Setback::Held(_) => return true,
            _ => return false,
        };
        match refusal.reason {
            RefusalReason::Withdrawn | RefusalReason::NotAllowed => true,
            RefusalReason::Overloaded | RefusalReason::Expired => {
                self.overloads += 1;
                self.overloads >= OVERLOAD_TRIES
            }
            _ => false,
        }
    }

    fn give_up(&self) -> Fault {
        if self.prior.attempts > 0 {
            return Fault::RunnerFailed { ran: Ran::Yes };
        }
        // Where a runner failed under it once, no later refusal makes it certain that it did not run.
        if !self.tries.none_ran() {
            return Fault::RunnerFailed { ran: Ran::Unknown };
        }
        match &self.setback {
            Some(Setback::Held(crashes)) => Fault::Held { crashes: *crashes },
            Some(Setback::Refused(refusal)) => Fault::Refused { refusal: refusal.clone() },
            _ => Fault::NoRunner { work: self.question.version.to_string() },
        }
    }

    fn end(&mut self, outcome: Outcome) {
        self.flow.end(outcome);
        self.bill();
    }

    // One row for all attempts; nothing is billed for a request that never started.
    fn bill(&mut self) {
        if self.billed || self.prior.attempts == 0 {
            return;
        }
        self.billed = true;
        let shared = &self.flow.entry().shared;
        if let Some(talk) = &self.talk {
            shared.links.set_billing_holder(self.question.job.request.clone(), talk.link.peer().clone());
        }
        let row = BillRow {
            request: self.question.job.request.clone(),
            org: self.question.job.org.clone(),
            version: self.question.version.clone(),
            priority: self.question.job.priority,
            prompt: self.prompt,
            output: self.prior.output,
            cost: self.question.price.of(self.prompt + self.prior.output),
            attempts: self.prior.attempts,
        };
        self.flow.entry().control.defer(Input::Billing(BillingEvent::Add(row)));
    }
}

impl Drop for Answer {
    fn drop(&mut self) {
        self.bill();
    }
}
