//! What tests, demos and measurements do to a store in a process of its own. The door doesn't apply to them.
//!
//! `PUT /control/rows/TABLE/KEY` writes a row, `DELETE` deletes it, `GET /control/rows/TABLE?part=PREFIX` lists rows,
//! and `PUT /control/door` says how other callers are treated.

use serde_json::{Value, json};
use tokio::{net::TcpListener, sync::watch};

use super::{Door, SiteStore, http1::Request};

/// Serves a store until the process ends.
pub async fn serve(listener: TcpListener) {
    SiteStore::default().accept(listener, watch::Sender::default()).await;
}

/// Answer to a call of this interface; none to any other.
pub fn answer(store: &SiteStore, door: &watch::Sender<Door>, request: &Request) -> Option<(u16, Value)> {
    let path = request.path().strip_prefix("/control/")?;
    if path == "door" {
        return Some(set_door(door, &request.body));
    }
    let rest = path.strip_prefix("rows/")?;
    let (table, key) = rest.split_once('/').unwrap_or((rest, ""));
    Some(match request.method.as_str() {
        "GET" => (200, list(store, table, &request.param("part"))),
        "DELETE" => (200, json!(store.delete(table, key))),
        _ => (200, json!(store.put_raw(table, key, &request.body))),
    })
}

fn set_door(door: &watch::Sender<Door>, body: &[u8]) -> (u16, Value) {
    match serde_json::from_slice(body) {
        Ok(state) => {
            door.send_replace(state);
            (200, json!({}))
        }
        Err(error) => (400, json!(error.to_string())),
    }
}

fn list(store: &SiteStore, table: &str, part: &str) -> Value {
    json!(store.scan(table, part))
}
