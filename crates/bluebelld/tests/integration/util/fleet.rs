//! A fleet: store, runners, sidecars and entries, each a process with an address of its own.

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
    config::{self, InstanceConfig, OPERATOR_KEY},
    process::{Process, program},
    until,
};

/// First port of a fleet. Each fleet has a loopback address to itself, so that ports of fleets do not conflict.
const FIRST_PORT: u16 = 2100;
/// Number of the next fleet in this test process; part of its loopback address.
static NEXT_FLEET_NUMBER: AtomicU32 = AtomicU32::new(1);

/// A runner with its sidecar.
pub struct Runner {
    /// Name of the sidecar.
    pub name: String,
    /// The runner process.
    pub runner: Process,
    /// The sidecar process.
    pub sidecar: Process,
    /// Base URL of the runner.
    pub url: String,
    /// Log file of the runner, with one JSON line for each run.
    pub log: PathBuf,
}

/// An entry.
pub struct Entry {
    /// Name of the entry.
    pub name: String,
    /// The entry process.
    pub process: Process,
    /// Address for callers.
    pub address: String,
}

/// A fleet of processes; they end when it is dropped.
pub struct Fleet {
    /// Entries.
    pub entries: Vec<Entry>,
    /// Stand-in model engines with their sidecars.
    pub engines: Vec<Runner>,
    /// Stand-in ledger services with their sidecars.
    pub ledgers: Vec<Runner>,
    /// The store process of the platform.
    pub store: Process,
    /// Address of the store.
    pub store_address: String,
    /// Instances as the platform lists them; `publish_instances` writes changes to the store.
    pub instances: Vec<Listed>,
    client: reqwest::Client,
    dir: PathBuf,
    ip: String,
    next_port: u16,
}

/// Builder of a fleet: number of processes and their settings.
pub struct FleetBuilder {
    entries: usize,
    engines: Vec<Vec<&'static str>>,
    ledgers: usize,
    slots: usize,
    micros_per_token: u64,
    micros_per_ledger_call: u64,
    with_settings: bool,
}

impl Default for FleetBuilder {
    fn default() -> Self {
        Self {
            entries: 2,
            engines: vec![vec!["atlas-small@1", "atlas-small@2", "atlas-large@1"]; 3],
            ledgers: 1,
            slots: 16,
            micros_per_token: 1000,
            micros_per_ledger_call: 1000,
            with_settings: true,
        }
    }
}

impl FleetBuilder {
    /// Number of entries.
    pub fn entries(mut self, count: usize) -> Self {
        self.entries = count;
        self
    }

    /// Engines, each as the list of model versions that it serves.
    pub fn engines(mut self, serves: Vec<Vec<&'static str>>) -> Self {
        self.engines = serves;
        self
    }

    /// Number of ledgers.
    pub fn ledgers(mut self, count: usize) -> Self {
        self.ledgers = count;
        self
    }

    /// Number of requests that each runner may process concurrently.
    pub fn slots(mut self, count: usize) -> Self {
        self.slots = count;
        self
    }

    /// Time that an engine takes to generate a token, in microseconds.
    pub fn micros_per_token(mut self, micros: u64) -> Self {
        self.micros_per_token = micros;
        self
    }

    /// Time that a ledger takes for a call, in microseconds.
    pub fn micros_per_ledger_call(mut self, micros: u64) -> Self {
        self.micros_per_ledger_call = micros;
        self
    }

    /// Starts the fleet without settings in the store.
    pub fn without_settings(mut self) -> Self {
        self.with_settings = false;
        self
    }

