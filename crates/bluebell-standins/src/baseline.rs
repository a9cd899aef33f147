//! A pass-through proxy that forwards requests to its targets in round-robin order. It is the baseline against which
//! the latency added by the product is measured.

use std::sync::{
    Arc,
    atomic::{AtomicUsize, Ordering},
};

use futures_util::TryStreamExt;
use poem::{Body, EndpointExt, Request, Response, Route, handler, http::StatusCode, post, web::Data};

use crate::{args::BaselineOptions, error::StandinError, web};

struct Baseline {
    targets: Vec<String>,
    next: AtomicUsize,
    client: reqwest::Client,
}

/// Serves the proxy until the process ends.
///
/// # Errors
/// If the HTTP client cannot be built or the address cannot be bound.
pub async fn serve(options: BaselineOptions) -> Result<(), StandinError> {
    let client = reqwest::Client::builder().tcp_nodelay(true).pool_max_idle_per_host(usize::MAX).build()?;
    let proxy = Arc::new(Baseline { targets: options.next, next: AtomicUsize::new(0), client });
    let app = Route::new().at("/v1/chat/completions", post(forward)).data(proxy);
    web::serve(&options.listen, app).await
}

#[handler]
async fn forward(proxy: Data<&Arc<Baseline>>, request: &Request, body: Body) -> Response {
    let turn = proxy.next.fetch_add(1, Ordering::Relaxed);
    let target = &proxy.targets[turn % proxy.targets.len()];
    let path = request.uri().path();
    let Ok(bytes) = body.into_bytes().await else {
        return status(StatusCode::BAD_REQUEST);
    };
    let outgoing = proxy.client.post(format!("{target}{path}")).header("content-type", "application/json").body(bytes);
    let Ok(reply) = outgoing.send().await else {
        return status(StatusCode::BAD_GATEWAY);
    };
    let code = StatusCode::from_u16(reply.status().as_u16()).unwrap_or(StatusCode::BAD_GATEWAY);
    let content_type = reply.headers().get("content-type").and_then(|value| value.to_str().ok()).map(str::to_owned);
    let body = Body::from_bytes_stream(reply.bytes_stream().map_err(std::io::Error::other));
    Response::builder().status(code).content_type(content_type.unwrap_or_default()).body(body)
}

fn status(code: StatusCode) -> Response {
    Response::builder().status(code).finish()
}
