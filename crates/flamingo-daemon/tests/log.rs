//! Logs are JSON lines, and a bad output does not stop the process.

use slog::{Level, info};
use std::io::{self, Write};
use std::sync::{Arc, Mutex};

#[derive(Clone, Default)]
struct Kept(Arc<Mutex<Vec<u8>>>);

impl Write for Kept {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        self.0.lock().unwrap().extend_from_slice(bytes);
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// An output whose disk is full.
struct Full;

impl Write for Full {
    fn write(&mut self, _: &[u8]) -> io::Result<usize> {
        Err(io::Error::from(io::ErrorKind::StorageFull))
    }

    fn flush(&mut self) -> io::Result<()> {
        Err(io::Error::from(io::ErrorKind::BrokenPipe))
    }
}

#[test]
fn every_line_is_json_with_the_node() {
    let kept = Kept::default();
    let log = flamingo_daemon::log::with_output("entry-1", Level::Info, kept.clone());
    info!(log, "routed"; "request" => "req-1", "odd" => "a\"b\nc");
    drop(log); // waits for the queue
    let text = String::from_utf8(kept.0.lock().unwrap().clone()).unwrap();
    let line: serde_json::Value = serde_json::from_str(text.trim()).unwrap();
    assert_eq!(line["node"], "entry-1");
    assert_eq!(line["request"], "req-1");
    assert_eq!(line["odd"], "a\"b\nc");
}

#[test]
fn a_full_disk_does_not_stop_the_process() {
    let log = flamingo_daemon::log::with_output("entry-1", Level::Info, Full);
    for n in 0..20_000 {
        info!(log, "routed"; "n" => n);
    }
    drop(log);
}
