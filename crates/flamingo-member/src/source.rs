//! The configuration that this process has in force, and where to get a newer.
//!
//! The version only grows. A newer one that another member holds is fetched
//! from it, after a short wait for the control instances to deliver it first;
//! so a zone that is cut off converges on the newest that it holds.

use flamingo_wire::config::Snapshot;
use flamingo_wire::id;
use std::time::{Duration, Instant};

/// Time that the control instances have to deliver a version first.
const GRACE: Duration = Duration::from_millis(200);
/// Time between two questions for a newer version.
const RETRY: Duration = Duration::from_millis(300);
/// Time between two snapshots that this process serves, on average.
const SERVE: Duration = Duration::from_millis(100);
/// Snapshots that may be served at once after a rest.
const BURST: u32 = 4;

/// The configuration that one process holds.
#[derive(Debug)]
pub struct Source {
    held: Option<Box<Snapshot>>,
    /// When to ask for a newer version, if one is known to be.
    due: Option<Instant>,
    /// From when on the next snapshot may be served.
    serve: Instant,
}

impl Source {
    /// Builds a source that holds nothing.
    #[must_use]
    pub fn new(now: Instant) -> Self {
        Self {
            held: None,
            due: None,
            serve: now,
        }
    }

    /// Returns the version in force; 0 where there is none.
    #[must_use]
    pub fn version(&self) -> id::Version {
        self.held.as_ref().map_or(0, |held| held.version)
    }

    /// Notes that another process holds `version`.
    pub fn learn(&mut self, now: Instant, version: id::Version) {
        if version > self.version() && self.due.is_none() {
            self.due = Some(now + GRACE);
        }
    }

    /// Returns whether to ask for a newer version now.
    pub fn ask(&mut self, now: Instant) -> bool {
        let due = self.due.is_some_and(|due| due <= now);
        if due {
            self.due = Some(now + RETRY);
        }
        due
    }

    /// Ends the search for a newer version: nobody is known to hold one.
    pub fn rest(&mut self) {
        self.due = None;
    }

    /// Takes a snapshot; returns whether it is newer and now in force.
    pub fn take(&mut self, snapshot: &Snapshot) -> bool {
        if snapshot.version <= self.version() {
            return false;
        }
        self.held = Some(Box::new(snapshot.clone()));
        self.due = None;
        true
    }

    /// Returns the snapshot for one who holds `version`, within the rate that
    /// bounds the bytes spent on it.
    pub fn serve(&mut self, now: Instant, version: id::Version) -> Option<Box<Snapshot>> {
        if version >= self.version() || self.serve > now + SERVE * BURST {
            return None;
        }
        self.serve = self.serve.max(now) + SERVE;
        self.held.clone()
    }
}
