//! Replacement of an attempt by another one. The attempt is kept until the other one can no longer be refused at once;
//! see [`Takeover`].

use std::{pin::Pin, sync::Arc, time::Duration};

use bluebell_core::retry::Takeover;
use tokio::{sync::watch, time::sleep};

use crate::gateway::{
    attempt::{BodyChunk, Failure, UpstreamResponse},
    state::Gateway,
};

/// An attempt that is kept while another one starts. Dropping it closes its connection.
pub trait KeptAttempt: Send {
    /// What it delivers.
    type Output: Send;

    /// Waits until it delivers something; `None` if it fails. May be cancelled and called again.
    fn progress(&mut self) -> impl Future<Output = Option<Self::Output>> + Send;
}

/// A stream that has begun, and is read while another attempt starts.
impl KeptAttempt for UpstreamResponse {
    type Output = BodyChunk;

    async fn progress(&mut self) -> Option<BodyChunk> {
        let chunk = self.next_chunk().await;
        (!matches!(chunk, BodyChunk::Broken(_))).then_some(chunk)
    }
}

/// An answer that is not read. It is used only if the other attempt fails.
pub struct UnreadAnswer(pub UpstreamResponse);

impl KeptAttempt for UnreadAnswer {
    type Output = std::convert::Infallible;

    async fn progress(&mut self) -> Option<Self::Output> {
        std::future::pending().await
    }
}

/// An attempt whose answer has not arrived yet.
pub type PendingAttempt<'a, T> = Pin<Box<dyn Future<Output = Result<T, Failure>> + Send + 'a>>;

impl<T: Send> KeptAttempt for PendingAttempt<'_, T> {
    type Output = T;

    async fn progress(&mut self) -> Option<T> {
        self.as_mut().await.ok()
    }
}

/// Result of a replacement.
pub enum Replacement<T, K> {
    /// The kept attempt has delivered first, and the other one was cancelled.
    Cancelled(K),
    /// The other attempt has ended.
    Ended(T, KeptState),
}

/// State of a kept attempt when the other one has ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum KeptState {
    /// It goes on.
    Open,
    /// It has failed.
    Failed,
    /// It was closed, because the other attempt was in flight for long enough.
    Closed,
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
    let mut state = KeptState::Open;
    let mut starting = std::pin::pin!(starting);
    loop {
        let close_at = takeover.close_at().filter(|_| kept.is_some());
        let close_in = close_at.map_or(Duration::ZERO, |at| at.saturating_sub(gateway.now()));
        tokio::select! {
            biased;
            progress = progress(kept), if kept.is_some() => match progress {
                Some(output) => return Replacement::Cancelled(output),
                None => (*kept, state) = (None, KeptState::Failed),
            },
            result = starting.as_mut() => return Replacement::Ended(result, state),
            // Fails only without a sender, and then the kept attempt stays until the other one ends.
            Ok(()) = in_flight_since.changed() => match *in_flight_since.borrow_and_update() {
                Some(at) => takeover.record_sent(at),
                None => takeover.record_failure(),
            },
            () = sleep(close_in), if close_at.is_some() => (*kept, state) = (None, KeptState::Closed),
        }
    }
}

async fn progress<K: KeptAttempt>(kept: &mut Option<K>) -> Option<K::Output> {
    kept.as_mut()?.progress().await
}
