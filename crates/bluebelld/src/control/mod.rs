//! The control thread: it alone holds the kernel, takes one input after the other, and starts what the effects ask
//! for. Input and output it starts run as tasks of the same thread and come back as inputs.

mod effects;
mod handle;
mod timers;

use std::{collections::HashMap, sync::Arc, thread::JoinHandle};

use bluebell_core::{
    gate::{GateEffect, GateEvent},
    ids::AttemptId,
    kernel::{Effect, Input, Kernel},
};
pub use handle::{Command, ControlHandle};
use snafu::ResultExt;
use tokio::{
    sync::mpsc,
    task::{LocalSet, spawn_local},
};

use crate::{
    error::{DaemonError, RuntimeSnafu},
    shared::Shared,
};

/// Commands taken before effects are looked at again.
const BATCH: usize = 256;

/// State of the control thread.
pub(crate) struct Control {
    shared: Arc<Shared>,
    handle: ControlHandle,
    kernel: Kernel,
    attempts: HashMap<AttemptId, mpsc::UnboundedSender<GateEffect>>,
}

/// Starts the control thread.
///
/// # Errors
/// When the thread's runtime can't be built.
pub fn start(shared: Arc<Shared>, kernel: Kernel) -> Result<(ControlHandle, JoinHandle<()>), DaemonError> {
    let (handle, commands) = handle::channel();
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().context(RuntimeSnafu)?;
    let control = Control { shared, handle: handle.clone(), kernel, attempts: HashMap::new() };
    let work = move || LocalSet::new().block_on(&runtime, control.run(commands));
    let thread = std::thread::Builder::new().name("control".to_owned()).spawn(work).context(RuntimeSnafu)?;
    Ok((handle, thread))
}

impl Control {
    async fn run(mut self, mut commands: mpsc::UnboundedReceiver<Command>) {
        spawn_local(timers::run(Arc::clone(&self.shared), self.handle.clone()));
        let mut batch = Vec::with_capacity(BATCH);
        while commands.recv_many(&mut batch, BATCH).await > 0 {
            for command in batch.drain(..) {
                self.take(command);
            }
            self.show_load();
        }
    }

    fn take(&mut self, command: Command) {
        match command {
            Command::Input(input) => self.turn(input),
            Command::Ask { ask, effects } => {
                // A repeated id must not take the channel of the attempt that is here already.
                self.attempts.entry(ask.attempt.clone()).or_insert_with(|| effects.clone());
                let attempt = ask.attempt.clone();
                let out = self.turn_effects(Input::Gate(GateEvent::Ask(ask)));
                for effect in out {
                    match effect {
                        Effect::Gate(GateEffect::Refuse { attempt: refused, refusal }) if refused == attempt => {
                            // The asker may be gone, then nobody needs the answer.
                            let _ = effects.send(GateEffect::Refuse { attempt: refused, refusal });
                            self.forget(&attempt, &effects);
                        }
                        other => self.perform(other),
                    }
                }
            }
            Command::Query(query) => query(&self.kernel),
        }
    }

    fn forget(&mut self, attempt: &AttemptId, effects: &mpsc::UnboundedSender<GateEffect>) {
        if self.attempts.get(attempt).is_some_and(|known| known.same_channel(effects)) {
            self.attempts.remove(attempt);
        }
    }

    fn turn(&mut self, input: Input) {
        let finished = match &input {
            Input::Gate(GateEvent::Finish { attempt } | GateEvent::Abandon { attempt }) => Some(attempt.clone()),
            _ => None,
        };
        for effect in self.turn_effects(input) {
            self.perform(effect);
        }
        if let Some(attempt) = finished {
            self.attempts.remove(&attempt);
        }
    }

    fn turn_effects(&mut self, input: Input) -> Vec<Effect> {
        let mut effects = Vec::new();
        let now = self.shared.clock.now();
        if let Err(error) = self.kernel.turn(now, input, &mut effects) {
            log::error!("control: {error}");
        }
        effects
    }

    fn show_load(&self) {
        if let Some(gate) = self.kernel.gate() {
            self.shared.load.store(Arc::new(gate.load()));
        }
        if let Some(outbox) = self.kernel.billing() {
            self.shared.billing_full.store(outbox.is_full(), std::sync::atomic::Ordering::Relaxed);
        }
        if let Some(follower) = self.kernel.settings() {
            self.shared.current.store(follower.is_confirmed(), std::sync::atomic::Ordering::Relaxed);
        }
    }
}
