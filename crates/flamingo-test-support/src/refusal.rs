//! What a daemon says when it will not start.

use crate::process::program;
use std::io::{BufRead, BufReader};
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
