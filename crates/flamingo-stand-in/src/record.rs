//! A file of what truly ran, which outlives a kill of the fake.

use serde::Serialize;
use std::fs::File;
use std::io::{self, Write};
use std::path::Path;
use std::sync::Mutex;

/// Appends one JSON line for each call, written before the call is answered.
#[derive(Debug, Default)]
pub struct Record {
    file: Option<Mutex<File>>,
}

/// One line.
#[derive(Debug, Serialize)]
pub struct Line<'a> {
    /// Value of `x-request-id`, or empty.
    pub request: &'a str,
    /// Value of `idempotency-key`, or empty.
    pub key: &'a str,
    /// Method.
    pub method: &'a str,
    /// Path.
    pub path: &'a str,
    /// Body, as text.
    pub body: &'a str,
}

impl Record {
    /// Opens the file at `path`, if one is wanted, to append to it.
    ///
    /// # Errors
    ///
    /// Returns an error where the file can't be opened.
    pub fn open(path: Option<&Path>) -> io::Result<Self> {
        let open = |path| File::options().create(true).append(true).open(path);
        let file = path.map(open).transpose()?.map(Mutex::new);
        Ok(Self { file })
    }

    /// Writes one line.
    ///
    /// # Panics
    ///
    /// Panics where the line can't be written: a record with gaps proves nothing.
    pub fn write(&self, line: &Line<'_>) {
        let Some(file) = &self.file else {
            return;
        };
        let mut text = serde_json::to_string(line).expect("plain text can be written as JSON");
        text.push('\n');
        let mut file = file.lock().expect("no panic while the file is held");
        file.write_all(text.as_bytes())
            .expect("the record can be written");
    }
}
