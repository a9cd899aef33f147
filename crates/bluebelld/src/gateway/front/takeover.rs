//! Replacement of an attempt by another one. The attempt is kept until the other one can no longer be refused at once;
//! see [`Takeover`].

use std::{pin::Pin, sync::Arc, time::Duration};

use bluebell_core::{poison::ResponseLoss, retry::Takeover};
use tokio::{sync::watch, time::sleep};

use crate::gateway::{
    attempt::{BodyChunk, Failure, UpstreamResponse},
    crash_detection,
    state::Gateway,
};

/// An attempt that is kept while another one starts. Dropping it closes its connection.
pub trait KeptAttempt: Send {
    /// What it delivers.
    type Output: Send;

    /// Waits until it delivers something; `None` if it fails. May be cancelled and called again.
    fn progress(&mut self, gateway: &Arc<Gateway>) -> impl Future<Output = Option<Self::Output>> + Send;
}

/// A stream that has begun, and is read while another attempt starts.
impl KeptAttempt for UpstreamResponse {
    type Output = BodyChunk;

    async fn progress(&mut self, gateway: &Arc<Gateway>) -> Option<BodyChunk> {
        match self.next_chunk().await {
            BodyChunk::Broken(_) => {
                crash_detection::record_lost_answer(gateway, &self.upstream, ResponseLoss::Broken);
                None
            }
            chunk => Some(chunk),
        }
    }
}

/// An answer that is not read. It is used only if the other attempt fails.
pub struct UnreadAnswer(pub UpstreamResponse);

impl KeptAttempt for UnreadAnswer {
    type Output = std::convert::Infallible;

    async fn progress(&mut self, _gateway: &Arc<Gateway>) -> Option<Self::Output> {
        std::future::pending().await
    }
}

/// An attempt whose answer has not arrived yet.
pub type PendingAttempt<'a, T> = Pin<Box<dyn Future<Output = Result<T, Failure>> + Send + 'a>>;

impl<T: Send> KeptAttempt for PendingAttempt<'_, T> {
    type Output = T;

    async fn progress(&mut self, _gateway: &Arc<Gateway>) -> Option<T> {
        self.as_mut().await.ok()
    }
}

/// Result of a replacement.
pub enum Replacement<T, K> {
    /// The kept attempt has delivered first. The other one was cancelled, but may have run.
    Cancelled(K),
    /// The other attempt has ended; the kept one is still there unless it failed or was closed.
    Ended(T),
}

/// When the attempt in progress was sent, or `None` between attempts.
pub type InFlightSince = watch::Sender<Option<Duration>>;

/// Runs another attempt beside a kept one, which is closed once the other one has been in flight for long enough.
pub async fn replace<T, K: KeptAttempt>(
    gateway: &Arc<Gateway>,
    kept: &mut Option<K>,
    starting: impl Future<Output = T>,
    mut in_flight_since: watch::Receiver<Option<Duration>>,
) -> Replacement<T, K::Output> {
    let mut takeover = Takeover::default();
    let mut starting = std::pin::pin!(starting);
    loop {
        let close_at = takeover.close_at().filter(|_| kept.is_some());
        let close_in = close_at.map_or(Duration::ZERO, |at| at.saturating_sub(gateway.now()));
        tokio::select! {
            biased;
            progress = progress(gateway, kept), if kept.is_some() => match progress {
                Some(output) => return Replacement::Cancelled(output),
                None => *kept = None,
            },
            result = starting.as_mut() => return Replacement::Ended(result),
            // Fails only without a sender, and then the kept attempt stays until the other one ends.
            Ok(()) = in_flight_since.changed() => match *in_flight_since.borrow_and_update() {
                Some(at) => takeover.record_sent(at),
                None => takeover.record_failure(),
            },
            () = sleep(close_in), if close_at.is_some() => *kept = None,
        }
    }
}

async fn progress<K: KeptAttempt>(gateway: &Arc<Gateway>, kept: &mut Option<K>) -> Option<K::Output> {
    kept.as_mut()?.progress(gateway).await
}
