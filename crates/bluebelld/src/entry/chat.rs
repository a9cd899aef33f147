//! Endpoint for chat completions.

use std::{io, sync::Arc, time::Duration};

use bluebell_core::{
    ids::{OrgId, RequestId, VersionId},
    keys::digest,
    poison::Fingerprint,
    routing::Wanted,
    units::Tokens,
};
use bytes::Bytes;
use futures_util::{Stream, stream};
use log::info;
use poem::{Body, Request, Response, handler, web::Data};
use rand::Rng;
use serde::Deserialize;
use snafu::{ResultExt, ensure};

use super::{
    active_request::ActiveRequest,
    attempt::Job,
    auth, body,
    generation::{Generation, GenerationEvent, GenerationParams},
    request_error::{MalformedSnafu, PlanSnafu, RequestError},
    session::{self, SESSION_HEADER, SessionVersions},
    sse::{self, CompletionFormatter},
    state::Entry,
};

/// Header with the caller's idempotency key, by which repeats of a request are recognised.
pub const IDEMPOTENCY_KEY_HEADER: &str = "idempotency-key";
/// Response header with the model version that answered.
const VERSION_HEADER: &str = "x-version";
/// Response header with the id of the request.
pub const REQUEST_ID_HEADER: &str = "x-request-id";
/// Default of `max_tokens`, if the caller's limit is not lower.
const DEFAULT_MAX_TOKENS: u64 = 256;
/// Body bytes counted as one prompt token in the cost estimate.
const BYTES_PER_TOKEN: usize = 4;
/// Maximum queueing time for priorities without a latency target.
const DEFAULT_MAX_WAIT: Duration = Duration::from_secs(10);
pub const MAX_IDEMPOTENCY_KEY_BYTES: usize = 64;

/// Fields of the request body that the router needs. The body is forwarded to the runner with all its fields.
#[derive(Debug, Deserialize)]
struct ChatBody {
    #[serde(default)]
    model: String,
    messages: Vec<serde::de::IgnoredAny>,
    max_tokens: Option<u64>,
    #[serde(default)]
    stream: bool,
}

/// Handles a chat completion request.
#[handler]
pub async fn complete(entry: Data<&Arc<Entry>>, request: &Request, body: Body) -> Response {
    match handle(&entry, request, body).await {
        Ok(response) => response,
        Err(error) => {
            info!(code = error.to_string().as_str(); "request not served");
            error.response()
        }
    }
}

async fn handle(entry: &Arc<Entry>, request: &Request, body: Body) -> Result<Response, RequestError> {
    let caller = auth::authenticate_caller(entry, request)?;
    let priority = auth::priority(request, &caller.policy)?;
    let limits = &caller.policy.limits;
    let bytes = body::read(body, limits.body).await?;
    let chat: ChatBody = serde_json::from_slice(&bytes).map_err(malformed)?;
    ensure!(!chat.messages.is_empty(), MalformedSnafu { reason: "messages is empty" });
    let max_tokens = Tokens(chat.max_tokens.unwrap_or(DEFAULT_MAX_TOKENS.min(limits.max_tokens.0)));
    let reason = format!("max_tokens is 1 to {}", limits.max_tokens);
    ensure!(max_tokens.0 > 0 && max_tokens <= limits.max_tokens, MalformedSnafu { reason });
    let active = ActiveRequest::admit(entry, &caller, priority)?;
    let resolved = session::resolve_versions(entry, &caller, request, &Wanted::from_field(&chat.model)).await?;
    let version = first_served_version(entry, &resolved);
    caller.plan.check_version(&caller.policy.branch, &caller.org, &version).context(PlanSnafu)?;
    let request_id = request_id(request, &caller.org)?;
    let formatter = CompletionFormatter { request_id: request_id.clone(), version: version.clone() };
    let max_wait = caller.policy.targets.get(&priority).map_or(DEFAULT_MAX_WAIT, |target| target.first_token);
    let job = Job {
        fingerprint: Fingerprint::of(request.uri().path(), Some(&caller.org), &bytes),
        request_id,
        org: caller.org.clone(),
        branch: caller.policy.branch.clone(),
        priority,
        cost: max_tokens.0 + (bytes.len() / BYTES_PER_TOKEN) as u64,
        max_wait,
    };
    let params = GenerationParams {
        job,
        price: caller.plan.price(&version),
        version,
        body: String::from_utf8_lossy(&bytes).into_owned(),
        max_tokens,
        streaming: chat.stream,
        time_limit: limits.deadline,
    };
    respond(Generation::new(active, params), formatter, resolved.token, chat.stream).await
}

