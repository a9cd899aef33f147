//! Callers that generate load and record the outcome of each request.

use std::{
    sync::{Arc, Mutex, PoisonError},
    time::{Duration, Instant},
};

use bluebell_standins::caller::{Answer, Ask, Caller};
use rand::{Rng, SeedableRng, rngs::StdRng};
use tokio::{sync::watch, time::timeout};

use crate::{
    fleet::{Fleet, POISON_MARKER},
    plan::Service,
};

/// Deadline that callers set on their requests.
pub const DEADLINE: Duration = Duration::from_secs(6);
/// Time after the deadline for which a caller still waits for the answer.
pub const DEADLINE_GRACE: Duration = Duration::from_millis(1500);
/// Timeout for opening a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Probability that a request reuses the caller's open connection.
const REUSE_PROBABILITY: f64 = 0.8;
/// Longest wait of a caller that aborts its request.
const MAX_WAIT_BEFORE_ABORT: Duration = Duration::from_millis(400);
/// Probability that a caller aborts a request before the answer is complete.
const ABORT_PROBABILITY: f64 = 0.03;
/// Longest pause between two requests of a caller.
const MAX_THINK_TIME: Duration = Duration::from_millis(120);

/// Route of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Route {
    /// A stream that may be resumed on another upstream.
    ResumableStream,
    /// A stream that may run at most once.
    OnceStream,
    /// A call that may run at most once.
    OnceCall,
    /// A call that may be retried.
    RepeatableCall,
}

impl Route {
    /// Path of its requests.
    #[must_use]
    pub fn path(self) -> &'static str {
        match self {
            Self::ResumableStream => "/talk/1",
            Self::OnceStream => "/once/1",
            Self::OnceCall => "/book/1",
            Self::RepeatableCall => "/look/1",
        }
    }

    /// Whether its requests are answered by a stream of events.
    #[must_use]
    pub fn is_stream(self) -> bool {
        matches!(self, Self::ResumableStream | Self::OnceStream)
    }

    /// Whether its requests may run more than once.
    #[must_use]
    pub fn is_repeatable(self) -> bool {
        matches!(self, Self::ResumableStream | Self::RepeatableCall)
    }

    /// The service that handles it.
    #[must_use]
    pub fn service(self) -> Service {
        if self.is_stream() { Service::Chat } else { Service::Ledger }
    }
}

/// Routes of the poison requests, one caller each.
pub const POISON_ROUTES: [Route; 2] = [Route::RepeatableCall, Route::ResumableStream];

/// Body of the poison requests of a caller.
#[must_use]
pub fn poison_body(caller: usize) -> String {
    format!("{POISON_MARKER} {caller}")
}

/// How a request ended for its caller.
#[derive(Debug)]
pub enum RequestOutcome {
    /// An answer was received, complete or truncated.
    Answered(Answer),
    /// The connection was closed without an answer.
    Closed,
    /// No complete answer came by the deadline and its grace period.
    TimedOut,
    /// The caller closed the connection.
    Aborted,
}

/// A request as its caller observed it.
#[derive(Debug)]
pub struct RequestRecord {
    /// Request id.
    pub id: String,
    /// Route of the request.
    pub route: Route,
    /// Number of the gateway to which it was sent.
    pub gateway: usize,
    /// API key of the caller's organisation.
    pub key: String,
    /// Session id; empty for poison requests.
    pub session: String,
    /// Request body.
    pub body: String,
    /// When it was sent.
    pub sent_at: Instant,
    /// When it ended.
    pub ended_at: Instant,
    /// How it ended.
    pub outcome: RequestOutcome,
}

impl RequestRecord {
    /// Status of the answer, if one was received.
    #[must_use]
    pub fn status(&self) -> Option<u16> {
        match &self.outcome {
            RequestOutcome::Answered(answer) => Some(answer.status),
            RequestOutcome::Closed | RequestOutcome::TimedOut | RequestOutcome::Aborted => None,
        }
    }

    /// Whether the caller received a complete answer with status 200.
    #[must_use]
    pub fn is_served(&self) -> bool {
        matches!(&self.outcome, RequestOutcome::Answered(answer) if answer.complete && answer.status == 200)
    }
}

/// API keys that callers use. The previous key is still tried after its removal, to check that it is rejected.
#[derive(Debug, Clone)]
pub struct ApiKeys {
    /// Key that is valid during the whole run.
    pub permanent: String,
    /// Current value of the key that is rotated.
    pub rotated: String,
    /// Value of the rotated key before the last rotation.
    pub previous: Option<String>,
}

