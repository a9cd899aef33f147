//! A model engine or a plain service that speaks the platform's header protocol and keeps a list of what it ran.

use std::{
    collections::VecDeque,
    io,
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::{Duration, Instant},
};

use tokio::{
    io::AsyncWriteExt,
    net::{TcpListener, TcpStream},
    task::JoinHandle,
};

use super::http1::{self, Request};

/// What an upstream is.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum UpstreamKind {
    /// It answers with a stream of so many events.
    Engine {
        /// Events of an answer.
        events: u64,
    },
    /// It answers at once.
    Plain,
}

/// What goes wrong with one request.
#[derive(Debug, Clone, PartialEq)]
pub enum Fault {
    /// It is rejected without being run.
    NotRun,
    /// It runs, and the connection is reset without an answer.
    LoseAnswer,
    /// Its answer ends in the middle of an event, or of its body, after so many events.
    Cut(u64),
    /// Its answer has no length and ends with its connection, in the middle of an event after so many.
    CutUnframed(u64),
    /// Its answer bears another request's id.
    WrongId,
    /// A second answer follows the whole one on the same connection.
    SecondAnswer,
    /// It fails with a status of the upstream's own.
    Fails(u16),
    /// Nothing is ever answered.
    Silent,
    /// It takes so long.
    Slow(Duration),
    /// Each event of its answer takes so long.
    Paced(Duration),
    /// The model's confidence, in per cent.
    Confidence(u8),
}

/// A request that an upstream began to run.
#[derive(Debug, Clone)]
pub struct Run {
    /// The request as it came.
    pub request: Request,
    /// The upstream.
    pub upstream: String,
    /// When it began.
    pub began: Instant,
    /// Whether its connection ended before the answer did.
    pub broken_off: bool,
}

#[derive(Debug, Default)]
struct State {
    faults: VecDeque<Fault>,
    always: Option<Fault>,
    runs: Vec<Run>,
    connections: u64,
}

/// An upstream in the process of a test.
pub struct SiteUpstream {
    /// Its id.
    pub id: String,
    /// Where it listens.
    pub address: SocketAddr,
    state: Arc<Mutex<State>>,
    task: JoinHandle<()>,
}

fn lock(state: &Mutex<State>) -> MutexGuard<'_, State> {
    state.lock().unwrap_or_else(PoisonError::into_inner)
}

impl SiteUpstream {
    /// Starts an upstream on a loopback address.
    ///
    /// # Errors
    /// When the address can't be listened on.
    pub async fn start(id: &str, kind: UpstreamKind, address: &str) -> io::Result<Self> {
        let listener = TcpListener::bind(address).await?;
        let address = listener.local_addr()?;
        let state = Arc::new(Mutex::new(State::default()));
        let server = Server { id: id.to_owned(), kind, state: Arc::clone(&state) };
        let task = tokio::spawn(server.run(listener));
        Ok(Self { id: id.to_owned(), address, state, task })
    }

    /// Faults of the next requests, one each.
    pub fn next_faults(&self, faults: impl IntoIterator<Item = Fault>) {
        lock(&self.state).faults.extend(faults);
    }

    /// Fault of all requests that have none of their own.
    pub fn set_always(&self, fault: Option<Fault>) {
        lock(&self.state).always = fault;
    }

    /// Requests that it began to run.
    #[must_use]
    pub fn runs(&self) -> Vec<Run> {
        lock(&self.state).runs.clone()
    }

    /// Connections that it accepted.
    #[must_use]
    pub fn connections(&self) -> u64 {
        lock(&self.state).connections
    }
}

impl Drop for SiteUpstream {
    fn drop(&mut self) {
        self.task.abort();
    }
}

#[derive(Clone)]
struct Server {
    id: String,
    kind: UpstreamKind,
    state: Arc<Mutex<State>>,
}

/// Time between two events.
const EVENT_TIME: Duration = Duration::from_millis(10);
/// Signature of all answers; its content is opaque.
const STAMP: &str = "stand-in.1";

impl Server {
    async fn run(self, listener: TcpListener) {
        while let Ok((socket, _)) = listener.accept().await {
            lock(&self.state).connections += 1;
            let server = self.clone();
            tokio::spawn(async move {
                // A caller that breaks off is seen in the list of runs.
                let _ = server.converse(socket).await;
            });
        }
    }

