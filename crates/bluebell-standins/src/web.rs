//! What all servers here share.

use bytes::Bytes;
use futures_util::{StreamExt, stream};
use poem::{Body, Endpoint, EndpointExt, IntoEndpoint, Server, listener::TcpAcceptor};
use snafu::ResultExt;

use crate::error::{ServeSnafu, StandinError};

/// Bytes without end that are written at once.
const ENDLESS_BLOCK: usize = 16 << 10;
/// Bytes after which those without end do end, lest a test never does.
const ENDLESS_BYTES: usize = 1 << 30;

/// Serves until the process ends.
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

/// A body without end, for all that a caller should ever read of it.
pub(crate) fn endless() -> Body {
    let block = Bytes::from("x".repeat(ENDLESS_BLOCK));
    let blocks = stream::repeat(block).take(ENDLESS_BYTES / ENDLESS_BLOCK);
    Body::from_bytes_stream(blocks.map(Ok::<_, std::io::Error>))
}
