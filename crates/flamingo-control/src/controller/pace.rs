//! Limits periodic work to a part of the time.

use std::time::{Duration, Instant};

/// Work that is repeated, but takes at most one part in `divisor` of the time.
///
/// ```
/// use flamingo_control::controller::pace::Pace;
/// use std::time::{Duration, Instant};
///
/// let mut pace = Pace::new(5);
/// let start = Instant::now();
/// let end = start + Duration::from_millis(20);
/// pace.record(start, end);
/// assert!(!pace.is_due(end));
/// assert!(pace.is_due(start + Duration::from_millis(100)));
/// ```
#[derive(Clone, Copy, Debug)]
pub struct Pace {
    divisor: u32,
    due: Option<Instant>,
}

impl Pace {
    /// Returns a pace at which the work is due at once.
    #[must_use]
    pub fn new(divisor: u32) -> Self {
        Self { divisor, due: None }
    }

    /// Returns whether the work may begin at `now`.
    #[must_use]
    pub fn is_due(&self, now: Instant) -> bool {
        self.due.is_none_or(|due| now >= due)
    }

    /// Records that the work was done from `start` to `end`.
    pub fn record(&mut self, start: Instant, end: Instant) {
        let took: Duration = end.saturating_duration_since(start);
        self.due = Some(start + took * self.divisor);
    }
}
