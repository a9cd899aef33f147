//! Creation of listening sockets.

use std::{io, net::SocketAddr};

use tokio::net::{TcpListener, TcpSocket};

/// Maximum number of connections waiting to be accepted.
const BACKLOG: u32 = 1024;

/// Binds a listener. Accepted sockets inherit `TCP_NODELAY` from it; without that option the last chunk of a streamed
/// answer would wait for the peer's delayed acknowledgement.
///
/// # Errors
/// When the socket can't be created, bound or put into listening state.
pub fn listen(address: SocketAddr) -> io::Result<TcpListener> {
    let socket = if address.is_ipv4() { TcpSocket::new_v4()? } else { TcpSocket::new_v6()? };
    socket.set_reuseaddr(true)?;
    socket.set_nodelay(true)?;
    socket.bind(address)?;
    socket.listen(BACKLOG)
}
