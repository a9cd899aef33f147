//! Chat completions on a model engine. The engine is always asked for a stream, and an answer that the caller already
//! has in part is continued from there.

use std::{
    collections::BTreeMap,
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    time::Duration,
};

use bluebell_core::{
    billing::{BillRow, BillingEvent, HOLD_PERIOD},
    gate::{Refusal, RefusalReason, Work},
    kernel::Input,
    retry::DEFAULT_PAUSE,
    units::Tokens,
};
use bluebell_wire::{
    WireError,
    messages::{Chat, Delta, FromSidecar, Usage},
};
use bytes::Bytes;
use eventsource_stream::{Event, Eventsource};
use futures_util::{Stream, StreamExt};
use serde::{Deserialize, Serialize, de::IgnoredAny};
use serde_json::value::{RawValue, to_raw_value};
use snafu::{ResultExt, Snafu, ensure};
use tokio::time::Instant;

use super::attempt::Attempt;
use crate::shared::Admission;

/// Maximum number of events that are merged into one delta if they are available at the same time.
const MAX_MERGED_EVENTS: usize = 64;
/// Time for which deltas are buffered for a caller that expects a non-streaming response. Text that is still buffered
/// when the runner fails has to be generated again.
const BUFFER_PERIOD: Duration = Duration::from_millis(100);
/// Maximum number of bytes that an engine may send without completing an event.
const MAX_EVENT_BYTES: usize = 64 << 10;
/// Data of the event that ends a stream.
const END_MARKER: &str = "[DONE]";

/// Failure of an engine's response stream.
#[derive(Debug, Snafu)]
enum StreamError {
    #[snafu(display("the engine's response stream failed: {source}"))]
    Broken { source: reqwest::Error },
    #[snafu(display("the engine sent more than {MAX_EVENT_BYTES} bytes without completing an event"))]
    EventTooLarge,
}

#[derive(Debug, Deserialize)]
struct Chunk {
    #[serde(default)]
    choices: Vec<Choice>,
    usage: Option<EngineUsage>,
    error: Option<IgnoredAny>,
}

#[derive(Debug, Deserialize)]
struct Choice {
    delta: Option<DeltaBody>,
    finish_reason: Option<String>,
}

#[derive(Debug, Deserialize)]
struct DeltaBody {
    content: Option<String>,
}

#[derive(Debug, Clone, Copy, Deserialize)]
struct EngineUsage {
    prompt_tokens: u64,
}

/// Output received from the engine so far.
#[derive(Debug, Default)]
struct Progress {
    output: u64,
    prompt: u64,
    finish_reason: Option<String>,
    done: bool,
}

/// Result of processing a batch of the engine's events.
enum Step {
    Text(Delta),
    End,
    Broken,
}

/// Runs a chat completion and streams its output to the entry.
///
/// # Errors
/// When the connection to the entry fails.
pub async fn run(mut attempt: Box<Attempt>, chat: Chat) -> Result<(), WireError> {
    let Some(body) = engine_body(&attempt, &chat) else {
        attempt.finish();
        let refusal = Refusal::new(RefusalReason::NotServed, Duration::ZERO);
        return attempt.refuse(refusal).await;
    };
    let url = format!("{}/v1/chat/completions", attempt.sidecar.runner.url);
    let sent = attempt.sidecar.client.post(url).header("content-type", "application/json").body(body).send();
    let response = tokio::select! {
        response = sent => response,
        () = attempt.writer.closed() => {
            attempt.abandon();
            return Ok(());
        }
        _ = attempt.effects.recv() => return attempt.preempt().await,
    };
    match response {
        Ok(response) if response.status().is_success() => {
            let pending = Arc::new(AtomicUsize::new(0));
            let reset = Arc::clone(&pending);
            let events = limit_event_size(response.bytes_stream(), pending).eventsource().map(Result::ok);
            let events = events.inspect(|_| reset.store(0, Ordering::Relaxed));
            forward(attempt, &chat, events).await
        }
        Ok(response) => {
            log::warn!(status = response.status().as_u16(); "engine answered an attempt with an error status");
            attempt.finish();
            attempt.refuse(Refusal::new(RefusalReason::NotServed, DEFAULT_PAUSE)).await
        }
        Err(error) if error.is_connect() => {
            attempt.runner_failed();
            attempt.refuse(Refusal::new(RefusalReason::RunnerDown, DEFAULT_PAUSE)).await
        }
        Err(error) => {
            log::warn!("request to the engine failed: {error}");
            attempt.runner_failed();
            attempt.send_failed().await
        }
    }
}

