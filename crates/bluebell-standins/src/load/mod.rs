//! Load generator: open-loop Poisson arrivals, or a closed loop to find the saturation throughput, with a mix of
//! callers and latency histograms.

mod mix;
mod report;
mod send;

use std::{sync::Arc, time::Duration};

use mix::Mix;
use rand::{Rng, SeedableRng, rngs::StdRng};
use report::Report;
use send::{Outcome, Sender};
use tokio::{
    sync::{Semaphore, mpsc},
    time::Instant,
};

use crate::{args::LoadOptions, error::StandinError};

/// Timers are set this much before a scheduled arrival, as they fire up to a millisecond late.
const TIMER_SLACK: Duration = Duration::from_micros(1500);

/// Executes a load run and prints its report.
///
/// # Errors
/// If the mix cannot be read, the HTTP client cannot be built or a histogram cannot be created.
pub async fn run(options: LoadOptions) -> Result<(), StandinError> {
    let mix = Mix::load(&options)?;
    let sender = Arc::new(Sender::new(&options)?);
    let (outcomes, outcome_receiver) = mpsc::unbounded_channel();
    let started = Instant::now();
    match options.closed {
        Some(senders) => closed_loop(&options, &mix, &sender, senders, outcomes).await,
        None => open_loop(&options, &mix, &sender, outcomes).await,
    }
    let report = Report::collect(outcome_receiver, started.elapsed()).await?;
    report.print(options.json);
    Ok(())
}

// Arrivals do not wait for answers, so a slow system does not reduce its own load (no coordinated omission).
async fn open_loop(options: &LoadOptions, mix: &Mix, sender: &Arc<Sender>, outcomes: mpsc::UnboundedSender<Outcome>) {
    let mut random = StdRng::seed_from_u64(options.seed);
    let in_flight = Arc::new(Semaphore::new(options.bound));
    let start = Instant::now();
    let end = start + Duration::from_secs_f64(options.seconds);
    let mut due = start;
    let mut number = 0;
    while due < end {
        sleep_until(due).await;
        let caller = mix.pick(&mut random).clone();
        let outcomes = outcomes.clone();
        match Arc::clone(&in_flight).try_acquire_owned() {
            Ok(permit) => {
                let sender = Arc::clone(sender);
                let scheduled = due;
                tokio::spawn(async move {
                    let outcome = sender.send(&caller, number, scheduled).await;
                    drop(permit);
                    // The collector outlives all senders.
                    let _ = outcomes.send(outcome);
                });
            }
            Err(_) => {
                let _ = outcomes.send(Outcome::unsent(&caller));
            }
        }
        number += 1;
        let gap: f64 = -(1.0 - random.random::<f64>()).ln() / options.rate;
        due += Duration::from_secs_f64(gap);
    }
}

// Timers fire up to a millisecond late, so the end of the wait polls the clock.
async fn sleep_until(due: Instant) {
    tokio::time::sleep_until(due.checked_sub(TIMER_SLACK).unwrap_or(due)).await;
    while Instant::now() < due {
        tokio::task::yield_now().await;
    }
}

async fn closed_loop(
    options: &LoadOptions,
    mix: &Mix,
    sender: &Arc<Sender>,
    senders: usize,
    outcomes: mpsc::UnboundedSender<Outcome>,
) {
    let end = Instant::now() + Duration::from_secs_f64(options.seconds);
    let mut tasks = Vec::new();
    for number in 0..senders as u64 {
        let mut random = StdRng::seed_from_u64(options.seed + number);
        let (mix, sender, outcomes) = (mix.clone(), Arc::clone(sender), outcomes.clone());
        tasks.push(tokio::spawn(async move {
            let mut sent = 0;
            while Instant::now() < end {
                let caller = mix.pick(&mut random).clone();
                let outcome = sender.send(&caller, number + sent * senders as u64, Instant::now()).await;
                sent += 1;
                // The collector outlives all senders.
                let _ = outcomes.send(outcome);
            }
        }));
    }
    for task in tasks {
        // A task that panicked has already printed the reason; the outcomes that it sent before still count.
        let _ = task.await;
    }
}
