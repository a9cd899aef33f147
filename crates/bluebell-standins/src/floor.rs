//! A hop that passes requests on and decides nothing: the floor against which added latency is measured.

use std::sync::{
    Arc,
    atomic::{AtomicUsize, Ordering},
};

use futures_util::TryStreamExt;
use poem::{Body, EndpointExt, Request, Response, Route, handler, http::StatusCode, post, web::Data};

use crate::{args::FloorOptions, error::StandinError, web};

struct Floor {
    next: Vec<String>,
    turn: AtomicUsize,
    client: reqwest::Client,
}

/// Serves the hop.
///
/// # Errors
/// When the client can't be built or the address can't be listened on.
pub async fn serve(options: FloorOptions) -> Result<(), StandinError> {
    let client = reqwest::Client::builder().tcp_nodelay(true).pool_max_idle_per_host(usize::MAX).build()?;
    let floor = Arc::new(Floor { next: options.next, turn: AtomicUsize::new(0), client });
    let app = Route::new().at("/v1/chat/completions", post(pass)).data(floor);
    web::serve(&options.listen, app).await
}

#[handler]
async fn pass(floor: Data<&Arc<Floor>>, request: &Request, body: Body) -> Response {
    let turn = floor.turn.fetch_add(1, Ordering::Relaxed);
    let next = &floor.next[turn % floor.next.len()];
    let path = request.uri().path();
    let Ok(bytes) = body.into_bytes().await else {
        return status(StatusCode::BAD_REQUEST);
    };
    let sent = floor.client.post(format!("{next}{path}")).header("content-type", "application/json").body(bytes);
    let Ok(reply) = sent.send().await else {
        return status(StatusCode::BAD_GATEWAY);
    };
    let code = StatusCode::from_u16(reply.status().as_u16()).unwrap_or(StatusCode::BAD_GATEWAY);
    let content = reply.headers().get("content-type").and_then(|value| value.to_str().ok()).map(str::to_owned);
    let body = Body::from_bytes_stream(reply.bytes_stream().map_err(std::io::Error::other));
    Response::builder().status(code).content_type(content.unwrap_or_default()).body(body)
}

fn status(code: StatusCode) -> Response {
    Response::builder().status(code).finish()
}
