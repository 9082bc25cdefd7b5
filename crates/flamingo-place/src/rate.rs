//! A rate with an exponentially decaying window.

use std::time::{Duration, Instant};

/// An amount per second, in any unit, in which older amounts count exponentially less.
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
    /// Time constant: after this time, an amount counts 1/e (about a third).
    window: Duration,
    value: f64,
    at: Instant,
}

impl Rate {
    /// Returns a rate of 0 with this time constant.
    #[must_use]
    pub fn new(window: Duration, now: Instant) -> Self {
        Self {
            window,
            value: 0.0,
            at: now,
        }
    }

    /// Adds an amount that occurred at `now`.
    pub fn add(&mut self, amount: f64, now: Instant) {
        self.value = self.at(now) + amount / self.window.as_secs_f64();
        self.at = now;
    }

    /// Returns the rate per second at `now`, if no amount is added until then.
    #[must_use]
    pub fn at(&self, now: Instant) -> f64 {
        self.value * self.decay(now.saturating_duration_since(self.at))
    }

    /// Returns the rate per second, corrected for having started at 0 only `age` ago.
    ///
    /// Without the correction, the rate is too low until several windows have passed, because
    /// amounts from before the start are missing.
    #[must_use]
    pub fn bias_corrected(&self, now: Instant, age: Duration) -> f64 {
        self.at(now) / (1.0 - self.decay(age))
    }

    /// Returns the factor, 1 to 0, by which an amount counts after `age`.
    fn decay(&self, age: Duration) -> f64 {
        (-age.as_secs_f64() / self.window.as_secs_f64()).exp()
    }
}
