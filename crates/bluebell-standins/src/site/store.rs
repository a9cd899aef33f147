//! The row and object store. It can listen on several addresses, each with its own [`StoreMode`], so that a test can
//! make it fail for some callers and serve others.

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

/// Maximum number of rows in one answer.
const PAGE_ROWS: usize = 500;
/// Body of an answer without content.
const EMPTY: &str = "{}";
/// Table in which the product keeps its records.
const RECORDS: &str = "bluebell-records";
/// Table that operators write.
const OPERATORS: &str = "op";

/// How the store treats the calls that arrive on one listener.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum StoreMode {
    /// Serves them normally.
    #[default]
    Open,
    /// Answers 503 without executing them.
    Busy,
    /// Answers 503 to all writes and to reads of the product's records or objects; serves other reads.
    RecordsBusy,
    /// Closes their connections without an answer.
    Reset,
    /// Never answers, not even polls that were begun before.
    Silent,
    /// Never answers reads of the operators' table, not even polls that were begun before; serves the rest.
    OperatorSilent,
    /// Executes writes but closes the connection in place of answering them; serves reads.
    Lossy,
    /// Serves each call after a delay in milliseconds.
    Slow(u64),
}

#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
struct RowKey {
    table: String,
    partition: String,
    key: String,
}

impl RowKey {
    fn new(table: &str, partition: &str, key: &str) -> Self {
        Self { table: table.to_owned(), partition: partition.to_owned(), key: key.to_owned() }
    }
}

#[derive(Debug, Clone)]
struct Versioned {
    // Base64; `None` for a deleted row, which stays as a tombstone so that the feed can report it.
    value: Option<String>,
    version: u64,
    // JSON text that answers contain in place of the row.
    wire: Option<String>,
}

impl Versioned {
    fn new(value: Option<String>, version: u64) -> Self {
        Self { value, version, wire: None }
    }
}

/// Copy of the store's content at one moment.
#[derive(Debug, Clone, Default)]
pub struct StoreCopy {
    rows: BTreeMap<RowKey, Versioned>,
    objects: BTreeMap<String, Vec<u8>>,
    version: u64,
}

#[derive(Debug, Default)]
struct State {
    rows: BTreeMap<RowKey, Versioned>,
    objects: BTreeMap<String, Vec<u8>>,
    version: u64,
    // Number of restores.
    era: u64,
    // Feeds that ask for changes after a version below this one get 410.
    compacted_version: u64,
    calls: u64,
}

/// A row as tests read it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct StoredRow {
    /// Name of its partition.
    pub part: String,
    /// Key within the partition.
    pub key: String,
    /// Store version of its last write.
    pub version: u64,
    /// Decoded JSON content.
    pub value: Value,
}