// Fails the stream once it has delivered more than `MAX_EVENT_BYTES` without completing an event. `pending` counts the
// bytes since the last event; the caller resets it at each event.
fn limit_event_size(
    bytes: impl Stream<Item = reqwest::Result<Bytes>>,
    pending: Arc<AtomicUsize>,
) -> impl Stream<Item = Result<Bytes, StreamError>> {
    bytes.map(move |chunk| {
        let chunk = chunk.context(BrokenSnafu)?;
        let total = pending.fetch_add(chunk.len(), Ordering::Relaxed) + chunk.len();
        ensure!(total <= MAX_EVENT_BYTES, EventTooLargeSnafu);
        Ok(chunk)
    })
}

// The caller's body with the fields that the router sets overwritten; none if the body is not a JSON object.
fn engine_body(attempt: &Attempt, chat: &Chat) -> Option<String> {
    let mut fields: BTreeMap<&str, &RawValue> = serde_json::from_str(&chat.body).ok()?;
    let admission = &attempt.admission_request;
    let version = admission.work.name();
    let overrides = [
        ("model", raw(version)?),
        ("version", raw(version)?),
        ("stream", raw(&true)?),
        ("max_tokens", raw(&chat.max_tokens)?),
        ("resume_tokens", raw(&chat.prior.output)?),
        ("priority", raw(&admission.priority.index())?),
        ("attempt", raw(&admission.attempt)?),
    ];
    fields.extend(overrides.iter().map(|(name, value)| (*name, &**value)));
    serde_json::to_string(&fields).ok()
}

fn raw<T: Serialize + ?Sized>(value: &T) -> Option<Box<RawValue>> {
    to_raw_value(value).ok()
}

async fn forward(
    mut attempt: Box<Attempt>,
    chat: &Chat,
    events: impl Stream<Item = Option<Event>> + Unpin,
) -> Result<(), WireError> {
    let mut events = events.ready_chunks(MAX_MERGED_EVENTS);
    let mut progress = Progress::default();
    let mut buffer = DeltaBuffer::new(chat.buffered);
    loop {
        let batch = tokio::select! {
            batch = events.next() => batch,
            () = attempt.writer.closed() => return abandon(&attempt, chat, &progress),
            _ = attempt.effects.recv() => return attempt.preempt().await,
        };
        let step = batch.map_or(Step::Broken, |batch| progress.read_batch(batch));
        let ready = match step {
            Step::Text(delta) => buffer.add(delta, progress.done),
            Step::End => buffer.take(),
            Step::Broken => {
                log::warn!(
                    request = attempt.request.as_str(), tokens = progress.output;
                    "the engine's stream broke off or contained an error"
                );
                attempt.runner_failed();
                return attempt.send_failed().await;
            }
        };
        if let Some(delta) = ready
            && attempt.writer.send(&FromSidecar::Delta(delta)).await.is_err()
        {
            return abandon(&attempt, chat, &progress);
        }
        if progress.done {
            return complete(attempt, chat, &progress).await;
        }
    }
}

/// Deltas on their way to the entry: forwarded at once for a streaming response, merged over [`BUFFER_PERIOD`] for a
/// non-streaming one.
struct DeltaBuffer {
    enabled: bool,
    text: String,
    tokens: u64,
    last_sent: Instant,
}

