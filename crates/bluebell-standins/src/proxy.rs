//! A TCP proxy that injects network faults at run time: it delays, freezes or discards bytes, and closes connections,
//! single directions, or connections after a number of bytes.

use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use snafu::ResultExt;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{
        TcpListener, TcpStream,
        tcp::{OwnedReadHalf, OwnedWriteHalf},
    },
    sync::watch,
};

use crate::error::{ServeSnafu, StandinError};

/// Size of one read.
const CHUNK_BYTES: usize = 16 << 10;

/// What the proxy does to the bytes of one direction.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum Harm {
    /// Forwards bytes.
    #[default]
    None,
    /// Forwards bytes after a delay.
    Delay(Duration),
    /// Holds bytes back until another state is set.
    Freeze,
    /// Closes this direction of open connections, and so the whole connection if set for both. For `up`, it also closes
    /// new connections before they reach the target.
    Cut,
    /// Discards bytes, like a one-way network partition.
    Swallow,
    /// Closes this direction of a connection after this many further bytes.
    CutAfter(u64),
    /// Closes this direction only.
    HalfClose,
}

/// The faults of both directions.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Harms {
    /// Towards the target.
    pub up: Harm,
    /// Towards the client.
    pub down: Harm,
}

impl Harms {
    /// The same fault in both directions.
    #[must_use]
    pub fn both(harm: Harm) -> Self {
        Self { up: harm, down: harm }
    }
}

/// A proxy between two processes. It runs until the Tokio runtime stops.
#[derive(Debug)]
pub struct Proxy {
    address: SocketAddr,
    harms: watch::Sender<Harms>,
    connections: Arc<AtomicU64>,
}

impl Proxy {
    /// Starts a proxy that listens on one address and forwards connections to another.
    ///
    /// # Errors
    /// If the address cannot be bound.
    pub async fn start(listen: &str, target: &str) -> Result<Self, StandinError> {
        let listener = TcpListener::bind(listen).await.context(ServeSnafu { address: listen })?;
        let address = listener.local_addr().context(ServeSnafu { address: listen })?;
        let (harms, watched) = watch::channel(Harms::default());
        let connections = Arc::new(AtomicU64::new(0));
        tokio::spawn(accept(listener, target.to_owned(), watched, Arc::clone(&connections)));
        Ok(Self { address, harms, connections })
    }

    /// Address on which it listens.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Number of connections accepted so far.
    #[must_use]
    pub fn connections(&self) -> u64 {
        self.connections.load(Ordering::Relaxed)
    }

    /// Replaces the faults, for open connections too.
    pub fn set(&self, harms: Harms) {
        self.harms.send_replace(harms);
    }
}

async fn accept(listener: TcpListener, target: String, harms: watch::Receiver<Harms>, connections: Arc<AtomicU64>) {
    while let Ok((socket, _)) = listener.accept().await {
        connections.fetch_add(1, Ordering::Relaxed);
        let harms = harms.clone();
        let target = target.clone();
        tokio::spawn(async move {
            if harms.borrow().up == Harm::Cut {
                return;
            }
            if let Ok(upstream) = TcpStream::connect(&target).await {
                forward_both(socket, upstream, harms);
            }
        });
    }
}

fn forward_both(socket: TcpStream, upstream: TcpStream, harms: watch::Receiver<Harms>) {
    // Without TCP_NODELAY the proxy itself would delay small frames. If setting it fails, the proxy is only slower.
    let _ = socket.set_nodelay(true);
    let _ = upstream.set_nodelay(true);
    let (client_read, client_write) = socket.into_split();
    let (target_read, target_write) = upstream.into_split();
    tokio::spawn(forward(client_read, target_write, harms.clone(), |harms| harms.up));
    tokio::spawn(forward(target_read, client_write, harms, |harms| harms.down));
}

async fn forward(
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    mut harms: watch::Receiver<Harms>,
    direction: fn(&Harms) -> Harm,
) {
    let mut buffer = vec![0; CHUNK_BYTES];
    let mut remaining = None;
    loop {
        let cut =
            async { harms.wait_for(|harms| matches!(direction(harms), Harm::Cut | Harm::HalfClose)).await.is_ok() };
        let count = tokio::select! {
            read = from.read(&mut buffer) => read.unwrap_or(0),
            _ = cut => 0,
        };
        if count == 0 {
            return;
        }
        let frozen = harms.wait_for(|harms| direction(harms) != Harm::Freeze).await.map(|harms| direction(&harms));
        let Ok(harm) = frozen else { return };
        let Some(bytes) = apply_fault(harm, &buffer[..count], &mut remaining) else { return };
        if let Harm::Delay(time) = harm {
            tokio::time::sleep(time).await;
        }
        if to.write_all(bytes).await.is_err() {
            return;
        }
    }
}

// Returns the part of a chunk to forward, or `None` to close the direction. `remaining` is the byte budget of
// `CutAfter`.
fn apply_fault<'a>(harm: Harm, chunk: &'a [u8], remaining: &mut Option<u64>) -> Option<&'a [u8]> {
    match harm {
        Harm::Cut | Harm::HalfClose => None,
        Harm::Swallow => Some(&[]),
        Harm::CutAfter(limit) => {
            let budget = remaining.get_or_insert(limit);
            if *budget == 0 {
                return None;
            }
            let count = (chunk.len() as u64).min(*budget);
            *budget -= count;
            Some(&chunk[..count as usize])
        }
        Harm::None | Harm::Delay(_) | Harm::Freeze => Some(chunk),
    }
}
