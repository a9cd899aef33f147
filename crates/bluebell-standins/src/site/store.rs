//! The store. It listens at several doors, so that a test can have it turn some callers away and serve others.

use std::{
    collections::BTreeMap,
    io,
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::{Duration, Instant},
};

use base64::{Engine, engine::general_purpose::STANDARD};
use serde::{Deserialize, Serialize};
use serde_json::{Value, json};
use tokio::{
    net::{TcpListener, TcpStream},
    sync::watch,
    time::{sleep, timeout},
};

use super::{
    control,
    http1::{self, Request, write_json},
};

/// Most rows of one answer.
const PAGE_ROWS: usize = 500;
/// Table of the product's records.
const RECORDS: &str = "bluebell-records";

/// How the store treats the callers of one door.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Door {
    /// It serves them.
    #[default]
    Open,
    /// It answers that nothing was done.
    Busy,
    /// It answers so where the product's records or objects are concerned, and serves the rest.
    RecordsBusy,
    /// It resets their connections.
    Reset,
    /// It doesn't answer.
    Silent,
    /// It does what they ask and loses the answers to writes.
    Lossy,
    /// Each call takes this much longer, in milliseconds.
    Slow(u64),
}

#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
struct Key {
    table: String,
    part: String,
    key: String,
}

impl Key {
    fn new(table: &str, part: &str, key: &str) -> Self {
        Self { table: table.to_owned(), part: part.to_owned(), key: key.to_owned() }
    }
}

#[derive(Debug, Clone)]
struct Held {
    value: Option<String>,
    version: u64,
}

#[derive(Debug, Default)]
struct State {
    rows: BTreeMap<Key, Held>,
    objects: BTreeMap<String, Vec<u8>>,
    version: u64,
    // Changes at or before this version are forgotten.
    floor: u64,
    calls: u64,
}

/// A row as tests see it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Scanned {
    /// Its partition.
    pub part: String,
    /// Its key.
    pub key: String,
    /// Version of the store at which it was written.
    pub version: u64,
    /// Its content.
    pub value: Value,
}

/// The store of rows and objects.
#[derive(Debug, Clone)]
pub struct SiteStore {
    state: Arc<Mutex<State>>,
    changed: watch::Sender<u64>,
    started: Instant,
}

impl Default for SiteStore {
    fn default() -> Self {
        Self { state: Arc::default(), changed: watch::Sender::new(0), started: Instant::now() }
    }
}

impl SiteStore {
    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Opens a door on a loopback address; what it does follows the channel.
    ///
    /// # Errors
    /// When the address can't be listened on.
    pub async fn open(&self, address: &str) -> io::Result<(SocketAddr, watch::Sender<Door>)> {
        let listener = TcpListener::bind(address).await?;
        let address = listener.local_addr()?;
        let door = watch::Sender::new(Door::default());
        tokio::spawn(self.clone().accept(listener, door.clone()));
        Ok((address, door))
    }

    pub(super) async fn accept(self, listener: TcpListener, door: watch::Sender<Door>) {
        while let Ok((socket, _)) = listener.accept().await {
            let (store, door) = (self.clone(), door.clone());
            tokio::spawn(async move {
                // A caller that breaks off concerns only its own test.
                let _ = store.serve(socket, &door).await;
            });
        }
    }

    /// Writes a row as the platform or an operator does; gives its version.
    pub fn put(&self, table: &str, key: &str, value: &Value) -> u64 {
        self.write(table, key, Some(STANDARD.encode(value.to_string())))
    }

    /// Writes a row of any bytes.
    pub fn put_raw(&self, table: &str, key: &str, value: &[u8]) -> u64 {
        self.write(table, key, Some(STANDARD.encode(value)))
    }

    /// Deletes a row.
    pub fn delete(&self, table: &str, key: &str) -> u64 {
        self.write(table, key, None)
    }

