//! Helpers that the HTTP servers of this crate share.

use bytes::Bytes;
use futures_util::{StreamExt, stream};
use poem::{Body, Endpoint, EndpointExt, IntoEndpoint, Server, listener::TcpAcceptor};
use snafu::ResultExt;

use crate::error::{ServeSnafu, StandinError};

/// Chunk size of an unbounded body.
const ENDLESS_CHUNK_BYTES: usize = 16 << 10;
/// Size at which an "unbounded" body ends after all, so that a test whose caller reads on terminates.
const ENDLESS_BODY_BYTES: usize = 1 << 30;

/// Serves an application on an address until the process ends.
pub(crate) async fn serve<E>(address: &str, app: E) -> Result<(), StandinError>
where
    E: IntoEndpoint,
    E::Endpoint: Endpoint + 'static,
{
    let app = app.into_endpoint().map_to_response();
    let parsed = address.parse().map_err(std::io::Error::other).context(ServeSnafu { address })?;
    let acceptor = bluebell_wire::listen(parsed).and_then(TcpAcceptor::from_tokio).context(ServeSnafu { address })?;
    Server::new_with_acceptor(acceptor).run(app).await.context(ServeSnafu { address })
}

/// A body larger than any caller should accept, to stand for an unbounded one.
pub(crate) fn endless() -> Body {
    let chunk = Bytes::from("x".repeat(ENDLESS_CHUNK_BYTES));
    let chunks = stream::repeat(chunk).take(ENDLESS_BODY_BYTES / ENDLESS_CHUNK_BYTES);
    Body::from_bytes_stream(chunks.map(Ok::<_, std::io::Error>))
}
