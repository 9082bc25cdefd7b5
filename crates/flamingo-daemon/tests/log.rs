//! Logs are JSON lines, and an output that fails does not stop the process.

use slog::{Level, info};
use std::io::{self, Write};
use std::sync::{Arc, Mutex};

/// An output that keeps what is written to it.
#[derive(Clone, Default)]
struct Captured(Arc<Mutex<Vec<u8>>>);

impl Write for Captured {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        self.0.lock().unwrap().extend_from_slice(bytes);
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// An output that fails as on a full disk.
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
    let captured = Captured::default();
    let log = flamingo_daemon::log::with_output("entry-1", Level::Info, captured.clone());
    info!(log, "routed"; "request" => "req-1", "odd" => "a\"b\nc");
    drop(log); // waits until the queue is written
    let text = String::from_utf8(captured.0.lock().unwrap().clone()).unwrap();
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
