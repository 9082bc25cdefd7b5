//! State that all HTTP workers of an entry share: the configuration in force, and whether the
//! entry is stopping.

use flamingo_wire::config::Snapshot;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, PoisonError, RwLock};

/// The configuration in force, and whether the entry is stopping.
#[derive(Debug, Default)]
pub struct WorkerState {
    /// The configuration in force.
    config: RwLock<Arc<Snapshot>>,
    stopping: AtomicBool,
}

impl WorkerState {
    /// Replaces the configuration if `snapshot` has a higher version.
    pub fn install(&self, snapshot: &Snapshot) {
        let mut config = self.config.write().unwrap_or_else(PoisonError::into_inner);
        if snapshot.version > config.version {
            *config = Arc::new(snapshot.clone());
        }
    }

    /// Returns the configuration in force. Its version is 0 until the first one is installed.
    #[must_use]
    pub fn config(&self) -> Arc<Snapshot> {
        let config = self.config.read().unwrap_or_else(PoisonError::into_inner);
        Arc::clone(&config)
    }

    /// Marks the entry as stopping, for good.
    pub fn set_stopping(&self) {
        self.stopping.store(true, Ordering::Relaxed);
    }

    /// Returns whether the entry is stopping.
    #[must_use]
    pub fn is_stopping(&self) -> bool {
        self.stopping.load(Ordering::Relaxed)
    }
}
