//! A TCP proxy that does harm on command: delays, cuts, freezes, closes one half, or stops after some bytes.

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

/// Bytes passed on at once.
const CHUNK_BYTES: usize = 16 << 10;

/// What the proxy does to one direction.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum Harm {
    /// Passes bytes on.
    #[default]
    None,
    /// Passes bytes on after a while.
    Delay(Duration),
    /// Holds bytes back until told otherwise.
    Freeze,
    /// Closes connections, open ones and new ones.
    Cut,
    /// Swallows bytes, as a one-way cut does.
    Swallow,
    /// Closes a connection after so many further bytes.
    CutAfter(u64),
    /// Closes this half only.
    HalfClose,
}

/// Harm in both directions.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Harms {
    /// From the side that connects.
    pub up: Harm,
    /// Towards the side that connects.
    pub down: Harm,
}

impl Harms {
    /// The same harm in both directions.
    #[must_use]
    pub fn both(harm: Harm) -> Self {
        Self { up: harm, down: harm }
    }
}

/// A proxy between two processes.
#[derive(Debug)]
pub struct Proxy {
    address: SocketAddr,
    harms: watch::Sender<Harms>,
    connections: Arc<AtomicU64>,
}

impl Proxy {
    /// Starts a proxy that listens on one address and connects to another.
    ///
    /// # Errors
    /// When the address can't be listened on.
    pub async fn start(listen: &str, target: &str) -> Result<Self, StandinError> {
        let listener = TcpListener::bind(listen).await.context(ServeSnafu { address: listen })?;
        let address = listener.local_addr().context(ServeSnafu { address: listen })?;
        let (harms, watched) = watch::channel(Harms::default());
        let connections = Arc::new(AtomicU64::new(0));
        tokio::spawn(accept(listener, target.to_owned(), watched, Arc::clone(&connections)));
        Ok(Self { address, harms, connections })
    }

    /// Address it listens on.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Connections accepted so far.
    #[must_use]
    pub fn connections(&self) -> u64 {
        self.connections.load(Ordering::Relaxed)
    }

    /// Changes the harm done from now on.
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
                join(socket, upstream, harms);
            }
        });
    }
}

fn join(socket: TcpStream, upstream: TcpStream, harms: watch::Receiver<Harms>) {
    // Without these the proxy itself would delay small frames; a socket that refuses is merely slower.
    let _ = socket.set_nodelay(true);
    let _ = upstream.set_nodelay(true);
    let (near_read, near_write) = socket.into_split();
    let (far_read, far_write) = upstream.into_split();
    tokio::spawn(pump(near_read, far_write, harms.clone(), |harms| harms.up));
    tokio::spawn(pump(far_read, near_write, harms, |harms| harms.down));
}

async fn pump(
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    mut harms: watch::Receiver<Harms>,
    side: fn(&Harms) -> Harm,
) {
    let mut buffer = vec![0; CHUNK_BYTES];
    let mut allowance = None;
    loop {
        let cut = async { harms.wait_for(|harms| matches!(side(harms), Harm::Cut | Harm::HalfClose)).await.is_ok() };
        let count = tokio::select! {
            read = from.read(&mut buffer) => read.unwrap_or(0),
            _ = cut => 0,
        };
        if count == 0 {
            return;
        }
        let frozen = harms.wait_for(|harms| side(harms) != Harm::Freeze).await.map(|harms| side(&harms));
        let Ok(harm) = frozen else { return };
        let Some(bytes) = permitted(harm, &buffer[..count], &mut allowance) else { return };
        if let Harm::Delay(time) = harm {
            tokio::time::sleep(time).await;
        }
        if to.write_all(bytes).await.is_err() {
            return;
        }
    }
}

// What of a chunk may pass; none when the connection is to be closed.
fn permitted<'a>(harm: Harm, chunk: &'a [u8], allowance: &mut Option<u64>) -> Option<&'a [u8]> {
    match harm {
        Harm::Cut | Harm::HalfClose => None,
        Harm::Swallow => Some(&[]),
        Harm::CutAfter(limit) => {
            let left = allowance.get_or_insert(limit);
            if *left == 0 {
                return None;
            }
            let count = (chunk.len() as u64).min(*left);
            *left -= count;
            Some(&chunk[..count as usize])
        }
        Harm::None | Harm::Delay(_) | Harm::Freeze => Some(chunk),
    }
}
