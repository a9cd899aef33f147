//! The processes of a run: gateways, stand-ins for upstreams and the store, and a proxy on each link between them.

use std::{
    io,
    net::SocketAddr,
    path::PathBuf,
    sync::{Mutex, MutexGuard, PoisonError},
    time::{Duration, Instant},
};

use bluebell_standins::{
    process::Process,
    proxy::Proxy,
    site::{Fault, Poison, PoisonMarker, SiteStore, SiteUpstream, StoreMode, UpstreamKind, declarations, server_entry},
};
use serde_json::{Value, json};
use tokio::sync::watch;

use crate::plan::{Plan, UpstreamIndex};

/// Number of events in a streamed answer.
pub const EVENTS_PER_ANSWER: u64 = 8;
/// Text that marks the body of a poison request, which crashes each upstream that runs it.
pub const POISON_MARKER: &str = "deadly";
/// Retry budget: retries allowed per request.
pub const RETRY_RATIO: f64 = 0.1;
/// Retry budget: retries allowed in a window in addition to the ratio.
pub const RETRY_SLACK: f64 = 12.0;
/// Retry budget: window over which requests and retries are counted.
pub const RETRY_WINDOW: Duration = Duration::from_secs(10);
/// Largest share of a service's requests that a new release may get during its roll-out.
pub const EXPOSURE: f64 = 0.3;
/// Requests that a new release may get in addition to that share.
pub const EXPOSURE_SLACK: f64 = 30.0;
/// Time from an upstream's crash to its restart.
pub const UPSTREAM_DOWNTIME: Duration = Duration::from_millis(1500);
/// Release that a roll-out introduces.
pub const NEW_RELEASE: &str = "v2";

/// First port of the first gateway.
const FIRST_PORT: u16 = 10_000;
/// Number of ports reserved for each gateway, including those of its proxies.
const PORTS_PER_GATEWAY: u16 = 8;
/// Time within which all gateways of a new fleet have to serve requests.
const START_TIMEOUT: Duration = Duration::from_secs(30);
/// Number of availability zones.
const ZONE_COUNT: usize = 3;

/// A gateway process and the proxies on its links.
pub struct Gateway {
    /// Instance id.
    pub name: String,
    /// Proxy through which callers connect to it.
    pub caller_proxy: Proxy,
    /// Proxy through which other gateways connect to it.
    pub peer_proxy: Proxy,
    /// Proxy through which it connects to the store.
    pub store_proxy: Proxy,
    /// How the store treats its calls.
    pub store_mode: watch::Sender<StoreMode>,
    state: Mutex<ProcessState>,
}

/// A gateway's process and whether it is expected to run.
pub struct ProcessState {
    /// The process.
    pub process: Process,
    /// Number of times it was started.
    pub start_count: u32,
    /// Whether it is expected to run: false from when it is killed or told to stop until its restart.
    pub should_run: bool,
}

impl Gateway {
    /// Locks the state of the process.
    pub fn state(&self) -> MutexGuard<'_, ProcessState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Calls `action` with the process if it is running.
    pub fn if_running(&self, action: impl FnOnce(&Process)) {
        let mut state = self.state();
        if state.process.is_running() {
            action(&state.process);
        }
    }
}

/// An upstream and the proxy on the link to it.
pub struct Upstream {
    /// The stand-in server.
    pub server: SiteUpstream,
    /// Its service and number.
    pub index: UpstreamIndex,
    /// Proxy through which gateways connect to it; `None` if they connect directly.
    pub proxy: Option<Proxy>,
    normal_behaviour: Fault,
}

impl Upstream {
    /// Clears an injected fault, so that the upstream answers correctly again.
    pub fn clear_fault(&self) {
        self.server.set_default_fault(Some(self.normal_behaviour.clone()));
    }

    /// The entry by which it registers itself in the store.
    #[must_use]
    pub fn registry_entry(&self, release: &str) -> Value {
        let address = self.proxy.as_ref().map_or(self.server.address, Proxy::address);
        let (UpstreamIndex::Chat(number) | UpstreamIndex::Ledger(number)) = self.index;
        server_entry(address, self.index.service().name(), &format!("z{}", number % ZONE_COUNT + 1), release, "ready")
    }
}

