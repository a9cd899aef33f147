//! A fleet: platform, runners, sidecars and entries, each a real process on an address of its own.

use std::{
    path::PathBuf,
    process::Command,
    sync::atomic::{AtomicU32, Ordering},
    time::Duration,
};

use bluebell_core::members::{Listed, Phase, Role};
use bluebell_standins::{
    proxy::Proxy,
    site::{StoreMode, StoredRow},
};
use serde_json::{Value, json};

use super::{
    caller::Caller,
    config::{self, OPERATOR_KEY, Place},
    process::{Process, program},
    until,
};

/// First port of a fleet; each fleet has a loopback address to itself, so ports never clash.
const FIRST_PORT: u16 = 2100;
static FLEETS: AtomicU32 = AtomicU32::new(1);

/// A runner with its sidecar.
pub struct Runner {
    /// Name of the sidecar.
    pub name: String,
    /// Process of the runner.
    pub runner: Process,
    /// Process of the sidecar.
    pub sidecar: Process,
    /// Address of the runner.
    pub url: String,
    /// Log of the runner.
    pub log: PathBuf,
}

/// An entry.
pub struct Entry {
    /// Name of the entry.
    pub name: String,
    /// Process.
    pub process: Process,
    /// Address for callers.
    pub address: String,
}

/// A fleet of processes, ended when dropped.
pub struct Fleet {
    /// Entries.
    pub entries: Vec<Entry>,
    /// Model engines with their sidecars.
    pub engines: Vec<Runner>,
    /// Ledgers with their sidecars.
    pub ledgers: Vec<Runner>,
    /// The platform's store.
    pub store: Process,
    /// Address of the store.
    pub store_address: String,
    /// Instances as the platform lists them.
    pub listed: Vec<Listed>,
    client: reqwest::Client,
    folder: PathBuf,
    ip: String,
    next_port: u16,
}

/// What a fleet consists of.
pub struct FleetBuilder {
    entries: usize,
    engines: Vec<Vec<&'static str>>,
    ledgers: usize,
    slots: usize,
    step: u64,
    work: u64,
    settings: bool,
}

impl Default for FleetBuilder {
    fn default() -> Self {
        Self {
            entries: 2,
            engines: vec![vec!["atlas-small@1", "atlas-small@2", "atlas-large@1"]; 3],
            ledgers: 1,
            slots: 16,
            step: 1000,
            work: 1000,
            settings: true,
        }
    }
}

impl FleetBuilder {
    /// Number of entries.
    pub fn entries(mut self, count: usize) -> Self {
        self.entries = count;
        self
    }

    /// Versions that each engine serves.
    pub fn engines(mut self, serves: Vec<Vec<&'static str>>) -> Self {
        self.engines = serves;
        self
    }

    /// Number of ledgers.
    pub fn ledgers(mut self, count: usize) -> Self {
        self.ledgers = count;
        self
    }

    /// Requests that each runner may work on at once.
    pub fn slots(mut self, count: usize) -> Self {
        self.slots = count;
        self
    }

    /// Time of one token, in microseconds.
    pub fn step(mut self, micros: u64) -> Self {
        self.step = micros;
        self
    }

    /// Time of one ledger call, in microseconds.
    pub fn work(mut self, micros: u64) -> Self {
        self.work = micros;
        self
    }

    /// Leaves out the settings tree.
    pub fn without_settings(mut self) -> Self {
        self.settings = false;
        self
    }

