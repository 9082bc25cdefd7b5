//! Estimates the rate at which the engines of a service process prompts (prefill).
//!
//! Installations differ in the speed of their engines, so the rate is learned from observed
//! latencies. The time to the first event is modelled as a constant plus the number of uncached
//! prompt tokens divided by the rate. Both are fitted by least squares with exponentially
//! decaying sample weights.

use std::time::Duration;

/// Prefill rate that is assumed before any sample was observed, in tokens per millisecond.
const DEFAULT_TOKENS_PER_MS: f64 = 20.0;
/// Lower and upper bound of the estimated rate, in tokens per millisecond.
const TOKENS_PER_MS_BOUNDS: (f64, f64) = (4.0, 400.0);
/// Number of samples that the initial assumption counts for.
const PRIOR_SAMPLES: f64 = 60.0;
/// Range of prompt tokens that the samples of the initial assumption cover.
const PRIOR_TOKENS: f64 = 3_000.0;
/// Number of later samples after which the weight of a sample has decayed to about a third.
const SAMPLE_DECAY: f64 = 1_500.0;
/// A sample that exceeds the predicted time by this factor (plus [`OUTLIER_MIN_MS`]) indicates a
/// fault rather than the rate, and is ignored.
const OUTLIER_FACTOR: f64 = 4.0;
/// Time that is never an outlier, however short the predicted time is, in milliseconds.
const OUTLIER_MIN_MS: f64 = 300.0;

/// Linear regression of the time to the first event over prompt tokens, kept as weighted sums.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Estimator {
    weight: f64,
    tokens: f64,
    times: f64,
    squares: f64,
    products: f64,
}

impl Default for Estimator {
    fn default() -> Self {
        // Half of the assumed samples have no tokens, the other half have `PRIOR_TOKENS`.
        let half = PRIOR_SAMPLES / 2.0;
        Self {
            weight: PRIOR_SAMPLES,
            tokens: half * PRIOR_TOKENS,
            times: half * PRIOR_TOKENS / DEFAULT_TOKENS_PER_MS,
            squares: half * PRIOR_TOKENS * PRIOR_TOKENS,
            products: half * PRIOR_TOKENS * PRIOR_TOKENS / DEFAULT_TOKENS_PER_MS,
        }
    }
}

impl Estimator {
    /// Adds a sample: the time from sending a request to its first event, and the number of
    /// prompt tokens that the engine processed in this time.
    ///
    /// ```
    /// use flamingo_serve::prefill::Estimator;
    /// use std::time::Duration;
    ///
    /// let mut estimator = Estimator::default();
    /// for n in 0..9_000 {
    ///     let tokens = 500 + n % 4 * 1_000;
    ///     estimator.observe(tokens, Duration::from_millis(u64::from(tokens) / 50));
    /// }
    /// assert!((estimator.tokens_per_ms() - 50.0).abs() < 2.0);
    /// ```
    pub fn observe(&mut self, tokens: u32, time: Duration) {
        let tokens = f64::from(tokens);
        let time = time.as_secs_f64() * 1_000.0;
        if time > tokens / self.tokens_per_ms() * OUTLIER_FACTOR + OUTLIER_MIN_MS {
            return;
        }
        let decay = 1.0 - 1.0 / SAMPLE_DECAY;
        self.weight = self.weight * decay + 1.0;
        self.tokens = self.tokens * decay + tokens;
        self.times = self.times * decay + time;
        self.squares = self.squares * decay + tokens * tokens;
        self.products = self.products * decay + tokens * time;
    }

    /// Returns the estimated prefill rate in tokens per millisecond.
    #[must_use]
    pub fn tokens_per_ms(&self) -> f64 {
        let variance = self.weight * self.squares - self.tokens * self.tokens;
        let covariance = self.weight * self.products - self.tokens * self.times;
        let (min, max) = TOKENS_PER_MS_BOUNDS;
        if variance <= 0.0 || covariance <= 0.0 {
            return DEFAULT_TOKENS_PER_MS;
        }
        (variance / covariance).clamp(min, max)
    }
}
