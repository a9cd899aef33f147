//! Control interface of a store that runs in its own process, for tests, demos and measurements. Control calls are
//! always served: the configured [`StoreMode`] does not apply to them.
//!
//! `PUT /control/rows/TABLE/KEY` writes a row, `DELETE` deletes it, and `GET /control/rows/TABLE?part=PREFIX` lists the
//! rows of all partitions whose names start with `PREFIX`. `PUT /control/door` sets the [`StoreMode`].

use serde_json::{Value, json};
use tokio::{net::TcpListener, sync::watch};

use super::{SiteStore, StoreMode, http1::Request};

/// Serves an empty store until the process ends.
pub async fn serve(listener: TcpListener) {
    SiteStore::default().serve_listener(listener, watch::Sender::default()).await;
}

/// Handles a control call; returns `None` for any other request.
pub fn handle(store: &SiteStore, mode: &watch::Sender<StoreMode>, request: &Request) -> Option<(u16, Value)> {
    let path = request.path().strip_prefix("/control/")?;
    if path == "door" {
        return Some(set_mode(mode, &request.body));
    }
    let rest = path.strip_prefix("rows/")?;
    let (table, key) = rest.split_once('/').unwrap_or((rest, ""));
    Some(match request.method.as_str() {
        "GET" => (200, list_rows(store, table, &request.param("part"))),
        "DELETE" => (200, json!(store.delete(table, key))),
        _ => (200, json!(store.put_raw(table, key, &request.body))),
    })
}

fn set_mode(mode: &watch::Sender<StoreMode>, body: &[u8]) -> (u16, Value) {
    match serde_json::from_slice(body) {
        Ok(new_mode) => {
            mode.send_replace(new_mode);
            (200, json!({}))
        }
        Err(error) => (400, json!(error.to_string())),
    }
}

fn list_rows(store: &SiteStore, table: &str, partition_prefix: &str) -> Value {
    json!(store.scan(table, partition_prefix))
}
