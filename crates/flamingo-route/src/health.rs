//! Circuit breaker of one target.
//!
//! After a failure the target gets no requests for a cooldown, which doubles with
//! each further failure. After the cooldown one ordinary request serves as a probe.
//! A success resets the breaker only if its attempt began after the last failure
//! (the rule of the `SubLane` paper).

use std::time::{Duration, Instant};

/// Failures of one target and the time until which it gets no requests.
#[derive(Clone, Debug, Default)]
pub struct Health {
    last_failure: Option<Instant>,
    failures: u32,
    retry_at: Option<Instant>,
    probe: Option<u64>,
}

impl Health {
    /// Returns whether the target may get a request at `now`: it is in no cooldown, and no
    /// probe is in flight.
    #[must_use]
    pub fn is_available(&self, now: Instant) -> bool {
        match self.retry_at {
            Some(retry_at) => now >= retry_at && self.probe.is_none(),
            None => true,
        }
    }

    /// Records that `attempt` was sent; the first attempt after a failure is the probe.
    pub fn record_sent(&mut self, attempt: u64) {
        if self.retry_at.is_some() {
            self.probe = Some(attempt);
        }
    }

    /// Records that `attempt`, which began at `began`, succeeded.
    pub fn record_success(&mut self, attempt: u64, began: Instant) {
        if self.probe == Some(attempt) {
            self.probe = None;
        }
        if self.last_failure.is_some_and(|failed| began > failed) {
            *self = Self::default();
        }
    }

    /// Records that `attempt` ended without showing whether the target works.
    pub fn record_inconclusive(&mut self, attempt: u64) {
        if self.probe == Some(attempt) {
            self.probe = None;
        }
    }

    /// Records a failure. The target gets no requests for `cooldown`, doubled with each
    /// failure before this one, but for no longer than `max`.
    pub fn record_failure(
        &mut self,
        attempt: u64,
        now: Instant,
        cooldown: Duration,
        max: Duration,
    ) {
        self.record_inconclusive(attempt);
        let factor = 1 << self.failures.min(10);
        self.failures += 1;
        self.last_failure = Some(now);
        self.retry_at = Some(now + (cooldown * factor).min(max));
    }

    /// Sends the target no requests until `until`, as the target asked.
    pub fn back_off(&mut self, now: Instant, until: Instant) {
        self.last_failure = Some(now);
        self.retry_at = Some(self.retry_at.map_or(until, |retry_at| retry_at.max(until)));
    }
}
