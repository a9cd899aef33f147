//! A small deployment on loopback addresses: the project's store stand-in and its gateways, each a process of its own.

use std::{
    collections::HashMap,
    fs::{self, File},
    io::Write,
    net::{SocketAddr, TcpListener, TcpStream},
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
    sync::{Arc, Mutex},
    thread::sleep,
    time::{Duration, Instant},
};

use crate::http;

pub const SIGTERM: i32 = 15;

unsafe extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
}

/// Why a case couldn't run.
pub type Fault = Box<dyn std::error::Error + Send + Sync>;

/// What was sent, answered and run, with times since the start.
#[derive(Clone)]
pub struct Record {
    file: Arc<Mutex<File>>,
    started: Instant,
}

impl Record {
    pub fn create(path: &Path) -> Result<Self, Fault> {
        Ok(Self { file: Arc::new(Mutex::new(File::create(path)?)), started: Instant::now() })
    }

    pub fn now(&self) -> Duration {
        self.started.elapsed()
    }

    pub fn line(&self, text: &str) {
        let at = self.now().as_secs_f64();
        let mut file = self.file.lock().unwrap();
        let _ = writeln!(file, "{at:9.3} {text}");
    }
}

/// Finds the first of 254 loopback hosts that belongs to this run.
pub fn host(number: u8) -> String {
    let id = std::process::id();
    format!("127.{}.{}.{number}", 100 + id / 250 % 100, 1 + id % 250)
}

/// A port that is free on a host.
pub fn free_port(host: &str) -> Result<SocketAddr, Fault> {
    Ok(TcpListener::bind(format!("{host}:0"))?.local_addr()?)
}

/// A process that is killed when dropped.
pub struct Process {
    pub child: Child,
}

impl Process {
    pub fn signal(&self, signal: i32) {
        // SAFETY: sends a signal to a child of this process that was not waited for yet.
        unsafe { kill(self.child.id() as i32, signal) };
    }

