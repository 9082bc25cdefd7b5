//! What one entry sends for a model, as a rate that forgets.
//!
//! Answers many entries that choose by the same figures: until those are renewed, each of them
//! sees the same target as the least busy one. What an entry sends tells what the others do.

use std::time::{Duration, Instant};

/// Time after which a prompt counts for a third.
const TIME: Duration = Duration::from_secs(1);

/// Tokens of prompts that are sent.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Flow {
    tokens: f64,
    at: Instant,
}

impl Flow {
    /// Returns a flow of nothing.
    #[must_use]
    pub fn new(now: Instant) -> Self {
        Self {
            tokens: 0.0,
            at: now,
        }
    }

    /// Counts the tokens of a prompt.
    pub fn add(&mut self, tokens: u32, now: Instant) {
        self.tokens = self.kept(now) + f64::from(tokens);
        self.at = now;
    }

    /// Returns the tokens that are sent in a millisecond.
    ///
    /// ```
    /// use flamingo_serve::flow::Flow;
    /// use std::time::{Duration, Instant};
    ///
    /// let mut now = Instant::now();
    /// let mut flow = Flow::new(now);
    /// for _ in 0..100 {
    ///     now += Duration::from_millis(100);
    ///     flow.add(1_000, now);
    /// }
    /// assert!((flow.rate(now) - 10.0).abs() < 1.0);
    /// ```
    #[must_use]
    pub fn rate(&self, now: Instant) -> f64 {
        self.kept(now) / (TIME.as_secs_f64() * 1_000.0)
    }

    fn kept(&self, now: Instant) -> f64 {
        let age = now.saturating_duration_since(self.at);
        self.tokens * (-age.as_secs_f64() / TIME.as_secs_f64()).exp()
    }
}
