//! Replacement of an answer by one of another attempt. The answer is kept until the other attempt can no longer be
//! refused at once; see [`Takeover`].

use std::{sync::Arc, time::Duration};

use bluebell_core::{poison::ResponseLoss, retry::Takeover};
use tokio::{sync::watch, time::sleep};

use super::start::StartError;
use crate::gateway::{
    attempt::{BodyChunk, UpstreamResponse},
    crash_detection,
    state::Gateway,
};

/// What happens to the kept answer while another attempt starts.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Kept {
    /// It is read, and its next data cancels the other attempt.
    Read,
    /// It is not read; it is used only if the other attempt fails.
    Unread,
}

/// Result of a replacement.
pub enum Replacement {
    /// The kept answer goes on with this chunk. The other attempt was cancelled, but may have run.
    Cancelled(BodyChunk),
    /// The other attempt answers.
    Started(Box<UpstreamResponse>),
    /// The other attempt failed; the kept answer is used if it is still there.
    Failed(StartError),
}

/// Runs the start of another attempt beside a kept answer, which is closed once the other attempt has been in flight
/// for long enough. `in_flight_since` tells when the other attempt was sent.
pub async fn replace(
    gateway: &Arc<Gateway>,
    kept: &mut Option<UpstreamResponse>,
    mode: Kept,
    starting: impl Future<Output = Result<UpstreamResponse, StartError>>,
    mut in_flight_since: watch::Receiver<Option<Duration>>,
) -> Replacement {
    let mut takeover = Takeover::default();
    let mut starting = std::pin::pin!(starting);
    loop {
        let close_at = takeover.close_at().filter(|_| kept.is_some());
        let close_in = close_at.map_or(Duration::ZERO, |at| at.saturating_sub(gateway.now()));
        tokio::select! {
            biased;
            chunk = read_chunk(kept), if mode == Kept::Read && kept.is_some() => match chunk {
                BodyChunk::Broken(_) => drop_broken(gateway, kept),
                chunk => return Replacement::Cancelled(chunk),
            },
            result = starting.as_mut() => return match result {
                Ok(response) => Replacement::Started(Box::new(response)),
                Err(error) => Replacement::Failed(error),
            },
            // Fails only without a sender, and then the kept answer stays until the other attempt ends.
            Ok(()) = in_flight_since.changed() => match *in_flight_since.borrow_and_update() {
                Some(at) => takeover.record_sent(at),
                None => takeover.record_failure(),
            },
            () = sleep(close_in), if close_at.is_some() => *kept = None,
        }
    }
}

fn drop_broken(gateway: &Arc<Gateway>, kept: &mut Option<UpstreamResponse>) {
    if let Some(response) = kept.take() {
        let upstream = Arc::clone(&response.upstream);
        drop(response);
        crash_detection::record_lost_answer(gateway, &upstream, ResponseLoss::Broken);
    }
}

/// Reads the next chunk of an answer, if it is still there.
pub async fn read_chunk(response: &mut Option<UpstreamResponse>) -> BodyChunk {
    match response {
        Some(response) => response.next_chunk().await,
        None => BodyChunk::Broken("the upstream's answer was given up".to_owned()),
    }
}