    /// Starts the fleet and waits until every entry is ready and knows every runner.
    pub async fn start(self) -> Fleet {
        let number = FLEETS.fetch_add(1, Ordering::Relaxed);
        let pid = std::process::id();
        let ip = format!("127.{}.{}.{number}", 1 + pid % 250, 1 + pid / 250 % 250);
        let folder = std::env::temp_dir().join(format!("bluebell-{pid}-{number}"));
        std::fs::create_dir_all(&folder).expect("a folder for logs can be made");
        let store_address = format!("{ip}:{FIRST_PORT}");
        let args = ["store", "--listen", &store_address].map(str::to_owned);
        let mut fleet = Fleet {
            entries: Vec::new(),
            engines: Vec::new(),
            ledgers: Vec::new(),
            store: Process::start("store", "bluebell-standins", &args, &folder),
            store_address,
            listed: Vec::new(),
            client: reqwest::Client::new(),
            folder,
            ip,
            next_port: FIRST_PORT + 1,
        };
        for serves in &self.engines {
            fleet.add_engine(&self, serves);
        }
        for _ in 0..self.ledgers {
            fleet.add_ledger(&self);
        }
        for _ in 0..self.entries {
            fleet.add_entry();
        }
        fleet.list().await;
        if self.settings {
            fleet.set_settings().await;
            fleet.wait_ready().await;
        }
        fleet
    }
}

impl Fleet {
    /// A fleet of the usual size.
    pub async fn start() -> Self {
        FleetBuilder::default().start().await
    }

    fn address(&mut self) -> String {
        self.next_port += 1;
        format!("{}:{}", self.ip, self.next_port)
    }

