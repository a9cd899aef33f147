//! Callers, and what they see.

use std::{
    sync::{Arc, Mutex, PoisonError},
    time::{Duration, Instant},
};

use bluebell_standins::caller::{Answer, Ask, Caller};
use rand::{Rng, SeedableRng, rngs::StdRng};
use tokio::{sync::watch, time::timeout};

use crate::{
    fleet::{Fleet, POISON},
    plan::Service,
};

/// Time that callers wait for an answer.
pub const DEADLINE: Duration = Duration::from_secs(6);
/// Time after the deadline at which a caller stops looking.
pub const GIVEN_UP: Duration = Duration::from_millis(1500);
/// Time to connect.
const CONNECT_TIME: Duration = Duration::from_secs(1);
/// Share of the requests that come on a connection that stood before.
const KEPT_SHARE: f64 = 0.8;
/// Longest stay of a caller that leaves early.
const MAX_STAY: Duration = Duration::from_millis(400);
/// Share of the callers that leave before they have their answers.
const LEAVING_SHARE: f64 = 0.03;
/// Longest pause between two requests of a caller.
const MAX_PAUSE: Duration = Duration::from_millis(120);

/// Route of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Route {
    /// A stream that may be resumed.
    Talk,
    /// A stream that may run once.
    Once,
    /// A call that may run once.
    Book,
    /// A call that may be repeated.
    Look,
}

impl Route {
    /// Path of its requests.
    #[must_use]
    pub fn path(self) -> &'static str {
        match self {
            Self::Talk => "/talk/1",
            Self::Once => "/once/1",
            Self::Book => "/book/1",
            Self::Look => "/look/1",
        }
    }

    /// Whether its requests are answered by a stream of events.
    #[must_use]
    pub fn is_stream(self) -> bool {
        matches!(self, Self::Talk | Self::Once)
    }

    /// Whether its requests may run more than once.
    #[must_use]
    pub fn is_repeatable(self) -> bool {
        matches!(self, Self::Talk | Self::Look)
    }

    /// The service that runs it.
    #[must_use]
    pub fn service(self) -> Service {
        if self.is_stream() { Service::Chat } else { Service::Ledger }
    }
}

/// Routes of the requests that end upstreams, one caller each.
pub const POISON_ROUTES: [Route; 2] = [Route::Look, Route::Talk];

/// Body of the requests that end upstreams, of one caller.
#[must_use]
pub fn poison_body(caller: usize) -> String {
    format!("{POISON} {caller}")
}

/// How a request ended for its caller.
#[derive(Debug)]
pub enum End {
    /// With an answer, whole or not.
    Answered(Answer),
    /// The connection ended without one.
    Closed,
    /// Nothing came in time.
    Nothing,
    /// The caller closed the connection.
    Left,
}

/// A request as its caller saw it.
#[derive(Debug)]
pub struct Seen {
    /// Its id.
    pub id: String,
    /// Its route.
    pub route: Route,
    /// The gateway that it was sent to.
    pub gateway: usize,
    /// Key of the caller's organisation.
    pub key: String,
    /// Its session.
    pub session: String,
    /// Its body.
    pub body: String,
    /// When it was sent.
    pub sent: Instant,
    /// When it ended.
    pub ended: Instant,
    /// How it ended.
    pub end: End,
}

impl Seen {
    /// Status of the answer, if there was one.
    #[must_use]
    pub fn status(&self) -> Option<u16> {
        match &self.end {
            End::Answered(answer) => Some(answer.status),
            End::Closed | End::Nothing | End::Left => None,
        }
    }

    /// Whether it was answered with success, as a whole.
    #[must_use]
    pub fn is_served(&self) -> bool {
        matches!(&self.end, End::Answered(answer) if answer.complete && answer.status == 200)
    }
}

/// Keys that callers use: the one in force and the one before.
#[derive(Debug, Clone)]
pub struct Keys {
    /// In force from the start.
    pub steady: String,
    /// The latest one that changes.
    pub latest: String,
    /// The one before.
    pub former: Option<String>,
}

/// All callers of a run.
#[derive(Clone)]
pub struct Callers {
    fleet: Arc<Fleet>,
    keys: watch::Receiver<Keys>,
    seen: Arc<Mutex<Vec<Seen>>>,
}

