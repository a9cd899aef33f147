//! HTTP clients of the entries of a fleet.

use std::time::Duration;

use reqwest::Client;
use serde_json::{Value, json};

/// API key of the vans of the organisation Maktabat Atlas; urgent priority.
pub const ATLAS_VAN: &str = "atlas-van-key";
/// API key of the desk of Maktabat Atlas; batch priority.
pub const ATLAS_DESK: &str = "atlas-desk-key";
/// API key of the counter of the organisation Kovács Prizmatika; urgent priority.
pub const KOVACS_COUNTER: &str = "kovacs-counter-key";
/// API key of the bench of Kovács Prizmatika.
pub const KOVACS_BENCH: &str = "kovacs-bench-key";

/// Time within which a caller must have its complete response.
const CALLER_TIMEOUT: Duration = Duration::from_secs(30);

/// An HTTP client of one entry, with the API key of an organisation or of the operator.
#[derive(Clone)]
pub struct Caller {
    client: Client,
    entry: String,
    key: String,
}

/// A response as the caller received it.
#[derive(Debug, Clone)]
pub struct Response {
    /// HTTP status; zero if the connection failed before a status arrived.
    pub status: u16,
    /// Model version that served the request.
    pub version: String,
    /// Session id for further requests.
    pub session: String,
    /// Request id.
    pub request_id: String,
    /// Text of the response.
    pub text: String,
    /// Whether the response is complete; a stream is complete if it ended with `[DONE]`.
    pub complete: bool,
    /// The `error` object of the response; null if there is none.
    pub error: Value,
    /// Seconds after which to retry.
    pub retry_after: Option<u64>,
}

impl Response {
    fn connection_failed() -> Self {
        Self {
            status: 0,
            version: String::new(),
            session: String::new(),
            request_id: String::new(),
            text: String::new(),
            complete: false,
            error: Value::Null,
            retry_after: None,
        }
    }

    /// Whether the request ran, as the router reports it: `yes`, `no` or `unknown`; empty if there is no error.
    pub fn ran(&self) -> &str {
        self.error["ran"].as_str().unwrap_or("")
    }

    /// Error code; empty if there is no error.
    pub fn code(&self) -> &str {
        self.error["code"].as_str().unwrap_or("")
    }
}

/// A chat completion request.
#[derive(Debug, Clone)]
pub struct ChatRequest<'a> {
    /// Requested model, model version, or `auto`.
    pub model: &'a str,
    /// The prompt.
    pub prompt: &'a str,
    /// Maximum number of tokens to generate.
    pub tokens: u64,
    /// Whether to stream the response.
    pub stream: bool,
    /// Id of the session that the request belongs to.
    pub session: Option<&'a str>,
    /// Idempotency key.
    pub key: Option<&'a str>,
}

impl Default for ChatRequest<'_> {
    fn default() -> Self {
        Self { model: "auto", prompt: "where is my book", tokens: 8, stream: true, session: None, key: None }
    }
}

impl Caller {
    /// Creates a caller of the entry at an address.
    pub fn new(entry: &str, key: &str) -> Self {
        let client = Client::builder().timeout(CALLER_TIMEOUT).build().expect("the HTTP client should build");
        Self { client, entry: format!("http://{entry}"), key: key.to_owned() }
    }

    /// Sends a chat completion request and reads the response to its end.
    pub async fn chat(&self, request: &ChatRequest<'_>) -> Response {
        let body = json!({
            "model": request.model,
            "stream": request.stream,
            "max_tokens": request.tokens,
            "messages": [{"role": "user", "content": request.prompt}],
        });
        let mut builder = self.client.post(format!("{}/v1/chat/completions", self.entry)).bearer_auth(&self.key);
        if let Some(session) = request.session {
            builder = builder.header("x-session-id", session);
        }
        if let Some(key) = request.key {
            builder = builder.header("idempotency-key", key);
        }
        match builder.json(&body).send().await {
            Ok(http_response) => read(http_response, request.stream).await,
            Err(_) => Response::connection_failed(),
        }
    }

    /// Calls a service; `key` is the idempotency key.
    pub async fn call(&self, service: &str, path: &str, key: Option<&str>, body: &str) -> Response {
        let url = format!("{}/v1/services/{service}/{path}", self.entry);
        let mut builder = self.client.post(url).bearer_auth(&self.key).body(body.to_owned());
        if let Some(key) = key {
            builder = builder.header("idempotency-key", key);
        }
        match builder.send().await {
            Ok(http_response) => read(http_response, false).await,
            Err(_) => Response::connection_failed(),
        }
    }

    /// Requests a path with GET; returns status and body, or a zero status if the connection failed.
    pub async fn get(&self, path: &str) -> (u16, String) {
        match self.client.get(format!("{}{path}", self.entry)).bearer_auth(&self.key).send().await {
            Ok(http_response) => (http_response.status().as_u16(), http_response.text().await.unwrap_or_default()),
            Err(_) => (0, String::new()),
        }
    }
}

async fn read(http_response: reqwest::Response, streamed: bool) -> Response {
    let header = |name: &str| {
        http_response.headers().get(name).and_then(|value| value.to_str().ok()).unwrap_or_default().to_owned()
    };
    let mut response = Response {
        status: http_response.status().as_u16(),
        version: header("x-version"),
        session: header("x-session-id"),
        request_id: header("x-request-id"),
        retry_after: header("retry-after").parse().ok(),
        ..Response::connection_failed()
    };
    let Ok(body) = http_response.text().await else {
        return response;
    };
    if response.status >= 400 {
        response.error = serde_json::from_str::<Value>(&body).unwrap_or_default()["error"].clone();
        response.text = body;
        return response;
    }
    if streamed {
        read_events(&body, &mut response);
    } else {
        let json: Value = serde_json::from_str(&body).unwrap_or_default();
        let content = json["choices"][0]["message"]["content"].as_str();
        response.text = content.map_or(body, str::to_owned);
        response.complete = true;
    }
    response
}

fn read_events(body: &str, response: &mut Response) {
    for line in body.lines().filter_map(|line| line.strip_prefix("data: ")) {
        if line == "[DONE]" {
            response.complete = true;
            continue;
        }
        let event: Value = serde_json::from_str(line).unwrap_or_default();
        response.text += event["choices"][0]["delta"]["content"].as_str().unwrap_or_default();
        if !event["error"].is_null() {
            response.error = event["error"].clone();
        }
    }
}