    /// A row's content.
    #[must_use]
    pub fn get(&self, table: &str, key: &str) -> Option<Value> {
        let state = self.lock();
        let held = state.rows.get(&Key::new(table, "", key))?;
        let bytes = STANDARD.decode(held.value.as_ref()?).ok()?;
        serde_json::from_slice(&bytes).ok()
    }

    /// Keys of a table.
    #[must_use]
    pub fn keys(&self, table: &str) -> Vec<String> {
        let state = self.lock();
        let live = state.rows.iter().filter(|(at, held)| at.table == table && held.value.is_some());
        live.map(|(at, _)| at.key.clone()).collect()
    }

    /// Rows of a table, as far as the partition's name begins so.
    #[must_use]
    pub fn scan(&self, table: &str, part: &str) -> Vec<Scanned> {
        let state = self.lock();
        let found = state.rows.iter().filter(|(at, _)| at.table == table && at.part.starts_with(part));
        let read = |(at, held): (&Key, &Held)| {
            let bytes = STANDARD.decode(held.value.as_ref()?).ok()?;
            let value = serde_json::from_slice(&bytes).ok()?;
            Some(Scanned { part: at.part.clone(), key: at.key.clone(), version: held.version, value })
        };
        found.filter_map(read).collect()
    }

    /// Forgets what changed until now, so that feeds must begin anew.
    pub fn compact(&self) {
        let mut state = self.lock();
        state.floor = state.version;
    }

    /// Calls so far.
    #[must_use]
    pub fn calls(&self) -> u64 {
        self.lock().calls
    }

    fn write(&self, table: &str, key: &str, value: Option<String>) -> u64 {
        let mut state = self.lock();
        state.version += 1;
        let version = state.version;
        state.rows.insert(Key::new(table, "", key), Held { value, version });
        drop(state);
        self.changed.send_replace(version);
        version
    }

    async fn serve(&self, mut socket: TcpStream, door: &watch::Sender<Door>) -> io::Result<()> {
        let mut buffer = Vec::new();
        while let Some(request) = http1::read(&mut socket, &mut buffer).await? {
            if let Some((status, body)) = control::answer(self, door, &request) {
                write_json(&mut socket, status, &body).await?;
                continue;
            }
            self.lock().calls += 1;
            let now = *door.borrow();
            match now {
                Door::Open => {}
                Door::RecordsBusy if !concerns_records(&request) => {}
                Door::Busy | Door::RecordsBusy => {
                    http1::write(&mut socket, 503, &[], b"").await?;
                    continue;
                }
                Door::Reset => return Ok(()),
                Door::Silent => std::future::pending().await,
                Door::Lossy if request.method == "POST" => {
                    self.transact(&request);
                    return Ok(());
                }
                Door::Lossy => {}
                Door::Slow(millis) => sleep(Duration::from_millis(millis)).await,
            }
            if let Some((status, body)) = self.object(&request) {
                http1::write(&mut socket, status, &[], &body).await?;
                continue;
            }
            let (status, body) = self.answer(&request, &door.subscribe()).await;
            write_json(&mut socket, status, &body).await?;
        }
        Ok(())
    }

    async fn answer(&self, request: &Request, door: &watch::Receiver<Door>) -> (u16, Value) {
        match request.path() {
            "/api/rows-get" => (200, self.snapshot(request)),
            "/api/rows-feed" => self.feed(request, door.clone()).await,
            "/api/rows-tx" => self.transact(request),
            _ => (404, json!({})),
        }
    }

    // None where the call is not about an object.
    fn object(&self, request: &Request) -> Option<(u16, Vec<u8>)> {
        let path = request.path();
        if let Some(id) = path.strip_prefix("/api/blob-put/") {
            self.lock().objects.insert(id.to_owned(), request.body.clone());
            return Some((200, Vec::new()));
        }
        let id = path.strip_prefix("/api/blob-get/")?;
        Some(self.lock().objects.get(id).map_or((404, Vec::new()), |content| (200, content.clone())))
    }

    fn clock(&self) -> u64 {
        self.started.elapsed().as_millis() as u64
    }

