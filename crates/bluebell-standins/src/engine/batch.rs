//! Slots of the running batch, assigned by priority and then in order of arrival.

use std::{
    collections::BTreeMap,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
};

use tokio::sync::oneshot;

#[derive(Debug, Default)]
struct Slots {
    running: usize,
    arrivals: u64,
    waiting: BTreeMap<(u8, u64), oneshot::Sender<()>>,
}

/// The batch of sequences that an engine decodes together.
#[derive(Debug)]
pub struct Batch {
    size: usize,
    slots: Mutex<Slots>,
}

/// A slot in the batch. Dropping it hands the slot to the next waiting sequence or frees it.
#[derive(Debug)]
pub struct Slot(Arc<Batch>);

impl Batch {
    /// Creates a batch with `size` slots.
    pub fn new(size: usize) -> Arc<Self> {
        Arc::new(Self { size, slots: Mutex::default() })
    }

    fn slots(&self) -> MutexGuard<'_, Slots> {
        self.slots.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Number of running sequences.
    pub fn running(&self) -> usize {
        self.slots().running
    }

    /// Number of waiting sequences.
    pub fn waiting(&self) -> usize {
        self.slots().waiting.len()
    }

    /// Waits for a slot. Lower priority numbers are served first.
    pub async fn acquire(self: &Arc<Self>, priority: u8) -> Slot {
        let turn = {
            let mut slots = self.slots();
            if slots.running < self.size {
                slots.running += 1;
                return Slot(Arc::clone(self));
            }
            let (sender, turn) = oneshot::channel();
            slots.arrivals += 1;
            let arrival = slots.arrivals;
            slots.waiting.insert((priority, arrival), sender);
            turn
        };
        // The sender stays in `waiting` until the slot is assigned, so this cannot fail.
        let _ = turn.await;
        Slot(Arc::clone(self))
    }
}

impl Drop for Slot {
    fn drop(&mut self) {
        let mut slots = self.0.slots();
        while let Some((_, next)) = slots.waiting.pop_first() {
            if next.send(()).is_ok() {
                return;
            }
        }
        slots.running -= 1;
    }
}
