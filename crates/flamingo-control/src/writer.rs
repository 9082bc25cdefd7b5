//! The thread that writes and syncs, with group commit.
//!
//! Records that arrive while a sync runs are written together by the next one.

use flamingo_log::disk::Error;
use flamingo_log::{Disk, Record};
use std::io;
use std::sync::mpsc::{self, Receiver, Sender};
use std::thread;

/// What the thread reports.
#[derive(Debug)]
pub enum Event {
    /// So many records are durable since the start.
    Synced(u64),
    /// The disk failed.
    Failed(Error),
}

/// Hands records to the thread; the thread ends with it.
#[derive(Debug)]
pub struct Writer {
    records: Sender<Vec<Record>>,
}

impl Writer {
    /// Starts the thread.
    ///
    /// # Errors
    ///
    /// Returns an error where no thread can be started.
    pub fn start(disk: Box<dyn Disk>, report: impl Fn(Event) + Send + 'static) -> io::Result<Self> {
        let (records, incoming) = mpsc::channel();
        thread::Builder::new()
            .name("log-writer".to_owned())
            .spawn(move || run(disk, &incoming, report))?;
        Ok(Self { records })
    }

    /// Hands on records, in order.
    pub fn write(&self, records: Vec<Record>) {
        // The thread ends only after it has reported that the disk failed.
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