/// All processes of a run.
pub struct Fleet {
    /// The stand-in for the platform's store.
    pub store: SiteStore,
    /// The gateways.
    pub gateways: Vec<Gateway>,
    /// The upstreams of the old release.
    pub upstreams: Vec<Upstream>,
    /// The engine of the new release, which has the last number of the chat service.
    pub canary: Upstream,
    /// When all gateways served requests and the run began.
    pub started_at: Instant,
    directory: PathBuf,
}

impl Fleet {
    /// Starts the processes of a plan and waits until all gateways serve requests.
    ///
    /// # Errors
    /// If a file can't be written, an address can't be bound, or a gateway does not serve within `START_TIMEOUT`.
    pub async fn start(plan: &Plan) -> io::Result<Self> {
        // Each run uses its own loopback address, so that it doesn't collide with tests or concurrent runs.
        let (process, seed) = (std::process::id(), plan.seed);
        let host = format!("127.{}.{}.{}", 80 + process % 100, process / 100 % 250 + 1, seed % 250 + 1);
        let directory = std::env::temp_dir().join(format!("bluebell-soak-{process}-{seed}"));
        std::fs::create_dir_all(&directory)?;
        let store = SiteStore::default();
        let mut upstreams = Vec::new();
        let chat = (0..plan.chat_upstreams).map(UpstreamIndex::Chat);
        for index in chat.chain((0..plan.ledger_upstreams).map(UpstreamIndex::Ledger)) {
            upstreams.push(start_upstream(plan, &host, index).await?);
        }
        let canary = start_upstream(plan, &host, UpstreamIndex::Chat(plan.chat_upstreams)).await?;
        for upstream in &upstreams {
            upstream.server.register(&store, &upstream.registry_entry("v1"));
        }
        store.put("op", "config", &declarations(1));
        let mut fleet = Self { store, gateways: Vec::new(), upstreams, canary, started_at: Instant::now(), directory };
        for number in 0..plan.gateways {
            fleet.add_gateway(&host, number).await?;
        }
        fleet.wait_until_serving().await?;
        fleet.started_at = Instant::now();
        Ok(fleet)
    }

    async fn add_gateway(&mut self, host: &str, number: usize) -> io::Result<()> {
        let first_port = FIRST_PORT + PORTS_PER_GATEWAY * number as u16;
        let address = |offset: u16| format!("{host}:{}", first_port + offset);
        let (store_address, store_mode) = self.store.listen(&format!("{host}:0")).await?;
        let proxy = |listen: String, target: String| async move {
            Proxy::start(&listen, &target).await.map_err(io::Error::other)
        };
        let caller_proxy = proxy(address(4), address(0)).await?;
        let peer_proxy = proxy(address(5), address(3)).await?;
        let store_proxy = proxy(address(6), store_address.to_string()).await?;
        let name = format!("gateway-{number}");
        let zone = number % ZONE_COUNT + 1;
        let settings = format!(
            "instance: {{ id: {name}, zone: z{zone} }}\n\
             listen: {{ callers: \"{}\", ready: \"{}\", metrics: \"{}\", peers: \"{}\", announced: \"{}\" }}\n\
             store: \"{}\"\n\
             retry: {{ ratio: {RETRY_RATIO}, slack: {RETRY_SLACK}, window_seconds: {} }}\n\
             drain_seconds: 6\nsession_seconds: 5\nexposure: {EXPOSURE}\n\
             keys: {{ active: k, known: {{ k: 000102030405060708090a0b0c0d0e0f }} }}\nlog: info\n",
            address(0),
            address(1),
            address(2),
            address(3),
            peer_proxy.address(),
            store_proxy.address(),
            RETRY_WINDOW.as_secs()
        );
        let path = self.directory.join(format!("{name}.yaml"));
        std::fs::write(&path, settings)?;
        let args = ["--config".to_owned(), path.display().to_string(), "gateway".to_owned()];
        let process = Process::start(&name, "bluebelld", &args, &self.directory);
        let state = Mutex::new(ProcessState { process, start_count: 1, should_run: true });
        self.gateways.push(Gateway { name, caller_proxy, peer_proxy, store_proxy, store_mode, state });
        Ok(())
    }

