//! Sends requests and records their outcomes.

use std::{
    sync::atomic::{AtomicUsize, Ordering},
    time::Duration,
};

use futures_util::StreamExt;
use tokio::time::Instant;

use super::mix::Caller;
use crate::{args::LoadOptions, error::StandinError};

/// Timeout of every request.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(90);

/// Outcome of a request.
#[derive(Debug, Clone)]
pub struct Outcome {
    /// Name of the caller's kind.
    pub caller: String,
    /// HTTP status; zero if no response came.
    pub status: u16,
    /// Time from the scheduled arrival to the first byte of the body.
    pub first_byte: Duration,
    /// Time from the scheduled arrival to the end of the response.
    pub total: Duration,
    /// Whether the response is complete; a streamed one has to end with `[DONE]`.
    pub complete: bool,
}

impl Outcome {
    /// Outcome of a request that was not sent because too many others were in flight.
    pub fn unsent(caller: &Caller) -> Self {
        Self {
            caller: caller.name.clone(),
            status: 0,
            first_byte: REQUEST_TIMEOUT,
            total: REQUEST_TIMEOUT,
            complete: false,
        }
    }

    /// Whether the response was successful and complete.
    pub fn is_served(&self) -> bool {
        self.status == 200 && self.complete
    }
}

/// Sends requests to the targets in round-robin order.
pub struct Sender {
    client: reqwest::Client,
    targets: Vec<String>,
    next: AtomicUsize,
}

impl Sender {
    /// Creates a sender for the targets of a run.
    pub fn new(options: &LoadOptions) -> Result<Self, StandinError> {
        let builder =
            reqwest::Client::builder().timeout(REQUEST_TIMEOUT).tcp_nodelay(true).pool_max_idle_per_host(usize::MAX);
        Ok(Self { client: builder.build()?, targets: options.target.clone(), next: AtomicUsize::new(0) })
    }

    /// Sends a request whose scheduled arrival time is `due`; latencies are measured from there.
    pub async fn send(&self, caller: &Caller, number: u64, due: Instant) -> Outcome {
        let target = &self.targets[self.next.fetch_add(1, Ordering::Relaxed) % self.targets.len()];
        let body = serde_json::json!({
            "model": caller.model,
            "stream": caller.stream,
            "max_tokens": caller.tokens,
            "messages": [{"role": "user", "content": format!("{} asks question {number}", caller.name)}],
        });
        let mut request = self.client.post(format!("{target}/v1/chat/completions")).bearer_auth(&caller.key);
        if let Some(priority) = &caller.priority {
            request = request.header("x-priority", priority);
        }
        let mut outcome = Outcome::unsent(caller);
        if let Ok(response) = request.json(&body).send().await {
            outcome.status = response.status().as_u16();
            (outcome.first_byte, outcome.complete) = read_body(response, caller.stream, due).await;
        }
        outcome.total = due.elapsed();
        outcome
    }
}

// Reads the body to its end; returns the time to its first byte and whether the body is complete.
async fn read_body(response: reqwest::Response, streamed: bool, due: Instant) -> (Duration, bool) {
    let mut body = response.bytes_stream();
    let mut first = None;
    let mut tail = Vec::new();
    while let Some(chunk) = body.next().await {
        let Ok(chunk) = chunk else {
            return (first.unwrap_or(REQUEST_TIMEOUT), false);
        };
        first.get_or_insert_with(|| due.elapsed());
        tail = chunk.to_vec();
    }
    let complete = !streamed || String::from_utf8_lossy(&tail).trim_end().ends_with("data: [DONE]");
    (first.unwrap_or_else(|| due.elapsed()), complete)
}
