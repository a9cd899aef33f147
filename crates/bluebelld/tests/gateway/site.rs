//! A small site: a store, two engines of a chat service, two runners of a ledger, and gateways before them.

use std::{
    net::SocketAddr,
    path::PathBuf,
    sync::atomic::{AtomicU32, Ordering},
    time::Duration,
};

pub use bluebell_standins::site::TIMEOUT_MS;
use bluebell_standins::site::{Run, SiteStore, SiteUpstream, StoreMode, UpstreamKind, declarations, server_entry};
use serde_json::Value;
use tokio::sync::watch;

use super::{
    caller::{self, Answer, Ask},
    process::Process,
    until,
};

/// Events of a streamed answer.
pub const EVENTS: u64 = 8;

/// First port of the gateways of a site.
const FIRST_PORT: u16 = 10_000;

static SITES: AtomicU32 = AtomicU32::new(0);

/// A gateway with its own door to the store.
pub struct Gateway {
    pub name: String,
    pub process: Process,
    pub callers: SocketAddr,
    pub ready: SocketAddr,
    pub metrics: SocketAddr,
    pub door: watch::Sender<StoreMode>,
}

impl Gateway {
    pub async fn ask(&self, ask: &Ask) -> Answer {
        caller::ask(self.callers, ask).await
    }

    pub async fn is_ready(&self) -> bool {
        let url = format!("http://{}/api/ready", self.ready);
        reqwest::get(url).await.is_ok_and(|answer| answer.status().is_success())
    }
}

/// A small site.
pub struct Site {
    pub store: SiteStore,
    pub gateways: Vec<Gateway>,
    pub chat: Vec<SiteUpstream>,
    pub ledger: Vec<SiteUpstream>,
    folder: PathBuf,
    host: String,
}

impl Site {
    /// A site whose gateways know the operator's declarations.
    pub async fn start(gateways: usize) -> Self {
        let mut site = Self::bare().await;
        site.put_config(1, |_| {});
        for number in 0..gateways {
            site.add_gateway(number).await;
        }
        for gateway in &site.gateways {
            until("a gateway to be ready", || gateway.is_ready()).await;
            until("a gateway to serve", || async { gateway.ask(&Ask::new("/look/x", "warm-up")).await.status == 200 })
                .await;
        }
        site
    }

    /// A site without declarations and gateways.
    pub async fn bare() -> Self {
        let number = SITES.fetch_add(1, Ordering::Relaxed) + 1;
        // Each site has a loopback address of its own, apart from those of other test programs.
        let host = format!("127.77.{}.{}", std::process::id() % 250 + 1, number);
        let folder = std::env::temp_dir().join(format!("bluebell-gateway-{}-{number}", std::process::id()));
        std::fs::create_dir_all(&folder).expect("a folder");
        let any = format!("{host}:0");
        let mut site = Self {
            store: SiteStore::default(),
            gateways: Vec::new(),
            chat: Vec::new(),
            ledger: Vec::new(),
            folder,
            host,
        };
        for number in 1..=2 {
            let (chat, ledger) = (format!("chat-{number}"), format!("ledger-{number}"));
            let kind = UpstreamKind::Engine { events: EVENTS };
            site.chat.push(SiteUpstream::start(&chat, kind, &any).await.expect("an engine"));
            site.ledger.push(SiteUpstream::start(&ledger, UpstreamKind::Plain, &any).await.expect("a service"));
        }
        for one in &site.chat {
            site.list(one, "chat", "v1", "ready");
        }
        for one in &site.ledger {
            site.list(one, "ledger", "v1", "ready");
        }
        site
    }

    /// Writes an upstream's own entry.
    pub fn list(&self, one: &SiteUpstream, service: &str, release: &str, state: &str) {
        self.store.put("servers", &one.id, &entry(one, service, release, state));
    }

    /// Writes the entries of all upstreams, which from then on follow their ends and starts.
    pub fn list_lives(&self) {
        for (service, upstreams) in [("chat", &self.chat), ("ledger", &self.ledger)] {
            for one in upstreams {
                one.register(&self.store, &entry(one, service, "v1", "ready"));
            }
        }
    }

