//! A model engine: batches continuously, caches prompt prefixes, honours priorities, resumes and cancels streams,
//! and obeys orders to load and unload versions.
//!
//! The text of an answer depends only on version and prompt, so a test can tell a whole answer from a cut one, and
//! a resumed answer goes on exactly where it broke off.

mod batch;
mod cache;
pub mod text;

use std::{
    fs::File,
    io::Write,
    sync::{Arc, Mutex, PoisonError},
    time::Duration,
};

use batch::{Batch, Seat};
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

/// Content to which the engine answers with bytes that are no events, without end.
pub const ENDLESS: &str = "endless-answer";
/// Content that makes the engine crash.
pub const POISON: &str = "crash-engine";
/// Time to read one block of a prompt that is not cached.
const BLOCK_TIME: Duration = Duration::from_micros(50);
/// Time between two load reports.
const REPORT_PERIOD: Duration = Duration::from_millis(500);

struct Engine {
    options: EngineOptions,
    batch: Arc<Batch>,
    cache: Mutex<PrefixCache>,
    log: Mutex<Option<File>>,
    fence: Mutex<u64>,
    unloaded: Mutex<Vec<String>>,
    report: Mutex<LoadReport>,
    bad: Mutex<Vec<String>>,
}

/// What the engine says of its load, some time ago.
#[derive(Debug, Clone, Copy, Default, Serialize)]
struct LoadReport {
    running: usize,
    waiting: usize,
}

/// Body of a chat completion as the engine reads it.
#[derive(Debug, Deserialize)]
struct ChatBody {
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

/// A line of the engine's log.
#[derive(Debug, Serialize)]
struct LogLine<'a> {
    event: &'a str,
    attempt: &'a str,
    version: &'a str,
    from: u64,
}

/// Order to an engine.
#[derive(Debug, Deserialize)]
struct Order {
    fence: u64,
    version: String,
    load: bool,
}

/// Serves an engine.
///
/// # Errors
/// When the log can't be opened or the address can't be listened on.
pub async fn serve(options: EngineOptions) -> Result<(), StandinError> {
    let open = |path: &String| File::options().create(true).append(true).open(path).context(FileSnafu { path });
    let log = options.log.as_ref().map(open).transpose()?;
    let engine = Arc::new(Engine {
        batch: Batch::new(options.batch),
        cache: Mutex::new(PrefixCache::new(options.cache)),
        log: Mutex::new(log),
        fence: Mutex::new(0),
        unloaded: Mutex::default(),
        report: Mutex::default(),
        bad: Mutex::default(),
        options,
    });
    tokio::spawn(report_loads(Arc::clone(&engine)));
    let listen = engine.options.listen.clone();
    let app = Route::new()
        .at("/v1/chat/completions", post(chat))
        .at("/load", get(load))
        .at("/cache/events", get(cache_events))
        .at("/orders", post(order))
        .at("/bad", post(turn_bad))
        .data(engine);
    web::serve(&listen, app).await
}

async fn report_loads(engine: Arc<Engine>) {
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
    fn record(&self, line: &LogLine<'_>) {
        let mut log = lock(&self.log);
        let Some(file) = log.as_mut() else { return };
        if let Ok(text) = serde_json::to_string(line) {
            // A line that can't be written shows up as a run missing from the log.
            let _ = writeln!(file, "{text}");
        }
    }

    fn step(&self) -> Duration {
        let others = self.batch.running().saturating_sub(1) as u64;
        Duration::from_micros(self.options.step + self.options.slope * others)
    }
}

#[handler]
async fn chat(engine: Data<&Arc<Engine>>, body: Body) -> Response {
    let parsed = body.into_bytes().await.ok().and_then(|bytes| serde_json::from_slice::<ChatBody>(&bytes).ok());
    let Some(chat) = parsed else {
        return status(StatusCode::BAD_REQUEST);
    };
    if lock(&engine.unloaded).contains(&chat.version) {
        return status(StatusCode::NOT_FOUND);
    }
    let prompt: String = chat.messages.iter().map(|message| message.content.as_str()).collect();
    let seat = engine.batch.take(chat.priority).await;
    let line = LogLine { event: "start", attempt: &chat.attempt, version: &chat.version, from: chat.resume_tokens };
    engine.record(&line);
    if prompt.contains(POISON) {
        std::process::exit(3);
    }
    if prompt.contains(ENDLESS) {
        return Response::builder().content_type("text/event-stream").body(web::endless());
    }
    let misses = lock(&engine.cache).read(&prompt);
    if engine.options.step > 0 {
        tokio::time::sleep(BLOCK_TIME * misses).await;
    }
    let bad = lock(&engine.bad).contains(&chat.version);
    let answer = Answer::new(&chat.version, &prompt, chat.max_tokens, bad);
    if chat.stream {
        let events = events(Arc::clone(&engine), seat, answer, chat.resume_tokens);
        return Response::builder().content_type("text/event-stream").body(Body::from_bytes_stream(events));
    }
    if engine.options.step > 0 {
        tokio::time::sleep(engine.step() * answer.tokens() as u32).await;
    }
    drop(seat);
    let body = serde_json::json!({
        "object": "chat.completion",
        "choices": [{"index": 0, "message": {"role": "assistant", "content": answer.text(0)}, "finish_reason": "stop"}],
        "usage": {"prompt_tokens": answer.prompt_tokens(), "completion_tokens": answer.tokens()},
    });
    Response::builder().content_type("application/json").body(body.to_string())
}

fn events(
    engine: Arc<Engine>,
    seat: Seat,
    answer: Answer,
    from: u64,
) -> impl Stream<Item = Result<Bytes, std::io::Error>> {
    // The seat is free again as soon as the stream is dropped, at its end or by a caller that goes away.
    let last = answer.tokens();
    let tokens = stream::unfold((from, seat), move |(at, seat)| {
        let engine = Arc::clone(&engine);
        let piece = answer.piece(at);
        let usage = (at >= last).then(|| answer.usage());
        async move {
            if at > last {
                return None;
            }
            if engine.options.step > 0 {
                tokio::time::sleep(engine.step()).await;
            }
            let text = usage.unwrap_or_else(|| text::delta_event(&piece));
            Some((Ok(Bytes::from(text)), (at + 1, seat)))
        }
    });
    tokens.boxed()
}

#[handler]
fn load(engine: Data<&Arc<Engine>>) -> Response {
    let report = *lock(&engine.report);
    Response::builder().content_type("application/json").body(serde_json::json!(report).to_string())
}

#[handler]
fn cache_events(engine: Data<&Arc<Engine>>) -> Response {
    let events = lock(&engine.cache).take_events();
    Response::builder().content_type("application/json").body(serde_json::json!(events).to_string())
}

#[handler]
fn order(engine: Data<&Arc<Engine>>, Json(order): Json<Order>) -> Response {
    let mut fence = lock(&engine.fence);
    if order.fence < *fence && !engine.options.unfenced {
        return status(StatusCode::CONFLICT);
    }
    *fence = order.fence.max(*fence);
    let mut unloaded = lock(&engine.unloaded);
    unloaded.retain(|version| *version != order.version);
    if !order.load {
        unloaded.push(order.version);
    }
    status(StatusCode::OK)
}

/// Makes a version give bad answers from now on.
#[handler]
fn turn_bad(engine: Data<&Arc<Engine>>, Json(version): Json<String>) -> Response {
    lock(&engine.bad).push(version);
    status(StatusCode::OK)
}

fn status(code: StatusCode) -> Response {
    Response::builder().status(code).finish()
}