impl Callers {
    /// Callers that have seen nothing yet.
    #[must_use]
    pub fn new(fleet: Arc<Fleet>, keys: watch::Receiver<Keys>) -> Self {
        Self { fleet, keys, seen: Arc::default() }
    }

    /// Takes all that was seen.
    #[must_use]
    pub fn take(&self) -> Vec<Seen> {
        std::mem::take(&mut self.seen.lock().unwrap_or_else(PoisonError::into_inner))
    }

    /// Sends one request after the other until told to stop.
    pub async fn call(self, seed: u64, number: usize, stop: watch::Receiver<bool>) {
        let mut random = StdRng::seed_from_u64(seed ^ (number as u64) << 32);
        let mut connection = None;
        let mut count = 0;
        while !*stop.borrow() {
            let route = match random.random_range(0..100) {
                0..35 => Route::Talk,
                35..45 => Route::Once,
                45..65 => Route::Book,
                _ => Route::Look,
            };
            count += 1;
            let id = format!("s{seed}-c{number}-{count}");
            let session = format!("s{seed}-{number}-{}", count / 40);
            let body = format!("{id} {}", "x".repeat(random.random_range(0..200)));
            self.send(&mut random, &mut connection, route, id, session, body).await;
            tokio::time::sleep(random.random_range(Duration::ZERO..MAX_PAUSE)).await;
        }
    }

    /// Sends a request that ends upstreams again and again, to any gateway, until told to stop.
    pub async fn persist(self, seed: u64, number: usize, route: Route, stop: watch::Receiver<bool>) {
        let mut random = StdRng::seed_from_u64(seed ^ (number as u64) << 40);
        let mut count = 0;
        while !*stop.borrow() {
            count += 1;
            let id = format!("s{seed}-p{number}-{count}");
            let body = poison_body(number);
            self.send(&mut random, &mut None, route, id, String::new(), body).await;
            tokio::time::sleep(random.random_range(Duration::from_millis(200)..Duration::from_millis(900))).await;
        }
    }

    async fn send(
        &self,
        random: &mut StdRng,
        connection: &mut Option<(usize, Caller)>,
        route: Route,
        id: String,
        session: String,
        body: String,
    ) {
        let kept = connection.take().filter(|_| random.random_bool(KEPT_SHARE));
        let gateway = kept.as_ref().map_or_else(|| random.random_range(0..self.fleet.gateways.len()), |(at, _)| *at);
        let address = self.fleet.gateways[gateway].callers.address();
        let key = {
            let keys = self.keys.borrow();
            match random.random_range(0..10) {
                0 => keys.former.clone().unwrap_or_else(|| keys.steady.clone()),
                1..4 => keys.latest.clone(),
                _ => keys.steady.clone(),
            }
        };
        let mut ask = Ask::new(route.path(), &id).key(Some(&key)).deadline(DEADLINE).body(&body);
        if route.is_stream() {
            ask = ask.header("model", "small").header("token-count", "10,5").header("session", &session);
        }
        let sent = Instant::now();
        let mut caller = match kept {
            Some((_, caller)) => caller,
            // A connection that nobody takes is not a request.
            None => match timeout(CONNECT_TIME, Caller::connect(address)).await {
                Ok(Ok(caller)) => caller,
                _ => return,
            },
        };
        let leaves = random.random_bool(LEAVING_SHARE);
        let patience = if leaves { random.random_range(Duration::ZERO..MAX_STAY) } else { DEADLINE + GIVEN_UP };
        let end = match timeout(patience, caller.ask(&ask)).await {
            Ok(Some(answer)) => End::Answered(answer),
            Ok(None) => End::Closed,
            Err(_) if leaves => End::Left,
            Err(_) => End::Nothing,
        };
        if let End::Answered(answer) = &end
            && answer.complete
            && !answer.header("connection").eq_ignore_ascii_case("close")
        {
            *connection = Some((gateway, caller));
        }
        let seen = Seen { id, route, gateway, key, session, body, sent, ended: Instant::now(), end };
        self.seen.lock().unwrap_or_else(PoisonError::into_inner).push(seen);
    }
}
