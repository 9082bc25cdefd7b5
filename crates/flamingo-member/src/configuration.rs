//! The configuration that this process has in force, and where to get a newer.
//!
//! The version only grows. A process that starts waits a little before it puts
//! its first one in force, and longer where others are known to hold a newer one
//! than it was given: it may have had that in force before it was restarted.
//! A newer one that another member holds is fetched
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

/// Time after the start in which the versions of others are heard.
pub const SETTLE: Duration = Duration::from_millis(500);
/// Time after the start until which a newer version that others are known to hold
/// is waited for.
const HOLD: Duration = Duration::from_secs(5);

/// The configuration that one process holds.
#[derive(Debug)]
pub struct Source {
    held: Option<Box<Snapshot>>,
    /// The newest that was given before the first was put in force.
    first: Option<Box<Snapshot>>,
    /// The newest version that another process is known to have held.
    known: id::Version,
    /// When the first one may be put in force.
    settle: Instant,
    /// When the first one is put in force though a newer one is known.
    hold: Instant,
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
            first: None,
            known: 0,
            settle: now + SETTLE,
            hold: now + HOLD,
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
        self.known = self.known.max(version);
        if version > self.given() && self.due.is_none() {
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

    /// Returns the newest version that was given, in force or not yet.
    #[must_use]
    pub fn given(&self) -> id::Version {
        let first = self.first.as_ref().map_or(0, |first| first.version);
        first.max(self.version())
    }

    /// Takes a snapshot; returns it where it is to be put in force now.
    pub fn take(&mut self, now: Instant, snapshot: &Snapshot) -> Option<Box<Snapshot>> {
        if snapshot.version <= self.given() {
            return None;
        }
        self.due = None;
        if self.held.is_none() {
            self.first = Some(Box::new(snapshot.clone()));
            return self.release(now);
        }
        self.held = Some(Box::new(snapshot.clone()));
        self.held.clone()
    }

    /// Returns the first snapshot once it is to be put in force.
    pub fn release(&mut self, now: Instant) -> Option<Box<Snapshot>> {
        let first = self.first.as_ref()?;
        let newest = first.version >= self.known;
        if now < self.settle || (!newest && now < self.hold) {
            return None;
        }
        self.held = self.first.take();
        self.held.clone()
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
