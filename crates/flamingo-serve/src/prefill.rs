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

/// Linear regression of a time over a number, kept as weighted sums.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Line {
    weight: f64,
    numbers: f64,
    times: f64,
    squares: f64,
    products: f64,
}

impl Line {
    /// Returns a line through the origin that counts `samples` samples, half of them at 0 and half of
    /// them at `range`.
    fn assumed(samples: f64, range: f64, slope: f64) -> Self {
        let half = samples / 2.0;
        Self {
            weight: samples,
            numbers: half * range,
            times: half * range * slope,
            squares: half * range * range,
            products: half * range * range * slope,
        }
    }

    /// Adds a sample. The weight of earlier ones decays.
    pub fn add(&mut self, number: f64, time: f64) {
        let decay = 1.0 - 1.0 / SAMPLE_DECAY;
        self.weight = self.weight * decay + 1.0;
        self.numbers = self.numbers * decay + number;
        self.times = self.times * decay + time;
        self.squares = self.squares * decay + number * number;
        self.products = self.products * decay + number * time;
    }

    /// Returns the time that each unit of the number adds; `None` if the samples do not tell.
    fn slope(&self) -> Option<f64> {
        let variance = self.weight * self.squares - self.numbers * self.numbers;
        let covariance = self.weight * self.products - self.numbers * self.times;
        (variance > 0.0).then(|| covariance / variance)
    }

    /// Returns the time that each unit of the number adds, where an assumed `slope` counts as many
    /// samples as have `squares` as the sum of their squared deviations from the mean.
    #[must_use]
    pub fn slope_with_prior(&self, slope: f64, squares: f64) -> f64 {
        let mean = self.numbers / self.weight.max(1.0);
        let variance = self.squares - mean * self.numbers;
        let covariance = self.products - mean * self.times;
        (covariance + slope * squares) / (variance + squares)
    }
}

/// Estimate of the prefill rate.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Estimator(Line);

impl Default for Estimator {
    fn default() -> Self {
        let slope = 1.0 / DEFAULT_TOKENS_PER_MS;
        Self(Line::assumed(PRIOR_SAMPLES, PRIOR_TOKENS, slope))
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
        self.0.add(tokens, time);
    }

    /// Returns the estimated prefill rate in tokens per millisecond.
    #[must_use]
    pub fn tokens_per_ms(&self) -> f64 {
        let (min, max) = TOKENS_PER_MS_BOUNDS;
        let slope = self.0.slope().filter(|slope| *slope > 0.0);
        slope.map_or(DEFAULT_TOKENS_PER_MS, |slope| (1.0 / slope).clamp(min, max))
    }
}
