//! A simulated model engine with continuous batching, a prefix cache, priorities, stream resumption and cancellation,
//! and orders to load and unload versions.
//!
//! Answers are deterministic: their text depends only on the version, the prompt and whether the version is marked as
//! bad. A test can therefore tell a complete answer from a truncated one, and a resumed stream continues exactly where
//! it was interrupted.

mod batch;
mod cache;
pub mod text;

use std::{
    fs::File,
    io::Write,
    sync::{Arc, Mutex, PoisonError},
    time::Duration,
};

use batch::{Batch, Slot};
use bytes::Bytes;
use cache::PrefixCache;
use futures_util::{Stream, StreamExt, stream};
use poem::{
    Body, EndpointExt, Response, Route, get, handler,
    http::StatusCode,
    post,
    web::{Data, Json},
};
use serde::{Deserialize, Serialize};
use snafu::ResultExt;
use text::Answer;

use crate::{
    args::EngineOptions,
    error::{FileSnafu, StandinError},
    web,
};

/// A prompt with this text gets an unbounded answer of bytes that are not events.
pub const ENDLESS: &str = "endless-answer";
/// A prompt with this text crashes the engine.
pub const POISON: &str = "crash-engine";
/// A stream for a prompt with this text ends with an error after some tokens, unless it is resumed.
pub const ERROR_EVENT: &str = "error-in-stream";
/// Number of tokens before that error.
const TOKENS_BEFORE_ERROR: u64 = 5;
/// Time between those tokens and the error, in which they are forwarded.
const ERROR_DELAY: Duration = Duration::from_millis(200);
/// Time to process one prompt block that is not cached.
const BLOCK_TIME: Duration = Duration::from_micros(50);
/// Time between two refreshes of the load report.
const REPORT_PERIOD: Duration = Duration::from_millis(500);

struct Engine {
    options: EngineOptions,
    batch: Arc<Batch>,
    cache: Mutex<PrefixCache>,
    log: Mutex<Option<File>>,
    // Highest fencing number of an accepted order.
    fence: Mutex<u64>,
    unloaded_versions: Mutex<Vec<String>>,
    report: Mutex<LoadReport>,
    bad_versions: Mutex<Vec<String>>,
}

/// The load that the engine reports. It is refreshed periodically, so it lags behind.
#[derive(Debug, Clone, Copy, Default, Serialize)]
struct LoadReport {
    running: usize,
    waiting: usize,
}

/// Body of a chat completion request, as far as the engine reads it.
#[derive(Debug, Deserialize)]
struct ChatRequest {
    #[serde(default)]
    version: String,
    #[serde(default)]
    messages: Vec<Message>,
    #[serde(default = "default_tokens")]
    max_tokens: u64,
    #[serde(default)]
    stream: bool,
    #[serde(default)]
    priority: u8,
    #[serde(default)]
    resume_tokens: u64,
    #[serde(default)]
    attempt: String,
}

fn default_tokens() -> u64 {
    16
}

#[derive(Debug, Deserialize)]
struct Message {
    content: String,
}

/// A line of the engine's run log.
#[derive(Debug, Serialize)]
struct LogLine<'a> {
    event: &'a str,
    attempt: &'a str,
    version: &'a str,
    from: u64,
}

/// An order to load or unload a version.
#[derive(Debug, Deserialize)]
struct Order {
    fence: u64,
    version: String,
    load: bool,
}

/// Serves an engine until the process ends.
///
/// # Errors
/// If the log cannot be opened or the address cannot be bound.
pub async fn serve(options: EngineOptions) -> Result<(), StandinError> {
    let open = |path: &String| File::options().create(true).append(true).open(path).context(FileSnafu { path });
    let log = options.log.as_ref().map(open).transpose()?;
    let engine = Arc::new(Engine {
        batch: Batch::new(options.batch),
        cache: Mutex::new(PrefixCache::new(options.cache)),
        log: Mutex::new(log),
        fence: Mutex::new(0),
        unloaded_versions: Mutex::default(),
        report: Mutex::default(),
        bad_versions: Mutex::default(),
        options,
    });
    tokio::spawn(refresh_load_report(Arc::clone(&engine)));
    let listen = engine.options.listen.clone();
    let app = Route::new()
        .at("/v1/chat/completions", post(chat))
        .at("/load", get(load_report))
        .at("/cache/events", get(cache_events))
        .at("/orders", post(handle_order))
        .at("/bad", post(mark_version_bad))
        .data(engine);
    web::serve(&listen, app).await
}

async fn refresh_load_report(engine: Arc<Engine>) {
    loop {
        tokio::time::sleep(REPORT_PERIOD).await;
        let report = LoadReport { running: engine.batch.running(), waiting: engine.batch.waiting() };
        *lock(&engine.report) = report;
    }
}

fn lock<T>(mutex: &Mutex<T>) -> std::sync::MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl Engine {
    fn log_run(&self, line: &LogLine<'_>) {
        let mut log = lock(&self.log);
        let Some(file) = log.as_mut() else { return };
        if let Ok(text) = serde_json::to_string(line) {
            // A failed write is ignored: tests notice the run that is missing from the log.
            let _ = writeln!(file, "{text}");
        }
    }

    // Time to decode one token of each running sequence.
    fn step_time(&self) -> Duration {
        let others = self.batch.running().saturating_sub(1) as u64;
        Duration::from_micros(self.options.step + self.options.slope * others)
    }
}