    async fn converse(&self, mut socket: TcpStream) -> io::Result<()> {
        let mut buffer = Vec::new();
        while let Some(request) = http1::read(&mut socket, &mut buffer).await? {
            let expected = request.header("expect-instance");
            if !expected.is_empty() && expected != self.id {
                http1::write(&mut socket, 421, &[("instance-id", &self.id)], b"").await?;
                continue;
            }
            let fault = {
                let mut state = lock(&self.state);
                let next = state.faults.pop_front();
                next.or_else(|| state.always.clone())
            };
            if fault == Some(Fault::NotRun) {
                http1::write(&mut socket, 503, &[("not-executed", "1")], b"").await?;
                continue;
            }
            let number = {
                let mut state = lock(&self.state);
                let (request, upstream) = (request.clone(), self.id.clone());
                state.runs.push(Run { request, upstream, began: Instant::now(), broken_off: true });
                state.runs.len() - 1
            };
            let goes_on = self.answer(&mut socket, &request, fault).await?;
            lock(&self.state).runs[number].broken_off = false;
            if !goes_on {
                return Ok(());
            }
        }
        Ok(())
    }

    // Tells whether the connection goes on.
    async fn answer(&self, socket: &mut TcpStream, request: &Request, fault: Option<Fault>) -> io::Result<bool> {
        match fault {
            Some(Fault::LoseAnswer) => {
                socket.set_zero_linger()?;
                return Ok(false);
            }
            Some(Fault::Silent) => {
                std::future::pending::<()>().await;
            }
            Some(Fault::Slow(time)) => tokio::time::sleep(time).await,
            Some(Fault::Fails(status)) => {
                let headers = [("request-id", request.header("request-id")), ("response-stamp", STAMP)];
                http1::write(socket, status, &headers, b"failed").await?;
                return Ok(true);
            }
            _ => {}
        }
        match self.kind {
            UpstreamKind::Engine { events } => self.stream(socket, request, fault, events).await,
            UpstreamKind::Plain => plain(socket, request, fault).await,
        }
    }

    async fn stream(
        &self,
        socket: &mut TcpStream,
        request: &Request,
        fault: Option<Fault>,
        events: u64,
    ) -> io::Result<bool> {
        let framed = !matches!(fault, Some(Fault::CutUnframed(_)));
        let id = if fault == Some(Fault::WrongId) { "another" } else { request.header("request-id") };
        let confidence = if let Some(Fault::Confidence(percent)) = fault { percent } else { 100 };
        let mut head = format!(
            "HTTP/1.1 200 x\r\nrequest-id: {id}\r\nresponse-stamp: {STAMP}\r\nconfidence: {confidence}\r\n\
             content-type: text/event-stream\r\n"
        );
        head.push_str(if framed { "transfer-encoding: chunked\r\n\r\n" } else { "connection: close\r\n\r\n" });
        socket.write_all(head.as_bytes()).await?;
        let first = request.header("last-event-id").parse::<u64>().unwrap_or(0) + 1;
        for number in first..=events {
            let event = format!("id: {number}\ndata: {} {number}\n\n", request.header("model"));
            let cut = match fault {
                Some(Fault::Cut(after) | Fault::CutUnframed(after)) => number > after,
                _ => false,
            };
            let bytes = if cut { &event.as_bytes()[..event.len() / 2] } else { event.as_bytes() };
            write_piece(socket, bytes, framed).await?;
            if cut {
                return Ok(false);
            }
            tokio::time::sleep(if let Some(Fault::Paced(time)) = fault { time } else { EVENT_TIME }).await;
        }
        if framed {
            socket.write_all(b"0\r\n\r\n").await?;
        }
        if fault == Some(Fault::SecondAnswer) {
            socket.write_all(second_answer("another").as_bytes()).await?;
        }
        Ok(framed)
    }
}

async fn write_piece(socket: &mut TcpStream, bytes: &[u8], framed: bool) -> io::Result<()> {
    if !framed {
        return socket.write_all(bytes).await;
    }
    let piece = [format!("{:x}\r\n", bytes.len()).as_bytes(), bytes, b"\r\n"].concat();
    socket.write_all(&piece).await
}

async fn plain(socket: &mut TcpStream, request: &Request, fault: Option<Fault>) -> io::Result<bool> {
    let id = if fault == Some(Fault::WrongId) { "another" } else { request.header("request-id") };
    let body = format!("{} {} done", request.method, request.target);
    if let Some(Fault::Cut(_)) = fault {
        let head = format!(
            "HTTP/1.1 200 x\r\nrequest-id: {id}\r\nresponse-stamp: {STAMP}\r\ncontent-length: {}\r\n\r\n",
            body.len()
        );
        socket.write_all(head.as_bytes()).await?;
        socket.write_all(&body.as_bytes()[..body.len() / 2]).await?;
        return Ok(false);
    }
    http1::write(socket, 200, &[("request-id", id), ("response-stamp", STAMP)], body.as_bytes()).await?;
    if fault == Some(Fault::SecondAnswer) {
        socket.write_all(second_answer("another").as_bytes()).await?;
    }
    Ok(true)
}

fn second_answer(id: &str) -> String {
    format!("HTTP/1.1 200 x\r\nrequest-id: {id}\r\nresponse-stamp: {STAMP}\r\ncontent-length: 5\r\n\r\nwrong")
}
