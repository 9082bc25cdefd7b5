//! A file that records the executed requests and survives a kill of the fake.

use serde::Serialize;
use std::fs::File;
use std::io::{self, Write};
use std::path::Path;
use std::sync::Mutex;

/// Appends a JSON line for each request, before the request is answered.
#[derive(Debug, Default)]
pub struct Record {
    file: Option<Mutex<File>>,
}

/// One recorded request.
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
    /// Opens the file at `path` for appending; records nothing without a path.
    ///
    /// # Errors
    ///
    /// Returns an error where the file can't be opened.
    pub fn open(path: Option<&Path>) -> io::Result<Self> {
        let open = |path| File::options().create(true).append(true).open(path);
        let file = path.map(open).transpose()?.map(Mutex::new);
        Ok(Self { file })
    }

    /// Records one request.
    ///
    /// # Panics
    ///
    /// Panics if the line can't be written, because an incomplete record proves nothing.
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
