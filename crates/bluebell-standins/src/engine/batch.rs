//! Seats of the running batch, given by priority and then in order of arrival.

use std::{
    collections::BTreeMap,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
};

use tokio::sync::oneshot;

#[derive(Debug, Default)]
struct Seats {
    running: usize,
    arrivals: u64,
    waiting: BTreeMap<(u8, u64), oneshot::Sender<()>>,
}

/// The batch of an engine.
#[derive(Debug)]
pub struct Batch {
    size: usize,
    seats: Mutex<Seats>,
}

/// One place in the batch, free again when dropped.
#[derive(Debug)]
pub struct Seat(Arc<Batch>);

impl Batch {
    /// A batch of so many sequences.
    pub fn new(size: usize) -> Arc<Self> {
        Arc::new(Self { size, seats: Mutex::default() })
    }

    fn seats(&self) -> MutexGuard<'_, Seats> {
        self.seats.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Sequences that run.
    pub fn running(&self) -> usize {
        self.seats().running
    }

    /// Sequences that wait.
    pub fn waiting(&self) -> usize {
        self.seats().waiting.len()
    }

    /// Waits for a seat; a lower number goes first.
    pub async fn take(self: &Arc<Self>, priority: u8) -> Seat {
        let turn = {
            let mut seats = self.seats();
            if seats.running < self.size {
                seats.running += 1;
                return Seat(Arc::clone(self));
            }
            let (sender, turn) = oneshot::channel();
            seats.arrivals += 1;
            let arrival = seats.arrivals;
            seats.waiting.insert((priority, arrival), sender);
            turn
        };
        // The sender is kept until the seat is given.
        let _ = turn.await;
        Seat(Arc::clone(self))
    }
}

impl Drop for Seat {
    fn drop(&mut self) {
        let mut seats = self.0.seats();
        while let Some((_, next)) = seats.waiting.pop_first() {
            if next.send(()).is_ok() {
                return;
            }
        }
        seats.running -= 1;
    }
}
