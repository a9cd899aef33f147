//! Answers to the balancer's question whether new connections are welcome, and metrics.

use std::sync::Arc;

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
    Response::builder().content_type("text/plain; version=0.0.4").body(gateway.metrics.text())
}

/// Starts to answer.
///
/// # Errors
/// When the address can't be listened on.
pub fn start(gateway: &Arc<Gateway>) -> Result<(), DaemonError> {
    let app = Route::new().at(READY_PATH, get(ready)).at("/metrics", get(metrics)).data(Arc::clone(gateway));
    let server = Server::new_with_acceptor(public_acceptor(gateway.settings.listen.ready)?);
    tokio::spawn(async move {
        if let Err(error) = server.run(app).await {
            log::error!("readiness is not answered any more: {error}");
        }
    });
    Ok(())
}
