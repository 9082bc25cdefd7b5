//! A rate over a time that forgets.

use std::time::{Duration, Instant};

/// What comes in a second, in any unit, where older amounts count exponentially less.
///
/// ```
/// use flamingo_place::rate::Rate;
/// use std::time::{Duration, Instant};
///
/// let mut now = Instant::now();
/// let mut rate = Rate::new(Duration::from_secs(1), now);
/// for _ in 0..100 {
///     now += Duration::from_millis(100);
///     rate.add(10.0, now);
/// }
/// assert!((rate.at(now) - 100.0).abs() < 10.0);
/// assert!(rate.at(now + Duration::from_secs(10)) < 0.01);
/// ```
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Rate {
    /// Time after which an amount counts for a third.
    window: Duration,
    value: f64,
    at: Instant,
}

impl Rate {
    /// Returns a rate of nothing.
    #[must_use]
    pub fn new(window: Duration, now: Instant) -> Self {
        Self {
            window,
            value: 0.0,
            at: now,
        }
    }

    /// Counts an amount.
    pub fn add(&mut self, amount: f64, now: Instant) {
        self.value = self.at(now) + amount / self.window.as_secs_f64();
        self.at = now;
    }

    /// Returns the rate at a later time, when nothing more comes until then.
    #[must_use]
    pub fn at(&self, now: Instant) -> f64 {
        self.value * self.faded(now.saturating_duration_since(self.at))
    }

    /// Returns the rate of what has come for `age` only: one that began at nothing is as much too
    /// low as its window has not been seen yet.
    #[must_use]
    pub fn bias_corrected(&self, now: Instant, age: Duration) -> f64 {
        self.at(now) / (1.0 - self.faded(age))
    }

    /// Returns the part of an amount that still counts after `age`.
    fn faded(&self, age: Duration) -> f64 {
        (-age.as_secs_f64() / self.window.as_secs_f64()).exp()
    }
}
