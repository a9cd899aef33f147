//! Chat completions.

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
    answer::{Answer, Piece, Question},
    attempt::Job,
    auth, body,
    fault::{Fault, MalformedSnafu, PlanSnafu},
    flow::Flow,
    session::{self, Placed, SESSION_HEADER},
    sse::{self, Naming},
    state::Entry,
};

/// Header that makes a request recognisable when it is sent again.
pub const KEY_HEADER: &str = "idempotency-key";
/// Header with the version that answered.
const VERSION_HEADER: &str = "x-version";
/// Header with the id of the request.
pub const REQUEST_HEADER: &str = "x-request-id";
/// Tokens of an answer where the caller names no number.
const DEFAULT_TOKENS: u64 = 256;
/// Characters taken for one token of a prompt.
const CHARS_PER_TOKEN: usize = 4;
/// Patience for a rank without a latency target.
const DEFAULT_PATIENCE: Duration = Duration::from_secs(10);
/// Longest idempotency key, in bytes.
pub const MAX_KEY_BYTES: usize = 64;

/// The fields of a request that the router needs; the others go to the engine as they are.
#[derive(Debug, Deserialize)]
struct ChatBody {
    #[serde(default)]
    model: String,
    messages: Vec<serde::de::IgnoredAny>,
    max_tokens: Option<u64>,
    #[serde(default)]
    stream: bool,
}

/// Answers a chat completion.
#[handler]
pub async fn complete(entry: Data<&Arc<Entry>>, request: &Request, body: Body) -> Response {
    match answer(&entry, request, body).await {
        Ok(response) => response,
        Err(fault) => {
            info!(code = fault.to_string().as_str(); "request not served");
            fault.response()
        }
    }
}

async fn answer(entry: &Arc<Entry>, request: &Request, body: Body) -> Result<Response, Fault> {
    let caller = auth::caller(entry, request)?;
    let priority = auth::priority(request, &caller.policy)?;
    let limits = &caller.policy.limits;
    let bytes = body::read(body, limits.body).await?;
    let chat: ChatBody = serde_json::from_slice(&bytes).map_err(malformed)?;
    ensure!(!chat.messages.is_empty(), MalformedSnafu { reason: "messages is empty" });
    let max_tokens = Tokens(chat.max_tokens.unwrap_or(DEFAULT_TOKENS.min(limits.max_tokens.0)));
    let reason = format!("max_tokens is 1 to {}", limits.max_tokens);
    ensure!(max_tokens.0 > 0 && max_tokens <= limits.max_tokens, MalformedSnafu { reason });
    let flow = Flow::begin(entry, &caller, priority)?;
    let placed = session::place(entry, &caller, request, &Wanted::from_field(&chat.model)).await?;
    let version = first_served(entry, &placed);
    caller.plan.check_version(&caller.policy.branch, &caller.org, &version).context(PlanSnafu)?;
    let request_id = request_id(request, &caller.org)?;
    let naming = Naming { request: request_id.clone(), version: version.clone() };
    let patience = caller.policy.targets.get(&priority).map_or(DEFAULT_PATIENCE, |target| target.first_token);
    let job = Job {
        fingerprint: Fingerprint::of(request.uri().path(), Some(&caller.org), &bytes),
        request: request_id,
        org: caller.org.clone(),
        branch: caller.policy.branch.clone(),
        priority,
        cost: max_tokens.0 + (bytes.len() / CHARS_PER_TOKEN) as u64,
        patience,
    };
    let question = Question {
        job,
        price: caller.plan.price(&version),
        version,
        body: String::from_utf8_lossy(&bytes).into_owned(),
        max_tokens,
        stream: chat.stream,
        deadline: limits.deadline,
    };
    respond(Answer::new(flow, question), naming, placed.token, chat.stream).await
}

fn malformed(error: serde_json::Error) -> Fault {
    Fault::Malformed { reason: error.to_string() }
}

// Inside a session there is only one; otherwise a version without any runner in sight gives way to the next.
fn first_served(entry: &Entry, placed: &Placed) -> VersionId {
    let subset = entry.shared.subset.load();
    let served = |version: &&VersionId| subset.by_target.contains_key(version.as_str());
    placed.versions.iter().find(served).unwrap_or(&placed.versions[0]).clone()
}

/// Id of a request: the same each time for the same organisation and idempotency key.
///
/// # Errors
/// When the key is too long.
pub fn request_id(request: &Request, org: &OrgId) -> Result<RequestId, Fault> {
    let text = match request.header(KEY_HEADER) {
        Some(key) => {
            let reason = format!("an idempotency key has 1 to {MAX_KEY_BYTES} bytes");
            ensure!((1..=MAX_KEY_BYTES).contains(&key.len()), MalformedSnafu { reason });
            digest(&format!("{org} {key}"))[..32].to_owned()
        }
        None => format!("{:032x}", rand::rng().random::<u128>()),
    };
    text.parse().map_err(|error: bluebell_core::ids::IdError| Fault::Malformed { reason: error.to_string() })
}

async fn respond(mut answer: Answer, naming: Naming, token: String, streamed: bool) -> Result<Response, Fault> {
    let builder = Response::builder()
        .header(SESSION_HEADER, token)
        .header(VERSION_HEADER, naming.version.as_str())
        .header(REQUEST_HEADER, naming.request.as_str());
    let first = answer.next().await?;
    if streamed {
        let events = events(answer, naming, first);
        let body = Body::from_bytes_stream(events);
        return Ok(builder.content_type("text/event-stream").body(body));
    }
    let mut text = String::new();
    let mut piece = first;
    loop {
        match piece {
            Piece::Delta(delta) => text.push_str(&delta.text),
            Piece::Done(usage) => {
                return Ok(builder.content_type("application/json").body(naming.whole(&text, &usage)));
            }
        }
        piece = answer.next().await?;
    }
}

enum Stage {
    First(Piece),
    Rest,
    Over,
}

fn events(answer: Answer, naming: Naming, first: Piece) -> impl Stream<Item = Result<Bytes, io::Error>> {
    stream::unfold((answer, naming, Stage::First(first)), |(mut answer, naming, stage)| async move {
        let piece = match stage {
            Stage::First(piece) => Ok(piece),
            Stage::Rest => answer.next().await,
            Stage::Over => return None,
        };
        let (event, stage) = match piece {
            Ok(Piece::Delta(delta)) => (naming.delta(&delta.text), Stage::Rest),
            Ok(Piece::Done(usage)) => (naming.done(&usage), Stage::Over),
            Err(fault) => (sse::fault(&fault), Stage::Over),
        };
        Some((Ok(event), (answer, naming, stage)))
    })
}
