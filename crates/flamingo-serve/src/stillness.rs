//! Notices that the process stood still: it was suspended, or got no processor time.
//!
//! What callers sent meanwhile is read late, all at once. The time of such a request is not known, so
//! nothing may be counted for it where counts of several processes add up by time.

use std::time::{Duration, Instant};

/// Interval between two beats of a process that runs.
pub const BEAT_INTERVAL: Duration = Duration::from_millis(100);
/// Time without a beat from which on the process counts as having stood still.
const MAX_GAP: Duration = Duration::from_millis(500);
/// Time for reading what came while the process stood still.
const CATCH_UP: Duration = Duration::from_millis(250);

/// Whether a process stood still a moment ago.
#[derive(Clone, Copy, Debug)]
pub struct Stillness {
    last_beat: Instant,
    caught_up_at: Option<Instant>,
}

impl Stillness {
    /// Returns the state of a process that starts.
    #[must_use]
    pub fn new(now: Instant) -> Self {
        Self {
            last_beat: now,
            caught_up_at: None,
        }
    }

    /// Records that the process runs. Must be called every [`BEAT_INTERVAL`].
    pub fn beat(&mut self, now: Instant) {
        if now.saturating_duration_since(self.last_beat) > MAX_GAP {
            self.caught_up_at = Some(now + CATCH_UP);
        }
        self.last_beat = now;
    }

    /// Returns whether what is read now may have come while the process stood still.
    ///
    /// ```
    /// use flamingo_serve::stillness::Stillness;
    /// use std::time::{Duration, Instant};
    ///
    /// let start = Instant::now();
    /// let mut stillness = Stillness::new(start);
    /// assert!(!stillness.catches_up(start + Duration::from_millis(100)));
    /// assert!(stillness.catches_up(start + Duration::from_secs(5)));
    /// assert!(!stillness.catches_up(start + Duration::from_millis(5_300)));
    /// ```
    pub fn catches_up(&mut self, now: Instant) -> bool {
        self.beat(now);
        self.caught_up_at.is_some_and(|at| now < at)
    }
}
