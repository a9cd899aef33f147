//! A gateway: the project's program as a process of its own, with the settings of the deploy file's template.

use std::{
    fs::{self, File},
    io,
    net::{Ipv4Addr, SocketAddr, TcpListener},
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
    sync::Mutex,
    time::{Duration, Instant},
};

use crate::http::{Outcome, connect, exchange};

/// What the settings of a gateway name.
#[derive(Debug, Clone)]
pub struct Place {
    pub name: String,
    pub ip: Ipv4Addr,
    pub store: SocketAddr,
    pub seeds: Vec<SocketAddr>,
}

/// A gateway process; it is killed when dropped.
pub struct Gateway {
    pub place: Place,
    pub front: SocketAddr,
    pub ready: SocketAddr,
    root: PathBuf,
    folder: PathBuf,
    child: Child,
    starts: u32,
}

pub const CONTROL_PORT: u16 = 8229;

// Ids of the processes that run.
static RUNNING: Mutex<Vec<u32>> = Mutex::new(Vec::new());

/// Ends the whole case after a time, with all processes that it started.
pub fn end_after(time: Duration) {
    std::thread::spawn(move || {
        std::thread::sleep(time);
        for pid in RUNNING.lock().unwrap().iter() {
            let _ = Command::new("kill").args(["-9", &pid.to_string()]).status();
        }
        std::process::exit(2);
    });
}

impl Gateway {
    pub fn start(root: &Path, folder: &Path, place: Place) -> io::Result<Self> {
        let (front, ready) = (SocketAddr::from((place.ip, 8227)), SocketAddr::from((place.ip, 8220)));
        let child = spawn(root, folder, &place, 1)?;
        let (root, folder) = (root.to_owned(), folder.to_owned());
        Ok(Self { place, front, ready, root, folder, child, starts: 1 })
    }

    /// Kills the process (SIGKILL).
    pub fn kill(&mut self) {
        let pid = self.child.id();
        let _ = self.child.kill();
        let _ = self.child.wait();
        RUNNING.lock().unwrap().retain(|running| *running != pid);
    }

    /// Whether the process has ended.
    pub fn has_ended(&mut self) -> bool {
        !matches!(self.child.try_wait(), Ok(None))
    }

    /// Processor time that it has used, in ticks of 10 ms.
    pub fn processor_ticks(&self) -> u64 {
        let text = fs::read_to_string(format!("/proc/{}/stat", self.child.id())).unwrap_or_default();
        let fields: Vec<&str> = text.rsplit(')').next().unwrap_or_default().split_whitespace().collect();
        let field = |index: usize| fields.get(index).and_then(|word| word.parse::<u64>().ok()).unwrap_or(0);
        field(11) + field(12)
    }

    pub fn start_again(&mut self) -> io::Result<()> {
        self.starts += 1;
        self.child = spawn(&self.root, &self.folder, &self.place, self.starts)?;
        Ok(())
    }

    /// The platform's readiness check.
    pub fn is_ready(&self) -> bool {
        let call = crate::http::Call::new("GET", "/api/ready", "", "", Duration::from_millis(500));
        connect(self.ready)
            .is_some_and(|mut stream| matches!(exchange(&mut stream, &call), Outcome::Answer { status: 200, .. }))
    }

    pub fn await_ready(&self, within: Duration) -> bool {
        let until = Instant::now() + within;
        while Instant::now() < until {
            if self.is_ready() {
                return true;
            }
            std::thread::sleep(Duration::from_millis(20));
        }
        false
    }

    /// Resident memory in kilobytes, as the platform sees it.
    pub fn memory_kb(&self) -> u64 {
        let text = fs::read_to_string(format!("/proc/{}/status", self.child.id())).unwrap_or_default();
        let line = text.lines().find_map(|line| line.strip_prefix("VmRSS:")).unwrap_or_default();
        line.trim().split(' ').next().and_then(|word| word.parse().ok()).unwrap_or(0)
    }
}

impl Drop for Gateway {
    fn drop(&mut self) {
        self.kill();
    }
}

fn spawn(root: &Path, folder: &Path, place: &Place, start: u32) -> io::Result<Child> {
    let (name, ip, store) = (&place.name, place.ip, place.store);
    let seeds: Vec<String> = place.seeds.iter().map(|seed| format!("\"{seed}\"")).collect();
    let settings = format!(
        "instance: {{ id: \"{name}\", zone: \"zone-a\" }}\n\
         listen:\n  callers: \"{ip}:8227\"\n  ready: \"{ip}:8220\"\n  metrics: \"{ip}:9464\"\n  \
         peers: \"{ip}:{CONTROL_PORT}\"\n\
         store: \"{store}\"\n\
         seeds: [{}]\n\
         retry:\n  ratio: 0.9\n  slack: 56\n  window_seconds: 10\n\
         drain_seconds: 8\nsession_seconds: 5\nexposure: 0.15\n\
         keys:\n  active: deploy\n  known:\n    deploy: 6a1f0c5e9d3b47828c14e2f7a9b05d36\n\
         log: info\n",
        seeds.join(",")
    );
    let path = folder.join(format!("{name}.yaml"));
    fs::write(&path, settings)?;
    let log = File::create(folder.join(format!("{name}-{start}.log")))?;
    let child = Command::new(root.join("target/release/bluebelld"))
        .arg("gateway")
        .current_dir(root)
        .env_clear()
        .env("BLUEBELLSTACK_CONFIG", &path)
        .stdin(Stdio::null())
        .stdout(log.try_clone()?)
        .stderr(log)
        .spawn()?;
    RUNNING.lock().unwrap().push(child.id());
    Ok(child)
}

/// A block of loopback addresses of this run's own: its first address, on which all ports of a gateway are free.
pub fn addresses(count: u8) -> Option<Vec<Ipv4Addr>> {
    let pid = std::process::id();
    (0..50_u32).find_map(|attempt| {
        let number = pid.wrapping_add(attempt * 977);
        let (second, third) = (60 + number % 150, 1 + number / 150 % 250);
        let all: Vec<Ipv4Addr> = (1..=count).map(|last| Ipv4Addr::new(127, second as u8, third as u8, last)).collect();
        let is_free =
            |ip: &Ipv4Addr| [8220, 8227, CONTROL_PORT, 9464].iter().all(|port| TcpListener::bind((*ip, *port)).is_ok());
        all.iter().all(is_free).then_some(all)
    })
}
