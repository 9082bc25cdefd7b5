//! What the targets truly ran, from the records that they wrote.

use crate::drive::{End, Sent};
use crate::error::Error;
use crate::plan::Kind;
use flamingo_wire::Verdict;
use serde::{Deserialize, Serialize};
use std::collections::HashMap;
use std::path::{Path, PathBuf};

/// How often each word reached a target's handler.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Record {
    runs: HashMap<String, u32>,
}

/// Promises that the run broke; all must be 0, but for what `contradicted` says.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Truth {
    /// Requests checked.
    pub checked: u32,
    /// Answered as whole, and never ran.
    pub lost: u32,
    /// Non-idempotent calls that ran more than once.
    pub doubled: u32,
    /// Whole answers with a missing, repeated or foreign part.
    pub foreign: u32,
    /// Every answer said that it did not run, and it ran.
    pub falsely_not_run: u32,
    /// A resend was told "not run" after its call had run at an earlier send.
    pub contradicted: u32,
    /// Words of the first requests that broke a promise.
    pub examples: Vec<String>,
}

impl Truth {
    /// Returns how many promises were broken.
    #[must_use]
    pub fn broken(&self) -> u32 {
        self.lost + self.doubled + self.foreign + self.falsely_not_run
    }
}

impl Record {
    /// Reads the records that targets wrote with `--ran-log`.
    ///
    /// # Errors
    ///
    /// Returns an error where a file can't be read.
    pub fn open(paths: &[PathBuf]) -> Result<Self, Error> {
        let mut record = Self::default();
        for path in paths {
            record.read(path)?;
        }
        Ok(record)
    }

    fn read(&mut self, path: &Path) -> Result<(), Error> {
        let text = std::fs::read_to_string(path)
            .map_err(|error| Error::File(path.to_owned(), error.to_string()))?;
        for line in text.lines() {
            if let Some(word) = word(line) {
                *self.runs.entry(word.to_owned()).or_default() += 1;
            }
        }
        Ok(())
    }

    /// Counts one run of `word`.
    pub fn add(&mut self, word: &str) {
        *self.runs.entry(word.to_owned()).or_default() += 1;
    }

    /// Checks the answers against the record.
    #[must_use]
    pub fn check(&self, sent: &[Sent]) -> Truth {
        let mut truth = Truth::default();
        for one in sent {
            self.check_one(one, &mut truth);
        }
        truth
    }

    fn check_one(&self, sent: &Sent, truth: &mut Truth) {
        let runs = self.runs.get(&sent.item.word).copied().unwrap_or(0);
        let any = |end: End| sent.answers.iter().any(|answer| answer.end == end);
        let not_run = End::Refused(Verdict::NotRun);
        let all_not_run = sent.answers.iter().all(|answer| answer.end == not_run);
        let once = matches!(&sent.item.kind, Kind::Call(call) if call.keyed);
        // A GET carries its word in the query, which the record leaves out.
        let seen = !matches!(&sent.item.kind, Kind::Call(call) if call.method == "GET");
        let lost = seen && any(End::Whole) && runs == 0;
        let doubled = once && runs > 1;
        let foreign = any(End::Foreign);
        let falsely = all_not_run && runs > 0;
        truth.checked += 1;
        truth.lost += u32::from(lost);
        truth.doubled += u32::from(doubled);
        truth.foreign += u32::from(foreign);
        truth.falsely_not_run += u32::from(falsely);
        let mut after = sent
            .answers
            .iter()
            .skip_while(|answer| answer.end == not_run);
        let contradicted = after.any(|answer| answer.end == not_run);
        truth.contradicted += u32::from(runs > 0 && contradicted);
        if (lost || doubled || foreign || falsely) && truth.examples.len() < 5 {
            truth.examples.push(sent.item.word.clone());
        }
    }
}

/// Finds the word of a request: `q`, a number, `n`, a number, `z`.
fn word(line: &str) -> Option<&str> {
    let mut from = 0;
    while let Some(at) = line[from..].find('q') {
        let start = from + at;
        if let Some(length) = length(&line.as_bytes()[start..]) {
            return Some(&line[start..start + length]);
        }
        from = start + 1;
    }
    None
}

fn length(bytes: &[u8]) -> Option<usize> {
    let digits = |from: usize| {
        let count = bytes[from..]
            .iter()
            .take_while(|byte| byte.is_ascii_digit());
        Some(count.count()).filter(|count| *count > 0)
    };
    let middle = 1 + digits(1)?;
    let last = (bytes.get(middle) == Some(&b'n')).then_some(middle + 1)?;
    let end = last + digits(last)?;
    (bytes.get(end) == Some(&b'z')).then_some(end + 1)
}
