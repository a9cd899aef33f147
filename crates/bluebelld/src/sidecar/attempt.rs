//! State of one attempt and the messages about it to the entry and the admission gate.

use std::{sync::Arc, time::Duration};

use bluebell_core::{
    gate::{AdmissionRequest, GateEffect, GateEvent, Refusal},
    ids::{AttemptId, RequestId},
};
use bluebell_wire::{
    FrameReader, FrameWriter, WireError,
    messages::{FromSidecar, ToSidecar},
};
use tokio::sync::mpsc::UnboundedReceiver;

use super::{health, state::Sidecar};

/// An attempt with its channels to the entry and the admission gate.
pub struct Attempt {
    /// Sidecar that serves the attempt.
    pub sidecar: Arc<Sidecar>,
    /// Request that the attempt belongs to.
    pub request: RequestId,
    /// Input of the admission gate for this attempt.
    pub admission_request: AdmissionRequest,
    /// Remaining time for the whole attempt, as of its submission.
    pub time_limit: Duration,
    /// Messages to the entry.
    pub writer: FrameWriter<FromSidecar>,
    /// Messages from the entry.
    pub reader: FrameReader<ToSidecar>,
    /// Effects of the gate that concern this attempt.
    pub effects: UnboundedReceiver<GateEffect>,
}

impl Attempt {
    /// Id of the attempt.
    pub fn id(&self) -> &AttemptId {
        &self.admission_request.attempt
    }

    /// Passes an event to the admission gate.
    pub fn notify_gate(&self, event: GateEvent) {
        self.sidecar.notify_gate(event);
    }

    /// Frees the slot: the runner no longer works on the attempt.
    pub fn finish(&self) {
        self.notify_gate(GateEvent::Finish { attempt: self.id().clone() });
    }

    /// Ends the attempt in favour of work of higher priority. The output sent so far stays valid.
    pub async fn preempt(mut self: Box<Self>) -> Result<(), WireError> {
        self.finish();
        self.writer.finish(&FromSidecar::Preempted).await
    }

    /// Marks the runner as down, because it failed during the attempt or could not be reached, and frees the slot.
    pub fn runner_failed(&self) {
        health::runner_failed(&self.sidecar);
        self.finish();
    }

    /// Tells the entry that the runner failed during the attempt, and whether its process has exited.
    pub async fn send_failed(&mut self) -> Result<(), WireError> {
        let ended = health::has_ended(&self.sidecar).await;
        self.writer.finish(&FromSidecar::Failed { ended }).await
    }

    /// Tells the gate that the entry no longer waits for the attempt.
    pub fn abandon(&self) {
        self.notify_gate(GateEvent::Abandon { attempt: self.id().clone() });
    }

    /// Tells the entry that the attempt was refused and did not run.
    pub async fn refuse(mut self: Box<Self>, refusal: Refusal) -> Result<(), WireError> {
        self.writer.finish(&FromSidecar::Refused(refusal)).await
    }
}
