//! A caller that sees whether an answer is whole.

use std::{net::SocketAddr, time::Duration};

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::{HeaderMap, Request, client::conn::http1};
use hyper_util::rt::TokioIo;
use tokio::{net::TcpStream, time::timeout};

/// What a caller asks for.
#[derive(Debug, Clone)]
pub struct Ask {
    /// Path with the query.
    pub path: String,
    /// Its id.
    pub id: String,
    /// Key of the caller's organisation.
    pub key: Option<String>,
    /// Further headers.
    pub headers: Vec<(String, String)>,
    /// Time that the caller waits.
    pub deadline: Duration,
    /// Body.
    pub body: Bytes,
}

impl Ask {
    /// A request with a key, a deadline of 8 s and a short body.
    #[must_use]
    pub fn new(path: &str, id: &str) -> Self {
        let key = Some("key-1".to_owned());
        let deadline = Duration::from_secs(8);
        Self { path: path.to_owned(), id: id.to_owned(), key, headers: Vec::new(), deadline, body: "ask".into() }
    }

    /// Adds a header.
    #[must_use]
    pub fn header(mut self, name: &str, value: &str) -> Self {
        self.headers.push((name.to_owned(), value.to_owned()));
        self
    }

    /// Changes the key, or takes it away.
    #[must_use]
    pub fn key(mut self, key: Option<&str>) -> Self {
        self.key = key.map(str::to_owned);
        self
    }

    /// Changes the body.
    #[must_use]
    pub fn body(mut self, body: &str) -> Self {
        self.body = body.to_owned().into();
        self
    }

    /// Changes the deadline.
    #[must_use]
    pub fn deadline(mut self, deadline: Duration) -> Self {
        self.deadline = deadline;
        self
    }
}

/// What the caller got.
#[derive(Debug)]
pub struct Answer {
    /// Status.
    pub status: u16,
    /// Headers.
    pub headers: HeaderMap,
    /// Body, as far as it came.
    pub body: String,
    /// Whether the answer's framing was complete.
    pub whole: bool,
}

impl Answer {
    /// A header's value, empty where there is none.
    #[must_use]
    pub fn header(&self, name: &str) -> &str {
        self.headers.get(name).and_then(|value| value.to_str().ok()).unwrap_or_default()
    }

    /// Ids of the events, in order.
    #[must_use]
    pub fn events(&self) -> Vec<u64> {
        let ids = self.body.lines().filter_map(|line| line.strip_prefix("id: "));
        ids.filter_map(|id| id.parse().ok()).collect()
    }
}

/// A connection of a caller.
pub struct Caller {
    sender: http1::SendRequest<Full<Bytes>>,
    task: tokio::task::JoinHandle<()>,
}

impl Drop for Caller {
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl Caller {
    /// Connects.
    ///
    /// # Errors
    /// When nobody takes the connection.
    pub async fn connect(address: SocketAddr) -> std::io::Result<Self> {
        let socket = TcpStream::connect(address).await?;
        let (sender, connection) = http1::handshake(TokioIo::new(socket)).await.map_err(std::io::Error::other)?;
        let task = tokio::spawn(async move { drop(connection.await) });
        Ok(Self { sender, task })
    }

    /// Asks and reads the answer; none where the connection ended without one.
    ///
    /// # Panics
    /// When nothing comes long after the deadline.
    pub async fn ask(&mut self, ask: &Ask) -> Option<Answer> {
        let mut request = Request::post(&ask.path)
            .header("host", "site.example")
            .header("request-id", &ask.id)
            .header("deadline-ms", ask.deadline.as_millis().to_string());
        for (name, value) in &ask.headers {
            request = request.header(name, value);
        }
        if let Some(key) = &ask.key {
            request = request.header("authorization", format!("Bearer {key}"));
        }
        let request = request.body(Full::new(ask.body.clone())).expect("a request");
        self.sender.ready().await.ok()?;
        let patience = ask.deadline + Duration::from_secs(2);
        let response = timeout(patience, self.sender.send_request(request)).await.expect("an answer in time").ok()?;
        let (head, mut body) = response.into_parts();
        let mut bytes = Vec::new();
        let whole = loop {
            match timeout(patience, body.frame()).await.expect("a piece in time") {
                None => break true,
                Some(Err(_)) => break false,
                Some(Ok(frame)) => bytes.extend_from_slice(frame.data_ref().map_or(&[], |data| data)),
            }
        };
        let body = String::from_utf8(bytes).expect("text");
        Some(Answer { status: head.status.as_u16(), headers: head.headers, body, whole })
    }
}

/// Asks on a connection of its own.
///
/// # Panics
/// When there is no connection or no answer.
pub async fn ask(address: SocketAddr, ask: &Ask) -> Answer {
    let mut caller = Caller::connect(address).await.expect("a connection");
    caller.ask(ask).await.expect("an answer")
}
