//! A model engine or a plain service that speaks the platform's header protocol and keeps a list of what it ran.

use std::{
    collections::VecDeque,
    io,
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::{Duration, Instant},
};

use serde_json::{Value, json};
use tokio::{
    io::AsyncWriteExt,
    net::{TcpListener, TcpStream},
    sync::Notify,
    task::{JoinHandle, JoinSet},
};

use super::{
    http1::{self, Request},
    store::SiteStore,
};

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
    /// After so many events of its answer, the next comes in one piece with one that doesn't follow it.
    Astray(u64),
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
    /// Bytes that are no answer come until the caller closes.
    Endless(Endless),
    /// The upstream's process ends after so many events, with all that it runs.
    End(u64),
}

/// Where an answer has bytes without end.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Endless {
    /// In place of a head, without a line's end.
    Head,
    /// In headers after a proper status.
    Headers,
    /// Heads of answers that only announce another one.
    Interim,
    /// In a body without length.
    Body,
    /// In a body in chunks.
    Chunks,
    /// Empty lines between events.
    Lines,
}

/// Requests that end each upstream which runs them.
#[derive(Debug, Clone)]
pub struct Poison {
    /// What their bodies contain.
    pub marker: String,
    /// Events that they get before.
    pub events: u64,
    /// Time after which the upstream is back.
    pub down: Duration,
}

/// An upstream's entry in the store.
#[derive(Debug, Clone)]
struct Listing {
    store: SiteStore,
    entry: Value,
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
    id: String,
    starts: u64,
    poison: Option<Poison>,
    listing: Option<Listing>,
}

