//! An HTTP/1.1 test client that can tell complete answers from truncated ones.

use std::{net::SocketAddr, time::Duration};

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::{HeaderMap, Request, client::conn::http1};
use hyper_util::rt::TokioIo;
use tokio::{net::TcpStream, time::timeout};

/// A request of a caller.
#[derive(Debug, Clone)]
pub struct Ask {
    /// Path with the query.
    pub path: String,
    /// Request id.
    pub id: String,
    /// API key of the caller's organisation; without it no `authorization` header is sent.
    pub key: Option<String>,
    /// Additional headers.
    pub headers: Vec<(String, String)>,
    /// Time that the caller is willing to wait, sent as `deadline-ms`.
    pub deadline: Duration,
    /// Request body.
    pub body: Bytes,
}

impl Ask {
    /// Creates a request with a valid key, a deadline of 8 s and a short body.
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

    /// Replaces or removes the key.
    #[must_use]
    pub fn key(mut self, key: Option<&str>) -> Self {
        self.key = key.map(str::to_owned);
        self
    }

    /// Replaces the body.
    #[must_use]
    pub fn body(mut self, body: &str) -> Self {
        self.body = body.to_owned().into();
        self
    }

    /// Replaces the deadline.
    #[must_use]
    pub fn deadline(mut self, deadline: Duration) -> Self {
        self.deadline = deadline;
        self
    }
}

/// The answer that a caller received.
#[derive(Debug)]
pub struct Answer {
    /// HTTP status.
    pub status: u16,
    /// Response headers.
    pub headers: HeaderMap,
    /// Body, as far as it was received.
    pub body: String,
    /// Whether the answer's framing was complete.
    pub complete: bool,
}

impl Answer {
    /// A header's value, or an empty string if the header is absent or not text.
    #[must_use]
    pub fn header(&self, name: &str) -> &str {
        self.headers.get(name).and_then(|value| value.to_str().ok()).unwrap_or_default()
    }

    /// Ids of the received events, in order.
    #[must_use]
    pub fn events(&self) -> Vec<u64> {
        let ids = self.body.lines().filter_map(|line| line.strip_prefix("id: "));
        ids.filter_map(|id| id.parse().ok()).collect()
    }
}

/// A caller with one keep-alive connection, which is closed on drop.
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
    /// Opens a connection.
    ///
    /// # Errors
    /// If the connection is refused or the handshake fails.
    pub async fn connect(address: SocketAddr) -> std::io::Result<Self> {
        let socket = TcpStream::connect(address).await?;
        let (sender, connection) = http1::handshake(TokioIo::new(socket)).await.map_err(std::io::Error::other)?;
        let task = tokio::spawn(async move { drop(connection.await) });
        Ok(Self { sender, task })
    }

    /// Sends a request and reads the answer; returns `None` if the connection ends without one.
    ///
    /// # Panics
    /// If the answer, or the next part of its body, takes 2 s longer than the deadline, if the body is not UTF-8, or
    /// if the request is malformed.
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
        let request = request.body(Full::new(ask.body.clone())).expect("the request should be well-formed");
        self.sender.ready().await.ok()?;
        let time_limit = ask.deadline + Duration::from_secs(2);
        let response = timeout(time_limit, self.sender.send_request(request))
            .await
            .expect("the answer should start within 2 s of the deadline")
            .ok()?;
        let (head, mut body) = response.into_parts();
        let mut bytes = Vec::new();
        let complete = loop {
            match timeout(time_limit, body.frame())
                .await
                .expect("the answer should continue within 2 s of the deadline")
            {
                None => break true,
                Some(Err(_)) => break false,
                Some(Ok(frame)) => bytes.extend_from_slice(frame.data_ref().map_or(&[], |data| data)),
            }
        };
        let body = String::from_utf8(bytes).expect("the body should be UTF-8");
        Some(Answer { status: head.status.as_u16(), headers: head.headers, body, complete })
    }
}

/// Sends a request on a connection of its own.
///
/// # Panics
/// If the connection or the request fails.
pub async fn ask(address: SocketAddr, ask: &Ask) -> Answer {
    let mut caller = Caller::connect(address).await.expect("the connection should be accepted");
    caller.ask(ask).await.expect("the request should be answered")
}