/// An in-memory store of rows and objects. Clones share the same data.
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

    /// Listens on an address and serves calls there. The returned channel sets how the listener treats its calls.
    ///
    /// # Errors
    /// If the address cannot be bound.
    pub async fn listen(&self, address: &str) -> io::Result<(SocketAddr, watch::Sender<StoreMode>)> {
        let listener = TcpListener::bind(address).await?;
        let address = listener.local_addr()?;
        let mode = watch::Sender::new(StoreMode::default());
        tokio::spawn(self.clone().serve_listener(listener, mode.clone()));
        Ok((address, mode))
    }

    pub(super) async fn serve_listener(self, listener: TcpListener, mode: watch::Sender<StoreMode>) {
        while let Ok((socket, _)) = listener.accept().await {
            let (store, mode) = (self.clone(), mode.clone());
            tokio::spawn(async move {
                // A caller that disconnects affects only its own test.
                let _ = store.serve_connection(socket, &mode).await;
            });
        }
    }

    /// Writes a JSON row, as the platform or an operator would; returns the store version of the write.
    pub fn put(&self, table: &str, key: &str, value: &Value) -> u64 {
        self.put_raw(table, key, value.to_string().as_bytes())
    }

    /// Writes a row of arbitrary bytes; returns the store version of the write.
    pub fn put_raw(&self, table: &str, key: &str, value: &[u8]) -> u64 {
        self.write(RowKey::new(table, "", key), Some(STANDARD.encode(value)), None)
    }

    /// Writes a JSON row to a named partition; returns the store version of the write.
    pub fn put_in_part(&self, table: &str, partition: &str, key: &str, value: &Value) -> u64 {
        self.write(RowKey::new(table, partition, key), Some(STANDARD.encode(value.to_string())), None)
    }

    /// Makes answers contain the given JSON text, which may be malformed as a row, in place of the row with this key;
    /// returns the store version of the write.
    pub fn put_wire(&self, table: &str, key: &str, row: &str) -> u64 {
        self.write(RowKey::new(table, "", key), Some(String::new()), Some(row.to_owned()))
    }

    /// Copies the content.
    #[must_use]
    pub fn copy(&self) -> StoreCopy {
        let state = self.lock();
        StoreCopy { rows: state.rows.clone(), objects: state.objects.clone(), version: state.version }
    }

    /// Goes back to a copy. Versions since then are given out again.
    pub fn restore(&self, copy: StoreCopy) {
        let mut state = self.lock();
        let StoreCopy { rows, objects, version } = copy;
        (state.rows, state.objects, state.version) = (rows, objects, version);
        state.era += 1;
        drop(state);
        self.changed.send_replace(version);
    }

    /// Writes the rows of some tables again that were lost with a restore: those that differ in `before`, the content of
    /// just before it, and `copy`, and were not written since.
    pub fn write_again(&self, before: &StoreCopy, copy: &StoreCopy, tables: &[&str]) {
        let value = |rows: &BTreeMap<RowKey, Versioned>, at: &RowKey| rows.get(at).and_then(|row| row.value.clone());
        for at in before.rows.keys().filter(|at| tables.contains(&at.table.as_str())) {
            let lost = value(&before.rows, at);
            let restored = value(&copy.rows, at);
            if lost != restored && value(&self.lock().rows, at) == restored {
                self.write(at.clone(), lost, None);
            }
        }
    }

    /// Deletes a row; returns the store version of the deletion.
    pub fn delete(&self, table: &str, key: &str) -> u64 {
        self.write(RowKey::new(table, "", key), None, None)
    }

    /// The JSON content of a row in the partition with the empty name; `None` if it is absent or not JSON.
    #[must_use]
    pub fn get(&self, table: &str, key: &str) -> Option<Value> {
        let state = self.lock();
        let stored = state.rows.get(&RowKey::new(table, "", key))?;
        let bytes = STANDARD.decode(stored.value.as_ref()?).ok()?;
        serde_json::from_slice(&bytes).ok()
    }

    /// Keys of the rows of a table, in all its partitions.
    #[must_use]
    pub fn keys(&self, table: &str) -> Vec<String> {
        let state = self.lock();
        let live = state.rows.iter().filter(|(row_key, stored)| row_key.table == table && stored.value.is_some());
        live.map(|(row_key, _)| row_key.key.clone()).collect()
    }

    /// Rows of a table in all partitions whose names start with `partition_prefix`; rows that are not JSON are
    /// skipped.
    #[must_use]
    pub fn scan(&self, table: &str, partition_prefix: &str) -> Vec<StoredRow> {
        let state = self.lock();
        let found = state
            .rows
            .iter()
            .filter(|(row_key, _)| row_key.table == table && row_key.partition.starts_with(partition_prefix));
        let read = |(row_key, stored): (&RowKey, &Versioned)| {
            let bytes = STANDARD.decode(stored.value.as_ref()?).ok()?;
            let value = serde_json::from_slice(&bytes).ok()?;
            Some(StoredRow {
                part: row_key.partition.clone(),
                key: row_key.key.clone(),
                version: stored.version,
                value,
            })
        };
        found.filter_map(read).collect()
    }

    /// Discards the change history, so that feeds positioned before the current version get 410 and have to start
    /// over from a snapshot.
    pub fn compact(&self) {
        let mut state = self.lock();
        state.compacted_version = state.version;
    }

    /// Number of calls received so far, without control calls.
    #[must_use]
    pub fn calls(&self) -> u64 {
        self.lock().calls
    }

    fn write(&self, at: RowKey, value: Option<String>, wire: Option<String>) -> u64 {
        let mut state = self.lock();
        state.version += 1;
        let version = state.version;
        state.rows.insert(at, Versioned { value, version, wire });
        drop(state);
        self.changed.send_replace(version);
        version
    }

    async fn serve_connection(&self, mut socket: TcpStream, mode: &watch::Sender<StoreMode>) -> io::Result<()> {
        let mut buffer = Vec::new();
        while let Some(request) = http1::read(&mut socket, &mut buffer).await? {
            if let Some((status, body)) = control::handle(self, mode, &request) {
                write_json(&mut socket, status, &body.to_string()).await?;
                continue;
            }
            self.lock().calls += 1;
            let current_mode = *mode.borrow();
            let era = self.lock().era.to_string();
            let era = ("store-era", era.as_str());
            match current_mode {
                StoreMode::Open => {}
                StoreMode::RecordsBusy if !concerns_records(&request) => {}
                StoreMode::Busy | StoreMode::RecordsBusy => {
                    http1::write(&mut socket, 503, &[era], b"").await?;
                    continue;
                }
                StoreMode::Reset => return Ok(()),
                StoreMode::Silent => std::future::pending().await,
                StoreMode::OperatorSilent if concerns_operators(&request) => std::future::pending().await,
                StoreMode::OperatorSilent => {}
                StoreMode::Lossy if request.method == "POST" => {
                    self.transact(&request);
                    return Ok(());
                }
                StoreMode::Lossy => {}
                StoreMode::Slow(delay_ms) => sleep(Duration::from_millis(delay_ms)).await,
            }
            if let Some((status, body)) = self.handle_object(&request) {
                http1::write(&mut socket, status, &[era], &body).await?;
                continue;
            }
            let (status, body) = self.handle_rows(&request, &mode.subscribe()).await;
            let mode_now = *mode.borrow();
            if mode_now == StoreMode::Silent || mode_now == StoreMode::OperatorSilent && concerns_operators(&request) {
                return std::future::pending().await;
            }
            // A restore may have ended the wait for changes.
            let era = self.lock().era.to_string();
            let headers = [("content-type", "application/json"), ("store-era", era.as_str())];
            http1::write(&mut socket, status, &headers, body.as_bytes()).await?;
        }
        Ok(())
    }

    async fn handle_rows(&self, request: &Request, mode: &watch::Receiver<StoreMode>) -> (u16, String) {
        match request.path() {
            "/api/rows-get" => (200, self.get_rows(request)),
            "/api/rows-feed" => self.feed(request, mode.clone()).await,
            "/api/rows-tx" => self.transact(request),
            _ => (404, EMPTY.to_owned()),
        }
    }

    // Returns `None` if the call does not concern an object.
    fn handle_object(&self, request: &Request) -> Option<(u16, Vec<u8>)> {
        let path = request.path();
        if let Some(id) = path.strip_prefix("/api/blob-put/") {
            self.lock().objects.insert(id.to_owned(), request.body.clone());
            return Some((200, Vec::new()));
        }
        let id = path.strip_prefix("/api/blob-get/")?;
        Some(self.lock().objects.get(id).map_or((404, Vec::new()), |content| (200, content.clone())))
    }

    fn uptime_ms(&self) -> u64 {
        self.started.elapsed().as_millis() as u64
    }

    fn reply_body(&self, state: &State, rows: &[String], truncated: bool) -> String {
        let (rows, version, now) = (rows.join(","), state.version, self.uptime_ms());
        format!(r#"{{"rows":[{rows}],"truncated":{truncated},"ver":{version},"nowMs":{now}}}"#)
    }

    fn get_rows(&self, request: &Request) -> String {
        let from = RowKey::new(&request.param("table"), &request.param("part"), &request.param("from"));
        let to = request.param("to");
        let limit = request.param("limit").parse().unwrap_or(PAGE_ROWS).min(PAGE_ROWS);
        let state = self.lock();
        let in_range = |row_key: &RowKey| {
            row_key.table == from.table && row_key.partition == from.partition && (to.is_empty() || row_key.key < to)
        };
        let mut range = state.rows.range(from.clone()..).take_while(|(row_key, _)| in_range(row_key));
        let mut live = range.by_ref().filter(|(_, stored)| stored.value.is_some());
        let rows: Vec<String> = live.by_ref().take(limit).map(|(row_key, stored)| row_text(row_key, stored)).collect();
        let truncated = live.next().is_some();
        self.reply_body(&state, &rows, truncated)
    }

    // Long-polls for changes. A change of the listener's `StoreMode` ends the wait with 503, so that a fault also
    // affects calls that are already waiting.
    async fn feed(&self, request: &Request, mut mode: watch::Receiver<StoreMode>) -> (u16, String) {
        let table = request.param("table");
        let after: u64 = request.param("after").parse().unwrap_or(0);
        let wait = Duration::from_millis(request.param("waitMs").parse().unwrap_or(0));
        let mut changed = self.changed.subscribe();
        mode.mark_unchanged();
        let deadline = Instant::now() + wait;
        loop {
            changed.borrow_and_update();
            if let Some(answer) = self.changes_after(&table, after) {
                return answer;
            }
            let remaining = deadline.saturating_duration_since(Instant::now());
            tokio::select! {
                woken = timeout(remaining, changed.changed()) => {
                    if woken.is_err() {
                        let state = self.lock();
                        return (200, self.reply_body(&state, &[], false));
                    }
                }
                _ = mode.changed() => return (503, EMPTY.to_owned()),
            }
        }
    }

    // Changes of the table after a version, or 410 if its history was compacted; `None` if there are no changes.
    fn changes_after(&self, table: &str, after: u64) -> Option<(u16, String)> {
        let state = self.lock();
        if after < state.compacted_version || after > state.version {
            return Some((410, EMPTY.to_owned()));
        }
        let mut changes: Vec<_> =
            state.rows.iter().filter(|(row_key, stored)| row_key.table == table && stored.version > after).collect();
        changes.sort_by_key(|(_, stored)| stored.version);
        let rows: Vec<String> = changes.into_iter().map(|(row_key, stored)| row_text(row_key, stored)).collect();
        (!rows.is_empty()).then(|| (200, self.reply_body(&state, &rows, false)))
    }

    fn transact(&self, request: &Request) -> (u16, String) {
        let body: Value = serde_json::from_slice(&request.body).unwrap_or_default();
        let list = |name: &str| body[name].as_array().cloned().unwrap_or_default();
        let row_key = |entry: &Value| -> RowKey {
            let text = |field: &str| entry[field].as_str().unwrap_or_default();
            RowKey::new(text("table"), text("part"), text("key"))
        };
        let mut state = self.lock();
        for entry in list("expected") {
            let stored = state.rows.get(&row_key(&entry)).filter(|stored| stored.value.is_some());
            if stored.map_or(0, |stored| stored.version) != entry["ver"].as_u64().unwrap_or(0) {
                return (412, self.reply_body(&state, &[], false));
            }
        }
        state.version += 1;
        let version = state.version;
        for entry in list("put") {
            let value = entry["value"].as_str().map(str::to_owned);
            state.rows.insert(row_key(&entry), Versioned::new(value, version));
        }
        for entry in list("delete") {
            state.rows.insert(row_key(&entry), Versioned::new(None, version));
        }
        let reply = self.reply_body(&state, &[], false);
        drop(state);
        self.changed.send_replace(version);
        (200, reply)
    }
}

// Whether `StoreMode::RecordsBusy` rejects the call.
fn concerns_records(request: &Request) -> bool {
    request.method != "GET" || request.path().starts_with("/api/blob") || request.param("table") == RECORDS
}

// Whether `StoreMode::OperatorSilent` leaves the call unanswered.
fn concerns_operators(request: &Request) -> bool {
    request.param("table") == OPERATORS
}

fn row_text(row_key: &RowKey, stored: &Versioned) -> String {
    if let Some(text) = &stored.wire {
        return text.clone();
    }
    let mut row =
        json!({ "table": row_key.table, "part": row_key.partition, "key": row_key.key, "ver": stored.version });
    match &stored.value {
        Some(value) => row["value"] = json!(value),
        None => row["deleted"] = json!(true),
    }
    row.to_string()
}
