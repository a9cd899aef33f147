//! An upstream (model engine or plain service) that speaks the platform's header protocol, records the requests that
//! it ran, and injects faults on request.

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
    answers, endless,
    fault::{Announcement, Fault},
    http1::{self, Request},
    poison::Poison,
    raw::SharedFaults,
    refusals::{self, RefusalCopy},
    store::SiteStore,
};

/// Kind of an upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum UpstreamKind {
    /// A model engine that streams its answers.
    Engine {
        /// Number of events in an answer.
        events: u64,
    },
    /// A service that answers in one piece, without delay.
    Plain,
}

/// An upstream's registry entry and the store that holds it.
#[derive(Debug, Clone)]
struct Registration {
    store: SiteStore,
    entry: Value,
}

/// A request that an upstream has started to run.
#[derive(Debug, Clone)]
pub struct Run {
    /// The request as received.
    pub request: Request,
    /// Id of the upstream at that time.
    pub upstream: String,
    /// When it started.
    pub began: Instant,
    /// True until the upstream has sent its answer, as far as an injected fault lets it. Stays true if the caller
    /// disconnects or the upstream crashes before that.
    pub unfinished: bool,
    /// When the answer ended, or when the caller's disconnect was noticed.
    pub ended: Option<Instant>,
}

#[derive(Debug, Default)]
struct State {
    faults: VecDeque<Fault>,
    shared_faults: SharedFaults,
    default_fault: Option<Fault>,
    runs: Vec<Run>,
    arrivals: Vec<(Instant, String)>,
    announcement: Announcement,
    connections: u64,
    id: String,
    starts: u64,
    poison: Option<Poison>,
    registration: Option<Registration>,
}

/// An upstream that runs inside a test's process. It stops when dropped.
pub struct SiteUpstream {
    /// Its id at the first start; after a restart it has another one.
    pub id: String,
    /// Address on which it listens.
    pub address: SocketAddr,
    state: Arc<Mutex<State>>,
    crash_signal: Arc<Notify>,
    task: JoinHandle<()>,
}

fn lock(state: &Mutex<State>) -> MutexGuard<'_, State> {
    state.lock().unwrap_or_else(PoisonError::into_inner)
}

impl SiteUpstream {
    /// Starts an upstream that listens on an address.
    ///
    /// # Errors
    /// If the address cannot be bound.
    pub async fn start(id: &str, kind: UpstreamKind, address: &str) -> io::Result<Self> {
        let listener = TcpListener::bind(address).await?;
        let address = listener.local_addr()?;
        let state = Arc::new(Mutex::new(State { id: id.to_owned(), starts: 1, ..State::default() }));
        let crash_signal = Arc::new(Notify::new());
        let server =
            Server { name: id.to_owned(), kind, state: Arc::clone(&state), crash_signal: Arc::clone(&crash_signal) };
        let task = tokio::spawn(server.run_with_restarts(listener));
        Ok(Self { id: id.to_owned(), address, state, crash_signal, task })
    }

    /// Queues faults for the next requests, one each.
    pub fn next_faults(&self, faults: impl IntoIterator<Item = Fault>) {
        lock(&self.state).faults.extend(faults);
    }

    /// Sets a queue of faults that it shares with others; its own queue comes first.
    pub fn share_faults(&self, faults: &SharedFaults) {
        lock(&self.state).shared_faults = Arc::clone(faults);
    }

    /// Sets the fault of all requests for which none is queued.
    pub fn set_default_fault(&self, fault: Option<Fault>) {
        lock(&self.state).default_fault = fault;
    }

    /// Makes the requests that carry a marker crash the upstream. It restarts under another id.
    pub fn set_poison(&self, poison: Option<Poison>) {
        lock(&self.state).poison = poison;
    }

    /// Crashes it now; it restarts after `down`, which also applies to later crashes.
    pub fn crash(&self, down: Duration) {
        let mut state = lock(&self.state);
        state.poison = Some(Poison { down, ..state.poison.clone().unwrap_or_else(Poison::none) });
        drop(state);
        self.crash_signal.notify_one();
    }

    /// Registers it in the store. The entry is removed a second after a crash and put back at the restart.
    pub fn register(&self, store: &SiteStore, entry: &Value) {
        let mut state = lock(&self.state);
        let registration = Registration { store: store.clone(), entry: entry.clone() };
        registration.put(&state.id, state.starts);
        state.registration = Some(registration);
    }

    /// Sets its registry entry to draining; returns its current id.
    pub fn drain(&self) -> String {
        let state = lock(&self.state);
        if let Some(registration) = &state.registration {
            let mut entry = registration.entry.clone();
            entry["state"] = json!("draining");
            Registration { entry, ..registration.clone() }.put(&state.id, state.starts);
        }
        state.id.clone()
    }

    /// Number of crashes so far.
    #[must_use]
    pub fn crashes(&self) -> u64 {
        lock(&self.state).starts - 1
    }

    /// Requests that it has started to run, in order.
    #[must_use]
    pub fn runs(&self) -> Vec<Run> {
        lock(&self.state).runs.clone()
    }