    fn zone(number: usize) -> &'static str {
        ["tiznit", "taroudant"][number % 2]
    }

    /// Adds an engine with its sidecar.
    pub fn add_engine(&mut self, builder: &FleetBuilder, serves: &[&str]) {
        let name = format!("engine-{}", self.engines.len() + 1);
        let listen = self.address();
        let log = self.folder.join(format!("{name}.runs"));
        let args = vec![
            "engine".to_owned(),
            format!("--listen={listen}"),
            format!("--log={}", log.display()),
            format!("--step={}", builder.step),
            "--slope=0".to_owned(),
            format!("--batch={}", builder.slots),
        ];
        let serves: Vec<String> = serves.iter().map(|text| (*text).to_owned()).collect();
        let runner = Process::start(&name, "bluebell-standins", &args, &self.folder);
        let zone = Self::zone(self.engines.len());
        let runner = self.add_sidecar(runner, name, zone, "engine", &serves, builder.slots, listen, log);
        self.engines.push(runner);
    }

    /// Adds a ledger with its sidecar.
    pub fn add_ledger(&mut self, builder: &FleetBuilder) {
        let name = format!("ledger-{}", self.ledgers.len() + 1);
        let listen = self.address();
        let log = self.folder.join(format!("{name}.runs"));
        let args = vec![
            "ledger".to_owned(),
            format!("--listen={listen}"),
            format!("--log={}", log.display()),
            format!("--work={}", builder.work),
        ];
        let runner = Process::start(&name, "bluebell-standins", &args, &self.folder);
        let zone = Self::zone(self.ledgers.len());
        let serves = ["ledger".to_owned()];
        let runner = self.add_sidecar(runner, name, zone, "service", &serves, builder.slots, listen, log);
        self.ledgers.push(runner);
    }

    #[expect(clippy::too_many_arguments, reason = "each is a fact about one runner")]
    fn add_sidecar(
        &mut self,
        runner: Process,
        name: String,
        zone: &str,
        kind: &str,
        serves: &[String],
        slots: usize,
        listen: String,
        log: PathBuf,
    ) -> Runner {
        let url = format!("http://{listen}");
        let sidecar_name = format!("sidecar-of-{name}");
        let place = self.place(&sidecar_name, zone);
        let text = config::sidecar(&place, kind, &url, serves, slots);
        let peers = place.peers.clone();
        let sidecar = self.start_daemon(&sidecar_name, &text);
        self.note(&sidecar_name, Role::Sidecar, zone, peers, serves);
        Runner { name: sidecar_name, runner, sidecar, url, log }
    }

    /// Adds an entry.
    pub fn add_entry(&mut self) {
        let name = format!("entry-{}", self.entries.len() + 1);
        let zone = Self::zone(self.entries.len());
        let place = self.place(&name, zone);
        let (address, peers) = (place.public.clone(), place.peers.clone());
        let text = config::entry(&place);
        let process = self.start_daemon(&name, &text);
        self.note(&name, Role::Entry, zone, peers, &[]);
        self.entries.push(Entry { name, process, address });
    }

    fn place<'a>(&mut self, name: &'a str, zone: &'a str) -> Place<'a> {
        let (public, peers) = (self.address(), self.address());
        let store = Box::leak(self.store_address.clone().into_boxed_str());
        Place { name, zone, public, peers, store }
    }

    fn start_daemon(&self, name: &str, text: &str) -> Process {
        let path = self.folder.join(format!("{name}.yaml"));
        std::fs::write(&path, text).expect("settings can be written");
        let args = ["--config".to_owned(), path.display().to_string()];
        Process::start(name, "bluebelld", &args, &self.folder)
    }

    fn note(&mut self, name: &str, role: Role, zone: &str, address: String, serves: &[String]) {
        self.listed.push(Listed {
            instance: name.parse().expect("a name is an id"),
            role,
            zone: zone.parse().expect("a zone is an id"),
            address,
            serves: serves.to_vec(),
            phase: Phase::Live,
        });
    }

    /// Puts a fault proxy before a sidecar, for all who find it by the platform's list.
    pub async fn proxy(&mut self, sidecar: &str) -> Proxy {
        let listen = self.address();
        let listed = self.listed.iter_mut().find(|item| item.instance.as_str() == sidecar);
        let listed = listed.expect("the sidecar is listed");
        let proxy = Proxy::start(&listen, &listed.address).await.expect("a proxy can listen");
        listed.address = listen;
        self.list().await;
        until("the entries to go through the proxy", || async { proxy.connections() >= self.entries.len() as u64 })
            .await;
        self.wait_ready().await;
        proxy
    }

    /// Changes what the platform says of an instance.
    pub async fn set_phase(&mut self, instance: &str, phase: Phase) {
        for item in &mut self.listed {
            if item.instance.as_str() == instance {
                item.phase = phase;
            }
        }
        self.list().await;
    }

    /// Writes the list of instances to the store.
    pub async fn list(&self) {
        for item in &self.listed {
            let path = format!("rows/bluebell-instances/{}", item.instance);
            until("the store to take the list", || async { self.control(&path, &json!(item)).await }).await;
        }
    }

    // Tells whether the store took the call.
    async fn control(&self, path: &str, body: &Value) -> bool {
        let url = format!("http://{}/control/{path}", self.store_address);
        self.client.put(url).json(body).send().await.is_ok_and(|reply| reply.status().is_success())
    }

    /// Says how the store treats its callers.
    pub async fn set_door(&self, door: StoreMode) {
        assert!(self.control("door", &json!(door)).await, "the store takes {door:?}");
    }

    /// Makes a version give bad answers at all engines.
    pub async fn turn_bad(&self, version: &str) {
        for engine in &self.engines {
            let reply = self.client.post(format!("{}/bad", engine.url)).json(version).send().await;
            assert!(reply.expect("the engine answers").status().is_success());
        }
    }

    /// Rates an answer.
    pub async fn rate(&self, request: &str, version: &str, good: bool) {
        let rating = json!({"request": request, "version": version, "good": good});
        let path = format!("rows/bluebell-ratings/{request}");
        assert!(self.control(&path, &rating).await, "the store takes the rating");
    }

    /// The product's records in the partitions whose names begin so.
    pub async fn rows(&self, part: &str) -> Vec<StoredRow> {
        self.scan("bluebell-records", part).await
    }

    /// Rows of a table whose partition begins so.
    pub async fn scan(&self, table: &str, part: &str) -> Vec<StoredRow> {
        let url = format!("http://{}/control/rows/{table}?part={part}", self.store_address);
        self.client.get(url).send().await.expect("the store answers").json().await.expect("rows can be read")
    }

    /// Waits until the table has a number of billing rows, and checks that it stays so.
    pub async fn wait_bills(&self, count: usize) -> Vec<StoredRow> {
        until(&format!("{count} billing rows"), || async { self.rows("bill/").await.len() >= count }).await;
        let rows = self.rows("bill/").await;
        assert_eq!(rows.len(), count, "as many billing rows as answered requests");
        rows
    }

    async fn set_settings(&self) {
        let file = PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("../../sample_configs/settings/valid/two_crews.yaml");
        let file = file.display().to_string();
        until("the first settings to be accepted", || async {
            let (code, _) = self.ctl(0, &["settings", "set", &file]).await;
            code == 0
        })
        .await;
    }

    /// Waits until every entry is ready and connected to every sidecar of its subset.
    pub async fn wait_ready(&self) {
        for at in 0..self.entries.len() {
            self.wait_entry(at).await;
        }
    }

    /// Waits until an entry is ready and connected to every sidecar listed as live.
    pub async fn wait_entry(&self, at: usize) {
        let operator = self.operator(at);
        until(&format!("{} to be ready", self.entries[at].name), || async {
            let (status, _) = operator.get("/readyz").await;
            let (_, members) = operator.get("/admin/members").await;
            let members: Vec<Value> = serde_json::from_str(&members).unwrap_or_default();
            let wanted = |member: &&Value| member["role"] == "sidecar" && member["leaving"] == false;
            let connected = members.iter().filter(wanted).all(|member| member["connected"] == true);
            let listed = self.listed.iter().filter(|item| item.phase == Phase::Live).count();
            status == 200 && connected && members.len() >= listed
        })
        .await;
        let force = self.in_force(at).await;
        assert!(force.is_object(), "an operator is answered");
    }

    /// Where the latest revision is in force, by the word of an entry.
    pub async fn in_force(&self, at: usize) -> Value {
        let (_, status) = self.operator(at).get("/admin/status").await;
        let status: Value = serde_json::from_str(&status).unwrap_or_default();
        let path = format!("/admin/in-force?revision={}", status["revision"]);
        let (_, text) = self.operator(at).get(&path).await;
        serde_json::from_str(&text).unwrap_or(json!(null))
    }

    /// An operator at an entry.
    pub fn operator(&self, at: usize) -> Caller {
        Caller::new(&self.entries[at].address, OPERATOR_KEY)
    }

    /// A caller at an entry.
    pub fn caller(&self, at: usize, key: &str) -> Caller {
        Caller::new(&self.entries[at].address, key)
    }

    /// Runs the command line for operators; gives exit code and output.
    pub async fn ctl(&self, at: usize, args: &[&str]) -> (i32, String) {
        let mut command = Command::new(program("bluebellctl"));
        let entry = format!("http://{}", self.entries[at].address);
        command.args(["--entry", &entry, "--key", OPERATOR_KEY]).args(args);
        let output = tokio::task::spawn_blocking(move || command.output()).await.expect("the task ends");
        let output = output.expect("the command line can be started");
        let text = [output.stdout, output.stderr].concat();
        (output.status.code().unwrap_or(-1), String::from_utf8_lossy(&text).into_owned())
    }

    /// Lines of a runner's log.
    pub fn runs(runner: &Runner) -> Vec<Value> {
        let text = std::fs::read_to_string(&runner.log).unwrap_or_default();
        text.lines().filter_map(|line| serde_json::from_str(line).ok()).collect()
    }

    /// Lines of all engines' logs.
    pub fn engine_runs(&self) -> Vec<Value> {
        self.engines.iter().flat_map(Self::runs).collect()
    }

    /// Lines of all ledgers' logs.
    pub fn ledger_calls(&self) -> Vec<Value> {
        self.ledgers.iter().flat_map(Self::runs).collect()
    }

    /// Pause between the parts of a scene that only load needs.
    pub async fn pause(time: Duration) {
        tokio::time::sleep(time).await;
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        if std::thread::panicking() {
            eprintln!("logs of the fleet are in {}", self.folder.display());
        } else {
            // Logs that can't be removed do no harm.
            let _ = std::fs::remove_dir_all(&self.folder);
        }
    }
}
