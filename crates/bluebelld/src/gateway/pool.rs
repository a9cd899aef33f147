//! Kept connections to upstreams. A request goes out on the connection used last; one that was idle for longer than
//! the upstream keeps it is not used again.

use std::{
    collections::HashMap,
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
use tokio::{net::TcpStream, task::AbortHandle, time::timeout};

use super::metered::{Allowance, Metered};

/// Time to connect to an upstream.
const CONNECT_TIME: Duration = Duration::from_millis(700);
/// Silence on a connection after which it is probed, and time between probes.
const PROBE_TIME: Duration = Duration::from_secs(1);
/// Probes without an answer after which a connection counts as lost.
const PROBES: u32 = 2;
/// Time after which data that nobody acknowledges end a connection.
const UNACKNOWLEDGED_TIME: Duration = Duration::from_millis(2500);
/// Time for which an idle connection is kept where the upstream doesn't say.
const DEFAULT_IDLE: Duration = Duration::from_secs(4);
/// Time before the upstream's own end at which an idle connection is given up.
const IDLE_MARGIN: Duration = Duration::from_millis(500);
/// Bytes that may come before the head of an answer is whole, and that a connection reads ahead.
const MAX_HEAD_BYTES: usize = 64 << 10;
/// Idle connections kept to one upstream.
const MAX_IDLE: usize = 48;
/// Time that a kept connection has to become usable.
const USABLE_TIME: Duration = Duration::from_millis(5);

/// A connection that can't be had.
#[derive(Debug, Snafu)]
pub enum PoolError {
    /// The upstream doesn't accept it.
    #[snafu(display("can't connect to {address}: {source}"))]
    Connect {
        /// The upstream.
        address: SocketAddr,
        /// What the system said.
        source: std::io::Error,
    },
    /// The upstream doesn't answer.
    #[snafu(display("{address} did not accept a connection in {CONNECT_TIME:?}"))]
    Silent {
        /// The upstream.
        address: SocketAddr,
    },
    /// The protocol could not be set up.
    #[snafu(display("handshake with {address}: {source}"))]
    Handshake {
        /// The upstream.
        address: SocketAddr,
        /// What the library said.
        source: hyper::Error,
    },
}

/// A connection in use; it is closed when dropped.
pub struct Lease {
    /// Sends a request.
    pub sender: SendRequest<Full<Bytes>>,
    /// Whether it carried a request before.
    pub used: bool,
    address: SocketAddr,
    allowance: Allowance,
    task: AbortHandle,
}

impl Lease {
    /// A head is due next: all that comes before it is bounded.
    pub fn expect_head(&self) {
        self.allowance.set(MAX_HEAD_BYTES);
    }

    /// The head came; whoever reads the body bounds it.
    pub fn expect_body(&self) {
        self.allowance.set(usize::MAX);
    }
}

impl Drop for Lease {
    fn drop(&mut self) {
        self.task.abort();
    }
}

struct Idle {
    lease: Lease,
    until: Duration,
}

/// Kept connections, by address.
#[derive(Default)]
pub struct Pools {
    idle: Mutex<HashMap<SocketAddr, Vec<Idle>>>,
}

impl PoolError {
    /// Whether nobody listens at the upstream's address.
    #[must_use]
    pub fn is_refused(&self) -> bool {
        matches!(self, Self::Connect { source, .. } if source.kind() == std::io::ErrorKind::ConnectionRefused)
    }
}

impl Pools {
    fn lock(&self) -> MutexGuard<'_, HashMap<SocketAddr, Vec<Idle>>> {
        self.idle.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn take_idle(&self, address: SocketAddr, now: Duration) -> Option<Lease> {
        let mut idle = self.lock();
        let kept = idle.get_mut(&address)?;
        kept.retain(|one| now < one.until && !one.lease.sender.is_closed());
        kept.pop().map(|one| one.lease)
    }

    /// A connection to an upstream: a kept one, or a new one.
    ///
    /// # Errors
    /// When the upstream can't be reached.
    pub async fn get(&self, address: SocketAddr, now: Duration) -> Result<Lease, PoolError> {
        while let Some(mut lease) = self.take_idle(address, now) {
            if matches!(timeout(USABLE_TIME, lease.sender.ready()).await, Ok(Ok(()))) {
                return Ok(lease);
            }
        }
        connect(address).await
    }

    /// Keeps a connection whose answer has been read whole.
    pub fn put(&self, mut lease: Lease, now: Duration, idle: Option<Duration>) {
        let keep = idle.unwrap_or(DEFAULT_IDLE).saturating_sub(IDLE_MARGIN);
        if keep.is_zero() || lease.sender.is_closed() {
            return;
        }
        lease.used = true;
        let mut all = self.lock();
        let kept = all.entry(lease.address).or_default();
        if kept.len() < MAX_IDLE {
            kept.push(Idle { lease, until: now + keep });
        }
    }

    /// Closes kept connections whose time is over, or whose upstream is not known any more.
    pub fn sweep(&self, now: Duration, is_known: impl Fn(&SocketAddr) -> bool) {
        let mut idle = self.lock();
        idle.retain(|address, kept| {
            kept.retain(|one| now < one.until && !one.lease.sender.is_closed());
            is_known(address) && !kept.is_empty()
        });
    }
}

/// A new connection to an upstream.
///
/// # Errors
/// When the upstream can't be reached.
pub async fn connect(address: SocketAddr) -> Result<Lease, PoolError> {
    let socket = timeout(CONNECT_TIME, TcpStream::connect(address)).await;
    let socket = socket
        .ok()
        .map_or_else(|| SilentSnafu { address }.fail(), |socket| socket.context(ConnectSnafu { address }))?;
    watch_socket(&socket).context(ConnectSnafu { address })?;
    let (socket, allowance) = Metered::new(socket, MAX_HEAD_BYTES);
    let mut builder = Builder::new();
    builder.max_buf_size(MAX_HEAD_BYTES);
    let (sender, connection) = builder.handshake(TokioIo::new(socket)).await.context(HandshakeSnafu { address })?;
    let task = tokio::spawn(async move {
        if let Err(error) = connection.await {
            log::debug!("connection to {address} ended: {error}");
        }
    });
    Ok(Lease { sender, used: false, address, allowance, task: task.abort_handle() })
}

/// Has the system notice a peer that falls silent.
///
/// # Errors
/// When the socket doesn't take an option.
pub fn watch_socket(socket: &TcpStream) -> std::io::Result<()> {
    socket.set_nodelay(true)?;
    let probes = TcpKeepalive::new().with_time(PROBE_TIME).with_interval(PROBE_TIME).with_retries(PROBES);
    let socket = SockRef::from(socket);
    socket.set_tcp_keepalive(&probes)?;
    socket.set_tcp_user_timeout(Some(UNACKNOWLEDGED_TIME))
}
