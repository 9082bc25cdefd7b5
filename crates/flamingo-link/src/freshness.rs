//! Whether the routes in force at an entry are the newest ones.

use flamingo_wire::id;
use std::time::{Duration, Instant};

/// What an entry knows of the newest routes. All times are of one clock, which the caller chooses.
#[derive(Debug, Default)]
pub struct Freshness {
    /// Version of the routes in force; 0 before the first.
    in_force: id::Version,
    /// Version of the newest routes that any control instance knows to be committed.
    newest: id::Version,
    /// Since when newer routes than those in force are known.
    outdated_since: Option<Instant>,
}

impl Freshness {
    /// Records a version that a control instance knows to be committed. Returns whether it is newer than any
    /// known before.
    ///
    /// ```
    /// use flamingo_link::freshness::Freshness;
    /// use std::time::{Duration, Instant};
    ///
    /// let (mut freshness, now) = (Freshness::default(), Instant::now());
    /// freshness.record_in_force(4, now);
    /// assert!(freshness.record_committed(9, now));
    /// let later = now + Duration::from_secs(1);
    /// assert_eq!(freshness.outdated_for(later), Some(Duration::from_secs(1)));
    /// freshness.record_in_force(9, later);
    /// assert_eq!(freshness.outdated_for(later), None);
    /// ```
    pub fn record_committed(&mut self, version: id::Version, now: Instant) -> bool {
        if version <= self.newest {
            return false;
        }
        self.newest = version;
        self.update(now);
        true
    }

    /// Records the version of the routes that are in force from now on.
    pub fn record_in_force(&mut self, version: id::Version, now: Instant) {
        self.in_force = version;
        self.newest = self.newest.max(version);
        self.update(now);
    }

    fn update(&mut self, now: Instant) {
        self.outdated_since = if self.in_force >= self.newest {
            None
        } else {
            self.outdated_since.or(Some(now))
        };
    }

    /// Returns the version of the newest routes that are known to be committed; 0 before the first.
    #[must_use]
    pub fn newest(&self) -> id::Version {
        self.newest
    }

    /// Returns for how long newer routes than those in force have been known; `None` if there are none.
    #[must_use]
    pub fn outdated_for(&self, now: Instant) -> Option<Duration> {
        let since = self.outdated_since?;
        Some(now.saturating_duration_since(since))
    }
}
