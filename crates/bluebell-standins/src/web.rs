//! What all servers here share.

use poem::{Endpoint, EndpointExt, IntoEndpoint, Server, listener::TcpAcceptor};
use snafu::ResultExt;

use crate::error::{ServeSnafu, StandinError};

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