    /// Starts the fleet. If it has settings, also waits until every entry is ready and connected to every live sidecar.
    pub async fn start(self) -> Fleet {
        let number = NEXT_FLEET_NUMBER.fetch_add(1, Ordering::Relaxed);
        let pid = std::process::id();
        let ip = format!("127.{}.{}.{number}", 1 + pid % 250, 1 + pid / 250 % 250);
        let dir = std::env::temp_dir().join(format!("bluebell-{pid}-{number}"));
        std::fs::create_dir_all(&dir).expect("the directory for logs should be created");
        let store_address = format!("{ip}:{FIRST_PORT}");
        let args = ["store", "--listen", &store_address].map(str::to_owned);
        let mut fleet = Fleet {
            entries: Vec::new(),
            engines: Vec::new(),
            ledgers: Vec::new(),
            store: Process::start("store", "bluebell-standins", &args, &dir),
            store_address,
            instances: Vec::new(),
            client: reqwest::Client::new(),
            dir,
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
        fleet.publish_instances().await;
        if self.with_settings {
            fleet.set_settings().await;
            fleet.wait_all_ready().await;
        }
        fleet
    }
}

impl Fleet {
    /// Starts a fleet of the default size.
    pub async fn start() -> Self {
        FleetBuilder::default().start().await
    }

    /// Returns an unused address of the fleet.
    fn next_address(&mut self) -> String {
        self.next_port += 1;
        format!("{}:{}", self.ip, self.next_port)
    }

    fn zone(number: usize) -> &'static str {
        ["tiznit", "taroudant"][number % 2]
    }

    /// Adds an engine with its sidecar.
    pub fn add_engine(&mut self, builder: &FleetBuilder, serves: &[&str]) {
        let name = format!("engine-{}", self.engines.len() + 1);
        let listen = self.next_address();
        let log = self.dir.join(format!("{name}.runs"));
        let args = vec![
            "engine".to_owned(),
            format!("--listen={listen}"),
            format!("--log={}", log.display()),
            format!("--step={}", builder.micros_per_token),
            "--slope=0".to_owned(),
            format!("--batch={}", builder.slots),
        ];
        let serves: Vec<String> = serves.iter().map(|text| (*text).to_owned()).collect();
        let runner = Process::start(&name, "bluebell-standins", &args, &self.dir);
        let zone = Self::zone(self.engines.len());
        let runner = self.add_sidecar(runner, name, zone, "engine", &serves, builder.slots, listen, log);
        self.engines.push(runner);
    }

    /// Adds a ledger with its sidecar.
    pub fn add_ledger(&mut self, builder: &FleetBuilder) {
        let name = format!("ledger-{}", self.ledgers.len() + 1);
        let listen = self.next_address();
        let log = self.dir.join(format!("{name}.runs"));
        let args = vec![
            "ledger".to_owned(),
            format!("--listen={listen}"),
            format!("--log={}", log.display()),
            format!("--work={}", builder.micros_per_ledger_call),
        ];
        let runner = Process::start(&name, "bluebell-standins", &args, &self.dir);
        let zone = Self::zone(self.ledgers.len());
        let serves = ["ledger".to_owned()];
        let runner = self.add_sidecar(runner, name, zone, "service", &serves, builder.slots, listen, log);
        self.ledgers.push(runner);
    }