    /// Sets whether it announces its departure in all answers.
    pub fn set_leaving(&self, leaving: bool) {
        lock(&self.state).announcement.leaving = leaving;
    }

    /// Sets the load that it states in all answers.
    pub fn set_load(&self, load: Option<&str>) {
        lock(&self.state).announcement.load = load.map(str::to_owned);
    }

    /// Sets the rate limit that it names in all answers.
    pub fn set_limit(&self, limit: Option<&str>) {
        lock(&self.state).announcement.limit = limit.map(str::to_owned);
    }

    /// When requests reached it, whether or not it ran them.
    #[must_use]
    pub fn arrivals(&self) -> Vec<Instant> {
        lock(&self.state).arrivals.iter().map(|(at, _)| *at).collect()
    }

    /// As [`Self::arrivals`], with the ids of the requests.
    #[must_use]
    pub fn arrived_requests(&self) -> Vec<(Instant, String)> {
        lock(&self.state).arrivals.clone()
    }

    /// Number of connections accepted so far.
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

impl Registration {
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
    crash_signal: Arc<Notify>,
}

/// Default time between two events.
const EVENT_INTERVAL: Duration = Duration::from_millis(10);
/// Time from a crash to the removal of the upstream's registry entry.
const ENTRY_TTL: Duration = Duration::from_secs(1);
/// Signature of all answers, sent as `response-stamp`; its content is opaque.
pub const RESPONSE_STAMP: &str = "stand-in.1";

impl Server {
    // Serves on one address; each crash closes all connections and is followed by a restart.
    async fn run_with_restarts(self, mut listener: TcpListener) {
        let Ok(address) = listener.local_addr() else { return };
        loop {
            tokio::select! {
                () = self.accept(listener) => return,
                () = self.crash_signal.notified() => {}
            }
            let down = lock(&self.state).poison.as_ref().map_or(Duration::ZERO, |poison| poison.down);
            self.stay_down(down).await;
            let Ok(rebound) = TcpListener::bind(address).await else { return };
            listener = rebound;
            self.restart();
        }
    }

    async fn stay_down(&self, down: Duration) {
        tokio::time::sleep(down.min(ENTRY_TTL)).await;
        if down > ENTRY_TTL {
            self.remove_entry();
            tokio::time::sleep(down - ENTRY_TTL).await;
        }
    }

    fn remove_entry(&self) {
        let state = lock(&self.state);
        if let Some(registration) = &state.registration {
            registration.store.delete("servers", &state.id);
        }
    }

    fn restart(&self) {
        let mut state = lock(&self.state);
        let previous_id = state.id.clone();
        state.starts += 1;
        state.id = format!("{}.{}", self.name, state.starts);
        let (registration, id, starts) = (state.registration.clone(), state.id.clone(), state.starts);
        drop(state);
        if let Some(registration) = registration {
            registration.store.delete("servers", &previous_id);
            registration.put(&id, starts);
        }
    }

    // Dropping this future closes all connections together with the listener.
    async fn accept(&self, listener: TcpListener) {
        let mut connections = JoinSet::new();
        while let Ok((socket, _)) = listener.accept().await {
            lock(&self.state).connections += 1;
            let server = self.clone();
            connections.spawn(async move {
                // A caller that disconnects shows up in the list of runs.
                let _ = server.serve_connection(socket).await;
            });
            while connections.try_join_next().is_some() {}
        }
    }

    async fn serve_connection(&self, mut socket: TcpStream) -> io::Result<()> {
        let mut buffer = Vec::new();
        let mut copy = RefusalCopy::default();
        while let Some(request) = copy.read(&mut socket, &mut buffer).await? {
            let arrival = (Instant::now(), request.header("request-id").to_owned());
            lock(&self.state).arrivals.push(arrival);
            let expected = request.header("expect-instance");
            let id = lock(&self.state).id.clone();
            if !expected.is_empty() && expected != id {
                let headers = [("instance-id", id.as_str()), ("request-id", request.header("request-id"))];
                http1::write(&mut socket, 421, &headers, b"").await?;
                continue;
            }
            let fault = {
                let mut state = lock(&self.state);
                let poison = state.poison.as_ref().filter(|poison| poison.marker.matches(&request));
                let crash = poison.map(|poison| Fault::Crash(poison.events));
                let shared = Arc::clone(&state.shared_faults);
                let next_shared = || shared.lock().unwrap_or_else(PoisonError::into_inner).pop_front();
                let queued = crash.or_else(|| state.faults.pop_front()).or_else(next_shared);
                queued.or_else(|| state.default_fault.clone())
            };
            let refused_id = request.header("request-id");
            let is_other_model = matches!(&fault, Some(Fault::OnlyModel(model)) if request.header("model") != model);
            if let Some(Fault::Pause { not_run, retry_after }) = &fault {
                let announcement = self.announcement();
                let headers = announcement.headers();
                refusals::ask_for_pause(&mut socket, refused_id, *not_run, retry_after, &headers).await?;
                continue;
            }
            let refusal = match fault {
                Some(Fault::NotRun) => Some((refused_id, None)),
                Some(Fault::OnlyModel(_)) if is_other_model => Some((refused_id, None)),
                Some(Fault::NotRunTwice(time)) => Some((refused_id, Some(time))),
                Some(Fault::NotRunTwiceWithoutId(time)) => Some(("", Some(time))),
                _ => None,
            };
            if let Some((id, time)) = refusal {
                copy.refuse(&mut socket, id, time, &self.announcement().headers()).await?;
                continue;
            }
            let run_index = {
                let mut state = lock(&self.state);
                let (request, upstream) = (request.clone(), id);
                state.runs.push(Run { request, upstream, began: Instant::now(), unfinished: true, ended: None });
                state.runs.len() - 1
            };
            let result = self.answer(&mut socket, &request, fault).await;
            {
                let run = &mut lock(&self.state).runs[run_index];
                (run.unfinished, run.ended) = (result.is_err(), Some(Instant::now()));
            }
            if !result? {
                return Ok(());
            }
        }
        Ok(())
    }

