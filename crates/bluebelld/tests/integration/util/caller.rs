//! Callers of a fleet.

use std::time::Duration;

use reqwest::{Client, Response};
use serde_json::{Value, json};

/// Key of the vans of Maktabat Atlas, urgent.
pub const ATLAS_VAN: &str = "atlas-van-key";
/// Key of the desk of Maktabat Atlas, batch.
pub const ATLAS_DESK: &str = "atlas-desk-key";
/// Key of the counter of Kovács Prizmatika, urgent.
pub const KOVACS_COUNTER: &str = "kovacs-counter-key";
/// Key of the bench of Kovács Prizmatika.
pub const KOVACS_BENCH: &str = "kovacs-bench-key";

/// Time that a caller waits.
const CALLER_TIME: Duration = Duration::from_secs(30);

/// A caller of an organisation.
#[derive(Clone)]
pub struct Caller {
    client: Client,
    entry: String,
    key: String,
}

/// An answer as a caller saw it.
#[derive(Debug, Clone)]
pub struct Answer {
    /// HTTP status; zero when the connection broke.
    pub status: u16,
    /// Version that answered.
    pub version: String,
    /// Session to go on with.
    pub session: String,
    /// Id of the request.
    pub request: String,
    /// Text of the answer.
    pub text: String,
    /// Whether the answer came to its proper end.
    pub whole: bool,
    /// The error, if any.
    pub error: Value,
    /// When to come back, in seconds.
    pub retry_after: Option<u64>,
}

impl Answer {
    fn broken() -> Self {
        Self {
            status: 0,
            version: String::new(),
            session: String::new(),
            request: String::new(),
            text: String::new(),
            whole: false,
            error: Value::Null,
            retry_after: None,
        }
    }

    /// Whether the request ran, by the word of the router.
    pub fn ran(&self) -> &str {
        self.error["ran"].as_str().unwrap_or("")
    }

    /// Kind of error.
    pub fn code(&self) -> &str {
        self.error["code"].as_str().unwrap_or("")
    }
}

/// A question to ask.
#[derive(Debug, Clone)]
pub struct Ask<'a> {
    /// Model field.
    pub model: &'a str,
    /// The prompt.
    pub prompt: &'a str,
    /// Tokens to ask for.
    pub tokens: u64,
    /// Whether the answer is streamed.
    pub stream: bool,
    /// Session to go on with.
    pub session: Option<&'a str>,
    /// Idempotency key.
    pub key: Option<&'a str>,
}

impl Default for Ask<'_> {
    fn default() -> Self {
        Self { model: "auto", prompt: "where is my book", tokens: 8, stream: true, session: None, key: None }
    }
}

impl Caller {
    /// A caller of an entry with a key.
    pub fn new(entry: &str, key: &str) -> Self {
        let client = Client::builder().timeout(CALLER_TIME).build().expect("a client can be built");
        Self { client, entry: format!("http://{entry}"), key: key.to_owned() }
    }

    /// Asks a question and reads the whole answer.
    pub async fn ask(&self, ask: &Ask<'_>) -> Answer {
        let body = json!({
            "model": ask.model,
            "stream": ask.stream,
            "max_tokens": ask.tokens,
            "messages": [{"role": "user", "content": ask.prompt}],
        });
        let mut request = self.client.post(format!("{}/v1/chat/completions", self.entry)).bearer_auth(&self.key);
        if let Some(session) = ask.session {
            request = request.header("x-session-id", session);
        }
        if let Some(key) = ask.key {
            request = request.header("idempotency-key", key);
        }
        match request.json(&body).send().await {
            Ok(response) => read(response, ask.stream).await,
            Err(_) => Answer::broken(),
        }
    }

    /// Calls a service.
    pub async fn call(&self, service: &str, path: &str, key: Option<&str>, body: &str) -> Answer {
        let url = format!("{}/v1/services/{service}/{path}", self.entry);
        let mut request = self.client.post(url).bearer_auth(&self.key).body(body.to_owned());
        if let Some(key) = key {
            request = request.header("idempotency-key", key);
        }
        match request.send().await {
            Ok(response) => read(response, false).await,
            Err(_) => Answer::broken(),
        }
    }

    /// Reads a path as text.
    pub async fn get(&self, path: &str) -> (u16, String) {
        match self.client.get(format!("{}{path}", self.entry)).bearer_auth(&self.key).send().await {
            Ok(response) => (response.status().as_u16(), response.text().await.unwrap_or_default()),
            Err(_) => (0, String::new()),
        }
    }
}

async fn read(response: Response, streamed: bool) -> Answer {
    let header =
        |name: &str| response.headers().get(name).and_then(|value| value.to_str().ok()).unwrap_or_default().to_owned();
    let mut answer = Answer {
        status: response.status().as_u16(),
        version: header("x-version"),
        session: header("x-session-id"),
        request: header("x-request-id"),
        retry_after: header("retry-after").parse().ok(),
        ..Answer::broken()
    };
    let Ok(body) = response.text().await else {
        return answer;
    };
    if answer.status >= 400 {
        answer.error = serde_json::from_str::<Value>(&body).unwrap_or_default()["error"].clone();
        answer.text = body;
        return answer;
    }
    if streamed {
        read_events(&body, &mut answer);
    } else {
        let whole: Value = serde_json::from_str(&body).unwrap_or_default();
        let content = whole["choices"][0]["message"]["content"].as_str();
        answer.text = content.map_or(body, str::to_owned);
        answer.whole = true;
    }
    answer
}

fn read_events(body: &str, answer: &mut Answer) {
    for line in body.lines().filter_map(|line| line.strip_prefix("data: ")) {
        if line == "[DONE]" {
            answer.whole = true;
            continue;
        }
        let event: Value = serde_json::from_str(line).unwrap_or_default();
        answer.text += event["choices"][0]["delta"]["content"].as_str().unwrap_or_default();
        if !event["error"].is_null() {
            answer.error = event["error"].clone();
        }
    }
}