    pub fn has_ended(&mut self) -> bool {
        !matches!(self.child.try_wait(), Ok(None))
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Directory for settings and logs, removed when dropped.
pub struct Scratch(pub PathBuf);

impl Scratch {
    pub fn create() -> Result<Self, Fault> {
        let path = std::env::temp_dir().join(format!("bluebell-review-2-{}", std::process::id()));
        fs::create_dir_all(&path)?;
        Ok(Self(path))
    }
}

impl Drop for Scratch {
    fn drop(&mut self) {
        if std::env::var_os("KEEP").is_none() {
            let _ = fs::remove_dir_all(&self.0);
        }
    }
}

/// The platform's store: the project's own stand-in. Its process ends with [`Started`].
pub struct Store {
    pub address: SocketAddr,
}

static STORE: Mutex<Option<Process>> = Mutex::new(None);

/// Ends the store when dropped. The store itself is shared with threads that outlive a case.
pub struct Started;

impl Drop for Started {
    fn drop(&mut self) {
        drop(STORE.lock().map(|mut process| process.take()));
    }
}

impl Store {
    pub fn start(root: &Path, scratch: &Scratch) -> Result<Self, Fault> {
        let address = free_port(&host(1))?;
        let log = File::create(scratch.0.join("store.log"))?;
        let child = Command::new(root.join("target/release/bluebell-standins"))
            .args(["store", "--listen", &address.to_string()])
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .spawn()?;
        *STORE.lock().map_err(|_| "a case panicked")? = Some(Process { child });
        wait_for("the store", Duration::from_secs(5), || TcpStream::connect(address).is_ok())?;
        Ok(Self { address })
    }

    pub fn put(&self, table: &str, key: &str, json: &str) -> Result<(), Fault> {
        self.call("PUT", table, key, json)
    }

    pub fn delete(&self, table: &str, key: &str) -> Result<(), Fault> {
        self.call("DELETE", table, key, "")
    }

    fn call(&self, method: &str, table: &str, key: &str, body: &str) -> Result<(), Fault> {
        let mut socket = TcpStream::connect(self.address)?;
        let request = format!(
            "{method} /control/rows/{table}/{key} HTTP/1.1\r\nhost: store\r\ncontent-length: {}\r\n\r\n{body}",
            body.len()
        );
        socket.write_all(request.as_bytes())?;
        let head = http::read_head(&mut socket, &mut Vec::new())?.ok_or("the store closed the connection")?;
        if head.status() == 200 { Ok(()) } else { Err(format!("the store answered {}", head.status()).into()) }
    }
}

/// A gateway, started with the command of the deploy file and settings rendered from its template.
pub struct Gateway {
    pub name: String,
    pub callers: SocketAddr,
    pub ready: SocketAddr,
    pub process: Process,
}

impl Gateway {
    /// Starts the gateway with this number.
    pub fn start(
        root: &Path,
        scratch: &Scratch,
        store: &Store,
        number: u8,
        zone: &str,
        bounds: &[(&str, &str)],
    ) -> Result<Self, Fault> {
        let host = host(10 + number);
        let (callers, ready, control) = (free_port(&host)?, free_port(&host)?, format!("{host}:8229"));
        let name = format!("front-{zone}-{number}");
        let mut values: HashMap<String, Vec<String>> = HashMap::new();
        let mut set = |key: &str, value: &str| drop(values.insert(key.to_owned(), vec![value.to_owned()]));
        set("nodeName", &name);
        set("zone", zone);
        set("ip", &host);
        set("listen.front", &callers.to_string());
        set("listen.ready", &ready.to_string());
        set("listen.control", &control);
        set("platform.address", &store.address.to_string());
        bounds.iter().for_each(|(key, value)| set(key, value));
        values.insert("seeds".to_owned(), vec![format!("{}:8229", self::host(10))]);
        let settings = render(&fs::read_to_string(root.join("deploy/gateway.yaml"))?, &values, "");
        let path = scratch.0.join(format!("{name}.yaml"));
        fs::write(&path, settings)?;
        let log = File::create(scratch.0.join(format!("{name}.log")))?;
        let run = deploy_command(root)?;
        let mut words = run.split_whitespace();
        let mut command = Command::new(root.join(words.next().ok_or("the deploy file names no program")?));
        command.args(words).current_dir(root).env_clear().env("BLUEBELLSTACK_CONFIG", &path);
        for name in ["PATH", "HOME", "LANG"] {
            if let Some(value) = std::env::var_os(name) {
                command.env(name, value);
            }
        }
        let child = command.stdin(Stdio::null()).stdout(log.try_clone()?).stderr(log).spawn()?;
        Ok(Self { name, callers, ready, process: Process { child } })
    }

    /// Whether its readiness check succeeds.
    pub fn is_ready(&self) -> bool {
        let check = || -> Result<u16, Fault> {
            let mut socket = TcpStream::connect_timeout(&self.ready, Duration::from_secs(1))?;
            socket.set_read_timeout(Some(Duration::from_secs(1)))?;
            socket.write_all(b"GET /api/ready HTTP/1.1\r\nhost: ready\r\nconnection: close\r\n\r\n")?;
            Ok(http::read_head(&mut socket, &mut Vec::new())?.ok_or("closed")?.status())
        };
        check().is_ok_and(|status| status == 200)
    }

    pub fn wait_ready(&self) -> Result<(), Fault> {
        wait_for(&format!("{} to be ready", self.name), Duration::from_secs(15), || self.is_ready())
    }
}

/// Waits until a condition holds.
pub fn wait_for(what: &str, limit: Duration, condition: impl Fn() -> bool) -> Result<(), Fault> {
    let started = Instant::now();
    while !condition() {
        if started.elapsed() > limit {
            return Err(format!("waited {limit:?} for {what}").into());
        }
        sleep(Duration::from_millis(20));
    }
    Ok(())
}

// The value of `run` in the deploy file.
fn deploy_command(root: &Path) -> Result<String, Fault> {
    let text = fs::read_to_string(root.join("deploy/system.toml"))?;
    let line = text.lines().find_map(|line| line.strip_prefix("run = \"")).ok_or("the deploy file has no run")?;
    Ok(line.trim_end().trim_end_matches('"').to_owned())
}

// Renders the platform's templates: values, sections for each entry of a list or for a value, and inverted sections.
fn render(template: &str, values: &HashMap<String, Vec<String>>, current: &str) -> String {
    let mut text = String::new();
    let mut rest = template;
    while let Some(start) = rest.find("{{") {
        text.push_str(&rest[..start]);
        let Some(length) = rest[start..].find("}}") else { break };
        let name = rest[start + 2..start + length].to_owned();
        rest = &rest[start + length + 2..];
        if let Some(key) = name.strip_prefix(['#', '^']) {
            let end = format!("{{{{/{key}}}}}");
            let Some(position) = rest.find(&end) else { break };
            let inner = &rest[..position];
            rest = &rest[position + end.len()..];
            let entries = values.get(key).map(Vec::as_slice).unwrap_or_default();
            if name.starts_with('#') {
                for (index, entry) in entries.iter().enumerate() {
                    let comma = if index + 1 < entries.len() { "," } else { "" };
                    text.push_str(&render(&inner.replace("{{,}}", comma), values, entry));
                }
            } else if entries.is_empty() {
                text.push_str(&render(inner, values, current));
            }
        } else if name == "." {
            text.push_str(current);
        } else {
            text.push_str(&values.get(&name).map(|value| value.join(",")).unwrap_or_default());
        }
    }
    text.push_str(rest);
    text
}