#[handler]
async fn chat(engine: Data<&Arc<Engine>>, body: Body) -> Response {
    let parsed = body.into_bytes().await.ok().and_then(|bytes| serde_json::from_slice::<ChatRequest>(&bytes).ok());
    let Some(chat) = parsed else {
        return status(StatusCode::BAD_REQUEST);
    };
    if lock(&engine.unloaded_versions).contains(&chat.version) {
        return status(StatusCode::NOT_FOUND);
    }
    let prompt: String = chat.messages.iter().map(|message| message.content.as_str()).collect();
    let slot = engine.batch.acquire(chat.priority).await;
    let line = LogLine { event: "start", attempt: &chat.attempt, version: &chat.version, from: chat.resume_tokens };
    engine.log_run(&line);
    if prompt.contains(POISON) {
        std::process::exit(3);
    }
    if prompt.contains(ENDLESS) {
        return Response::builder().content_type("text/event-stream").body(web::endless());
    }
    let misses = lock(&engine.cache).lookup(&prompt);
    if engine.options.step > 0 {
        tokio::time::sleep(BLOCK_TIME * misses).await;
    }
    let bad = lock(&engine.bad_versions).contains(&chat.version);
    let answer = Answer::new(&chat.version, &prompt, chat.max_tokens, bad);
    if chat.stream && chat.resume_tokens == 0 && prompt.contains(ERROR_EVENT) {
        let events = events_with_error(slot, answer);
        return Response::builder().content_type("text/event-stream").body(Body::from_bytes_stream(events));
    }
    if chat.stream {
        let events = answer_events(Arc::clone(&engine), slot, answer, chat.resume_tokens);
        return Response::builder().content_type("text/event-stream").body(Body::from_bytes_stream(events));
    }
    if engine.options.step > 0 {
        tokio::time::sleep(engine.step_time() * answer.tokens() as u32).await;
    }
    drop(slot);
    let body = serde_json::json!({
        "object": "chat.completion",
        "choices": [{"index": 0, "message": {"role": "assistant", "content": answer.text(0)}, "finish_reason": "stop"}],
        "usage": {"prompt_tokens": answer.prompt_tokens(), "completion_tokens": answer.tokens()},
    });
    Response::builder().content_type("application/json").body(body.to_string())
}

fn answer_events(
    engine: Arc<Engine>,
    slot: Slot,
    answer: Answer,
    from: u64,
) -> impl Stream<Item = Result<Bytes, std::io::Error>> {
    // The stream owns the slot, which is freed when the stream ends or the caller disconnects.
    let token_count = answer.tokens();
    let tokens = stream::unfold((from, slot), move |(at, slot)| {
        let engine = Arc::clone(&engine);
        let token = answer.token(at);
        let final_events = (at >= token_count).then(|| answer.final_events());
        async move {
            if at > token_count {
                return None;
            }
            if engine.options.step > 0 {
                tokio::time::sleep(engine.step_time()).await;
            }
            let text = final_events.unwrap_or_else(|| text::delta_event(&token));
            Some((Ok(Bytes::from(text)), (at + 1, slot)))
        }
    });
    tokens.boxed()
}

fn events_with_error(slot: Slot, answer: Answer) -> impl Stream<Item = Result<Bytes, std::io::Error>> {
    let tokens: String = (0..TOKENS_BEFORE_ERROR).map(|at| text::delta_event(&answer.token(at))).collect();
    let error = async move {
        tokio::time::sleep(ERROR_DELAY).await;
        drop(slot);
        Ok(Bytes::from(text::error_events()))
    };
    stream::once(async { Ok(Bytes::from(tokens)) }).chain(stream::once(error)).boxed()
}

#[handler]
fn load_report(engine: Data<&Arc<Engine>>) -> Response {
    let report = *lock(&engine.report);
    Response::builder().content_type("application/json").body(serde_json::json!(report).to_string())
}

#[handler]
fn cache_events(engine: Data<&Arc<Engine>>) -> Response {
    let events = lock(&engine.cache).take_events();
    Response::builder().content_type("application/json").body(serde_json::json!(events).to_string())
}

#[handler]
fn handle_order(engine: Data<&Arc<Engine>>, Json(order): Json<Order>) -> Response {
    let mut fence = lock(&engine.fence);
    if order.fence < *fence && !engine.options.unfenced {
        return status(StatusCode::CONFLICT);
    }
    *fence = order.fence.max(*fence);
    let mut unloaded_versions = lock(&engine.unloaded_versions);
    unloaded_versions.retain(|version| *version != order.version);
    if !order.load {
        unloaded_versions.push(order.version);
    }
    status(StatusCode::OK)
}

/// Makes a version give bad answers from now on.
#[handler]
fn mark_version_bad(engine: Data<&Arc<Engine>>, Json(version): Json<String>) -> Response {
    lock(&engine.bad_versions).push(version);
    status(StatusCode::OK)
}

fn status(code: StatusCode) -> Response {
    Response::builder().status(code).finish()
}
