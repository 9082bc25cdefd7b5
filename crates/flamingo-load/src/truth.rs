//! The requests that the targets executed, from the records that they wrote.

use crate::drive::{End, Sent};
use crate::error::Error;
use crate::plan::Kind;
use flamingo_wire::Verdict;
use serde::{Deserialize, Serialize};
use std::collections::HashMap;
use std::path::{Path, PathBuf};

/// Number of times that each word reached the handler of a target.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Record {
    runs: HashMap<String, u32>,
}

/// Violations found in a run. All must be 0, except `contradicted`.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Truth {
    /// Requests checked.
    pub checked: u32,
    /// Complete responses to requests that never ran.
    pub lost: u32,
    /// Non-idempotent calls that ran more than once.
    pub doubled: u32,
    /// Complete responses with a missing, repeated or foreign part.
    pub foreign: u32,
    /// Requests that ran although every response said that they did not.
    pub falsely_not_run: u32,
    /// Resends that were rejected as "not run" although an earlier attempt had run.
    pub contradicted: u32,
    /// Words of the first requests with a violation.
    pub examples: Vec<String>,
}

impl Truth {
    /// Returns the number of violations.
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
    /// Returns an error if a file can't be read.
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

    /// Records one execution of `word`.
    pub fn add(&mut self, word: &str) {
        *self.runs.entry(word.to_owned()).or_default() += 1;
    }

    /// Checks the responses against the record.
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
        // A GET has its word in the query, which the record omits.
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

/// Returns the word in the text of a request: `q`, a number, `n`, a number, `z`.
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
