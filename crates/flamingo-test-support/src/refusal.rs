//! What a daemon says when it will not start, and the checks that all daemons share.

use crate::address::host;
use crate::process::program;
use std::io::{BufRead, BufReader};
use std::net::TcpListener;
use std::path::PathBuf;
use std::process::{Command, Stdio};
use tempfile::TempDir;

/// Exit code of a daemon and what it printed.
#[derive(Debug)]
pub struct Refusal {
    /// Exit code; `None` where the daemon started, and was killed.
    pub code: Option<i32>,
    /// Lines of standard error.
    pub lines: Vec<String>,
    /// Path of the settings file.
    pub file: PathBuf,
    _folder: TempDir,
}

impl Refusal {
    /// Runs the daemon `name` with a settings file of this text until it ends or logs.
    ///
    /// # Panics
    ///
    /// Panics where the daemon can't be run.
    #[must_use]
    pub fn of(name: &str, settings: &str) -> Self {
        let folder = tempfile::tempdir().expect("a folder");
        let file = folder.path().join("node.ini");
        std::fs::write(&file, settings).expect("the settings can be written");
        let mut child = Command::new(program(name))
            .arg("--settings")
            .arg(&file)
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(Stdio::piped())
            .spawn()
            .unwrap_or_else(|error| panic!("can't start {name}: {error}"));
        let errors = BufReader::new(child.stderr.take().expect("a pipe"));
        let mut lines = Vec::new();
        for line in errors.lines() {
            lines.push(line.expect("a line"));
            if lines.last().is_some_and(|line| line.starts_with('{')) {
                // Only a daemon that starts logs, and it would not end by itself.
                child.kill().expect("the daemon can be killed");
            }
        }
        let status = child.wait().expect("the daemon can be waited for");
        Self {
            code: status.code(),
            lines,
            file,
            _folder: folder,
        }
    }

    /// Checks that the daemon ended with code 5 and printed exactly these problems, one on each
    /// line: each line names the settings file and holds these words, and the count comes last.
    ///
    /// # Panics
    ///
    /// Panics where it did not.
    pub fn check(&self, problems: &[&[&str]]) {
        assert_eq!(self.code, Some(5), "{:#?}", self.lines);
        let (last, lines) = self.lines.split_last().expect("a count");
        assert_eq!(lines.len(), problems.len(), "{:#?}", self.lines);
        let file = format!("{}: ", self.file.display());
        for (line, words) in lines.iter().zip(problems) {
            assert!(line.starts_with(&file), "{line}");
            for word in *words {
                assert!(line.contains(word), "no {word} in: {line}");
            }
        }
        let plural = if problems.len() == 1 { "" } else { "s" };
        assert_eq!(*last, format!("{} problem{plural}", problems.len()));
    }
}

/// Two addresses of which some are in use until this is dropped.
#[derive(Debug)]
pub struct Ports {
    /// The addresses, as `ip:port`.
    pub addresses: [String; 2],
    _listeners: Vec<TcpListener>,
}

impl Ports {
    /// Returns two addresses; `used` says which are in use.
    ///
    /// # Panics
    ///
    /// Panics where no port can be opened.
    #[must_use]
    pub fn with_use(used: [bool; 2]) -> Self {
        let host = host();
        let listeners = [host, host].map(|host| TcpListener::bind((host, 0)).expect("a port"));
        let addresses = [0, 1].map(|at: usize| {
            let address = listeners[at].local_addr().expect("bound");
            address.to_string()
        });
        let in_use = listeners.into_iter().zip(used).filter(|(_, used)| *used);
        Self {
            addresses,
            _listeners: in_use.map(|(listener, _)| listener).collect(),
        }
    }
}

/// Runs the daemon `name` with these arguments, and checks that it ends with `code` and that its
/// standard error begins with `text`.
///
/// # Panics
///
/// Panics where it does not.
pub fn check_arguments(name: &str, arguments: &[&str], code: i32, text: &str) {
    let run = Command::new(program(name))
        .args(arguments)
        .output()
        .unwrap_or_else(|error| panic!("can't start {name}: {error}"));
    let printed = String::from_utf8_lossy(&run.stderr);
    assert_eq!(run.status.code(), Some(code), "{printed}");
    assert!(printed.starts_with(text), "{printed}");
}

/// Checks what the daemon `name` says of arguments that it can't use: a settings file that is
/// missing, also if it is only to be checked, and an option that does not exist.
///
/// # Panics
///
/// Panics where it says something else.
pub fn check_bad_arguments(name: &str) {
    let missing = "no-such-file.ini";
    let named = format!("{missing}: ");
    check_arguments(name, &["--settings", missing], 5, &named);
    check_arguments(name, &["--settings", missing, "--check"], 5, &named);
    check_arguments(name, &["--colour"], 2, "invalid option '--colour'");
}
