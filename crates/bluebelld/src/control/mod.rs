//! The control thread: it alone holds the kernel, takes one input after the other, and starts what the effects ask
//! for. Input and output it starts run as tasks of the same thread and come back as inputs.

mod effects;
mod settle;
mod timers;

use std::{sync::Arc, thread::JoinHandle};

use bluebell_core::kernel::{Effect, Input, Kernel};
pub use settle::settle_rows;
use snafu::ResultExt;
use tokio::{
    sync::mpsc,
    task::{LocalSet, spawn_local},
};

use crate::{
    error::{DaemonError, RuntimeSnafu},
    shared::{self, Command, ControlHandle, Shared},
};

/// Commands taken before effects are looked at again.
const BATCH: usize = 256;

/// State of the control thread.
pub(crate) struct Control {
    shared: Arc<Shared>,
    handle: ControlHandle,
    kernel: Kernel,
}

/// Starts the control thread.
///
/// # Errors
/// When the thread's runtime can't be built.
pub fn start(shared: Arc<Shared>, kernel: Kernel) -> Result<(ControlHandle, JoinHandle<()>), DaemonError> {
    let (handle, commands) = shared::channel();
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().context(RuntimeSnafu)?;
    let control = Control { shared, handle: handle.clone(), kernel };
    let work = move || LocalSet::new().block_on(&runtime, control.run(commands));
    let thread = std::thread::Builder::new().name("control".to_owned()).spawn(work).context(RuntimeSnafu)?;
    Ok((handle, thread))
}

impl Control {
    async fn run(mut self, mut commands: mpsc::UnboundedReceiver<Command>) {
        spawn_local(timers::run(Arc::clone(&self.shared), self.handle.clone()));
        let mut batch = Vec::with_capacity(BATCH);
        while commands.recv_many(&mut batch, BATCH).await > 0 {
            for input in self.handle.take_deferred() {
                self.turn(input);
            }
            for command in batch.drain(..) {
                self.take(command);
            }
            self.show_load();
        }
    }

    fn take(&mut self, command: Command) {
        match command {
            Command::Input(input) => self.turn(input),
            Command::Query(query) => query(&self.kernel),
        }
    }

    fn turn(&mut self, input: Input) {
        for effect in self.turn_effects(input) {
            self.perform(effect);
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
        if let Some(outbox) = self.kernel.billing() {
            self.shared.billing_full.store(outbox.is_full(), std::sync::atomic::Ordering::Relaxed);
        }
        if let Some(follower) = self.kernel.settings() {
            self.shared.current.store(follower.is_confirmed(), std::sync::atomic::Ordering::Relaxed);
        }
    }
}
