//! Keeps the evidence against what crashes targets, and what is quarantined, where it outlives the
//! instance that gets the reports: on disk, and at the other control instances.
//!
//! The instance that entries report to pushes its evidence to the others whenever it has changed, and
//! every instance to a new follower. Each writes what it has to a file of its own. Ages and remaining
//! times stand still while a process is down, since the clock of the machine may have been set
//! meanwhile.

mod file;

pub use file::File;

use crate::registry::Registry;
use crate::watch::lock_registry;
use flamingo_daemon::clock;
use flamingo_wire::control::Push;
use flamingo_wire::prompt::Dossier;
use slog::{Logger, error, info};
use std::io;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// Time between two looks at whether the evidence has changed.
const KEEP_INTERVAL: Duration = Duration::from_millis(250);
/// Time after which unchanged evidence is written again, with its present ages.
const REFRESH_INTERVAL: Duration = Duration::from_secs(30);

/// Keeps the evidence of a registry.
#[derive(Debug)]
pub struct Keeper {
    registry: Arc<Mutex<Registry>>,
    file: Arc<File>,
    /// Revision that was last given to the other instances.
    pushed: u64,
    /// Revision that the file has.
    written: u64,
    written_at: Instant,
    /// Whether the last write failed; only the first of several failures is logged.
    fails: bool,
    log: Logger,
}

impl Keeper {
    /// Returns a keeper, after it has restored what the file holds to the registry. Begins without it
    /// where it can't be read.
    #[must_use]
    pub fn open(file: File, registry: Arc<Mutex<Registry>>, log: Logger) -> Self {
        let now = clock::now();
        match file.read() {
            Ok(dossier) => {
                info!(log, "evidence restored"; "crashes" => dossier.suspicions.len(),
                    "quarantines" => dossier.quarantines.len());
                lock_registry(&registry).restore_evidence(now, &dossier);
            }
            Err(error) => error!(log, "cannot read the evidence on disk"; "error" => %error),
        }
        let revision = lock_registry(&registry).evidence_revision();
        Self {
            registry,
            file: Arc::new(file),
            pushed: revision,
            written: revision,
            written_at: now,
            fails: false,
            log,
        }
    }

    /// Pushes and writes the evidence whenever it has changed. Never returns.
    pub async fn run(mut self) {
        loop {
            actix_rt::time::sleep(KEEP_INTERVAL).await;
            let now = clock::now();
            self.push(now);
            self.write(now).await;
        }
    }

    /// Pushes the evidence to the other instances if it has changed by reports to this one.
    fn push(&mut self, now: Instant) {
        let mut registry = lock_registry(&self.registry);
        let revision = registry.evidence_revision();
        if revision == self.pushed {
            return;
        }
        self.pushed = revision;
        if registry.gets_evidence(now) {
            let dossier = registry.dossier(now);
            registry.publish(Push::Dossier(dossier));
        }
    }

    /// Writes the evidence to the file if it has changed, or has aged. A failed write is tried again.
    async fn write(&mut self, now: Instant) {
        let Some((revision, dossier)) = self.due(now) else {
            return;
        };
        let file = Arc::clone(&self.file);
        let written = tokio::task::spawn_blocking(move || file.write(&dossier)).await;
        match written.unwrap_or_else(|error| Err(io::Error::other(error))) {
            Ok(()) => {
                self.written = revision;
                self.written_at = now;
                self.fails = false;
            }
            Err(error) => self.record_failure(&error),
        }
    }

    /// Returns what is to be written, with its revision.
    fn due(&self, now: Instant) -> Option<(u64, Dossier)> {
        let registry = lock_registry(&self.registry);
        let revision = registry.evidence_revision();
        let has_changed = revision != self.written;
        let has_aged = registry.has_evidence() && now >= self.written_at + REFRESH_INTERVAL;
        (has_changed || has_aged).then(|| (revision, registry.dossier(now)))
    }

    fn record_failure(&mut self, error: &io::Error) {
        if !self.fails {
            error!(self.log, "cannot keep the evidence on disk"; "error" => %error);
        }
        self.fails = true;
    }
}
