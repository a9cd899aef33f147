//! Handle through which other threads reach the control thread.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use bluebell_core::kernel::{Input, Kernel};
use tokio::sync::{mpsc, oneshot};

type Query = Box<dyn FnOnce(&Kernel) + Send>;

/// Message to the control thread.
pub enum Command {
    /// An input for the kernel.
    Input(Input),
    /// A function that reads the kernel's state; it runs on the control thread and must be short.
    Query(Query),
}

/// Handle of the control thread; clones share the same channel.
#[derive(Clone)]
pub struct ControlHandle {
    commands: mpsc::UnboundedSender<Command>,
    deferred: Arc<Mutex<Vec<Input>>>,
}

/// Creates a handle and the receiver for the control thread.
pub fn channel() -> (ControlHandle, mpsc::UnboundedReceiver<Command>) {
    let (commands, receiver) = mpsc::unbounded_channel();
    (ControlHandle { commands, deferred: Arc::default() }, receiver)
}

impl ControlHandle {
    /// Sends an input to the kernel.
    pub fn input(&self, input: Input) {
        self.command(Command::Input(input));
    }

    /// Queues an input that the control thread handles when it next wakes up for another command; the input itself
    /// doesn't wake it.
    pub fn defer(&self, input: Input) {
        self.deferred().push(input);
    }

    /// Removes and returns the deferred inputs.
    pub(crate) fn take_deferred(&self) -> Vec<Input> {
        std::mem::take(&mut *self.deferred())
    }

    fn deferred(&self) -> MutexGuard<'_, Vec<Input>> {
        self.deferred.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Runs a function on the kernel and returns its result; none if the control thread has ended.
    pub async fn query<T: Send + 'static>(&self, read: impl FnOnce(&Kernel) -> T + Send + 'static) -> Option<T> {
        let (sender, receiver) = oneshot::channel();
        let query = move |kernel: &Kernel| {
            // If the querying task was cancelled, nobody needs the result.
            let _ = sender.send(read(kernel));
        };
        self.command(Command::Query(Box::new(query)));
        receiver.await.ok()
    }

    fn command(&self, command: Command) {
        if self.commands.send(command).is_err() {
            log::debug!("command dropped: the control thread has ended");
        }
    }
}
