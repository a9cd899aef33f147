//! The processes of a run, with a proxy on every link between them.

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
    site::{Fault, Poison, SiteStore, SiteUpstream, StoreMode, UpstreamKind, declarations, server_entry},
};
use serde_json::{Value, json};
use tokio::sync::watch;

use crate::plan::{Plan, Server};

/// Events of a streamed answer.
pub const EVENTS: u64 = 8;
/// What the body of a request contains that ends upstreams.
pub const POISON: &str = "deadly";
/// Retries allowed for each request.
pub const RETRY_RATIO: f64 = 0.1;
/// Retries allowed beyond those.
pub const RETRY_SLACK: f64 = 12.0;
/// Time over which retries are counted.
pub const RETRY_WINDOW: Duration = Duration::from_secs(10);
/// Share of a service's requests that a new release may get.
pub const EXPOSURE: f64 = 0.3;
/// Requests beyond that share that it may get.
pub const EXPOSURE_SLACK: f64 = 30.0;
/// Time that an upstream which ended is away.
pub const DOWN: Duration = Duration::from_millis(1500);
/// Release that a roll-out brings in.
pub const NEW_RELEASE: &str = "v2";

/// First port of the gateways.
const FIRST_PORT: u16 = 10_000;
/// Ports of a gateway, those of its proxies included.
const PORTS: u16 = 8;
/// Time for a fleet to begin to serve.
const START_TIME: Duration = Duration::from_secs(30);
/// Availability zones.
const ZONES: usize = 3;

/// A gateway with the proxies before and behind it.
pub struct Gateway {
    /// Its id.
    pub name: String,
    /// Where callers reach it.
    pub callers: Proxy,
    /// Where other gateways reach it.
    pub peers: Proxy,
    /// Where it reaches the store.
    pub store: Proxy,
    /// How the store treats it.
    pub door: watch::Sender<StoreMode>,
    life: Mutex<Life>,
}

/// A process with its starts.
pub struct Life {
    /// The process.
    pub process: Process,
    /// Times that it was started.
    pub starts: u32,
    /// Whether it runs because nobody told it to end.
    pub wanted: bool,
}

impl Gateway {
    /// The process.
    pub fn life(&self) -> MutexGuard<'_, Life> {
        self.life.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Does something to the process, unless it has ended.
    pub fn while_running(&self, act: impl FnOnce(&Process)) {
        let mut life = self.life();
        if life.process.is_running() {
            act(&life.process);
        }
    }
}

/// An upstream with the proxy before it.
pub struct Upstream {
    /// The stand-in.
    pub server: SiteUpstream,
    /// Which one it is.
    pub at: Server,
    /// Where gateways reach it; none where they connect to it.
    pub link: Option<Proxy>,
    sound: Fault,
}

impl Upstream {
    /// Has it answer as it should.
    pub fn mend(&self) {
        self.server.set_default_fault(Some(self.sound.clone()));
    }

    /// Its entry in the store.
    #[must_use]
    pub fn entry(&self, release: &str) -> Value {
        let address = self.link.as_ref().map_or(self.server.address, Proxy::address);
        let (Server::Chat(number) | Server::Ledger(number)) = self.at;
        server_entry(address, self.at.service().name(), &format!("z{}", number % ZONES + 1), release, "ready")
    }
}

/// All processes of a run.
pub struct Fleet {
    /// The store.
    pub store: SiteStore,
    /// The gateways.
    pub gateways: Vec<Gateway>,
    /// The upstreams.
    pub upstreams: Vec<Upstream>,
    /// The engine of the new release; the last of the chat service.
    pub fresh: Upstream,
    /// When the run began.
    pub started: Instant,
    folder: PathBuf,
}

impl Fleet {
    /// Starts all that a plan asks for, and waits until it serves.
    ///
    /// # Errors
    /// When an address can't be listened on, or the fleet doesn't serve.
    pub async fn start(plan: &Plan) -> io::Result<Self> {
        // Each run has a loopback address of its own, apart from those of tests and other runs.
        let (process, seed) = (std::process::id(), plan.seed);
        let host = format!("127.{}.{}.{}", 80 + process % 100, process / 100 % 250 + 1, seed % 250 + 1);
        let folder = std::env::temp_dir().join(format!("bluebell-soak-{process}-{seed}"));
        std::fs::create_dir_all(&folder)?;
        let store = SiteStore::default();
        let mut upstreams = Vec::new();
        let chat = (0..plan.chat).map(Server::Chat);
        for at in chat.chain((0..plan.ledger).map(Server::Ledger)) {
            upstreams.push(upstream(plan, &host, at).await?);
        }
        let fresh = upstream(plan, &host, Server::Chat(plan.chat)).await?;
        for one in &upstreams {
            one.server.register(&store, &one.entry("v1"));
        }
        store.put("op", "config", &declarations(1));
        let mut fleet = Self { store, gateways: Vec::new(), upstreams, fresh, started: Instant::now(), folder };
        for number in 0..plan.gateways {
            fleet.add_gateway(&host, number).await?;
        }
        fleet.await_ready().await?;
        fleet.started = Instant::now();
        Ok(fleet)
    }

