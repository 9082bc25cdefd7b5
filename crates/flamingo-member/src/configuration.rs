//! The configuration that this process has in force, and when to fetch a newer one.
//!
//! The version in force never decreases. After its start, a process waits for
//! [`START_GRACE`] before it puts its first configuration in force, and longer if
//! other processes are known to have a newer version than it received: it may have
//! had that version in force before it was restarted. If another member has a newer
//! version, the process waits a short time for the control instances to deliver it
//! and then fetches it from that member, so that a zone without a control instance
//! converges on the newest version that any of its entries has.

use flamingo_wire::config::Snapshot;
use flamingo_wire::id;
use std::time::{Duration, Instant};

/// Time for the control instances to deliver a version before it is fetched from a member.
const DELIVERY_GRACE: Duration = Duration::from_millis(200);
/// Time between two requests for a newer version.
const FETCH_INTERVAL: Duration = Duration::from_millis(300);
/// Average time between two snapshots that this process serves to others.
const SERVE_INTERVAL: Duration = Duration::from_millis(100);
/// Snapshots that may be served in a burst after an idle time.
const SERVE_BURST: u32 = 4;

/// Time after the start in which other processes can announce their versions before the
/// first configuration is put in force.
pub const START_GRACE: Duration = Duration::from_millis(500);
/// Time after the start until which the process waits for a newer version that others are
/// known to have, before it puts an older one in force.
const START_TIMEOUT: Duration = Duration::from_secs(5);

/// Configuration of one process: in force, received, and known to exist elsewhere.
#[derive(Debug)]
pub struct Configuration {
    in_force: Option<Box<Snapshot>>,
    /// Newest configuration received while none is in force yet.
    pending: Option<Box<Snapshot>>,
    /// Newest version that any other process is known to have had.
    newest_known: id::Version,
    /// Time from which the first configuration may be put in force.
    earliest_start: Instant,
    /// Time from which the first configuration is put in force even if a newer one is known.
    latest_start: Instant,
    /// Time of the next request for a newer version; `None` if no newer one is known.
    fetch_at: Option<Instant>,
    /// Virtual time of the rate limit: each served snapshot advances it by [`SERVE_INTERVAL`].
    serve_at: Instant,
}

impl Configuration {
    /// Creates the state of a process that starts at `now` without a configuration.
    #[must_use]
    pub fn new(now: Instant) -> Self {
        Self {
            in_force: None,
            pending: None,
            newest_known: 0,
            earliest_start: now + START_GRACE,
            latest_start: now + START_TIMEOUT,
            fetch_at: None,
            serve_at: now,
        }
    }

    /// Returns the version in force; 0 if there is none.
    #[must_use]
    pub fn version(&self) -> id::Version {
        self.in_force
            .as_ref()
            .map_or(0, |in_force| in_force.version)
    }

    /// Records that another process has `version`, and schedules a fetch if it is newer.
    pub fn learn_version(&mut self, now: Instant, version: id::Version) {
        self.newest_known = self.newest_known.max(version);
        if version > self.newest_received() && self.fetch_at.is_none() {
            self.fetch_at = Some(now + DELIVERY_GRACE);
        }
    }

    /// Returns whether to request a newer version now; if so, schedules the next request.
    pub fn should_fetch(&mut self, now: Instant) -> bool {
        let is_due = self.fetch_at.is_some_and(|fetch_at| fetch_at <= now);
        if is_due {
            self.fetch_at = Some(now + FETCH_INTERVAL);
        }
        is_due
    }

    /// Stops requesting a newer version, since no reachable process has one.
    pub fn stop_fetching(&mut self) {
        self.fetch_at = None;
    }

    /// Returns the newest version that this process received, in force or pending.
    #[must_use]
    pub fn newest_received(&self) -> id::Version {
        let pending = self.pending.as_ref().map_or(0, |pending| pending.version);
        pending.max(self.version())
    }

    /// Accepts a received snapshot if it is newer; returns it if it must be put in force now.
    pub fn receive(&mut self, now: Instant, snapshot: &Snapshot) -> Option<Box<Snapshot>> {
        if snapshot.version <= self.newest_received() {
            return None;
        }
        self.fetch_at = None;
        if self.in_force.is_none() {
            self.pending = Some(Box::new(snapshot.clone()));
            return self.release_pending(now);
        }
        self.in_force = Some(Box::new(snapshot.clone()));
        self.in_force.clone()
    }

    /// Returns the pending first snapshot once it must be put in force.
    pub fn release_pending(&mut self, now: Instant) -> Option<Box<Snapshot>> {
        let pending = self.pending.as_ref()?;
        let is_newest = pending.version >= self.newest_known;
        if now < self.earliest_start || (!is_newest && now < self.latest_start) {
            return None;
        }
        self.in_force = self.pending.take();
        self.in_force.clone()
    }

    /// Returns the snapshot in force for a process that has `version`; `None` if it is not
    /// newer, or if the rate limit that bounds the bytes spent on snapshots is reached.
    pub fn serve(&mut self, now: Instant, version: id::Version) -> Option<Box<Snapshot>> {
        if version >= self.version() || self.serve_at > now + SERVE_INTERVAL * SERVE_BURST {
            return None;
        }
        self.serve_at = self.serve_at.max(now) + SERVE_INTERVAL;
        self.in_force.clone()
    }
}
