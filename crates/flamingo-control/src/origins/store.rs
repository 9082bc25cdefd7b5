//! The reported streams of one control instance, and the thread that writes them to disk.

use super::{GenerationId, Journal, Opened, Origins};
use flamingo_wire::stream::{Begun, Key, Knowledge};
use slog::{Logger, error, info};
use std::io;
use std::path::{Path, PathBuf};
use std::sync::mpsc::{self, Receiver, Sender};
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::{Duration, Instant};
use tokio::sync::oneshot;

/// Time between two syncs, so that the replicated log has the disk for most of the time.
const SYNC_INTERVAL: Duration = Duration::from_millis(50);

/// Reports to write, and whom to tell that they are durable.
#[derive(Debug)]
struct Write {
    generation: GenerationId,
    reports: Vec<Begun>,
    done: oneshot::Sender<()>,
}

/// The streams that were reported to this control instance.
#[derive(Debug)]
pub struct Store {
    origins: Mutex<Origins>,
    writes: Sender<Write>,
}

impl Store {
    /// Reads the streams that the folder holds, and starts the thread that writes further ones. Where
    /// the disk fails, begins without them.
    ///
    /// # Errors
    ///
    /// Returns an error where the thread can't be started.
    pub fn open(folder: &Path, log: Logger) -> io::Result<Self> {
        let mut writer = Writer {
            folder: folder.to_owned(),
            journal: None,
            fails: false,
            log,
        };
        let reports = writer.open();
        let streams: usize = reports.iter().map(|begun| begun.streams.len()).sum();
        info!(writer.log, "stream origins restored"; "streams" => streams);
        let (queue, incoming) = mpsc::channel();
        thread::Builder::new()
            .name("origin-writer".to_owned())
            .spawn(move || writer.run(&incoming))?;
        Ok(Self {
            origins: Mutex::new(Origins::new(Instant::now(), reports)),
            writes: queue,
        })
    }

    /// Records streams that have begun at an entry, and returns once they are on disk. Where the disk
    /// fails they are kept in memory alone: entries would send a refused report again and again.
    pub async fn record(&self, reports: Vec<Begun>) {
        let generation = self.lock().record(Instant::now(), reports.clone());
        let (done, durable) = oneshot::channel();
        let write = Write {
            generation,
            reports,
            done,
        };
        // The thread ends only with this store.
        if self.writes.send(write).is_ok() {
            let _ = durable.await;
        }
    }

    /// Returns where a stream began, as far as this instance knows.
    pub fn find(&self, stream: Key) -> Knowledge {
        self.lock().find(Instant::now(), stream)
    }

    /// Locks the origins. A poisoned lock is used all the same, because a panic of another holder
    /// leaves them consistent.
    fn lock(&self) -> MutexGuard<'_, Origins> {
        self.origins.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Writes reports to the journal, in a thread of its own.
#[derive(Debug)]
struct Writer {
    folder: PathBuf,
    /// `None` while it can't be opened.
    journal: Option<Journal>,
    /// Whether the last write failed; only the first of several failures is logged.
    fails: bool,
    log: Logger,
}

impl Writer {
    /// Opens the journal, and returns the reports that it held.
    fn open(&mut self) -> Vec<Begun> {
        match Journal::open(&self.folder) {
            Ok(Opened { journal, reports }) => {
                self.journal = Some(journal);
                reports
            }
            Err(error) => {
                self.record_failure(&error);
                Vec::new()
            }
        }
    }

    /// Writes reports until the store is dropped. What arrives during a sync is written together by the
    /// next one.
    fn run(mut self, incoming: &Receiver<Write>) {
        while let Ok(first) = incoming.recv() {
            let mut batch = vec![first];
            batch.extend(incoming.try_iter());
            self.write(&batch);
            for write in batch {
                // The entry that reported may have stopped waiting.
                let _ = write.done.send(());
            }
            thread::sleep(SYNC_INTERVAL);
        }
    }

    fn write(&mut self, batch: &[Write]) {
        if self.journal.is_none() {
            // What the files hold was lost to this process when it started.
            self.open();
        }
        let Some(journal) = &mut self.journal else {
            return;
        };
        let newest = batch.iter().map(|write| write.generation).max();
        let reports = batch.iter().flat_map(|write| &write.reports);
        match journal.append(newest.unwrap_or_default(), reports) {
            Ok(()) => self.fails = false,
            Err(error) => self.record_failure(&error),
        }
    }

    fn record_failure(&mut self, error: &io::Error) {
        if !self.fails {
            error!(self.log, "cannot keep stream origins on disk"; "error" => %error);
        }
        self.fails = true;
    }
}
