//! One attempt at the runner, with its conversation.

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

/// An attempt with its conversation.
pub struct Attempt {
    /// The sidecar.
    pub sidecar: Arc<Sidecar>,
    /// The request it belongs to.
    pub request: RequestId,
    /// What the gate decided on.
    pub ask: AdmissionRequest,
    /// Time left for the whole attempt.
    pub deadline: Duration,
    /// To the entry.
    pub writer: FrameWriter<FromSidecar>,
    /// From the entry.
    pub reader: FrameReader<ToSidecar>,
    /// From the gate.
    pub effects: UnboundedReceiver<GateEffect>,
}

impl Attempt {
    /// Id of the attempt.
    pub fn id(&self) -> &AttemptId {
        &self.ask.attempt
    }

    /// Tells the gate about this attempt.
    pub fn tell(&self, event: GateEvent) {
        self.sidecar.tell(event);
    }

    /// Tells the gate that the runner is done.
    pub fn finish(&self) {
        self.tell(GateEvent::Finish { attempt: self.id().clone() });
    }

    /// Gives the place back for more urgent work; what was given stands.
    pub async fn give_way(mut self: Box<Self>) -> Result<(), WireError> {
        self.finish();
        self.writer.finish(&FromSidecar::Preempted).await
    }

    /// Tells the gate that the runner failed or could not be reached under the attempt.
    pub fn fail(&self) {
        health::runner_failed(&self.sidecar);
        self.finish();
    }

    /// Says that the runner failed under the attempt, and whether it ended.
    pub async fn report_failure(&mut self) -> Result<(), WireError> {
        let ended = health::has_ended(&self.sidecar).await;
        self.writer.finish(&FromSidecar::Failed { ended }).await
    }

    /// Tells the gate that nobody waits for the attempt.
    pub fn abandon(&self) {
        self.tell(GateEvent::Abandon { attempt: self.id().clone() });
    }

    /// Says that the attempt did not run.
    pub async fn refuse(mut self: Box<Self>, refusal: Refusal) -> Result<(), WireError> {
        self.writer.finish(&FromSidecar::Refused(refusal)).await
    }
}
