//! What every worker of an entry knows: the configuration, and whether it stops.

use flamingo_wire::config::Snapshot;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, PoisonError, RwLock};

/// Shared by all workers of an entry.
#[derive(Debug, Default)]
pub struct Known {
    config: RwLock<Arc<Snapshot>>,
    stopping: AtomicBool,
}

impl Known {
    /// Takes a configuration in force if it is newer.
    pub fn install(&self, snapshot: &Snapshot) {
        let mut config = self.config.write().unwrap_or_else(PoisonError::into_inner);
        if snapshot.version > config.version {
            *config = Arc::new(snapshot.clone());
        }
    }

    /// Returns the configuration in force.
    #[must_use]
    pub fn config(&self) -> Arc<Snapshot> {
        let config = self.config.read().unwrap_or_else(PoisonError::into_inner);
        Arc::clone(&config)
    }

    /// Notes that the entry stops.
    pub fn stop(&self) {
        self.stopping.store(true, Ordering::Relaxed);
    }

    /// Returns whether the entry stops.
    #[must_use]
    pub fn stopping(&self) -> bool {
        self.stopping.load(Ordering::Relaxed)
    }
}
