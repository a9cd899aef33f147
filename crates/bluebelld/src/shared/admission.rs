//! The gate as traffic threads reach it: under a lock that is held for one decision, without a turn of the control
//! thread. The control thread tells it of settings; each attempt has a channel for what the gate says of it.

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

/// The gate before the runner.
pub struct Admission {
    clock: Arc<dyn Clock>,
    state: Mutex<State>,
}

impl Admission {
    /// A gate under a lock.
    pub fn new(clock: Arc<dyn Clock>, gate: Gate) -> Self {
        Self { clock, state: Mutex::new(State { gate, attempts: HashMap::new() }) }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Share of the runner's places in use, queue included.
    pub fn load(&self) -> f32 {
        self.lock().gate.load()
    }

    /// Asks to start an attempt; what the gate says of it comes on the channel.
    pub fn ask(&self, ask: AdmissionRequest) -> UnboundedReceiver<GateEffect> {
        let (sender, receiver) = mpsc::unbounded_channel();
        let attempt = ask.attempt.clone();
        let mut state = self.lock();
        // A repeated id must not take the channel of the attempt that is here already.
        let known = state.attempts.contains_key(&attempt);
        if !known {
            state.attempts.insert(attempt.clone(), sender.clone());
        }
        for effect in state.gate.handle(self.clock.now(), GateEvent::Ask(ask)) {
            match &effect {
                GateEffect::Refuse { attempt: refused, .. } if known && *refused == attempt => send(&sender, effect),
                _ => state.tell(effect),
            }
        }
        receiver
    }

    /// Tells the gate what happened.
    pub fn tell(&self, event: GateEvent) {
        let ended = match &event {
            GateEvent::Finish { attempt } | GateEvent::Abandon { attempt } => Some(attempt.clone()),
            _ => None,
        };
        let mut state = self.lock();
        for effect in state.gate.handle(self.clock.now(), event) {
            state.tell(effect);
        }
        if let Some(attempt) = ended {
            state.attempts.remove(&attempt);
        }
    }
}

impl State {
    fn tell(&mut self, effect: GateEffect) {
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
    // The task of the attempt may be gone; its end reaches the gate by itself.
    let _ = channel.send(effect);
}
