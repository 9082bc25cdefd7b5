//! State that all HTTP workers of an entry share: the configuration in force, and whether the
//! entry is stopping.

use flamingo_guard::authentication::{Index, MAX_LEADER_SILENCE};
use flamingo_wire::config::Snapshot;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, PoisonError, RwLock};
use std::time::Instant;

/// A configuration with what is derived from it.
#[derive(Debug, Default)]
pub struct Config {
    /// The configuration.
    pub snapshot: Snapshot,
    /// Its workspaces by their keys; `None` where it has none, and requests need no key.
    pub keys: Option<Index>,
}

/// The configuration in force, and whether the entry is stopping.
#[derive(Debug, Default)]
pub struct WorkerState {
    /// The configuration in force.
    config: RwLock<Arc<Config>>,
    /// Time until which this entry counts as one that gets newer configurations, by a clock that counts
    /// suspensions; `None` before it has heard of a leader.
    hears_leader_until: RwLock<Option<Instant>>,
    stopping: AtomicBool,
}

impl WorkerState {
    /// Replaces the configuration if `snapshot` has a higher version.
    pub fn install(&self, snapshot: &Snapshot) {
        let mut config = self.config.write().unwrap_or_else(PoisonError::into_inner);
        if snapshot.version > config.snapshot.version {
            let workspaces = &snapshot.set.workspaces;
            *config = Arc::new(Config {
                snapshot: snapshot.clone(),
                keys: (!workspaces.is_empty()).then(|| Index::new(workspaces)),
            });
        }
    }

    /// Records that a control instance knew a leader at `now`.
    pub fn record_leader(&self, now: Instant) {
        let until = self.hears_leader_until.write();
        *until.unwrap_or_else(PoisonError::into_inner) = Some(now + MAX_LEADER_SILENCE);
    }

    /// Returns whether a leader was heard of so recently that this entry gets newer configurations.
    ///
    /// ```
    /// use flamingo_entry::worker_state::WorkerState;
    /// use std::time::{Duration, Instant};
    ///
    /// let (state, now) = (WorkerState::default(), Instant::now());
    /// assert!(!state.hears_leader(now));
    /// state.record_leader(now);
    /// assert!(state.hears_leader(now + Duration::from_secs(2)));
    /// assert!(!state.hears_leader(now + Duration::from_secs(3)));
    /// ```
    #[must_use]
    pub fn hears_leader(&self, now: Instant) -> bool {
        let until = self.hears_leader_until.read();
        let until = *until.unwrap_or_else(PoisonError::into_inner);
        until.is_some_and(|until| now <= until)
    }

    /// Returns the configuration in force. Its version is 0 until the first one is installed.
    #[must_use]
    pub fn config(&self) -> Arc<Config> {
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