/// All callers of a run.
#[derive(Clone)]
pub struct Callers {
    fleet: Arc<Fleet>,
    keys: watch::Receiver<ApiKeys>,
    records: Arc<Mutex<Vec<RequestRecord>>>,
}

impl Callers {
    /// Creates callers without records.
    #[must_use]
    pub fn new(fleet: Arc<Fleet>, keys: watch::Receiver<ApiKeys>) -> Self {
        Self { fleet, keys, records: Arc::default() }
    }

    /// Takes the records of all requests so far.
    #[must_use]
    pub fn take_records(&self) -> Vec<RequestRecord> {
        std::mem::take(&mut self.records.lock().unwrap_or_else(PoisonError::into_inner))
    }

    /// Sends requests of all routes, one at a time, until `stop` is set.
    pub async fn run_caller(self, seed: u64, number: usize, stop: watch::Receiver<bool>) {
        let mut random = StdRng::seed_from_u64(seed ^ (number as u64) << 32);
        let mut connection = None;
        let mut count = 0;
        while !*stop.borrow() {
            let route = match random.random_range(0..100) {
                0..35 => Route::ResumableStream,
                35..45 => Route::OnceStream,
                45..65 => Route::OnceCall,
                _ => Route::RepeatableCall,
            };
            count += 1;
            let id = format!("s{seed}-c{number}-{count}");
            let session = format!("s{seed}-{number}-{}", count / 40);
            let body = format!("{id} {}", "x".repeat(random.random_range(0..200)));
            self.send_request(&mut random, &mut connection, route, id, session, body).await;
            tokio::time::sleep(random.random_range(Duration::ZERO..MAX_THINK_TIME)).await;
        }
    }

    /// Sends the same poison request repeatedly, each time to a random gateway, until `stop` is set.
    pub async fn run_poison_caller(self, seed: u64, number: usize, route: Route, stop: watch::Receiver<bool>) {
        let mut random = StdRng::seed_from_u64(seed ^ (number as u64) << 40);
        let mut count = 0;
        while !*stop.borrow() {
            count += 1;
            let id = format!("s{seed}-p{number}-{count}");
            let body = poison_body(number);
            self.send_request(&mut random, &mut None, route, id, String::new(), body).await;
            tokio::time::sleep(random.random_range(Duration::from_millis(200)..Duration::from_millis(900))).await;
        }
    }

    async fn send_request(
        &self,
        random: &mut StdRng,
        connection: &mut Option<(usize, Caller)>,
        route: Route,
        id: String,
        session: String,
        body: String,
    ) {
        let reused = connection.take().filter(|_| random.random_bool(REUSE_PROBABILITY));
        let gateway =
            reused.as_ref().map_or_else(|| random.random_range(0..self.fleet.gateways.len()), |(number, _)| *number);
        let address = self.fleet.gateways[gateway].caller_proxy.address();
        let key = {
            let keys = self.keys.borrow();
            match random.random_range(0..10) {
                0 => keys.previous.clone().unwrap_or_else(|| keys.permanent.clone()),
                1..4 => keys.rotated.clone(),
                _ => keys.permanent.clone(),
            }
        };
        let mut ask = Ask::new(route.path(), &id).key(Some(&key)).deadline(DEADLINE).body(&body);
        if route.is_stream() {
            ask = ask.header("model", "small").header("token-count", "10,5").header("session", &session);
        }
        let sent_at = Instant::now();
        let mut caller = match reused {
            Some((_, caller)) => caller,
            // If no connection can be opened, no request was sent and nothing is recorded.
            None => match timeout(CONNECT_TIMEOUT, Caller::connect(address)).await {
                Ok(Ok(caller)) => caller,
                _ => return,
            },
        };
        let aborts = random.random_bool(ABORT_PROBABILITY);
        let wait_limit =
            if aborts { random.random_range(Duration::ZERO..MAX_WAIT_BEFORE_ABORT) } else { DEADLINE + DEADLINE_GRACE };
        let outcome = match timeout(wait_limit, caller.ask(&ask)).await {
            Ok(Some(answer)) => RequestOutcome::Answered(answer),
            Ok(None) => RequestOutcome::Closed,
            Err(_) if aborts => RequestOutcome::Aborted,
            Err(_) => RequestOutcome::TimedOut,
        };
        if let RequestOutcome::Answered(answer) = &outcome
            && answer.complete
            && !answer.header("connection").eq_ignore_ascii_case("close")
        {
            *connection = Some((gateway, caller));
        }
        let record =
            RequestRecord { id, route, gateway, key, session, body, sent_at, ended_at: Instant::now(), outcome };
        self.records.lock().unwrap_or_else(PoisonError::into_inner).push(record);
    }
}
