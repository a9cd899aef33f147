//! A process that a test or the soak started, ended by its id when that is over.

use std::{
    fs::File,
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
};

use nix::{
    sys::signal::{Signal, kill},
    unistd::Pid,
};

use crate::wait::until;

/// A process that was started here.
pub struct Process {
    name: String,
    program: PathBuf,
    args: Vec<String>,
    log: PathBuf,
    child: Child,
}

/// A program of this workspace, built beside the running one or, for a test, in the folder above.
///
/// # Panics
/// When it is not built.
#[must_use]
pub fn program(name: &str) -> PathBuf {
    let own = std::env::current_exe().expect("a program has a path");
    let found = own.ancestors().skip(1).take(2).map(|folder| folder.join(name)).find(|path| path.exists());
    found.unwrap_or_else(|| panic!("{name} is not built: run `cargo test --workspace` or `cargo build --workspace`"))
}

impl Process {
    /// Starts a program; what it writes goes to a file in the folder.
    ///
    /// # Panics
    /// When the system refuses.
    pub fn start(name: &str, program_name: &str, args: &[String], folder: &Path) -> Self {
        let program = program(program_name);
        let log = folder.join(format!("{name}.log"));
        let child = spawn(&program, args, &log);
        Self { name: name.to_owned(), program, args: args.to_vec(), log, child }
    }

    /// Starts the same program again.
    ///
    /// # Panics
    /// When the system refuses.
    pub fn restart(&mut self) {
        self.kill();
        self.child = spawn(&self.program, &self.args, &self.log);
    }

    fn signal(&self, signal: Signal) {
        let pid = Pid::from_raw(self.child.id() as i32);
        kill(pid, signal).unwrap_or_else(|error| panic!("signal to {}: {error}", self.name));
    }

    /// Kills the process at once.
    ///
    /// # Panics
    /// When the system refuses.
    pub fn kill(&mut self) {
        self.child.kill().expect("a child can be killed");
        self.child.wait().expect("a killed child ends");
    }

    /// Freezes the process.
    ///
    /// # Panics
    /// When the system refuses.
    pub fn freeze(&self) {
        self.signal(Signal::SIGSTOP);
    }

    /// Lets a frozen process go on.
    ///
    /// # Panics
    /// When the system refuses.
    pub fn thaw(&self) {
        self.signal(Signal::SIGCONT);
    }

    /// Tells the process to stop.
    ///
    /// # Panics
    /// When the system refuses.
    pub fn terminate(&self) {
        self.signal(Signal::SIGTERM);
    }

    /// Tells the process to read its settings again.
    ///
    /// # Panics
    /// When the system refuses.
    pub fn hang_up(&self) {
        self.signal(Signal::SIGHUP);
    }

    /// Waits for the process to end; gives its exit code.
    ///
    /// # Panics
    /// When the system refuses.
    pub async fn ended(&mut self) -> Option<i32> {
        let name = self.name.clone();
        let mut code = None;
        let child = std::cell::RefCell::new(&mut self.child);
        until(&format!("{name} to end"), || {
            let status = child.borrow_mut().try_wait().expect("a child can be waited for");
            code = status.and_then(|status| status.code());
            async move { status.is_some() }
        })
        .await;
        code
    }

    /// Whether the process runs.
    #[must_use]
    pub fn is_running(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(None))
    }

    /// Most memory that the process has had so far, in bytes.
    ///
    /// # Panics
    /// When the system refuses.
    #[must_use]
    pub fn peak_memory(&self) -> u64 {
        let status = std::fs::read_to_string(format!("/proc/{}/status", self.child.id())).expect("a status");
        let line = status.lines().find(|line| line.starts_with("VmHWM:")).expect("a peak");
        let kilobytes: u64 = line.split_whitespace().nth(1).and_then(|text| text.parse().ok()).expect("a number");
        kilobytes * 1024
    }

    /// What the process logged.
    #[must_use]
    pub fn log(&self) -> String {
        std::fs::read_to_string(&self.log).unwrap_or_default()
    }
}

fn spawn(program: &Path, args: &[String], log: &Path) -> Child {
    let file = File::options().create(true).append(true).open(log).expect("the log can be opened");
    let mut command = Command::new(program);
    let errors = file.try_clone().expect("the log can be shared");
    command.args(args).stdin(Stdio::null()).stdout(file).stderr(errors);
    command.spawn().unwrap_or_else(|error| panic!("{}: {error}", program.display()))
}

impl Drop for Process {
    fn drop(&mut self) {
        // The process may have ended by itself.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}
