//! How other threads reach the control thread.

use bluebell_core::{
    gate::{Ask, GateEffect},
    kernel::{Input, Kernel},
};
use tokio::sync::{mpsc, oneshot};

type Query = Box<dyn FnOnce(&Kernel) + Send>;

/// What the control thread is told.
pub enum Command {
    /// An input of the kernel.
    Input(Input),
    /// An attempt asks to start; what the gate says of it goes to the channel.
    Ask {
        /// The attempt.
        ask: Ask,
        /// Gets the gate's effects.
        effects: mpsc::UnboundedSender<GateEffect>,
    },
    /// A short question.
    Query(Query),
}

/// Way to the control thread; clones share it.
#[derive(Clone)]
pub struct ControlHandle {
    commands: mpsc::UnboundedSender<Command>,
}

pub(super) fn channel() -> (ControlHandle, mpsc::UnboundedReceiver<Command>) {
    let (commands, receiver) = mpsc::unbounded_channel();
    (ControlHandle { commands }, receiver)
}

impl ControlHandle {
    /// Gives an input to the kernel.
    pub fn input(&self, input: Input) {
        self.command(Command::Input(input));
    }

    /// Asks the gate to start an attempt.
    pub fn ask(&self, ask: Ask) -> mpsc::UnboundedReceiver<GateEffect> {
        let (effects, receiver) = mpsc::unbounded_channel();
        self.command(Command::Ask { ask, effects });
        receiver
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
