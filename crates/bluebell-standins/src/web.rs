//! What all servers here share.

use poem::{Endpoint, EndpointExt, IntoEndpoint, Server, listener::TcpListener};
use snafu::ResultExt;

use crate::error::{ServeSnafu, StandinError};

/// Serves until the process ends.
pub(crate) async fn serve<E>(address: &str, app: E) -> Result<(), StandinError>
where
    E: IntoEndpoint,
    E::Endpoint: Endpoint + 'static,
{
    let app = app.into_endpoint().map_to_response();
    Server::new(TcpListener::bind(address.to_owned())).run(app).await.context(ServeSnafu { address })
}
