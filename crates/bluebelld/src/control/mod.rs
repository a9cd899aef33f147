//! The control thread. It owns the kernel, feeds it one input at a time and executes the resulting effects. I/O that
//! the effects start runs as tasks on the same thread; the results come back as inputs.

mod effects;
mod settle;
mod timers;

use std::{sync::Arc, thread::JoinHandle};

use bluebell_core::kernel::{Effect, Input, Kernel};
pub use settle::flush_billing_rows;
use snafu::ResultExt;
use tokio::{
    sync::mpsc,
    task::{LocalSet, spawn_local},
};

use crate::{
    error::{DaemonError, RuntimeSnafu},
    shared::{self, Command, ControlHandle, Shared},
};

/// Maximum number of commands received at once; deferred inputs and published flags are handled once per batch.
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
/// When the thread or its runtime can't be started.
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
                self.handle_input(input);
            }
            for command in batch.drain(..) {
                self.handle_command(command);
            }
            self.publish_flags();
        }
    }

    fn handle_command(&mut self, command: Command) {
        match command {
            Command::Input(input) => self.handle_input(input),
            Command::Query(query) => query(&self.kernel),
        }
    }

    fn handle_input(&mut self, input: Input) {
        for effect in self.run_kernel(input) {
            self.perform(effect);
        }
    }

    fn run_kernel(&mut self, input: Input) -> Vec<Effect> {
        let mut effects = Vec::new();
        let now = self.shared.clock.now();
        if let Err(error) = self.kernel.turn(now, input, &mut effects) {
            log::error!("kernel failed to handle an input: {error}");
        }
        effects
    }

    // Copies state of the kernel that other threads read often into atomics.
    fn publish_flags(&self) {
        if let Some(outbox) = self.kernel.billing() {
            self.shared.billing_full.store(outbox.is_full(), std::sync::atomic::Ordering::Relaxed);
        }
        if let Some(follower) = self.kernel.settings() {
            self.shared.settings_current.store(follower.is_confirmed(), std::sync::atomic::Ordering::Relaxed);
        }
    }
}
