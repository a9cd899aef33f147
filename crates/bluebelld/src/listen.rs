//! Listening sockets.

use std::net::SocketAddr;

use poem::listener::TcpAcceptor;
use snafu::ResultExt;
use tokio::net::TcpListener;

use crate::error::{DaemonError, ListenSnafu};

/// Opens a listening socket.
///
/// # Errors
/// When listening on the address fails.
pub fn listen(address: SocketAddr) -> Result<TcpListener, DaemonError> {
    bluebell_wire::listen(address).context(ListenSnafu { address: address.to_string() })
}

/// Opens a listening socket for an HTTP server.
///
/// # Errors
/// When listening on the address fails.
pub fn public_acceptor(address: SocketAddr) -> Result<TcpAcceptor, DaemonError> {
    TcpAcceptor::from_tokio(listen(address)?).context(ListenSnafu { address: address.to_string() })
}
