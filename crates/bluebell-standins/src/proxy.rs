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
pub enum LinkFault {
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
    /// Discards bytes, like a one-way network partition. A connection of which bytes were discarded is closed at the next
    /// ones after the fault.
    Discard,
    /// Closes this direction of a connection after this many further bytes.
    CutAfter(u64),
    /// Closes this direction only.
    HalfClose,
}

/// The faults of both directions.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct LinkFaults {
    /// Towards the target.
    pub up: LinkFault,
    /// Towards the client.
    pub down: LinkFault,
}

impl LinkFaults {
    /// The same fault in both directions.
    #[must_use]
    pub fn both(fault: LinkFault) -> Self {
        Self { up: fault, down: fault }
    }
}

/// A proxy between two processes. It runs until the Tokio runtime stops.
#[derive(Debug)]
pub struct Proxy {
    address: SocketAddr,
    faults: watch::Sender<LinkFaults>,
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
        let (faults, watched) = watch::channel(LinkFaults::default());
        let connections = Arc::new(AtomicU64::new(0));
        tokio::spawn(accept(listener, target.to_owned(), watched, Arc::clone(&connections)));
        Ok(Self { address, faults, connections })
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
    pub fn set(&self, faults: LinkFaults) {
        self.faults.send_replace(faults);
    }
}

async fn accept(
    listener: TcpListener,
    target: String,
    faults: watch::Receiver<LinkFaults>,
    connections: Arc<AtomicU64>,
) {
    while let Ok((socket, _)) = listener.accept().await {
        connections.fetch_add(1, Ordering::Relaxed);
        let faults = faults.clone();
        let target = target.clone();
        tokio::spawn(async move {
            if faults.borrow().up == LinkFault::Cut {
                return;
            }
            if let Ok(upstream) = TcpStream::connect(&target).await {
                forward_both(socket, upstream, faults);
            }
        });
    }
}

fn forward_both(socket: TcpStream, upstream: TcpStream, faults: watch::Receiver<LinkFaults>) {
    // Without TCP_NODELAY the proxy itself would delay small frames. If setting it fails, the proxy is only slower.
    let _ = socket.set_nodelay(true);
    let _ = upstream.set_nodelay(true);
    let (client_read, client_write) = socket.into_split();
    let (target_read, target_write) = upstream.into_split();
    tokio::spawn(forward(client_read, target_write, faults.clone(), |faults| faults.up));
    tokio::spawn(forward(target_read, client_write, faults, |faults| faults.down));
}

async fn forward(
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    mut faults: watch::Receiver<LinkFaults>,
    direction: fn(&LinkFaults) -> LinkFault,
) {
    let mut buffer = vec![0; CHUNK_BYTES];
    let mut remaining = None;
    let mut has_hole = false;
    loop {
        let cut = async {
            faults.wait_for(|faults| matches!(direction(faults), LinkFault::Cut | LinkFault::HalfClose)).await.is_ok()
        };
        let count = tokio::select! {
            read = from.read(&mut buffer) => read.unwrap_or(0),
            _ = cut => 0,
        };
        if count == 0 {
            return;
        }
        let frozen =
            faults.wait_for(|faults| direction(faults) != LinkFault::Freeze).await.map(|faults| direction(&faults));
        let Ok(fault) = frozen else { return };
        if fault == LinkFault::Discard {
            has_hole = true;
            continue;
        }
        // No network delivers the bytes after those that are missing.
        if has_hole {
            return;
        }
        let Some(bytes) = apply_fault(fault, &buffer[..count], &mut remaining) else { return };
        if let LinkFault::Delay(time) = fault {
            tokio::time::sleep(time).await;
        }
        if to.write_all(bytes).await.is_err() {
            return;
        }
    }
}

// Returns the part of a chunk to forward, or `None` to close the direction. `remaining` is the byte budget of
// `CutAfter`.
fn apply_fault<'a>(fault: LinkFault, chunk: &'a [u8], remaining: &mut Option<u64>) -> Option<&'a [u8]> {
    match fault {
        LinkFault::Cut | LinkFault::HalfClose => None,
        LinkFault::CutAfter(limit) => {
            let budget = remaining.get_or_insert(limit);
            if *budget == 0 {
                return None;
            }
            let count = (chunk.len() as u64).min(*budget);
            *budget -= count;
            Some(&chunk[..count as usize])
        }
        LinkFault::None | LinkFault::Delay(_) | LinkFault::Freeze | LinkFault::Discard => Some(chunk),
    }
}