    fn reply(&self, state: &State, rows: Vec<Value>) -> Value {
        json!({ "rows": rows, "truncated": false, "ver": state.version, "nowMs": self.clock() })
    }

    fn snapshot(&self, request: &Request) -> Value {
        let from = Key::new(&request.param("table"), &request.param("part"), &request.param("from"));
        let to = request.param("to");
        let limit = request.param("limit").parse().unwrap_or(PAGE_ROWS).min(PAGE_ROWS);
        let state = self.lock();
        let inside = |at: &Key| at.table == from.table && at.part == from.part && (to.is_empty() || at.key < to);
        let mut found = state.rows.range(from.clone()..).take_while(|(at, _)| inside(at));
        let mut live = found.by_ref().filter(|(_, held)| held.value.is_some());
        let rows = live.by_ref().take(limit).map(|(at, held)| row(at, held)).collect();
        let truncated = live.next().is_some();
        let mut reply = self.reply(&state, rows);
        reply["truncated"] = json!(truncated);
        reply
    }

    async fn feed(&self, request: &Request, mut door: watch::Receiver<Door>) -> (u16, Value) {
        let table = request.param("table");
        let after: u64 = request.param("after").parse().unwrap_or(0);
        let wait = Duration::from_millis(request.param("waitMs").parse().unwrap_or(0));
        let mut changed = self.changed.subscribe();
        door.mark_unchanged();
        let end = Instant::now() + wait;
        loop {
            changed.borrow_and_update();
            if let Some(answer) = self.changes(&table, after) {
                return answer;
            }
            let left = end.saturating_duration_since(Instant::now());
            tokio::select! {
                woken = timeout(left, changed.changed()) => {
                    if woken.is_err() {
                        let state = self.lock();
                        return (200, self.reply(&state, Vec::new()));
                    }
                }
                _ = door.changed() => return (503, json!({})),
            }
        }
    }

    // None while nothing has changed.
    fn changes(&self, table: &str, after: u64) -> Option<(u16, Value)> {
        let state = self.lock();
        if after < state.floor {
            return Some((410, json!({})));
        }
        let mut found: Vec<_> =
            state.rows.iter().filter(|(at, held)| at.table == table && held.version > after).collect();
        found.sort_by_key(|(_, held)| held.version);
        let rows: Vec<Value> = found.into_iter().map(|(key, held)| row(key, held)).collect();
        (!rows.is_empty()).then(|| (200, self.reply(&state, rows)))
    }

    fn transact(&self, request: &Request) -> (u16, Value) {
        let body: Value = serde_json::from_slice(&request.body).unwrap_or_default();
        let list = |name: &str| body[name].as_array().cloned().unwrap_or_default();
        let name = |entry: &Value| -> Key {
            let text = |field: &str| entry[field].as_str().unwrap_or_default();
            Key::new(text("table"), text("part"), text("key"))
        };
        let mut state = self.lock();
        for entry in list("expected") {
            let held = state.rows.get(&name(&entry)).filter(|held| held.value.is_some());
            if held.map_or(0, |held| held.version) != entry["ver"].as_u64().unwrap_or(0) {
                return (412, self.reply(&state, Vec::new()));
            }
        }
        state.version += 1;
        let version = state.version;
        for entry in list("put") {
            let value = entry["value"].as_str().map(str::to_owned);
            state.rows.insert(name(&entry), Held { value, version });
        }
        for entry in list("delete") {
            state.rows.insert(name(&entry), Held { value: None, version });
        }
        let reply = self.reply(&state, Vec::new());
        drop(state);
        self.changed.send_replace(version);
        (200, reply)
    }
}

fn concerns_records(request: &Request) -> bool {
    request.method != "GET" || request.path().starts_with("/api/blob") || request.param("table") == RECORDS
}

fn row(at: &Key, held: &Held) -> Value {
    let mut row = json!({ "table": at.table, "part": at.part, "key": at.key, "ver": held.version });
    match &held.value {
        Some(value) => row["value"] = json!(value),
        None => row["deleted"] = json!(true),
    }
    row
}
