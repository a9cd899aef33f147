//! HTTP endpoints for health, readiness and metrics, served by entries and sidecars.

use std::sync::Arc;

use poem::{Response, handler, http::StatusCode, web::Data};

use crate::shared::Shared;

/// Liveness check: succeeds as long as the process runs.
#[handler]
pub fn health() -> Response {
    Response::builder().body("ok\n")
}

/// Readiness check: succeeds if the process accepts new work.
#[handler]
pub fn ready(shared: Data<&Arc<Shared>>) -> Response {
    if shared.is_ready() {
        return Response::builder().body("ready\n");
    }
    Response::builder().status(StatusCode::SERVICE_UNAVAILABLE).body("not ready\n")
}

/// Metrics in the Prometheus text format.
#[handler]
pub fn metrics(shared: Data<&Arc<Shared>>) -> Response {
    Response::builder().content_type("text/plain; version=0.0.4").body(shared.metrics.text())
}
