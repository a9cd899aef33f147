//! Calls to a service without a model. A call runs to its end even if the entry disconnects, since it may not be
//! idempotent, and its reply is kept.

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

/// Largest reply that is forwarded, in bytes.
const MAX_REPLY_BYTES: usize = 2 << 20;
/// Attempts to write a reply to the store after the entry has disconnected.
const STORE_ATTEMPTS: u32 = 30;
/// Pause between two of these attempts.
const STORE_RETRY_PAUSE: Duration = Duration::from_millis(1000);

/// Failure of a call, by whether it may have run.
enum CallError {
    NotRun,
    OutcomeUnknown,
}

/// Runs a call and sends its reply to the entry.
///
/// # Errors
/// When the connection to the entry fails.
pub async fn run(mut attempt: Box<Attempt>, call: Call) -> Result<(), WireError> {
    let result = send_request(&attempt, &call).await;
    let now = attempt.sidecar.shared.clock.now();
    match result {
        Ok(reply) => {
            attempt.sidecar.calls().finish(attempt.id(), Some(reply.clone()), now);
            attempt.finish();
            let sent = attempt.writer.finish(&FromSidecar::Reply(reply.clone())).await;
            if sent.is_err() {
                store_reply(&attempt, &call, &reply).await;
            }
            sent
        }
        Err(CallError::NotRun) => {
            attempt.sidecar.calls().mark_not_run(attempt.id(), now);
            attempt.runner_failed();
            attempt.refuse(Refusal::new(RefusalReason::RunnerDown, DEFAULT_PAUSE)).await
        }
        Err(CallError::OutcomeUnknown) => {
            attempt.sidecar.calls().finish(attempt.id(), None, now);
            attempt.finish();
            attempt.send_failed().await
        }
    }
}

async fn send_request(attempt: &Attempt, call: &Call) -> Result<StoredReply, CallError> {
    let url = format!("{}{}", attempt.sidecar.runner.url, call.path);
    let method = reqwest::Method::from_bytes(call.method.as_bytes()).map_err(|_| CallError::NotRun)?;
    let mut request = attempt.sidecar.client.request(method, url).timeout(attempt.time_limit);
    request = request.header("content-type", &call.content_type).body(call.body.clone());
    if let Some(key) = &call.key {
        request = request.header("idempotency-key", key);
    }
    let mut response = request.send().await.map_err(|error| call_error(&error))?;
    let status = response.status().as_u16();
    let content = response.headers().get("content-type").and_then(|value| value.to_str().ok());
    let content = content.unwrap_or("application/octet-stream").to_owned();
    let mut body = Vec::new();
    while let Some(chunk) = response.chunk().await.map_err(|error| call_error(&error))? {
        body.extend_from_slice(&chunk);
        if body.len() > MAX_REPLY_BYTES {
            log::warn!(bytes = body.len(); "reply of the service exceeds the size limit of {MAX_REPLY_BYTES} bytes");
            return Err(CallError::OutcomeUnknown);
        }
    }
    Ok(StoredReply { status, content, body })
}

fn call_error(error: &reqwest::Error) -> CallError {
    log::warn!("call to the service failed: {error}");
    if error.is_connect() { CallError::NotRun } else { CallError::OutcomeUnknown }
}

// Stores a reply in place of the entry, which normally does so but has disconnected.
async fn store_reply(attempt: &Attempt, call: &Call, reply: &StoredReply) {
    let Some(key) = &call.key else { return };
    for _ in 0..STORE_ATTEMPTS {
        let records = &attempt.sidecar.shared.records;
        let stored = records.complete_intent(&attempt.admission_request.org, key, attempt.id(), reply).await;
        let Err(error) = stored else { return };
        log::debug!("storing a reply failed, will be retried: {error}");
        tokio::time::sleep(STORE_RETRY_PAUSE).await;
    }
}
