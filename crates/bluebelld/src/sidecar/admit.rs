//! Admission of an attempt: the admission gate decides whether and when it starts.

use std::{sync::Arc, time::Duration};

use bluebell_core::{
    gate::{GateEffect, GateEvent, Refusal, RefusalReason},
    ids::Permit,
    intent::Reservation,
};
use bluebell_wire::{
    Incoming, WireError,
    messages::{FromSidecar, Payload, Task, ToSidecar},
};

use super::{attempt::Attempt, engine, service, state::Sidecar};

/// Serves a [`Run`](bluebell_wire::Route::Run) stream: one attempt, from its submission to its last message.
///
/// # Errors
/// When the connection fails.
pub async fn serve(sidecar: &Arc<Sidecar>, incoming: Incoming) -> Result<(), WireError> {
    let _work = sidecar.track_work();
    let (mut reader, writer) = incoming.accept::<ToSidecar, FromSidecar>()?;
    let ToSidecar::Submit(task) = reader.expect().await? else {
        return Err(WireError::Closed);
    };
    let Some(admission) = &sidecar.shared.admission else {
        return Err(WireError::Closed);
    };
    let Task { request, ask, deadline, payload } = *task;
    let effects = admission.submit(ask.clone());
    let sidecar = Arc::clone(sidecar);
    let attempt = Attempt { sidecar, request, admission_request: ask, time_limit: deadline, writer, reader, effects };
    Box::new(attempt).admit(payload).await
}

impl Attempt {
    async fn admit(mut self: Box<Self>, payload: Payload) -> Result<(), WireError> {
        let effect = tokio::select! {
            effect = self.effects.recv() => effect,
            () = self.writer.closed() => None,
        };
        match effect {
            Some(GateEffect::Start { .. }) => self.run(payload).await,
            Some(GateEffect::Reserve { permit, .. }) => self.wait_for_execute(permit, payload).await,
            Some(GateEffect::Refuse { refusal, .. }) => self.refuse(refusal).await,
            Some(GateEffect::Stop { .. }) | None => {
                self.abandon();
                Ok(())
            }
        }
    }

    async fn run(mut self: Box<Self>, payload: Payload) -> Result<(), WireError> {
        if self.writer.send(&FromSidecar::Started).await.is_err() {
            self.abandon();
            return Ok(());
        }
        match payload {
            Payload::Chat(chat) => engine::run(self, chat).await,
            Payload::Call(call) => service::run(self, call).await,
        }
    }

    async fn wait_for_execute(mut self: Box<Self>, permit: Permit, payload: Payload) -> Result<(), WireError> {
        let now = self.sidecar.shared.clock.now();
        self.sidecar.calls().reserve(self.id(), now);
        let reservation = Reservation {
            attempt: self.id().clone(),
            sidecar: self.sidecar.shared.config.instance.id.clone(),
            incarnation: self.sidecar.shared.incarnation,
            permit,
        };
        if self.writer.send(&FromSidecar::Reserved(reservation)).await.is_err() {
            return self.cancel();
        }
        // The gate may revoke the reservation before the `Execute` message arrives.
        let message = tokio::select! {
            message = self.reader.next() => message,
            effect = self.effects.recv() => return self.reservation_revoked(effect).await,
        };
        match message {
            Ok(Some(ToSidecar::Execute(permit))) => self.execute(permit, payload).await,
            _ => self.cancel(),
        }
    }

    async fn execute(mut self: Box<Self>, permit: Permit, payload: Payload) -> Result<(), WireError> {
        if !self.sidecar.calls().start(self.id()) {
            self.abandon();
            return self.refuse(Refusal::new(RefusalReason::NoReservation, Duration::ZERO)).await;
        }
        self.notify_gate(GateEvent::Go { attempt: self.id().clone(), permit });
        match self.effects.recv().await {
            Some(GateEffect::Start { .. }) => self.run(payload).await,
            effect => self.reservation_revoked(effect).await,
        }
    }

    async fn reservation_revoked(self: Box<Self>, effect: Option<GateEffect>) -> Result<(), WireError> {
        self.sidecar.calls().mark_not_run(self.id(), self.sidecar.shared.clock.now());
        match effect {
            Some(GateEffect::Refuse { refusal, .. }) => self.refuse(refusal).await,
            _ => self.cancel(),
        }
    }

    fn cancel(self: Box<Self>) -> Result<(), WireError> {
        self.sidecar.calls().cancel(self.id(), self.sidecar.shared.clock.now());
        self.abandon();
        Ok(())
    }
}
