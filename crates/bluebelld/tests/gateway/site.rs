//! A small site for the tests: a store, two engines of the service `chat`, two instances of the plain service `ledger`,
//! and gateways in front of them. The gateways are processes; the others run inside the test.

use std::{
    net::SocketAddr,
    path::PathBuf,
    sync::atomic::{AtomicU32, Ordering},
    time::{Duration, Instant},
};

pub use bluebell_standins::site::TIMEOUT_MS;
use bluebell_standins::site::{Run, SiteStore, SiteUpstream, StoreMode, UpstreamKind, declarations, server_entry};
use futures_util::future::join_all;
use serde_json::Value;
use tokio::{sync::watch, time::sleep};

use super::{
    caller::{self, Answer, Ask},
    process::Process,
    until,
};

/// Number of events in a complete streamed answer.
pub const EVENT_COUNT: u64 = 8;

/// Time within which a change in the store must take effect at all gateways.
pub const PROPAGATION_LIMIT: Duration = Duration::from_secs(2);

/// First port of the gateways; see [`Site::addresses`].
const FIRST_PORT: u16 = 10_000;

/// Number of sites created so far in this process; gives each site an address of its own.
static SITE_COUNT: AtomicU32 = AtomicU32::new(0);

/// A gateway process. It has a store listener of its own, so that a test can cut it off from the store alone.
pub struct Gateway {
    pub name: String,
    pub process: Process,
    pub caller_address: SocketAddr,
    pub ready_address: SocketAddr,
    pub metrics_address: SocketAddr,
    /// How the store treats the calls of this gateway.
    pub store_mode: watch::Sender<StoreMode>,
}

impl Gateway {
    /// Sends a request on a new connection.
    pub async fn ask(&self, ask: &Ask) -> Answer {
        caller::ask(self.caller_address, ask).await
    }

    /// Whether the gateway's readiness check succeeds.
    pub async fn is_ready(&self) -> bool {
        let url = format!("http://{}/api/ready", self.ready_address);
        reqwest::get(url).await.is_ok_and(|answer| answer.status().is_success())
    }
}

/// A store, upstreams and gateways; the gateways are killed when it is dropped.
pub struct Site {
    pub store: SiteStore,
    pub gateways: Vec<Gateway>,
    pub chat: Vec<SiteUpstream>,
    pub ledger: Vec<SiteUpstream>,
    /// Lines that are added to the settings of gateways started from now on.
    pub settings: String,
    /// Seconds that gateways started from now on take to stop at most.
    pub drain_seconds: u32,
    directory: PathBuf,
    host: String,
}

impl Site {
    /// Starts a site with this many gateways and waits until each has the operator's declarations and serves requests.
    pub async fn start(gateway_count: usize) -> Self {
        let mut site = Self::start_without_gateways().await;
        site.put_declarations(1, |_| {});
        site.start_gateways(gateway_count).await;
        site
    }

    /// Starts this many gateways and waits until each serves requests.
    pub async fn start_gateways(&mut self, gateway_count: usize) {
        for number in 0..gateway_count {
            self.add_gateway(number).await;
        }
        self.wait_until_serving().await;
    }

    /// Waits until each gateway serves requests.
    pub async fn wait_until_serving(&self) {
        for gateway in &self.gateways {
            until("a gateway to be ready", || gateway.is_ready()).await;
            until("a gateway to serve requests", || async {
                gateway.ask(&Ask::new("/look/x", "warm-up")).await.status == 200
            })
            .await;
        }
    }

    /// Starts a site with registered upstreams, but without declarations and gateways.
    pub async fn start_without_gateways() -> Self {
        let number = SITE_COUNT.fetch_add(1, Ordering::Relaxed) + 1;
        // Each site has a loopback address of its own, which differs from those of other test programs.
        let host = format!("127.77.{}.{}", std::process::id() % 250 + 1, number);
        let directory = std::env::temp_dir().join(format!("bluebell-gateway-{}-{number}", std::process::id()));
        std::fs::create_dir_all(&directory).expect("the directory should be creatable");
        let any_port = format!("{host}:0");
        let mut site = Self {
            store: SiteStore::default(),
            gateways: Vec::new(),
            chat: Vec::new(),
            ledger: Vec::new(),
            settings: String::new(),
            drain_seconds: 6,
            directory,
            host,
        };
        for number in 1..=2 {
            let (chat, ledger) = (format!("chat-{number}"), format!("ledger-{number}"));
            let kind = UpstreamKind::Engine { events: EVENT_COUNT };
            site.chat.push(SiteUpstream::start(&chat, kind, &any_port).await.expect("the engine should start"));
            site.ledger.push(
                SiteUpstream::start(&ledger, UpstreamKind::Plain, &any_port).await.expect("the service should start"),
            );
        }
        for upstream in &site.chat {
            site.put_entry(upstream, "chat", "v1", "ready");
        }
        for upstream in &site.ledger {
            site.put_entry(upstream, "ledger", "v1", "ready");
        }
        site
    }

    /// Writes an upstream's registry entry once. It stays as written when the upstream crashes; see
    /// [`Site::register_all`].
    pub fn put_entry(&self, upstream: &SiteUpstream, service: &str, release: &str, state: &str) {
        self.store.put("servers", &upstream.id, &registry_entry(upstream, service, release, state));
    }