    fn announcement(&self) -> Announcement {
        lock(&self.state).announcement.clone()
    }

    // Returns whether the connection stays open for further requests.
    async fn answer(&self, socket: &mut TcpStream, request: &Request, fault: Option<Fault>) -> io::Result<bool> {
        match fault {
            Some(Fault::LoseAnswer) => {
                socket.set_zero_linger()?;
                return Ok(false);
            }
            Some(Fault::Crash(0)) => self.crash().await,
            Some(Fault::Silent) => {
                std::future::pending::<()>().await;
            }
            Some(Fault::Endless(part)) => return endless::write(socket, request, part).await.map(|()| false),
            Some(Fault::Raw(raw)) => return raw.send(socket, request).await,
            Some(Fault::Slow(time)) => tokio::time::sleep(time).await,
            Some(Fault::Fails(status)) => {
                let signature = [("request-id", request.header("request-id")), ("response-stamp", RESPONSE_STAMP)];
                let announcement = self.announcement();
                let headers = [&signature[..], &announcement.headers()].concat();
                http1::write(socket, status, &headers, b"failed").await?;
                return Ok(true);
            }
            _ => {}
        }
        match self.kind {
            UpstreamKind::Engine { events } => self.answer_stream(socket, request, fault, events).await,
            UpstreamKind::Plain if matches!(fault, Some(Fault::Crash(_))) => self.crash().await,
            UpstreamKind::Plain => answers::answer_plain(socket, request, fault, &self.announcement().headers()).await,
        }
    }

    // Crashes the upstream: never returns, as the restart drops this connection and all others.
    async fn crash<T>(&self) -> T {
        self.crash_signal.notify_one();
        std::future::pending().await
    }

    async fn answer_stream(
        &self,
        socket: &mut TcpStream,
        request: &Request,
        fault: Option<Fault>,
        events: u64,
    ) -> io::Result<bool> {
        let chunked = !matches!(fault, Some(Fault::CutUnframed(_)));
        let id = if fault == Some(Fault::WrongId) { "another" } else { request.header("request-id") };
        let confidence = match fault {
            Some(Fault::Confidence(percent)) => percent,
            Some(Fault::OnlyModel(_)) => 0,
            _ => 100,
        };
        let mut head = format!(
            "HTTP/1.1 200 x\r\nrequest-id: {id}\r\nresponse-stamp: {RESPONSE_STAMP}\r\nconfidence: {confidence}\r\n\
             content-type: text/event-stream\r\n"
        );
        self.announcement().headers().iter().for_each(|(name, value)| head.push_str(&format!("{name}: {value}\r\n")));
        head.push_str(if chunked { "transfer-encoding: chunked\r\n\r\n" } else { "connection: close\r\n\r\n" });
        socket.write_all(head.as_bytes()).await?;
        let first = request.header("last-event-id").parse::<u64>().unwrap_or(0) + 1;
        for number in first..=events {
            let event = format!("id: {number}\ndata: {} {number}\n\n", request.header("model"));
            if matches!(fault, Some(Fault::Crash(after)) if number > after) {
                return self.crash().await;
            }
            if let Some(Fault::Stall { after, time }) = fault
                && number == after + 1
            {
                answers::stall(socket, time).await?;
            }
            let cut = match fault {
                Some(Fault::Cut(after) | Fault::CutUnframed(after)) => number > after,
                _ => false,
            };
            let bytes = if cut { &event.as_bytes()[..event.len() / 2] } else { event.as_bytes() };
            if matches!(fault, Some(Fault::OutOfSequence(after)) if number > after) {
                let out_of_sequence = format!("{event}id: 999\ndata: astray\n\n");
                answers::write_part(socket, out_of_sequence.as_bytes(), chunked).await?;
                return Ok(false);
            }
            answers::write_part(socket, bytes, chunked).await?;
            if cut {
                return Ok(false);
            }
            tokio::time::sleep(if let Some(Fault::Paced(time)) = fault { time } else { EVENT_INTERVAL }).await;
        }
        if chunked {
            socket.write_all(b"0\r\n\r\n").await?;
        }
        if fault == Some(Fault::SecondAnswer) {
            socket.write_all(answers::second_answer("another").as_bytes()).await?;
        }
        Ok(chunked)
    }
}