    async fn add_gateway(&mut self, host: &str, number: usize) -> io::Result<()> {
        let first = FIRST_PORT + PORTS * number as u16;
        let at = |port: u16| format!("{host}:{}", first + port);
        let (store, door) = self.store.listen(&format!("{host}:0")).await?;
        let proxy = |listen: String, target: String| async move {
            Proxy::start(&listen, &target).await.map_err(io::Error::other)
        };
        let callers = proxy(at(4), at(0)).await?;
        let peers = proxy(at(5), at(3)).await?;
        let store = proxy(at(6), store.to_string()).await?;
        let name = format!("gateway-{number}");
        let zone = number % ZONES + 1;
        let settings = format!(
            "instance: {{ id: {name}, zone: z{zone} }}\n\
             listen: {{ callers: \"{}\", ready: \"{}\", metrics: \"{}\", peers: \"{}\", announced: \"{}\" }}\n\
             store: \"{}\"\n\
             retry: {{ ratio: {RETRY_RATIO}, slack: {RETRY_SLACK}, window_seconds: {} }}\n\
             drain_seconds: 6\nsession_seconds: 5\nexposure: {EXPOSURE}\n\
             keys: {{ active: k, known: {{ k: 000102030405060708090a0b0c0d0e0f }} }}\nlog: info\n",
            at(0),
            at(1),
            at(2),
            at(3),
            peers.address(),
            store.address(),
            RETRY_WINDOW.as_secs()
        );
        let path = self.folder.join(format!("{name}.yaml"));
        std::fs::write(&path, settings)?;
        let args = ["--config".to_owned(), path.display().to_string(), "gateway".to_owned()];
        let process = Process::start(&name, "bluebelld", &args, &self.folder);
        let life = Mutex::new(Life { process, starts: 1, wanted: true });
        self.gateways.push(Gateway { name, callers, peers, store, door, life });
        Ok(())
    }

    async fn await_ready(&self) -> io::Result<()> {
        let begun = Instant::now();
        for gateway in &self.gateways {
            while !self.serves(gateway.callers.address()).await {
                if begun.elapsed() > START_TIME {
                    let log = gateway.life().process.log();
                    return Err(io::Error::other(format!("{} does not serve; its log: {log}", gateway.name)));
                }
                tokio::time::sleep(Duration::from_millis(50)).await;
            }
        }
        Ok(())
    }

    async fn serves(&self, address: SocketAddr) -> bool {
        let url = format!("http://{address}/look/warm-up");
        let client = reqwest::Client::new();
        let request = client.post(url).header("host", "site.example").header("authorization", "Bearer key-1");
        let request = request.header("request-id", "warm-up").header("deadline-ms", "2000").body("warm-up");
        request.send().await.is_ok_and(|answer| answer.status().is_success())
    }

    /// An upstream.
    #[must_use]
    pub fn upstream(&self, at: Server) -> Option<&Upstream> {
        self.all_upstreams().find(|one| one.at == at)
    }

    /// All upstreams, that of the new release included.
    pub fn all_upstreams(&self) -> impl Iterator<Item = &Upstream> {
        self.upstreams.iter().chain([&self.fresh])
    }

    /// Writes declarations with these keys of the organisation; gives the time at which they were taken.
    pub fn declare(&self, version: u64, keys: &[String]) -> Instant {
        let mut config = declarations(version);
        config["tenants"][0]["apiKeys"] = json!(keys);
        self.store.put("op", "config", &config);
        Instant::now()
    }

    /// Lines of all gateways' logs that contain a text.
    #[must_use]
    pub fn log_lines(&self, text: &str) -> Vec<String> {
        let mut found = Vec::new();
        for gateway in &self.gateways {
            let log = gateway.life().process.log();
            found
                .extend(log.lines().filter(|line| line.contains(text)).map(|line| format!("{}: {line}", gateway.name)));
        }
        found
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        self.gateways.clear();
        // What is left of a folder does no harm.
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

async fn upstream(plan: &Plan, host: &str, at: Server) -> io::Result<Upstream> {
    let (id, kind) = match at {
        Server::Chat(number) => (format!("chat-{number}"), UpstreamKind::Engine { events: EVENTS }),
        Server::Ledger(number) => (format!("ledger-{number}"), UpstreamKind::Plain),
    };
    let any = format!("{host}:0");
    let server = SiteUpstream::start(&id, kind, &any).await?;
    let link = if plan.poison {
        server.set_poison(Some(Poison { marker: POISON.to_owned(), events: plan.poison_events, down: DOWN }));
        None
    } else {
        Some(Proxy::start(&any, &server.address.to_string()).await.map_err(io::Error::other)?)
    };
    let sound = match at {
        Server::Chat(_) => Fault::Paced(plan.pace),
        Server::Ledger(_) => Fault::Slow(plan.work),
    };
    let upstream = Upstream { server, at, link, sound };
    upstream.mend();
    Ok(upstream)
}
