//! Sample declarations of an operator and registry entries of upstreams, as the tests use them.

use std::net::SocketAddr;

use serde_json::{Value, json};

/// Request timeout of each route, in milliseconds.
pub const TIMEOUT_MS: u64 = 4000;

/// Declarations with an engine service (two routes), a plain service (two routes) and one organisation.
#[must_use]
pub fn declarations(version: u64) -> Value {
    let route = |name: &str, kind: &str, service: &str| {
        json!({
            "name": name, "host": "site.example", "prefix": format!("/{name}/"), "routeType": kind,
            "timeoutMs": TIMEOUT_MS, "targetLatencyMs": 300, "priority": 1, "service": service,
            "maxAttempts": 3, "public": false, "streamResume": false, "gapAimMs": 1000,
        })
    };
    let mut talk = route("talk", "stream", "chat");
    talk["streamResume"] = json!(true);
    talk["sizes"] = json!(["small", "middle", "large"]);
    let mut once = route("once", "stream", "chat");
    once["sizes"] = json!(["small"]);
    let mut book = route("book", "non_idempotent", "ledger");
    book["maxAttempts"] = json!(1);
    json!({
        "version": version,
        "routes": [talk, once, book, route("look", "idempotent", "ledger")],
        "services": [
            { "name": "chat", "healthPath": "/health", "maxConnections": 100, "engine": {
                "slots": 8, "kvCapacityTokens": 100_000,
                "models": [{ "name": "small", "cost": 0.02 }, { "name": "middle", "cost": 0.1 },
                           { "name": "large", "cost": 0.3 }] } },
            { "name": "ledger", "healthPath": "/health", "maxConnections": 100 },
        ],
        "limits": { "maxHeaderBytes": 16384, "maxBodyBytes": 65536, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000 },
        "tenants": [{ "name": "org-1", "apiKeys": ["key-1", "key-2"] }],
    })
}

/// The entry by which an upstream registers itself in the store, with 8 slots.
#[must_use]
pub fn server_entry(address: SocketAddr, service: &str, zone: &str, release: &str, state: &str) -> Value {
    json!({
        "service": service, "address": address.to_string(), "zone": zone, "version": release, "slots": 8,
        "state": state, "coldRemainingMs": 0, "sequence": 1, "born": 1,
    })
}
