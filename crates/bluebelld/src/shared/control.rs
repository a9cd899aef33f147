//! How other threads reach the control thread.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use bluebell_core::kernel::{Input, Kernel};
use tokio::sync::{mpsc, oneshot};

type Query = Box<dyn FnOnce(&Kernel) + Send>;

/// What the control thread is told.
pub enum Command {
    /// An input of the kernel.
    Input(Input),
    /// A short question.
    Query(Query),
}

/// Way to the control thread; clones share it.
#[derive(Clone)]
pub struct ControlHandle {
    commands: mpsc::UnboundedSender<Command>,
    deferred: Arc<Mutex<Vec<Input>>>,
}

/// A way to the control thread, and its other end.
pub fn channel() -> (ControlHandle, mpsc::UnboundedReceiver<Command>) {
    let (commands, receiver) = mpsc::unbounded_channel();
    (ControlHandle { commands, deferred: Arc::default() }, receiver)
}

impl ControlHandle {
    /// Gives an input to the kernel.
    pub fn input(&self, input: Input) {
        self.command(Command::Input(input));
    }

    /// Gives an input to the kernel at its next turn, without waking the control thread for it.
    pub fn defer(&self, input: Input) {
        self.deferred().push(input);
    }

    /// Takes the inputs that were deferred.
    pub(crate) fn take_deferred(&self) -> Vec<Input> {
        std::mem::take(&mut *self.deferred())
    }

    fn deferred(&self) -> MutexGuard<'_, Vec<Input>> {
        self.deferred.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Asks the kernel; none when the control thread has ended.
    pub async fn query<T: Send + 'static>(&self, question: impl FnOnce(&Kernel) -> T + Send + 'static) -> Option<T> {
        let (reply, answer) = oneshot::channel();
        let query = move |kernel: &Kernel| {
            // The asker may be gone, then nobody needs the answer.
            let _ = reply.send(question(kernel));
        };
        self.command(Command::Query(Box::new(query)));
        answer.await.ok()
    }

    fn command(&self, command: Command) {
        if self.commands.send(command).is_err() {
            log::debug!("the control thread has ended");
        }
    }
}
