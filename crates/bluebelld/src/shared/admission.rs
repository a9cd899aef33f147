//! The admission gate, shared between threads. Traffic threads call it directly under a mutex that is held for one
//! event, without a detour through the control thread. The control thread passes it new settings. Each attempt receives
//! the gate's effects through a channel of its own.

use std::{
    collections::HashMap,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
};

use bluebell_core::{
    clock::Clock,
    gate::{AdmissionRequest, Gate, GateEffect, GateEvent},
    ids::AttemptId,
};
use tokio::sync::mpsc::{self, UnboundedReceiver, UnboundedSender};

struct State {
    gate: Gate,
    attempts: HashMap<AttemptId, UnboundedSender<GateEffect>>,
}

/// The admission gate in front of the runner, behind a mutex.
pub struct Admission {
    clock: Arc<dyn Clock>,
    state: Mutex<State>,
}

impl Admission {
    /// Wraps a gate.
    pub fn new(clock: Arc<dyn Clock>, gate: Gate) -> Self {
        Self { clock, state: Mutex::new(State { gate, attempts: HashMap::new() }) }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Fraction of the runner's slots in use, including the queue.
    pub fn load(&self) -> f32 {
        self.lock().gate.load()
    }

    /// Submits an attempt and returns the channel on which the gate's effects for it arrive.
    pub fn submit(&self, request: AdmissionRequest) -> UnboundedReceiver<GateEffect> {
        let (sender, receiver) = mpsc::unbounded_channel();
        let attempt = request.attempt.clone();
        let mut state = self.lock();
        // A duplicate id must not replace the channel of the attempt that already uses it.
        let known = state.attempts.contains_key(&attempt);
        if !known {
            state.attempts.insert(attempt.clone(), sender.clone());
        }
        for effect in state.gate.handle(self.clock.now(), GateEvent::Ask(request)) {
            match &effect {
                GateEffect::Refuse { attempt: refused, .. } if known && *refused == attempt => send(&sender, effect),
                _ => state.deliver(effect),
            }
        }
        receiver
    }

    /// Passes an event to the gate and delivers the resulting effects.
    pub fn notify(&self, event: GateEvent) {
        let ended = match &event {
            GateEvent::Finish { attempt } | GateEvent::Abandon { attempt } => Some(attempt.clone()),
            _ => None,
        };
        let mut state = self.lock();
        for effect in state.gate.handle(self.clock.now(), event) {
            state.deliver(effect);
        }
        if let Some(attempt) = ended {
            state.attempts.remove(&attempt);
        }
    }
}

impl State {
    fn deliver(&mut self, effect: GateEffect) {
        match &effect {
            GateEffect::Refuse { attempt, .. } => {
                if let Some(channel) = self.attempts.remove(attempt) {
                    send(&channel, effect);
                }
            }
            GateEffect::Reserve { attempt, .. } | GateEffect::Start { attempt } | GateEffect::Stop { attempt } => {
                if let Some(channel) = self.attempts.get(attempt) {
                    send(channel, effect);
                }
            }
        }
    }
}

fn send(channel: &UnboundedSender<GateEffect>, effect: GateEffect) {
    // If the attempt's task has already ended, it reports its end to the gate itself.
    let _ = channel.send(effect);
}
