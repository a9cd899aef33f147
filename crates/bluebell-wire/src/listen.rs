//! Listening sockets.

use std::{io, net::SocketAddr};

use tokio::net::{TcpListener, TcpSocket};

/// Connections that wait to be accepted.
const BACKLOG: u32 = 1024;

/// Listens on an address. Accepted sockets inherit `TCP_NODELAY`, without which the last piece of a streamed answer
/// waits for the peer's delayed acknowledgement.
///
/// # Errors
/// When the address can't be listened on.
pub fn listen(address: SocketAddr) -> io::Result<TcpListener> {
    let socket = if address.is_ipv4() { TcpSocket::new_v4()? } else { TcpSocket::new_v6()? };
    socket.set_reuseaddr(true)?;
    socket.set_nodelay(true)?;
    socket.bind(address)?;
    socket.listen(BACKLOG)
}
