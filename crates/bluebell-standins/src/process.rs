//! Child processes of a test or the soak.

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

/// A child process, which is killed when dropped.
pub struct Process {
    name: String,
    program: PathBuf,
    args: Vec<String>,
    log: PathBuf,
    child: Child,
}

/// Path of a program of this workspace. It is searched for in the directory of the running executable and, for tests,
/// in the directory above.
///
/// # Panics
/// If the program is not built.
#[must_use]
pub fn program(name: &str) -> PathBuf {
    let own = std::env::current_exe().expect("the running executable should have a path");
    let found = own.ancestors().skip(1).take(2).map(|directory| directory.join(name)).find(|path| path.exists());
    found.unwrap_or_else(|| panic!("{name} is not built: run `cargo test --workspace` or `cargo build --workspace`"))
}

impl Process {
    /// Starts a program; its output is appended to `NAME.log` in the directory.
    ///
    /// # Panics
    /// If the system call fails.
    pub fn start(name: &str, program_name: &str, args: &[String], directory: &Path) -> Self {
        let program = program(program_name);
        let log = directory.join(format!("{name}.log"));
        let child = spawn(&program, args, &log);
        Self { name: name.to_owned(), program, args: args.to_vec(), log, child }
    }

    /// Kills the process and starts it again with the same arguments and log file.
    ///
    /// # Panics
    /// If the system call fails.
    pub fn restart(&mut self) {
        self.kill();
        self.child = spawn(&self.program, &self.args, &self.log);
    }

    fn signal(&self, signal: Signal) {
        let pid = Pid::from_raw(self.child.id() as i32);
        kill(pid, signal).unwrap_or_else(|error| panic!("cannot send a signal to {}: {error}", self.name));
    }

    /// Kills the process with SIGKILL and waits for its end.
    ///
    /// # Panics
    /// If the system call fails.
    pub fn kill(&mut self) {
        self.child.kill().expect("the child should be killed");
        self.child.wait().expect("the killed child should be reaped");
    }

    /// Suspends the process with SIGSTOP.
    ///
    /// # Panics
    /// If the system call fails.
    pub fn freeze(&self) {
        self.signal(Signal::SIGSTOP);
    }

    /// Resumes a suspended process with SIGCONT.
    ///
    /// # Panics
    /// If the system call fails.
    pub fn thaw(&self) {
        self.signal(Signal::SIGCONT);
    }

    /// Asks the process to stop, with SIGTERM.
    ///
    /// # Panics
    /// If the system call fails.
    pub fn terminate(&self) {
        self.signal(Signal::SIGTERM);
    }

    /// Asks the process to reload its settings, with SIGHUP.
    ///
    /// # Panics
    /// If the system call fails.
    pub fn reload(&self) {
        self.signal(Signal::SIGHUP);
    }

    /// Waits for the process to end; returns its exit code, or `None` if a signal ended it.
    ///
    /// # Panics
    /// If the system call fails.
    pub async fn ended(&mut self) -> Option<i32> {
        let name = self.name.clone();
        let mut code = None;
        let child = std::cell::RefCell::new(&mut self.child);
        until(&format!("{name} to end"), || {
            let status = child.borrow_mut().try_wait().expect("the child's status should be readable");
            code = status.and_then(|status| status.code());
            async move { status.is_some() }
        })
        .await;
        code
    }

    /// Whether the process is running.
    #[must_use]
    pub fn is_running(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(None))
    }

    /// Process id of the latest start.
    #[must_use]
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Number of descriptors that the process has open.
    ///
    /// # Panics
    /// If the process has ended or its descriptors cannot be listed.
    #[must_use]
    pub fn open_descriptors(&self) -> usize {
        std::fs::read_dir(format!("/proc/{}/fd", self.child.id()))
            .expect("the process should have a list of descriptors")
            .count()
    }

    /// Peak resident memory of the process so far, in bytes.
    ///
    /// # Panics
    /// If the process has ended or its status cannot be read.
    #[must_use]
    pub fn peak_memory(&self) -> u64 {
        let status = std::fs::read_to_string(format!("/proc/{}/status", self.child.id()))
            .expect("the process should have a status file");
        let line = status
            .lines()
            .find(|line| line.starts_with("VmHWM:"))
            .expect("the status file should list the peak memory");
        let kilobytes: u64 = line
            .split_whitespace()
            .nth(1)
            .and_then(|text| text.parse().ok())
            .expect("the peak memory should be a number");
        kilobytes * 1024
    }

    /// The process's output so far, over all its starts.
    #[must_use]
    pub fn log(&self) -> String {
        std::fs::read_to_string(&self.log).unwrap_or_default()
    }
}

fn spawn(program: &Path, args: &[String], log: &Path) -> Child {
    let file = File::options().create(true).append(true).open(log).expect("the log file should be openable");
    let mut command = Command::new(program);
    let errors = file.try_clone().expect("the log file should be duplicable");
    command.args(args).stdin(Stdio::null()).stdout(file).stderr(errors);
    command.spawn().unwrap_or_else(|error| panic!("cannot start {}: {error}", program.display()))
}

impl Drop for Process {
    fn drop(&mut self) {
        // Errors are ignored, as the process may already have ended by itself.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}