/// An upstream in the process of a test.
pub struct SiteUpstream {
    /// Its id.
    pub id: String,
    /// Where it listens.
    pub address: SocketAddr,
    state: Arc<Mutex<State>>,
    ending: Arc<Notify>,
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
        let state = Arc::new(Mutex::new(State { id: id.to_owned(), starts: 1, ..State::default() }));
        let ending = Arc::new(Notify::new());
        let server = Server { name: id.to_owned(), kind, state: Arc::clone(&state), ending: Arc::clone(&ending) };
        let task = tokio::spawn(server.live(listener));
        Ok(Self { id: id.to_owned(), address, state, ending, task })
    }

    /// Faults of the next requests, one each.
    pub fn next_faults(&self, faults: impl IntoIterator<Item = Fault>) {
        lock(&self.state).faults.extend(faults);
    }

    /// Fault of all requests that have none of their own.
    pub fn set_always(&self, fault: Option<Fault>) {
        lock(&self.state).always = fault;
    }

    /// Has it end under some requests. It starts again under another id.
    pub fn set_poison(&self, poison: Option<Poison>) {
        lock(&self.state).poison = poison;
    }

    /// Ends it now, for so long.
    pub fn end(&self, down: Duration) {
        let mut state = lock(&self.state);
        state.poison = Some(Poison { down, ..state.poison.clone().unwrap_or_else(Poison::none) });
        drop(state);
        self.ending.notify_one();
    }

    /// Has it keep an entry in the store: gone a second after it ends, back when it is.
    pub fn list(&self, store: &SiteStore, entry: &Value) {
        let mut state = lock(&self.state);
        let listing = Listing { store: store.clone(), entry: entry.clone() };
        listing.put(&state.id, state.starts);
        state.listing = Some(listing);
    }

    /// Says in its entry that it leaves; gives the id that it has now.
    pub fn drain(&self) -> String {
        let state = lock(&self.state);
        if let Some(listing) = &state.listing {
            let mut entry = listing.entry.clone();
            entry["state"] = json!("draining");
            Listing { entry, ..listing.clone() }.put(&state.id, state.starts);
        }
        state.id.clone()
    }

    /// Times that it ended.
    #[must_use]
    pub fn ends(&self) -> u64 {
        lock(&self.state).starts - 1
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

impl Poison {
    // No body contains it.
    fn none() -> Self {
        Self { marker: "\0".to_owned(), events: 0, down: Duration::ZERO }
    }
}

impl Listing {
    fn put(&self, id: &str, starts: u64) {
        let mut entry = self.entry.clone();
        entry["born"] = json!(starts);
        self.store.put("servers", id, &entry);
    }
}

#[derive(Clone)]
struct Server {
    name: String,
    kind: UpstreamKind,
    state: Arc<Mutex<State>>,
    ending: Arc<Notify>,
}

/// Time between two events.
const EVENT_TIME: Duration = Duration::from_millis(10);
/// Bytes without end that are written at once.
const POURED_BLOCK: usize = 16 << 10;
/// Pause between them, so that all that a test pours leaves the machine some time for the others.
const POUR_PAUSE: Duration = Duration::from_millis(1);
/// Bytes after which those without end do end, lest a test never does.
const MAX_POURED: usize = 1 << 30;
/// Time after an end at which the upstream's entry lapses.
const LAPSE: Duration = Duration::from_secs(1);
/// Signature of all answers; its content is opaque.
const STAMP: &str = "stand-in.1";

impl Server {
    // One life after the other, at one address.
    async fn live(self, mut listener: TcpListener) {
        let Ok(address) = listener.local_addr() else { return };
        loop {
            tokio::select! {
                () = self.run(listener) => return,
                () = self.ending.notified() => {}
            }
            let down = lock(&self.state).poison.as_ref().map_or(Duration::ZERO, |poison| poison.down);
            self.rest(down).await;
            let Ok(again) = TcpListener::bind(address).await else { return };
            listener = again;
            self.start_again();
        }
    }

    async fn rest(&self, down: Duration) {
        tokio::time::sleep(down.min(LAPSE)).await;
        if down > LAPSE {
            self.lapse();
            tokio::time::sleep(down - LAPSE).await;
        }
    }

    fn lapse(&self) {
        let state = lock(&self.state);
        if let Some(listing) = &state.listing {
            listing.store.delete("servers", &state.id);
        }
    }

    fn start_again(&self) {
        let mut state = lock(&self.state);
        let before = state.id.clone();
        state.starts += 1;
        state.id = format!("{}.{}", self.name, state.starts);
        let (listing, id, starts) = (state.listing.clone(), state.id.clone(), state.starts);
        drop(state);
        if let Some(listing) = listing {
            listing.store.delete("servers", &before);
            listing.put(&id, starts);
        }
    }

    // All connections end with the listener.
    async fn run(&self, listener: TcpListener) {
        let mut connections = JoinSet::new();
        while let Ok((socket, _)) = listener.accept().await {
            lock(&self.state).connections += 1;
            let server = self.clone();
            connections.spawn(async move {
                // A caller that breaks off is seen in the list of runs.
                let _ = server.converse(socket).await;
            });
            while connections.try_join_next().is_some() {}
        }
    }

    async fn converse(&self, mut socket: TcpStream) -> io::Result<()> {
        let mut buffer = Vec::new();
        while let Some(request) = http1::read(&mut socket, &mut buffer).await? {
            let expected = request.header("expect-instance");
            let id = lock(&self.state).id.clone();
            if !expected.is_empty() && expected != id {
                http1::write(&mut socket, 421, &[("instance-id", &id)], b"").await?;
                continue;
            }
            let fault = {
                let mut state = lock(&self.state);
                let poison = state.poison.as_ref().filter(|poison| request.contains(&poison.marker));
                let end = poison.map(|poison| Fault::End(poison.events));
                end.or_else(|| state.faults.pop_front()).or_else(|| state.always.clone())
            };
            if fault == Some(Fault::NotRun) {
                http1::write(&mut socket, 503, &[("not-executed", "1")], b"").await?;
                continue;
            }
            let number = {
                let mut state = lock(&self.state);
                let (request, upstream) = (request.clone(), id);
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
            Some(Fault::End(0)) => self.end().await,
            Some(Fault::Silent) => {
                std::future::pending::<()>().await;
            }
            Some(Fault::Endless(part)) => return pour(socket, request, part).await.map(|()| false),
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
            UpstreamKind::Plain if matches!(fault, Some(Fault::End(_))) => self.end().await,
            UpstreamKind::Plain => plain(socket, request, fault).await,
        }
    }

    // The process ends with this connection and all others.
    async fn end<T>(&self) -> T {
        self.ending.notify_one();
        std::future::pending().await
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
            if matches!(fault, Some(Fault::End(after)) if number > after) {
                return self.end().await;
            }
            let cut = match fault {
                Some(Fault::Cut(after) | Fault::CutUnframed(after)) => number > after,
                _ => false,
            };
            let bytes = if cut { &event.as_bytes()[..event.len() / 2] } else { event.as_bytes() };
            if matches!(fault, Some(Fault::Astray(after)) if number > after) {
                let astray = format!("{event}id: 999\ndata: astray\n\n");
                write_piece(socket, astray.as_bytes(), framed).await?;
                return Ok(false);
            }
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

// Ends when the caller closes, or after more than any caller should take.
async fn pour(socket: &mut TcpStream, request: &Request, part: Endless) -> io::Result<()> {
    let id = request.header("request-id");
    let signed = format!("HTTP/1.1 200 x\r\nrequest-id: {id}\r\nresponse-stamp: {STAMP}\r\n");
    let (head, block) = match part {
        Endless::Head => ("HTTP/1.1 200 ".to_owned(), "x".repeat(POURED_BLOCK)),
        Endless::Headers => (signed, "x-more: and more\r\n".repeat(POURED_BLOCK / 18)),
        Endless::Interim => (String::new(), "HTTP/1.1 103 x\r\n\r\n".repeat(POURED_BLOCK / 18)),
        Endless::Body => (signed + "connection: close\r\n\r\n", "x".repeat(POURED_BLOCK)),
        Endless::Chunks => {
            let chunk = format!("{POURED_BLOCK:x}\r\n{}\r\n", "x".repeat(POURED_BLOCK));
            (signed + "transfer-encoding: chunked\r\n\r\n", chunk)
        }
        Endless::Lines => (signed + "connection: close\r\n\r\n", "\n".repeat(POURED_BLOCK)),
    };
    socket.write_all(head.as_bytes()).await?;
    for _ in 0..MAX_POURED / POURED_BLOCK {
        socket.write_all(block.as_bytes()).await?;
        tokio::time::sleep(POUR_PAUSE).await;
    }
    Ok(())
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
