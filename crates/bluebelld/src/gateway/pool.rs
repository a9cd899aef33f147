//! Connection pool for upstreams. The most recently used idle connection is reused first; a connection that was idle
//! for longer than the upstream keeps it open is not reused.

use std::{
    collections::{HashMap, HashSet},
    net::SocketAddr,
    sync::{Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use bytes::Bytes;
use http_body_util::Full;
use hyper::client::conn::http1::{Builder, SendRequest};
use hyper_util::rt::TokioIo;
use snafu::{ResultExt, Snafu};
use socket2::{SockRef, TcpKeepalive};
use tokio::{
    net::TcpStream,
    task::{self, AbortHandle},
    time::timeout,
};

use super::read_limit::{ReadLimit, ReadLimitedSocket};

/// Time limit for connecting to an upstream.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(700);
/// Idle time on a connection before the first TCP keep-alive probe, and interval between probes.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);
/// Unanswered keep-alive probes after which a connection is closed.
const KEEPALIVE_PROBES: u32 = 2;
/// Time after which unacknowledged data closes a connection to an upstream (`TCP_USER_TIMEOUT`).
const UPSTREAM_USER_TIMEOUT: Duration = Duration::from_millis(2500);
/// The same for a caller. It also bounds the time for which a caller may read nothing while data waits for it.
pub const CALLER_USER_TIMEOUT: Duration = Duration::from_secs(15);
/// Idle timeout of connections whose upstream doesn't announce one.
const DEFAULT_IDLE_TIMEOUT: Duration = Duration::from_secs(4);
/// Time before the upstream's idle timeout at which a connection is no longer reused.
const IDLE_MARGIN: Duration = Duration::from_millis(500);
/// Maximum bytes received before the head of an answer is complete; also the size of a connection's read buffer.
const MAX_HEAD_BYTES: usize = 16 << 10;
/// Maximum idle connections per upstream.
const MAX_IDLE_PER_UPSTREAM: usize = 48;
/// Time limit for an idle connection to become ready for a request.
const READY_TIMEOUT: Duration = Duration::from_millis(5);

/// Why there is no connection to an upstream.
#[derive(Debug, Snafu)]
pub enum PoolError {
    /// Connecting failed.
    #[snafu(display("can't connect to {address}: {source}"))]
    Connect {
        /// The upstream.
        address: SocketAddr,
        /// Error of the operating system.
        source: std::io::Error,
    },
    /// The connection was not established in time.
    #[snafu(display("{address} did not accept a connection in {CONNECT_TIMEOUT:?}"))]
    Timeout {
        /// The upstream.
        address: SocketAddr,
    },
    /// The HTTP handshake failed.
    #[snafu(display("handshake with {address}: {source}"))]
    Handshake {
        /// The upstream.
        address: SocketAddr,
        /// Error of the HTTP library.
        source: hyper::Error,
    },
}

/// Identifies a connection for as long as it is open.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ConnectionId(task::Id);

/// Connections on which a request was sent so far. An upstream may repeat an earlier answer on a connection, and the id
/// of the request doesn't tell such a copy from the answer to another attempt at it.
#[derive(Debug, Default)]
pub struct UsedConnections(Mutex<Vec<ConnectionId>>);

impl UsedConnections {
    fn lock(&self) -> MutexGuard<'_, Vec<ConnectionId>> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Adds a connection.
    pub fn add(&self, connection: &PooledConnection) {
        self.lock().push(connection.id());
    }
}

/// A connection taken from the pool; closed when dropped.
pub struct PooledConnection {
    /// Sends requests on the connection.
    pub sender: SendRequest<Full<Bytes>>,
    /// Whether an earlier request was sent on it.
    pub reused: bool,
    address: SocketAddr,
    read_limit: ReadLimit,
    task: AbortHandle,
}

impl PooledConnection {
    fn id(&self) -> ConnectionId {
        ConnectionId(self.task.id())
    }

    /// Limits the bytes received until the head of the next answer is complete.
    pub fn expect_head(&self) {
        self.read_limit.set(MAX_HEAD_BYTES);
    }

    /// Lifts the limit once the head has arrived; the reader of the body applies its own.
    pub fn expect_body(&self) {
        self.read_limit.set(usize::MAX);
    }
}

impl Drop for PooledConnection {
    fn drop(&mut self) {
        self.task.abort();
    }
}

struct Idle {
    connection: PooledConnection,
    expires: Duration,
}

/// Idle connections, by address.
#[derive(Default)]
pub struct ConnectionPool {
    idle: Mutex<HashMap<SocketAddr, Vec<Idle>>>,
}

impl PoolError {
    /// Whether the connection was refused, so that no process listens at the upstream's address.
    #[must_use]
    pub fn is_refused(&self) -> bool {
        matches!(self, Self::Connect { source, .. } if source.kind() == std::io::ErrorKind::ConnectionRefused)
    }
}

impl ConnectionPool {
    fn lock(&self) -> MutexGuard<'_, HashMap<SocketAddr, Vec<Idle>>> {
        self.idle.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn take_idle(&self, address: SocketAddr, now: Duration, used: &UsedConnections) -> Option<PooledConnection> {
        let mut idle = self.lock();
        let kept = idle.get_mut(&address)?;
        kept.retain(|entry| now < entry.expires && !entry.connection.sender.is_closed());
        let used = used.lock();
        let index = kept.iter().rposition(|entry| !used.contains(&entry.connection.id()))?;
        Some(kept.remove(index).connection)
    }

    /// Returns an idle connection to an upstream that is not one of those used, or opens a new one.
    ///
    /// # Errors
    /// When the upstream can't be reached.
    pub async fn get(
        &self,
        address: SocketAddr,
        now: Duration,
        used: &UsedConnections,
    ) -> Result<PooledConnection, PoolError> {
        while let Some(mut connection) = self.take_idle(address, now, used) {
            if matches!(timeout(READY_TIMEOUT, connection.sender.ready()).await, Ok(Ok(()))) {
                return Ok(connection);
            }
        }
        connect(address).await
    }

    /// Returns a connection to the pool after its answer was read completely. `idle` is the idle timeout that the
    /// upstream announced.
    pub fn put(&self, mut connection: PooledConnection, now: Duration, idle: Option<Duration>) {
        let keep = idle.unwrap_or(DEFAULT_IDLE_TIMEOUT).saturating_sub(IDLE_MARGIN);
        if keep.is_zero() || connection.sender.is_closed() {
            return;
        }
        connection.reused = true;
        let mut all = self.lock();
        let kept = all.entry(connection.address).or_default();
        if kept.len() < MAX_IDLE_PER_UPSTREAM {
            kept.push(Idle { connection, expires: now + keep });
        }
    }

    /// Addresses to which there is an idle connection. Taken once for all candidates of a choice.
    #[must_use]
    pub fn idle_addresses(&self, now: Duration) -> HashSet<SocketAddr> {
        let is_usable = |entry: &Idle| now < entry.expires && !entry.connection.sender.is_closed();
        // Connections that were returned last are the most likely to be usable.
        let idle = self.lock();
        let usable = idle.iter().filter(|(_, kept)| kept.iter().rev().any(is_usable));
        usable.map(|(address, _)| *address).collect()
    }

    /// Closes the idle connections to an upstream.
    pub fn close_idle(&self, address: &SocketAddr) {
        self.lock().remove(address);
    }

    /// Closes idle connections that expired or whose upstream is no longer registered.
    pub fn sweep(&self, now: Duration, is_known: impl Fn(&SocketAddr) -> bool) {
        let mut idle = self.lock();
        idle.retain(|address, kept| {
            kept.retain(|entry| now < entry.expires && !entry.connection.sender.is_closed());
            is_known(address) && !kept.is_empty()
        });
    }
}

/// Opens a new connection to an upstream.
///
/// # Errors
/// When the upstream can't be reached.
pub async fn connect(address: SocketAddr) -> Result<PooledConnection, PoolError> {
    let socket = timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await;
    let socket = socket
        .ok()
        .map_or_else(|| TimeoutSnafu { address }.fail(), |socket| socket.context(ConnectSnafu { address }))?;
    configure_socket(&socket, UPSTREAM_USER_TIMEOUT).context(ConnectSnafu { address })?;
    let (socket, read_limit) = ReadLimitedSocket::new(socket, MAX_HEAD_BYTES);
    let mut builder = Builder::new();
    builder.max_buf_size(MAX_HEAD_BYTES);
    let (sender, connection) = builder.handshake(TokioIo::new(socket)).await.context(HandshakeSnafu { address })?;
    let task = tokio::spawn(async move {
        if let Err(error) = connection.await {
            log::debug!("connection to {address} closed: {error}");
        }
    });
    Ok(PooledConnection { sender, reused: false, address, read_limit, task: task.abort_handle() })
}

/// Sets TCP options so that the operating system detects an unresponsive peer. Data that the peer has not acknowledged
/// for `user_timeout` closes the connection.
///
/// # Errors
/// When an option can't be set.
pub fn configure_socket(socket: &TcpStream, user_timeout: Duration) -> std::io::Result<()> {
    socket.set_nodelay(true)?;
    let probes = TcpKeepalive::new()
        .with_time(KEEPALIVE_INTERVAL)
        .with_interval(KEEPALIVE_INTERVAL)
        .with_retries(KEEPALIVE_PROBES);
    let socket = SockRef::from(socket);
    socket.set_tcp_keepalive(&probes)?;
    socket.set_tcp_user_timeout(Some(user_timeout))
}
