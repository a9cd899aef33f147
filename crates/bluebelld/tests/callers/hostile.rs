//! A site with low limits, and callers that write raw bytes.

use std::time::Duration;

use futures_util::future::join_all;
use serde_json::json;
use tokio::{
    io::AsyncWriteExt,
    net::{TcpSocket, TcpStream},
    sync::{Mutex, MutexGuard},
    time::timeout,
};

use super::{
    caller::{Ask, Caller},
    site::Site,
    until,
};

/// Memory of the gateway's machine, in MB: that of the smallest machine in docs/WORKLOADS.md.
const MEMORY_MB: u64 = 96;
/// Descriptors of the gateway's machine.
const DESCRIPTORS: usize = 512;
/// Declared maximum size of a request head, in bytes.
pub const HEAD_LIMIT: usize = 8192;
/// Declared maximum size of a request body, in bytes.
pub const BODY_LIMIT: usize = 1 << 20;
/// Declared idle time of a connection, in milliseconds.
const IDLE_MS: u64 = 2000;
/// Declared time for a request head, in milliseconds.
const HEAD_MS: u64 = 500;

/// Connections of a case that holds descriptors: more than the machine has.
pub const MANY_CONNECTIONS: usize = 700;
/// Connections of a case that holds memory. With 400 kB each they hold more than the machine has.
pub const CONNECTIONS: usize = 320;

/// Time without progress after which a caller stops writing, as the gateway doesn't read.
const WRITE_STALL: Duration = Duration::from_millis(700);
/// Receive buffer of a caller that doesn't read, in bytes.
const RECEIVE_BUFFER: u32 = 4096;

/// Held by the test that runs.
static RUNNING: Mutex<()> = Mutex::const_new(());

/// A site with one gateway of a small machine. Only one exists at a time.
pub struct SmallSite {
    pub site: Site,
    pid: u32,
    _running: MutexGuard<'static, ()>,
}

impl SmallSite {
    pub async fn start() -> Self {
        let running = RUNNING.lock().await;
        let mut site = Site::start_without_gateways().await;
        site.settings = format!("machine: {{ memory_mb: {MEMORY_MB}, descriptors: {DESCRIPTORS} }}\n");
        site.put_declarations(1, |config| {
            config["limits"] = json!({
                "maxHeaderBytes": HEAD_LIMIT, "maxBodyBytes": BODY_LIMIT, "headerTimeoutMs": HEAD_MS,
                "idleTimeoutMs": IDLE_MS,
            });
        });
        site.add_gateway(0).await;
        let pid = site.gateways[0].process.id();
        let small = Self { site, pid, _running: running };
        small.wait_for_answer("before").await;
        small
    }

    /// Opens connections of callers that read nothing. A connection that isn't accepted is left out.
    pub async fn connect(&self, count: usize) -> Vec<TcpStream> {
        let address = self.site.gateways[0].caller_address;
        let mut sockets = Vec::new();
        for _ in 0..count {
            let socket = TcpSocket::new_v4().expect("the test should have descriptors");
            socket.set_recv_buffer_size(RECEIVE_BUFFER).expect("the buffer's size should be settable");
            if let Ok(Ok(socket)) = timeout(WRITE_STALL, socket.connect(address)).await {
                sockets.push(socket);
            }
        }
        sockets
    }

    /// Checks the process and its use of memory and descriptors so far.
    pub fn check(&self, what: &str) {
        let process = &self.site.gateways[0].process;
        let (memory, descriptors) = (process.peak_memory(), process.open_descriptors());
        eprintln!("{what}: peak memory of {} MiB, {descriptors} descriptors", memory >> 20);
        assert_eq!(process.id(), self.pid, "{what}: the process was replaced");
        assert!(memory <= MEMORY_MB << 20, "{what}: peak memory of {} MiB", memory >> 20);
        assert!(descriptors <= DESCRIPTORS, "{what}: {descriptors} descriptors");
    }

    /// Checks likewise, and that an ordinary request is answered.
    pub async fn check_with_request(&self, what: &str) {
        self.check(what);
        self.wait_for_answer("after").await;
        self.check(what);
    }

    async fn wait_for_answer(&self, id: &str) {
        let address = self.site.gateways[0].caller_address;
        until("an ordinary request to be answered", || async {
            let Ok(mut caller) = Caller::connect(address).await else { return false };
            caller.ask(&Ask::new("/look/x", id)).await.is_some_and(|answer| answer.status == 200)
        })
        .await;
    }
}

/// Writes the same bytes `times` times, or until the connection ends or makes no progress.
pub async fn write(socket: &mut TcpStream, bytes: &[u8], times: usize) {
    for _ in 0..times {
        if !matches!(timeout(WRITE_STALL, socket.write_all(bytes)).await, Ok(Ok(()))) {
            return;
        }
    }
}

/// Writes the same bytes on all connections at once, see [`write`].
pub async fn write_all(sockets: &mut [TcpStream], bytes: &[u8], times: usize) {
    join_all(sockets.iter_mut().map(|socket| write(socket, bytes, times))).await;
}