    /// A service of the ledger.
    pub async fn add_ledger(&mut self, id: &str) {
        let any = format!("{}:0", self.host);
        let service = SiteUpstream::start(id, UpstreamKind::Plain, &any).await.expect("a service");
        self.list(&service, "ledger", "v1", "ready");
        self.ledger.push(service);
    }

    /// An engine of the chat service that runs a release.
    pub async fn add_engine(&mut self, id: &str, release: &str) {
        let any = format!("{}:0", self.host);
        let engine = SiteUpstream::start(id, UpstreamKind::Engine { events: EVENTS }, &any).await.expect("an engine");
        self.list(&engine, "chat", release, "ready");
        self.chat.push(engine);
    }

    /// Writes the operator's declarations, changed for the test.
    pub fn put_config(&self, version: u64, change: impl FnOnce(&mut Value)) {
        let mut config = declarations(version);
        change(&mut config);
        self.store.put("op", "config", &config);
    }

    /// Starts a gateway.
    pub async fn add_gateway(&mut self, number: usize) {
        let (store, door) = self.store.listen(&format!("{}:0", self.host)).await.expect("a door");
        let [callers, ready, peers, metrics] = self.addresses(number);
        let name = format!("gateway-{number}");
        let settings = format!(
            "instance: {{ id: {name}, zone: z1 }}\n\
             listen: {{ callers: \"{callers}\", ready: \"{ready}\", metrics: \"{metrics}\", peers: \"{peers}\" }}\n\
             store: \"{store}\"\n\
             retry: {{ ratio: 0.9, slack: 50, window_seconds: 10 }}\n\
             drain_seconds: 6\n\
             session_seconds: 5\n\
             exposure: 0.3\n\
             keys: {{ active: k, known: {{ k: 000102030405060708090a0b0c0d0e0f }} }}\n\
             log: info\n"
        );
        let path = self.folder.join(format!("{name}.yaml"));
        std::fs::write(&path, settings).expect("settings");
        let args = ["--config".to_owned(), path.display().to_string(), "gateway".to_owned()];
        let process = Process::start(&name, "bluebelld", &args, &self.folder);
        self.gateways.push(Gateway { name, process, callers, ready, metrics, door });
    }

    // Below the range from which the system takes ports for outgoing connections: a port found free there may be taken
    // again before the gateway listens on it. Each site has an address of its own, so these are free.
    fn addresses(&self, gateway: usize) -> [SocketAddr; 4] {
        let first = FIRST_PORT + 4 * gateway as u16;
        [0, 1, 2, 3].map(|port| format!("{}:{}", self.host, first + port).parse().expect("an address"))
    }

    /// Runs of a request wherever, in the order in which they began.
    pub fn runs(&self, id: &str) -> Vec<Run> {
        let all = self.chat.iter().chain(&self.ledger).flat_map(SiteUpstream::runs);
        let mut runs: Vec<Run> = all.filter(|run| run.request.header("request-id") == id).collect();
        runs.sort_by_key(|run| run.began);
        runs
    }

    /// Waits until all gateways have connections to each other.
    pub async fn linked(&self) {
        let links = self.gateways.len() - 1;
        for gateway in &self.gateways {
            until("connections between gateways", || async {
                gateway.process.log().matches("connection to peer opened").count() >= links
            })
            .await;
        }
    }
}

fn entry(one: &SiteUpstream, service: &str, release: &str, state: &str) -> Value {
    server_entry(one.address, service, "z1", release, state)
}

impl Drop for Site {
    fn drop(&mut self) {
        if std::thread::panicking() {
            for gateway in &self.gateways {
                eprintln!("=== {}\n{}", gateway.name, gateway.process.log());
            }
        }
        self.gateways.clear();
        // What is left of a folder does no harm.
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

/// Time after which what is declared must be in force.
pub const IN_FORCE: Duration = Duration::from_secs(2);
