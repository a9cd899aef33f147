//! The load balancer's readiness check, and the metrics endpoint.

use std::{net::SocketAddr, sync::Arc};

use bluebell_platform::headers::READY_PATH;
use poem::{EndpointExt, Response, Route, Server, get, handler, http::StatusCode, web::Data};

use super::state::Gateway;
use crate::{error::DaemonError, listen::public_acceptor};

#[handler]
fn ready(gateway: Data<&Arc<Gateway>>) -> Response {
    let status = if gateway.is_ready() { StatusCode::OK } else { StatusCode::SERVICE_UNAVAILABLE };
    Response::builder().status(status).body(())
}

#[handler]
fn metrics(gateway: Data<&Arc<Gateway>>) -> Response {
    gateway.metrics.set_callers(gateway.callers.connections.count(), gateway.callers.bodies.held());
    Response::builder().content_type("text/plain; version=0.0.4").body(gateway.metrics.text())
}

/// Starts to serve both endpoints.
///
/// # Errors
/// If an address can't be bound.
pub fn start(gateway: &Arc<Gateway>) -> Result<(), DaemonError> {
    let listen = &gateway.settings.listen;
    serve(gateway, listen.ready, Route::new().at(READY_PATH, get(ready)))?;
    serve(gateway, listen.metrics, Route::new().at("/metrics", get(metrics)))
}

fn serve(gateway: &Arc<Gateway>, address: SocketAddr, routes: Route) -> Result<(), DaemonError> {
    let app = routes.data(Arc::clone(gateway));
    let server = Server::new_with_acceptor(public_acceptor(address)?);
    tokio::spawn(async move {
        if let Err(error) = server.run(app).await {
            log::error!(address = address.to_string().as_str(); "HTTP server failed; the endpoint is down: {error}");
        }
    });
    Ok(())
}
