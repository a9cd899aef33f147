//! A chat completion at a model engine: always streamed, continued from what the caller has already.

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
use serde::{Deserialize, Serialize};
use serde_json::value::{RawValue, to_raw_value};
use snafu::{ResultExt, Snafu, ensure};
use tokio::time::Instant;

use super::attempt::Attempt;
use crate::shared::Admission;

/// Events of an engine that are passed on together when they are there together.
const MERGED_EVENTS: usize = 64;
/// Time for which pieces are gathered for a caller that waits for the whole; what is gathered when the runner fails is
/// generated again.
const GATHER_TIME: Duration = Duration::from_millis(100);
/// Bytes that may come from an engine without an event.
const MAX_EVENT_BYTES: usize = 64 << 10;
/// Data of the event that ends a stream.
const DONE: &str = "[DONE]";

/// An engine's stream that can't be read on.
#[derive(Debug, Snafu)]
enum StreamError {
    #[snafu(display("the engine's stream broke off: {source}"))]
    Broken { source: reqwest::Error },
    #[snafu(display("more than {MAX_EVENT_BYTES} bytes without an event"))]
    Endless,
}

#[derive(Debug, Deserialize)]
struct Chunk {
    #[serde(default)]
    choices: Vec<Choice>,
    usage: Option<EngineUsage>,
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

/// What an engine has given so far.
#[derive(Debug, Default)]
struct Progress {
    output: u64,
    prompt: u64,
    reason: Option<String>,
    done: bool,
}

/// How an engine's stream went on.
enum Step {
    Text(Delta),
    End,
    Broken,
}

/// Runs a chat completion.
///
/// # Errors
/// When the connection to the entry broke.
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
        _ = attempt.effects.recv() => return attempt.give_way().await,
    };
    match response {
        Ok(response) if response.status().is_success() => {
            let idle = Arc::new(AtomicUsize::new(0));
            let seen = Arc::clone(&idle);
            let events = bounded(response.bytes_stream(), idle).eventsource().map(Result::ok);
            let events = events.inspect(|_| seen.store(0, Ordering::Relaxed));
            pass_on(attempt, &chat, events).await
        }
        Ok(response) => {
            log::warn!(status = response.status().as_u16(); "the engine refused an attempt");
            attempt.finish();
            attempt.refuse(Refusal::new(RefusalReason::NotServed, DEFAULT_PAUSE)).await
        }
        Err(error) if error.is_connect() => {
            attempt.fail();
            attempt.refuse(Refusal::new(RefusalReason::RunnerDown, DEFAULT_PAUSE)).await
        }
        Err(error) => {
            log::warn!("the engine failed under an attempt: {error}");
            attempt.fail();
            attempt.report_failure().await
        }
    }
}

// Ends once too many bytes come without an event.
fn bounded(
    bytes: impl Stream<Item = reqwest::Result<Bytes>>,
    idle: Arc<AtomicUsize>,
) -> impl Stream<Item = Result<Bytes, StreamError>> {
    bytes.map(move |piece| {
        let piece = piece.context(BrokenSnafu)?;
        let held = idle.fetch_add(piece.len(), Ordering::Relaxed) + piece.len();
        ensure!(held <= MAX_EVENT_BYTES, EndlessSnafu);
        Ok(piece)
    })
}

// The caller's body with the router's own fields put in; none when the body is not a JSON object.
fn engine_body(attempt: &Attempt, chat: &Chat) -> Option<String> {
    let mut fields: BTreeMap<&str, &RawValue> = serde_json::from_str(&chat.body).ok()?;
    let ask = &attempt.ask;
    let version = ask.work.name();
    let own = [
        ("model", raw(version)?),
        ("version", raw(version)?),
        ("stream", raw(&true)?),
        ("max_tokens", raw(&chat.max_tokens)?),
        ("resume_tokens", raw(&chat.prior.output)?),
        ("priority", raw(&ask.priority.index())?),
        ("attempt", raw(&ask.attempt)?),
    ];
    fields.extend(own.iter().map(|(name, value)| (*name, &**value)));
    serde_json::to_string(&fields).ok()
}

fn raw<T: Serialize + ?Sized>(value: &T) -> Option<Box<RawValue>> {
    to_raw_value(value).ok()
}