    async fn wait_until_serving(&self) -> io::Result<()> {
        let start = Instant::now();
        for gateway in &self.gateways {
            while !is_serving(gateway.caller_proxy.address()).await {
                if start.elapsed() > START_TIMEOUT {
                    let log = gateway.state().process.log();
                    return Err(io::Error::other(format!(
                        "{} did not serve requests within {START_TIMEOUT:?}; its log: {log}",
                        gateway.name
                    )));
                }
                tokio::time::sleep(Duration::from_millis(50)).await;
            }
        }
        Ok(())
    }

    /// The upstream with this index.
    #[must_use]
    pub fn upstream(&self, index: UpstreamIndex) -> Option<&Upstream> {
        self.all_upstreams().find(|upstream| upstream.index == index)
    }

    /// All upstreams, including that of the new release.
    pub fn all_upstreams(&self) -> impl Iterator<Item = &Upstream> {
        self.upstreams.iter().chain([&self.canary])
    }

    /// Writes declarations with these API keys of the organisation; returns when they were stored.
    pub fn publish_declarations(&self, version: u64, keys: &[String]) -> Instant {
        let mut config = declarations(version);
        config["tenants"][0]["apiKeys"] = json!(keys);
        self.store.put("op", "config", &config);
        Instant::now()
    }

    /// Lines of all gateways' logs that contain `text`, each prefixed with the gateway's name.
    #[must_use]
    pub fn log_lines(&self, text: &str) -> Vec<String> {
        let mut matches = Vec::new();
        for gateway in &self.gateways {
            let log = gateway.state().process.log();
            matches
                .extend(log.lines().filter(|line| line.contains(text)).map(|line| format!("{}: {line}", gateway.name)));
        }
        matches
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        self.gateways.clear();
        // Errors are ignored: a leftover temporary directory does no harm.
        let _ = std::fs::remove_dir_all(&self.directory);
    }
}

async fn start_upstream(plan: &Plan, host: &str, index: UpstreamIndex) -> io::Result<Upstream> {
    let (id, kind) = match index {
        UpstreamIndex::Chat(number) => (format!("chat-{number}"), UpstreamKind::Engine { events: EVENTS_PER_ANSWER }),
        UpstreamIndex::Ledger(number) => (format!("ledger-{number}"), UpstreamKind::Plain),
    };
    let any_port = format!("{host}:0");
    let server = SiteUpstream::start(&id, kind, &any_port).await?;
    // With poison requests, gateways connect directly: a proxy accepts connections for a crashed upstream as well, and
    // would hide the crash.
    let proxy = if plan.poison {
        server.set_poison(Some(Poison {
            marker: PoisonMarker::Body(POISON_MARKER.to_owned()),
            events: plan.poison_events,
            down: UPSTREAM_DOWNTIME,
        }));
        None
    } else {
        Some(Proxy::start(&any_port, &server.address.to_string()).await.map_err(io::Error::other)?)
    };
    let normal_behaviour = match index {
        UpstreamIndex::Chat(_) => Fault::Paced(plan.event_interval),
        UpstreamIndex::Ledger(_) => Fault::Slow(plan.service_time),
    };
    let upstream = Upstream { server, index, proxy, normal_behaviour };
    upstream.clear_fault();
    Ok(upstream)
}

async fn is_serving(address: SocketAddr) -> bool {
    let url = format!("http://{address}/look/warm-up");
    let client = reqwest::Client::new();
    let request = client.post(url).header("host", "site.example").header("authorization", "Bearer key-1");
    let request = request.header("request-id", "warm-up").header("deadline-ms", "2000").body("warm-up");
    request.send().await.is_ok_and(|answer| answer.status().is_success())
}
