//! Health, readiness and metrics over HTTP, at both roles.

use std::sync::Arc;

use poem::{Response, handler, http::StatusCode, web::Data};

use crate::shared::Shared;

/// Whether the process runs.
#[handler]
pub fn health() -> Response {
    Response::builder().body("ok\n")
}

/// Whether new work may be given to the process.
#[handler]
pub fn ready(shared: Data<&Arc<Shared>>) -> Response {
    if shared.is_ready() {
        return Response::builder().body("ready\n");
    }
    Response::builder().status(StatusCode::SERVICE_UNAVAILABLE).body("not ready\n")
}

/// Metrics as text.
#[handler]
pub fn metrics(shared: Data<&Arc<Shared>>) -> Response {
    Response::builder().content_type("text/plain; version=0.0.4").body(shared.metrics.text())
}