impl DeltaBuffer {
    fn new(enabled: bool) -> Self {
        Self { enabled, text: String::new(), tokens: 0, last_sent: Instant::now() }
    }

    fn add(&mut self, delta: Delta, last: bool) -> Option<Delta> {
        if !self.enabled {
            return Some(delta);
        }
        self.text.push_str(&delta.text);
        self.tokens += delta.tokens.0;
        if last || self.last_sent.elapsed() >= BUFFER_PERIOD { self.take() } else { None }
    }

    fn take(&mut self) -> Option<Delta> {
        self.last_sent = Instant::now();
        let tokens = Tokens(std::mem::take(&mut self.tokens));
        (tokens.0 > 0).then(|| Delta { text: std::mem::take(&mut self.text), tokens })
    }
}

impl Progress {
    fn read_batch(&mut self, batch: Vec<Option<Event>>) -> Step {
        let mut text = String::new();
        let mut tokens = 0;
        for event in batch {
            let Some(event) = event else { return Step::Broken };
            if event.data == END_MARKER {
                self.done = true;
                break;
            }
            let Ok(chunk) = serde_json::from_str::<Chunk>(&event.data) else { return Step::Broken };
            // An engine that fails in the middle of a stream may still send the end marker after its error.
            if chunk.error.is_some() {
                return Step::Broken;
            }
            tokens += self.read_chunk(chunk, &mut text);
        }
        self.output += tokens;
        if tokens == 0 && self.done { Step::End } else { Step::Text(Delta { text, tokens: Tokens(tokens) }) }
    }

    // Returns the number of tokens in the chunk: one if it carries text, else none.
    fn read_chunk(&mut self, chunk: Chunk, text: &mut String) -> u64 {
        if let Some(usage) = chunk.usage {
            self.prompt = usage.prompt_tokens;
        }
        let Some(choice) = chunk.choices.into_iter().next() else { return 0 };
        if choice.finish_reason.is_some() {
            self.finish_reason = choice.finish_reason;
        }
        let Some(content) = choice.delta.and_then(|delta| delta.content) else { return 0 };
        text.push_str(&content);
        1
    }
}

async fn complete(mut attempt: Box<Attempt>, chat: &Chat, progress: &Progress) -> Result<(), WireError> {
    hold_billing_row(&attempt, chat, progress, HOLD_PERIOD);
    attempt.finish();
    let usage = Usage {
        prompt: Tokens(progress.prompt),
        output: Tokens(progress.output),
        reason: progress.finish_reason.clone().unwrap_or_else(|| "stop".to_owned()),
        load: attempt.sidecar.shared.admission.as_ref().map_or(0.0, Admission::load),
    };
    attempt.writer.finish(&FromSidecar::Finished(usage)).await
}

// The entry has disconnected: dropping the engine's response stream cancels the generation. The entry may only have
// lost its connection and continue the answer at another runner, so the billing row for the output so far is held until
// the deadline of such an attempt has passed.
fn abandon(attempt: &Attempt, chat: &Chat, progress: &Progress) -> Result<(), WireError> {
    attempt.abandon();
    hold_billing_row(attempt, chat, progress, attempt.time_limit + HOLD_PERIOD);
    Ok(())
}

fn hold_billing_row(attempt: &Attempt, chat: &Chat, progress: &Progress, period: Duration) {
    let admission = &attempt.admission_request;
    let Work::Version(version) = &admission.work else { return };
    let output = chat.prior.output + Tokens(progress.output);
    let prompt = Tokens(progress.prompt);
    let row = BillRow {
        request: attempt.request.clone(),
        org: admission.org.clone(),
        version: version.clone(),
        priority: admission.priority,
        prompt,
        output,
        cost: chat.price.of(prompt + output),
        attempts: chat.prior.attempts + 1,
    };
    attempt.sidecar.control.defer(Input::Billing(BillingEvent::Hold { row, period }));
}
