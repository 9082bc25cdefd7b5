//! What is remembered of a target's failures.
//!
//! After a failure the target is left alone for a time that doubles; then one
//! ordinary request is the probe. A success clears a failure only if its attempt
//! began after that failure (the rule is that of the `SubLane` paper).

use std::time::{Duration, Instant};

/// The failure memory of one target.
#[derive(Clone, Debug, Default)]
pub struct Health {
    failed: Option<Instant>,
    failures: u32,
    opens: Option<Instant>,
    probe: Option<u64>,
}

impl Health {
    /// Returns whether a request may be sent now.
    #[must_use]
    pub fn open(&self, now: Instant) -> bool {
        match self.opens {
            Some(opens) => now >= opens && self.probe.is_none(),
            None => true,
        }
    }

    /// Notes that `attempt` was sent; after a failure it is the probe.
    pub fn sent(&mut self, attempt: u64) {
        if self.opens.is_some() {
            self.probe = Some(attempt);
        }
    }

    /// Notes that the attempt that began at `began` succeeded.
    pub fn succeeded(&mut self, attempt: u64, began: Instant) {
        if self.probe == Some(attempt) {
            self.probe = None;
        }
        if self.failed.is_some_and(|failed| began > failed) {
            *self = Self::default();
        }
    }

    /// Notes that `attempt` ended and says nothing of the target.
    pub fn dropped(&mut self, attempt: u64) {
        if self.probe == Some(attempt) {
            self.probe = None;
        }
    }

    /// Notes a failure; the target is left alone for `cooldown`, doubled with each failure.
    pub fn failed(&mut self, attempt: u64, now: Instant, cooldown: Duration, max: Duration) {
        self.dropped(attempt);
        let factor = 1 << self.failures.min(10);
        self.failures += 1;
        self.failed = Some(now);
        self.opens = Some(now + (cooldown * factor).min(max));
    }

    /// Obeys a target that asked to be left alone until `until`.
    pub fn rest(&mut self, now: Instant, until: Instant) {
        self.failed = Some(now);
        self.opens = Some(self.opens.map_or(until, |opens| opens.max(until)));
    }
}
