//! Listening sockets of the daemon.

use std::net::SocketAddr;

use poem::listener::TcpAcceptor;
use snafu::ResultExt;
use tokio::net::TcpListener;

use crate::error::{DaemonError, ListenSnafu};

/// Listens for peers.
///
/// # Errors
/// When the address can't be listened on.
pub fn listen(address: SocketAddr) -> Result<TcpListener, DaemonError> {
    bluebell_wire::listen(address).context(ListenSnafu { address: address.to_string() })
}

/// Listens for HTTP.
///
/// # Errors
/// When the address can't be listened on.
pub fn public_acceptor(address: SocketAddr) -> Result<TcpAcceptor, DaemonError> {
    TcpAcceptor::from_tokio(listen(address)?).context(ListenSnafu { address: address.to_string() })
}