    /// Registers all upstreams; from then on each entry is removed after a crash and put back at the restart.
    pub fn register_all(&self) {
        for (service, upstreams) in [("chat", &self.chat), ("ledger", &self.ledger)] {
            for upstream in upstreams {
                upstream.register(&self.store, &registry_entry(upstream, service, "v1", "ready"));
            }
        }
    }

    /// Starts and registers another instance of the service `ledger`.
    pub async fn add_ledger(&mut self, id: &str) {
        let any_port = format!("{}:0", self.host);
        let service = SiteUpstream::start(id, UpstreamKind::Plain, &any_port).await.expect("the service should start");
        self.put_entry(&service, "ledger", "v1", "ready");
        self.ledger.push(service);
    }

    /// Starts and registers another engine of the service `chat`, which runs the given release.
    pub async fn add_engine(&mut self, id: &str, release: &str) {
        let any_port = format!("{}:0", self.host);
        let engine = SiteUpstream::start(id, UpstreamKind::Engine { events: EVENT_COUNT }, &any_port)
            .await
            .expect("the engine should start");
        self.put_entry(&engine, "chat", release, "ready");
        self.chat.push(engine);
    }

    /// Writes the operator's declarations, with the given change applied.
    pub fn put_declarations(&self, version: u64, change: impl FnOnce(&mut Value)) {
        let mut config = declarations(version);
        change(&mut config);
        self.store.put("op", "config", &config);
    }

    /// Starts a gateway, without waiting until it is ready.
    pub async fn add_gateway(&mut self, number: usize) {
        let (store, store_mode) =
            self.store.listen(&format!("{}:0", self.host)).await.expect("the store's listener should start");
        let [caller_address, ready_address, peer_address, metrics_address] = self.addresses(number);
        let name = format!("gateway-{number}");
        let settings = format!(
            "instance: {{ id: {name}, zone: z1 }}\n\
             listen: {{ callers: \"{caller_address}\", ready: \"{ready_address}\", metrics: \"{metrics_address}\", \
             peers: \"{peer_address}\" }}\n\
             store: \"{store}\"\n\
             retry: {{ ratio: 0.9, slack: 50, window_seconds: 10 }}\n\
             drain_seconds: {}\n\
             session_seconds: 5\n\
             exposure: 0.3\n\
             keys: {{ active: k, known: {{ k: 000102030405060708090a0b0c0d0e0f }} }}\n\
             log: info\n{}",
            self.drain_seconds, self.settings
        );
        let path = self.directory.join(format!("{name}.yaml"));
        std::fs::write(&path, settings).expect("the settings file should be writable");
        let args = ["--config".to_owned(), path.display().to_string(), "gateway".to_owned()];
        let process = Process::start(&name, "bluebelld", &args, &self.directory);
        self.gateways.push(Gateway { name, process, caller_address, ready_address, metrics_address, store_mode });
    }

    /// Addresses of a gateway: for callers, readiness checks, peers and metrics. The ports are below the range from which
    /// the system takes ports for outgoing connections: a port that was found free in that range may be taken before the
    /// gateway listens on it. They are free because each site has an address of its own.
    fn addresses(&self, gateway: usize) -> [SocketAddr; 4] {
        let first = FIRST_PORT + 4 * gateway as u16;
        [0, 1, 2, 3].map(|port| format!("{}:{}", self.host, first + port).parse().expect("the address should be valid"))
    }

    /// Runs of a request at all upstreams, in the order in which they started.
    pub fn runs(&self, request_id: &str) -> Vec<Run> {
        let all = self.chat.iter().chain(&self.ledger).flat_map(SiteUpstream::runs);
        let mut runs: Vec<Run> = all.filter(|run| run.request.header("request-id") == request_id).collect();
        runs.sort_by_key(|run| run.began);
        runs
    }

    /// Waits until all gateways have opened connections to each other.
    pub async fn wait_for_peer_connections(&self) {
        let peer_count = self.gateways.len() - 1;
        for gateway in &self.gateways {
            until("connections between gateways", || async {
                gateway.process.log().matches("connection to peer opened").count() >= peer_count
            })
            .await;
        }
    }
}

/// Sends a request every 10 ms for this long, without waiting for the answers, and returns all answers.
pub async fn load(site: &Site, path: &str, name: &str, time: Duration) -> Vec<Answer> {
    let count = time.as_millis() / 10;
    let asks = (0..count as u32).map(|number| async move {
        sleep(Duration::from_millis(10) * number).await;
        site.gateways[0].ask(&Ask::new(&format!("{path}{number}"), &format!("{name}-{number}"))).await
    });
    join_all(asks).await
}

/// Number of requests that reached an upstream in a period after `start`, given in milliseconds.
pub fn arrivals(upstream: &SiteUpstream, start: Instant, period: std::ops::Range<u64>) -> usize {
    let is_inside = |at: &Instant| {
        at.checked_duration_since(start).is_some_and(|since| period.contains(&(since.as_millis() as u64)))
    };
    upstream.arrivals().iter().filter(|at| is_inside(at)).count()
}

fn registry_entry(upstream: &SiteUpstream, service: &str, release: &str, state: &str) -> Value {
    server_entry(upstream.address, service, "z1", release, state)
}

impl Drop for Site {
    fn drop(&mut self) {
        if std::thread::panicking() {
            for gateway in &self.gateways {
                eprintln!("=== {}\n{}", gateway.name, gateway.process.log());
            }
        }
        self.gateways.clear();
        // Errors are ignored, as a directory that is left behind does no harm.
        let _ = std::fs::remove_dir_all(&self.directory);
    }
}
