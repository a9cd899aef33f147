//! The platform's store of rows: snapshots, change feeds with long polls, conditional transactions.

use std::{
    collections::BTreeMap,
    io,
    net::{SocketAddr, TcpListener, TcpStream},
    sync::{Arc, Condvar, Mutex, MutexGuard},
    thread,
    time::{Duration, Instant},
};

use crate::{
    http::{Request, read_request, write_response},
    json::{Json, base64},
};

type Address = (String, String, String);

#[derive(Debug, Clone)]
struct Row {
    // Base64; none for a deleted row, which the feed still reports.
    value: Option<String>,
    version: u64,
}

#[derive(Debug, Default)]
struct State {
    rows: BTreeMap<Address, Row>,
    version: u64,
}

/// Clones share the content.
#[derive(Debug, Clone)]
pub struct Store {
    state: Arc<(Mutex<State>, Condvar)>,
    started: Instant,
}

impl Store {
    pub fn new() -> Self {
        Self { state: Arc::default(), started: Instant::now() }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.0.lock().unwrap()
    }

    /// Serves calls on an address until the process ends.
    pub fn listen(&self, address: SocketAddr) -> io::Result<SocketAddr> {
        let listener = TcpListener::bind(address)?;
        let local = listener.local_addr()?;
        let store = self.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = store.clone();
                thread::spawn(move || {
                    let _ = store.serve(stream);
                });
            }
        });
        Ok(local)
    }

    /// Writes a row, as an operator or a runner does; returns when the store acknowledged it.
    pub fn put(&self, table: &str, key: &str, json: &str) -> Instant {
        self.write(table, key, Some(base64(json.as_bytes())))
    }

    pub fn delete(&self, table: &str, key: &str) -> Instant {
        self.write(table, key, None)
    }

    fn write(&self, table: &str, key: &str, value: Option<String>) -> Instant {
        let mut state = self.lock();
        state.version += 1;
        let version = state.version;
        state.rows.insert((table.to_owned(), String::new(), key.to_owned()), Row { value, version });
        self.state.1.notify_all();
        Instant::now()
    }

    fn serve(&self, mut stream: TcpStream) -> io::Result<()> {
        stream.set_nodelay(true)?;
        let mut buffer = Vec::new();
        while let Some(request) = read_request(&mut stream, &mut buffer)? {
            thread::sleep(Duration::from_millis(4));
            let (status, body) = match request.path() {
                "/api/rows-get" => (200, self.rows(&request)),
                "/api/rows-feed" => self.feed(&request),
                "/api/rows-tx" => self.transact(&request),
                _ => (404, "{}".to_owned()),
            };
            let headers = [("content-type", "application/json"), ("store-era", "0")];
            write_response(&mut stream, status, &headers, body.as_bytes())?;
        }
        Ok(())
    }

    fn now_ms(&self) -> u128 {
        self.started.elapsed().as_millis()
    }

    fn rows(&self, request: &Request) -> String {
        let (table, part) = (request.param("table"), request.param("part"));
        let (from, to) = (request.param("from"), request.param("to"));
        let limit = request.param("limit").parse().unwrap_or(500).min(500);
        let state = self.lock();
        let is_asked = |address: &Address| {
            (&address.0, &address.1) == (&table, &part) && address.2 >= from && (to.is_empty() || address.2 < to)
        };
        let found: Vec<String> = state
            .rows
            .iter()
            .filter(|(address, row)| is_asked(address) && row.value.is_some())
            .map(|(address, row)| row_json(address, row))
            .collect();
        let truncated = found.len() > limit;
        let rows = found[..found.len().min(limit)].join(",");
        format!(r#"{{"rows":[{rows}],"truncated":{truncated},"ver":{},"nowMs":{}}}"#, state.version, self.now_ms())
    }

    fn feed(&self, request: &Request) -> (u16, String) {
        let table = request.param("table");
        let after: u64 = request.param("after").parse().unwrap_or(0);
        let wait_ms = request.param("waitMs").parse().unwrap_or(0);
        let until = Instant::now() + Duration::from_millis(wait_ms);
        let mut state = self.lock();
        loop {
            if after > state.version {
                return (410, "{}".to_owned());
            }
            let mut changed: Vec<(&Address, &Row)> =
                state.rows.iter().filter(|(address, row)| address.0 == table && row.version > after).collect();
            changed.sort_by_key(|(_, row)| row.version);
            let left = until.saturating_duration_since(Instant::now());
            if !changed.is_empty() || left.is_zero() {
                let rows: Vec<String> = changed.into_iter().map(|(address, row)| row_json(address, row)).collect();
                let (version, now) = (state.version, self.now_ms());
                return (200, format!(r#"{{"rows":[{}],"ver":{version},"nowMs":{now}}}"#, rows.join(",")));
            }
            state = self.state.1.wait_timeout(state, left).unwrap().0;
        }
    }

    fn transact(&self, request: &Request) -> (u16, String) {
        let body = Json::parse(&String::from_utf8_lossy(&request.body)).unwrap_or(Json::Null);
        let address = |entry: &Json| -> Address {
            let text = |name: &str| entry.get(name).text().to_owned();
            (text("table"), text("part"), text("key"))
        };
        let mut state = self.lock();
        for entry in body.get("expected").list() {
            let known = state.rows.get(&address(entry)).filter(|row| row.value.is_some());
            if known.map_or(0, |row| row.version) != entry.get("ver").number() {
                return (412, format!(r#"{{"rows":[],"ver":{},"nowMs":{}}}"#, state.version, self.now_ms()));
            }
        }
        state.version += 1;
        let version = state.version;
        for entry in body.get("put").list() {
            let value = Some(entry.get("value").text().to_owned());
            state.rows.insert(address(entry), Row { value, version });
        }
        for entry in body.get("delete").list() {
            state.rows.insert(address(entry), Row { value: None, version });
        }
        self.state.1.notify_all();
        (200, format!(r#"{{"ver":{version},"nowMs":{}}}"#, self.now_ms()))
    }
}

fn row_json((table, part, key): &Address, row: &Row) -> String {
    let content = match &row.value {
        Some(value) => format!(r#""value":"{value}""#),
        None => r#""deleted":true"#.to_owned(),
    };
    format!(r#"{{"table":"{table}","part":"{part}","key":"{key}",{content},"ver":{}}}"#, row.version)
}
