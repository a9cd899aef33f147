//! A small deployment: a store, two services with two runners each, and two gateways.

use std::{
    fs::{self, File},
    io::Write,
    net::{Ipv4Addr, SocketAddr},
    path::{Path, PathBuf},
    sync::{
        Arc, Mutex,
        atomic::{AtomicU64, Ordering},
    },
    time::{Duration, Instant},
};

use crate::{
    gateway::{self, CONTROL_PORT, Gateway, Place},
    http::HOST,
    runner::Runner,
    store::Store,
};

/// How a case ended; the exit status of its script.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    Held = 0,
    Broken = 1,
    CouldNotRun = 2,
}

/// Writes what was sent, answered and run, with seconds since the start of the case.
#[derive(Debug, Clone)]
pub struct Record {
    file: Arc<Mutex<File>>,
    began: Instant,
}

impl Record {
    pub fn create(path: &Path) -> std::io::Result<Self> {
        Ok(Self { file: Arc::new(Mutex::new(File::create(path)?)), began: Instant::now() })
    }

    pub fn line(&self, text: &str) {
        self.at(Instant::now(), text);
    }

    pub fn at(&self, at: Instant, text: &str) {
        let seconds = at.saturating_duration_since(self.began).as_secs_f64();
        let _ = writeln!(self.file.lock().unwrap(), "{seconds:9.3}  {text}");
    }
}

/// Folder for settings and logs, removed at the end.
pub struct Folder(pub PathBuf);

impl Folder {
    pub fn create() -> std::io::Result<Self> {
        let path = std::env::temp_dir().join(format!("review-{}", std::process::id()));
        fs::create_dir_all(&path)?;
        Ok(Self(path))
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        if std::env::var("KEEP_LOGS").is_err() {
            let _ = fs::remove_dir_all(&self.0);
        }
    }
}

pub const KEY: &str = "n2ctnfzs989anu6wsjnb";
pub const OTHER_KEY: &str = "anfqasnmgkcuyj8pjbvk";

/// `timeoutMs` of the idempotent route.
pub const LOOK_TIMEOUT: Duration = Duration::from_millis(1500);

/// Configuration with an idempotent route `/look/`, and routes `/record/` and `/upload/` that are not idempotent.
pub fn config(version: u64, keys: &[&str]) -> String {
    let route = |name: &str, prefix: &str, kind: &str, service: &str| {
        let timeout = if kind == "idempotent" { LOOK_TIMEOUT.as_millis() } else { 5000 };
        format!(
            r#"{{"name":"{name}","host":"{HOST}","prefix":"{prefix}","routeType":"{kind}","timeoutMs":{timeout},"targetLatencyMs":150,"priority":0,"service":"{service}","maxAttempts":3,"public":false}}"#
        )
    };
    let routes = [
        route("r-look", "/look/", "idempotent", "shelf"),
        route("r-record", "/record/", "non_idempotent", "ledger"),
        route("r-upload", "/upload/", "non_idempotent", "ledger"),
    ]
    .join(",");
    let service = |name: &str| format!(r#"{{"name":"{name}","healthPath":"/health","maxConnections":370}}"#);
    let services = [service("shelf"), service("ledger")].join(",");
    let keys: Vec<String> = keys.iter().map(|key| format!("\"{key}\"")).collect();
    format!(
        r#"{{"version":{version},"routes":[{routes}],"services":[{services}],"limits":{{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000}},"tenants":[{{"name":"hule930","apiKeys":[{}],"priority":1}}]}}"#,
        keys.join(",")
    )
}

/// The store and the addresses of a deployment.
pub struct Site {
    pub store: Store,
    pub store_address: SocketAddr,
    pub ips: Vec<Ipv4Addr>,
    pub folder: Folder,
    pub root: PathBuf,
    pub record: Record,
}

impl Site {
    /// Starts the store. Address 0 is its own, the next ones are the gateways', the last one is the runners'.
    pub fn start(root: &Path, record: &Path) -> Option<Self> {
        let ips = gateway::addresses(4)?;
        let store = Store::new();
        let store_address = store.listen(SocketAddr::from((ips[0], 0))).ok()?;
        store.put("op", "config", &config(1, &[KEY, OTHER_KEY]));
        let (folder, record) = (Folder::create().ok()?, Record::create(record).ok()?);
        Some(Self { store, store_address, ips, folder, root: root.to_owned(), record })
    }

    pub fn runner(&self, service: &str, id: &str, port: u16, work: Duration) -> Option<Runner> {
        let address = SocketAddr::from((*self.ips.last()?, port));
        let runner = Runner::start(&self.store, service, id, address, work).ok()?;
        self.record.line(&format!("runner {id} of {service} starts at {address}"));
        Some(runner)
    }

    pub fn place(&self, number: usize) -> Place {
        Place {
            name: format!("front-{number}"),
            ip: self.ips[number],
            store: self.store_address,
            seeds: vec![SocketAddr::from((self.ips[1], CONTROL_PORT)), SocketAddr::from((self.ips[2], CONTROL_PORT))],
        }
    }

    /// Starts a gateway and waits until it is ready.
    pub fn gateway(&self, place: Place) -> Option<Gateway> {
        let gateway = Gateway::start(&self.root, &self.folder.0, place).ok()?;
        self.record.line(&format!("gateway {} starts", gateway.place.name));
        Some(gateway)
    }
}

static IDS: AtomicU64 = AtomicU64::new(1);

/// A new request id.
pub fn request_id() -> String {
    format!("{:08x}{:08x}", std::process::id(), IDS.fetch_add(1, Ordering::Relaxed))
}