async fn pass_on(
    mut attempt: Box<Attempt>,
    chat: &Chat,
    events: impl Stream<Item = Option<Event>> + Unpin,
) -> Result<(), WireError> {
    let mut events = events.ready_chunks(MERGED_EVENTS);
    let mut progress = Progress::default();
    let mut pieces = Pieces::new(chat.buffered);
    loop {
        let batch = tokio::select! {
            batch = events.next() => batch,
            () = attempt.writer.closed() => return abandon(&attempt, chat, &progress),
            _ = attempt.effects.recv() => return attempt.give_way().await,
        };
        let step = batch.map_or(Step::Broken, |batch| progress.take(batch));
        let ready = match step {
            Step::Text(delta) => pieces.add(delta, progress.done),
            Step::End => pieces.take(),
            Step::Broken => {
                attempt.fail();
                return attempt.report_failure().await;
            }
        };
        if let Some(delta) = ready
            && attempt.writer.send(&FromSidecar::Delta(delta)).await.is_err()
        {
            return abandon(&attempt, chat, &progress);
        }
        if progress.done {
            return end(attempt, chat, &progress).await;
        }
    }
}

/// Pieces of an answer on their way to the entry: each at once for a caller that reads along, gathered for a while
/// for one that waits for the whole.
struct Pieces {
    gather: bool,
    text: String,
    tokens: u64,
    sent: Instant,
}

impl Pieces {
    fn new(gather: bool) -> Self {
        Self { gather, text: String::new(), tokens: 0, sent: Instant::now() }
    }

    fn add(&mut self, delta: Delta, last: bool) -> Option<Delta> {
        if !self.gather {
            return Some(delta);
        }
        self.text.push_str(&delta.text);
        self.tokens += delta.tokens.0;
        if last || self.sent.elapsed() >= GATHER_TIME { self.take() } else { None }
    }

    fn take(&mut self) -> Option<Delta> {
        self.sent = Instant::now();
        let tokens = Tokens(std::mem::take(&mut self.tokens));
        (tokens.0 > 0).then(|| Delta { text: std::mem::take(&mut self.text), tokens })
    }
}

impl Progress {
    fn take(&mut self, batch: Vec<Option<Event>>) -> Step {
        let mut text = String::new();
        let mut tokens = 0;
        for event in batch {
            let Some(event) = event else { return Step::Broken };
            if event.data == DONE {
                self.done = true;
                break;
            }
            let Ok(chunk) = serde_json::from_str::<Chunk>(&event.data) else { return Step::Broken };
            tokens += self.read(chunk, &mut text);
        }
        self.output += tokens;
        if tokens == 0 && self.done { Step::End } else { Step::Text(Delta { text, tokens: Tokens(tokens) }) }
    }

    // Gives the number of tokens read.
    fn read(&mut self, chunk: Chunk, text: &mut String) -> u64 {
        if let Some(usage) = chunk.usage {
            self.prompt = usage.prompt_tokens;
        }
        let Some(choice) = chunk.choices.into_iter().next() else { return 0 };
        if choice.finish_reason.is_some() {
            self.reason = choice.finish_reason;
        }
        let Some(content) = choice.delta.and_then(|delta| delta.content) else { return 0 };
        text.push_str(&content);
        1
    }
}

async fn end(mut attempt: Box<Attempt>, chat: &Chat, progress: &Progress) -> Result<(), WireError> {
    hold_row(&attempt, chat, progress, HOLD_PERIOD);
    attempt.finish();
    let usage = Usage {
        prompt: Tokens(progress.prompt),
        output: Tokens(progress.output),
        reason: progress.reason.clone().unwrap_or_else(|| "stop".to_owned()),
        load: attempt.sidecar.shared.admission.as_ref().map_or(0.0, Admission::load),
    };
    attempt.writer.finish(&FromSidecar::Finished(usage)).await
}

// Nobody listens: the engine's stream is dropped, which cancels it there. The entry may only be cut off and go on
// elsewhere, so the row of what was generated here waits until that would be over.
fn abandon(attempt: &Attempt, chat: &Chat, progress: &Progress) -> Result<(), WireError> {
    attempt.abandon();
    hold_row(attempt, chat, progress, attempt.deadline + HOLD_PERIOD);
    Ok(())
}

fn hold_row(attempt: &Attempt, chat: &Chat, progress: &Progress, period: Duration) {
    let ask = &attempt.ask;
    let Work::Version(version) = &ask.work else { return };
    let output = chat.prior.output + Tokens(progress.output);
    let prompt = Tokens(progress.prompt);
    let row = BillRow {
        request: attempt.request.clone(),
        org: ask.org.clone(),
        version: version.clone(),
        priority: ask.priority,
        prompt,
        output,
        cost: chat.price.of(prompt + output),
        attempts: chat.prior.attempts + 1,
    };
    attempt.sidecar.control.defer(Input::Billing(BillingEvent::Hold { row, period }));
}
