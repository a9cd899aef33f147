//! A call of a plain service. One that may not be repeated goes on to its end even when nobody listens any more,
//! and its reply is kept.

use std::time::Duration;

use bluebell_core::{
    gate::{Refusal, RefusalReason},
    intent::StoredReply,
    retry::DEFAULT_PAUSE,
};
use bluebell_wire::{
    WireError,
    messages::{Call, FromSidecar},
};

use super::attempt::Attempt;

/// Largest reply that is passed on, in bytes.
const MAX_REPLY_BYTES: usize = 2 << 20;
/// Times that a reply is written to the store when the entry is gone.
const STORE_TRIES: u32 = 30;
/// Pause between them.
const STORE_PAUSE: Duration = Duration::from_millis(1000);

/// Why there is no reply.
enum Missing {
    NotRun,
    Unknown,
}

/// Runs a call.
///
/// # Errors
/// When the connection to the entry broke.
pub async fn run(mut attempt: Box<Attempt>, call: Call) -> Result<(), WireError> {
    let outcome = perform(&attempt, &call).await;
    let now = attempt.sidecar.shared.clock.now();
    match outcome {
        Ok(reply) => {
            attempt.sidecar.calls().finish(attempt.id(), Some(reply.clone()), now);
            attempt.finish();
            let told = attempt.writer.finish(&FromSidecar::Reply(reply.clone())).await;
            if told.is_err() {
                store(&attempt, &call, &reply).await;
            }
            told
        }
        Err(Missing::NotRun) => {
            attempt.sidecar.calls().mark_not_run(attempt.id(), now);
            attempt.fail();
            attempt.refuse(Refusal::new(RefusalReason::RunnerDown, DEFAULT_PAUSE)).await
        }
        Err(Missing::Unknown) => {
            attempt.sidecar.calls().finish(attempt.id(), None, now);
            attempt.finish();
            attempt.report_failure().await
        }
    }
}

async fn perform(attempt: &Attempt, call: &Call) -> Result<StoredReply, Missing> {
    let url = format!("{}{}", attempt.sidecar.runner.url, call.path);
    let method = reqwest::Method::from_bytes(call.method.as_bytes()).map_err(|_| Missing::NotRun)?;
    let mut request = attempt.sidecar.client.request(method, url).timeout(attempt.deadline);
    request = request.header("content-type", &call.content_type).body(call.body.clone());
    if let Some(key) = &call.key {
        request = request.header("idempotency-key", key);
    }
    let mut response = request.send().await.map_err(|error| missing(&error))?;
    let status = response.status().as_u16();
    let content = response.headers().get("content-type").and_then(|value| value.to_str().ok());
    let content = content.unwrap_or("application/octet-stream").to_owned();
    let mut body = Vec::new();
    while let Some(piece) = response.chunk().await.map_err(|error| missing(&error))? {
        body.extend_from_slice(&piece);
        if body.len() > MAX_REPLY_BYTES {
            log::warn!(bytes = body.len(); "a service's reply is too long to pass on");
            return Err(Missing::Unknown);
        }
    }
    Ok(StoredReply { status, content, body })
}

fn missing(error: &reqwest::Error) -> Missing {
    log::warn!("the service failed under a call: {error}");
    if error.is_connect() { Missing::NotRun } else { Missing::Unknown }
}

// The entry that would store the reply is gone.
async fn store(attempt: &Attempt, call: &Call, reply: &StoredReply) {
    let Some(key) = &call.key else { return };
    for _ in 0..STORE_TRIES {
        let records = &attempt.sidecar.shared.records;
        let stored = records.complete_intent(&attempt.ask.org, key, attempt.id(), reply).await;
        let Err(error) = stored else { return };
        log::debug!("a reply is not stored yet: {error}");
        tokio::time::sleep(STORE_PAUSE).await;
    }
}
