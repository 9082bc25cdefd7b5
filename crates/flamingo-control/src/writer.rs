//! The thread that writes records to disk and syncs them, with group commit.
//!
//! Records that arrive during a sync are written and synced together by the next one.

use flamingo_log::disk::Error;
use flamingo_log::{Disk, Record};
use std::io;
use std::sync::mpsc::{self, Receiver, RecvTimeoutError, Sender};
use std::thread;
use std::time::{Duration, Instant};

/// Time between two attempts to write to a disk that is full.
const FULL_RETRY_INTERVAL: Duration = Duration::from_millis(100);

/// An event that the thread reports.
#[derive(Debug)]
pub enum Event {
    /// The number of records that are durable, counted from the start of the thread.
    Synced(u64),
    /// The disk has no room for what is to be written, which is tried again until there is. Reported
    /// once for each such time.
    Full(Error),
    /// A write or sync failed; the thread has ended.
    Failed(Error),
}

/// Sends records to the thread; dropping the writer ends the thread.
#[derive(Debug)]
pub struct Writer {
    records: Sender<Vec<Record>>,
}

impl Writer {
    /// Starts the thread, which calls `report` for each event.
    ///
    /// # Errors
    ///
    /// Returns an error where the thread can't be started.
    pub fn start(disk: Box<dyn Disk>, report: impl Fn(Event) + Send + 'static) -> io::Result<Self> {
        let (records, incoming) = mpsc::channel();
        thread::Builder::new()
            .name("log-writer".to_owned())
            .spawn(move || run(disk, &incoming, report))?;
        Ok(Self { records })
    }

    /// Queues records to be written in order.
    pub fn write(&self, records: Vec<Record>) {
        // Sending fails only after the thread has ended, which it has reported as a failed disk.
        let _ = self.records.send(records);
    }
}

fn run(mut disk: Box<dyn Disk>, incoming: &Receiver<Vec<Record>>, report: impl Fn(Event)) {
    let mut count = 0;
    while let Ok(mut batch) = incoming.recv() {
        batch.extend(incoming.try_iter().flatten());
        let mut is_full = false;
        loop {
            match disk.write(&batch) {
                Ok(()) => break,
                Err(error @ Error::Full(..)) => {
                    if !is_full {
                        report(Event::Full(error));
                    }
                    is_full = true;
                }
                Err(error) => {
                    report(Event::Failed(error));
                    return;
                }
            }
            if !wait_for_room(incoming, &mut batch) {
                return;
            }
        }
        count += batch.len() as u64;
        report(Event::Synced(count));
    }
}

/// Waits before the next attempt to write a batch, and adds the records that arrive meanwhile. Returns
/// `false` once the writer was dropped.
fn wait_for_room(incoming: &Receiver<Vec<Record>>, batch: &mut Vec<Record>) -> bool {
    let next = Instant::now() + FULL_RETRY_INTERVAL;
    loop {
        let left = next.saturating_duration_since(Instant::now());
        match incoming.recv_timeout(left) {
            Ok(more) => batch.extend(more),
            Err(RecvTimeoutError::Timeout) => return true,
            Err(RecvTimeoutError::Disconnected) => return false,
        }
    }
}
