//! The thread that writes records to disk and syncs them, with group commit.
//!
//! Records that arrive during a sync are written and synced together by the next one.

use flamingo_log::disk::Error;
use flamingo_log::{Disk, Record};
use std::io;
use std::sync::mpsc::{self, Receiver, Sender};
use std::thread;

/// An event that the thread reports.
#[derive(Debug)]
pub enum Event {
    /// The number of records that are durable, counted from the start of the thread.
    Synced(u64),
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
        while let Ok(more) = incoming.try_recv() {
            batch.extend(more);
        }
        match disk.write(&batch) {
            Ok(()) => {
                count += batch.len() as u64;
                report(Event::Synced(count));
            }
            Err(error) => {
                report(Event::Failed(error));
                return;
            }
        }
    }
}