    #[expect(clippy::too_many_arguments, reason = "each describes one runner")]
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
        let instance = self.instance_config(&sidecar_name, zone);
        let text = config::sidecar(&instance, kind, &url, serves, slots);
        let peers = instance.peers.clone();
        let sidecar = self.start_daemon(&sidecar_name, &text);
        self.add_instance(&sidecar_name, Role::Sidecar, zone, peers, serves);
        Runner { name: sidecar_name, runner, sidecar, url, log }
    }

    /// Adds an entry.
    pub fn add_entry(&mut self) {
        let name = format!("entry-{}", self.entries.len() + 1);
        let zone = Self::zone(self.entries.len());
        let instance = self.instance_config(&name, zone);
        let (address, peers) = (instance.public.clone(), instance.peers.clone());
        let text = config::entry(&instance);
        let process = self.start_daemon(&name, &text);
        self.add_instance(&name, Role::Entry, zone, peers, &[]);
        self.entries.push(Entry { name, process, address });
    }

    fn instance_config<'a>(&mut self, name: &'a str, zone: &'a str) -> InstanceConfig<'a> {
        let (public, peers) = (self.next_address(), self.next_address());
        let store = Box::leak(self.store_address.clone().into_boxed_str());
        InstanceConfig { name, zone, public, peers, store }
    }

    fn start_daemon(&self, name: &str, text: &str) -> Process {
        let path = self.dir.join(format!("{name}.yaml"));
        std::fs::write(&path, text).expect("the configuration file should be writable");
        let args = ["--config".to_owned(), path.display().to_string()];
        Process::start(name, "bluebelld", &args, &self.dir)
    }

    fn add_instance(&mut self, name: &str, role: Role, zone: &str, address: String, serves: &[String]) {
        self.instances.push(Listed {
            instance: name.parse().expect("the name should be a valid instance id"),
            role,
            zone: zone.parse().expect("the zone should be a valid zone id"),
            address,
            serves: serves.to_vec(),
            phase: Phase::Live,
        });
    }

    /// Starts a fault-injecting proxy in front of a sidecar, lists its address as that of the sidecar, and waits until
    /// the entries use it.
    pub async fn proxy(&mut self, sidecar: &str) -> Proxy {
        let listen = self.next_address();
        let listed = self.instances.iter_mut().find(|item| item.instance.as_str() == sidecar);
        let listed = listed.expect("the sidecar should be listed");
        let proxy = Proxy::start(&listen, &listed.address).await.expect("the proxy should be able to listen");
        listed.address = listen;
        self.publish_instances().await;
        until("the entries to connect through the proxy", || async {
            proxy.connections() >= self.entries.len() as u64
        })
        .await;
        self.wait_all_ready().await;
        proxy
    }

    /// Changes the phase that the platform lists for an instance.
    pub async fn set_phase(&mut self, instance: &str, phase: Phase) {
        for item in &mut self.instances {
            if item.instance.as_str() == instance {
                item.phase = phase;
            }
        }
        self.publish_instances().await;
    }

    /// Writes the list of instances to the store.
    pub async fn publish_instances(&self) {
        for item in &self.instances {
            let path = format!("rows/bluebell-instances/{}", item.instance);
            until("the store to accept the instance list", || async { self.control(&path, &json!(item)).await }).await;
        }
    }

    /// Calls the control interface of the store; returns whether the store accepted the call.
    async fn control(&self, path: &str, body: &Value) -> bool {
        let url = format!("http://{}/control/{path}", self.store_address);
        self.client.put(url).json(body).send().await.is_ok_and(|reply| reply.status().is_success())
    }

    /// Sets how the store treats its callers.
    pub async fn set_store_mode(&self, mode: StoreMode) {
        assert!(self.control("door", &json!(mode)).await, "the store should accept the mode {mode:?}");
    }

    /// Makes all engines give bad responses for a version.
    pub async fn degrade_version(&self, version: &str) {
        for engine in &self.engines {
            let reply = self.client.post(format!("{}/bad", engine.url)).json(version).send().await;
            assert!(reply.expect("the engine should respond").status().is_success());
        }
    }

    /// Stores a rating of a response.
    pub async fn submit_rating(&self, request_id: &str, version: &str, good: bool) {
        let rating = json!({"request": request_id, "version": version, "good": good});
        let path = format!("rows/bluebell-ratings/{request_id}");
        assert!(self.control(&path, &rating).await, "the store should accept the rating");
    }

    /// Rows of the router's records table in the partitions whose names have a prefix.
    pub async fn records(&self, partition_prefix: &str) -> Vec<StoredRow> {
        self.scan_table("bluebell-records", partition_prefix).await
    }

    /// Rows of a table in the partitions whose names have a prefix.
    pub async fn scan_table(&self, table: &str, partition_prefix: &str) -> Vec<StoredRow> {
        let url = format!("http://{}/control/rows/{table}?part={partition_prefix}", self.store_address);
        self.client
            .get(url)
            .send()
            .await
            .expect("the store should respond")
            .json()
            .await
            .expect("the rows should be valid JSON")
    }

    /// Waits until the records table has at least `count` billing rows, then checks that it has exactly that many;
    /// returns them.
    pub async fn wait_for_billing_rows(&self, count: usize) -> Vec<StoredRow> {
        until(&format!("{count} billing rows"), || async { self.records("bill/").await.len() >= count }).await;
        let rows = self.records("bill/").await;
        assert_eq!(rows.len(), count, "there should be one billing row for each completed request");
        rows
    }

    async fn set_settings(&self) {
        let file = PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("../../sample_configs/settings/valid/two_crews.yaml");
        let file = file.display().to_string();
        until("the initial settings to be accepted", || async {
            let (code, _) = self.ctl(0, &["settings", "set", &file]).await;
            code == 0
        })
        .await;
    }

    /// Waits until every entry is ready and connected to every live sidecar.
    pub async fn wait_all_ready(&self) {
        for index in 0..self.entries.len() {
            self.wait_entry_ready(index).await;
        }
    }

    /// Waits until an entry is ready, knows every instance listed as live, and is connected to every sidecar that is
    /// not leaving.
    pub async fn wait_entry_ready(&self, index: usize) {
        let operator = self.operator(index);
        until(&format!("{} to be ready", self.entries[index].name), || async {
            let (status, _) = operator.get("/readyz").await;
            let (_, members) = operator.get("/admin/members").await;
            let members: Vec<Value> = serde_json::from_str(&members).unwrap_or_default();
            let live_sidecar = |member: &&Value| member["role"] == "sidecar" && member["leaving"] == false;
            let connected = members.iter().filter(live_sidecar).all(|member| member["connected"] == true);
            let live = self.instances.iter().filter(|item| item.phase == Phase::Live).count();
            status == 200 && connected && members.len() >= live
        })
        .await;
        let status = self.propagation_status(index).await;
        assert!(status.is_object(), "the entry should answer operators");
    }

    /// How far the latest revision of the settings is in force at all instances, as an entry reports it; null if the
    /// entry does not answer.
    pub async fn propagation_status(&self, index: usize) -> Value {
        let (_, status) = self.operator(index).get("/admin/status").await;
        let status: Value = serde_json::from_str(&status).unwrap_or_default();
        let path = format!("/admin/in-force?revision={}", status["revision"]);
        let (_, text) = self.operator(index).get(&path).await;
        serde_json::from_str(&text).unwrap_or(json!(null))
    }

    /// Creates a caller of an entry with the operator's key.
    pub fn operator(&self, index: usize) -> Caller {
        Caller::new(&self.entries[index].address, OPERATOR_KEY)
    }

    /// Creates a caller of an entry with an API key.
    pub fn caller(&self, index: usize, key: &str) -> Caller {
        Caller::new(&self.entries[index].address, key)
    }

    /// Runs `bluebellctl` against an entry; returns exit code and output.
    pub async fn ctl(&self, index: usize, args: &[&str]) -> (i32, String) {
        let mut command = Command::new(program("bluebellctl"));
        let entry = format!("http://{}", self.entries[index].address);
        command.args(["--entry", &entry, "--key", OPERATOR_KEY]).args(args);
        let output = tokio::task::spawn_blocking(move || command.output()).await.expect("the task should not panic");
        let output = output.expect("bluebellctl should start");
        let text = [output.stdout, output.stderr].concat();
        (output.status.code().unwrap_or(-1), String::from_utf8_lossy(&text).into_owned())
    }

    /// Runs that a runner has logged, in order.
    pub fn runs(runner: &Runner) -> Vec<Value> {
        let text = std::fs::read_to_string(&runner.log).unwrap_or_default();
        text.lines().filter_map(|line| serde_json::from_str(line).ok()).collect()
    }

    /// Runs that all engines have logged.
    pub fn engine_runs(&self) -> Vec<Value> {
        self.engines.iter().flat_map(Self::runs).collect()
    }

    /// Calls that all ledgers have logged.
    pub fn ledger_calls(&self) -> Vec<Value> {
        self.ledgers.iter().flat_map(Self::runs).collect()
    }

    /// Sleeps for a fixed time, where a test needs load to run for a while; conditions are awaited with `until`.
    pub async fn sleep(time: Duration) {
        tokio::time::sleep(time).await;
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        if std::thread::panicking() {
            eprintln!("logs of the fleet are in {}", self.dir.display());
        } else {
            // Errors are ignored: log files that remain do not affect other fleets.
            let _ = std::fs::remove_dir_all(&self.dir);
        }
    }
}