fn malformed(error: serde_json::Error) -> RequestError {
    RequestError::Malformed { reason: error.to_string() }
}

// The best version for which this entry knows a runner, or the best one if there is none. Requests within a session
// have just one version.
fn first_served_version(entry: &Entry, resolved: &SessionVersions) -> VersionId {
    let subset = entry.shared.subset.load();
    let served = |version: &&VersionId| subset.by_target.contains_key(version.as_str());
    resolved.versions.iter().find(served).unwrap_or(&resolved.versions[0]).clone()
}

/// Returns the id of a request: derived from the organisation and idempotency key, or random if there is no key.
///
/// # Errors
/// If the key is empty or too long.
pub fn request_id(request: &Request, org: &OrgId) -> Result<RequestId, RequestError> {
    let text = match request.header(IDEMPOTENCY_KEY_HEADER) {
        Some(key) => {
            let reason = format!("an idempotency key has 1 to {MAX_IDEMPOTENCY_KEY_BYTES} bytes");
            ensure!((1..=MAX_IDEMPOTENCY_KEY_BYTES).contains(&key.len()), MalformedSnafu { reason });
            digest(&format!("{org} {key}"))[..32].to_owned()
        }
        None => format!("{:032x}", rand::rng().random::<u128>()),
    };
    text.parse().map_err(|error: bluebell_core::ids::IdError| RequestError::Malformed { reason: error.to_string() })
}

async fn respond(
    mut generation: Generation,
    formatter: CompletionFormatter,
    token: String,
    streaming: bool,
) -> Result<Response, RequestError> {
    let builder = Response::builder()
        .header(SESSION_HEADER, token)
        .header(VERSION_HEADER, formatter.version.as_str())
        .header(REQUEST_ID_HEADER, formatter.request_id.as_str());
    let first = generation.next().await?;
    if streaming {
        let events = event_stream(generation, formatter, first);
        let body = Body::from_bytes_stream(events);
        return Ok(builder.content_type("text/event-stream").body(body));
    }
    let mut text = String::new();
    let mut event = first;
    loop {
        match event {
            GenerationEvent::Delta(delta) => text.push_str(&delta.text),
            GenerationEvent::Done(usage) => {
                return Ok(builder.content_type("application/json").body(formatter.full_response(&text, &usage)));
            }
        }
        event = generation.next().await?;
    }
}

enum StreamState {
    First(GenerationEvent),
    Streaming,
    Ended,
}

fn event_stream(
    generation: Generation,
    formatter: CompletionFormatter,
    first: GenerationEvent,
) -> impl Stream<Item = Result<Bytes, io::Error>> {
    stream::unfold(
        (generation, formatter, StreamState::First(first)),
        |(mut generation, formatter, state)| async move {
            let event = match state {
                StreamState::First(event) => Ok(event),
                StreamState::Streaming => generation.next().await,
                StreamState::Ended => return None,
            };
            let (bytes, state) = match event {
                Ok(GenerationEvent::Delta(delta)) => (formatter.delta_event(&delta.text), StreamState::Streaming),
                Ok(GenerationEvent::Done(usage)) => (formatter.final_events(&usage), StreamState::Ended),
                Err(error) => (sse::error_event(&error), StreamState::Ended),
            };
            Some((Ok(bytes), (generation, formatter, state)))
        },
    )
}
