//! Child processes that are killed when the test ends.

use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus, Stdio};

/// A running program of this workspace, killed on drop.
#[derive(Debug)]
pub struct Process {
    child: Child,
}

impl Process {
    /// Starts the program `name` with `args`; its standard error goes to `log`.
    ///
    /// # Panics
    ///
    /// Panics where the program can't be started.
    #[must_use]
    pub fn start(name: &str, args: &[&str], log: &Path) -> Self {
        let log = std::fs::File::options().create(true).append(true).open(log);
        let mut command = Command::new(program(name));
        command
            .args(args)
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(log.expect("the log file can be written"));
        Self::spawn(&mut command)
    }

    /// Starts the program of a command.
    ///
    /// # Panics
    ///
    /// Panics where the program can't be started.
    #[must_use]
    pub fn spawn(command: &mut Command) -> Self {
        let child = command.spawn();
        let child = child.unwrap_or_else(|error| panic!("can't start {command:?}: {error}"));
        Self { child }
    }

    /// Returns whether the process has ended.
    ///
    /// # Panics
    ///
    /// Panics where the process can't be waited for.
    pub fn has_ended(&mut self) -> bool {
        let status = self.child.try_wait();
        status.expect("the process can be waited for").is_some()
    }

    /// Sends a signal, such as [`libc::SIGSTOP`].
    ///
    /// # Panics
    ///
    /// Panics if the process has ended.
    #[allow(unsafe_code)]
    pub fn signal(&self, signal: libc::c_int) {
        let pid = libc::pid_t::try_from(self.child.id()).expect("a pid fits");
        // SAFETY: kill takes two numbers; the child is not reaped while `self` lives.
        let sent = unsafe { libc::kill(pid, signal) };
        assert_eq!(sent, 0, "the process is gone");
    }

    /// Limits the size of files that the process writes; `None` ends the limit.
    ///
    /// # Panics
    ///
    /// Panics if the process has ended.
    #[allow(unsafe_code)]
    pub fn limit_files(&self, bytes: Option<u64>) {
        let pid = libc::pid_t::try_from(self.child.id()).expect("a pid fits");
        let limit = libc::rlimit {
            rlim_cur: bytes.unwrap_or(libc::RLIM_INFINITY),
            rlim_max: libc::RLIM_INFINITY,
        };
        // SAFETY: prlimit reads the limit, which outlives the call, and writes nowhere.
        let done = unsafe {
            libc::prlimit(
                pid,
                libc::RLIMIT_FSIZE,
                &raw const limit,
                std::ptr::null_mut(),
            )
        };
        assert_eq!(done, 0, "the process is gone");
    }

    /// Kills the process and waits until it has ended.
    ///
    /// # Panics
    ///
    /// Panics where the process can't be waited for.
    pub fn kill(&mut self) {
        self.child.kill().expect("the process can be killed");
        self.child.wait().expect("the process can be waited for");
    }

    /// Waits until the process has ended.
    ///
    /// # Panics
    ///
    /// Panics where the process can't be waited for.
    pub fn wait(&mut self) -> ExitStatus {
        self.child.wait().expect("the process can be waited for")
    }

    /// Returns the greatest memory that the process has used, in bytes.
    ///
    /// # Panics
    ///
    /// Panics if the process has ended.
    #[must_use]
    pub fn peak_memory(&self) -> u64 {
        let status = std::fs::read_to_string(format!("/proc/{}/status", self.child.id()));
        let status = status.expect("the process runs");
        let peak = status.lines().find_map(|line| line.strip_prefix("VmHWM:"));
        let kilobytes = peak.and_then(|peak| peak.split_whitespace().next()?.parse::<u64>().ok());
        kilobytes.expect("the kernel states the peak") * 1_024
    }

    /// Returns the process id.
    #[must_use]
    pub fn id(&self) -> u32 {
        self.child.id()
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Returns the path of a program that Cargo built in the same target directory as this test.
///
/// # Panics
///
/// Panics if the path of the test is unknown.
#[must_use]
pub fn program(name: &str) -> PathBuf {
    let test = std::env::current_exe().expect("the path of the test is known");
    let deps = test.parent().expect("the test is in a folder");
    deps.parent()
        .expect("the folder of the test has a parent")
        .join(name)
}
