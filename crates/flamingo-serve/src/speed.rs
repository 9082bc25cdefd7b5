//! Speed of the models of a service relative to each other, fitted online from observed times.
//!
//! Some models are several times as fast as others of the same service, and an entry sees few
//! requests of each. The prefill rate of a model is therefore kept relative to the rate of the service,
//! which also holds for models without samples.

use crate::prefill::{Estimator, Line};
use flamingo_wire::id;
use std::collections::HashMap;
use std::time::Duration;

/// Time by which each running request delays a first event before any sample was observed, in
/// milliseconds.
const RUNNING_REQUEST_MS: f64 = 0.3;
/// Upper bound of the fitted delay by a running request, in milliseconds: beyond it, the samples show
/// queues rather than shared decoding steps.
const MAX_RUNNING_REQUEST_MS: f64 = 1.5;
/// Time of a request of a plain service before any was observed, in milliseconds.
const SERVICE_REQUEST_MS: f64 = 60.0;

/// Bounds of the time of one request of a plain service relative to the assumed one.
const REQUEST_BOUNDS: (f64, f64) = (0.01, 100.0);
/// Bounds of a mean relative to its unit.
const RATIO_BOUNDS: (f64, f64) = (1.0 / 16.0, 16.0);
/// Number of samples that the rate of the service counts for in the rate of a model. Ten samples must
/// show a model that is seven times as fast.
const MODEL_PRIOR: f64 = 2.0;
/// Number of samples that the rate of a model is taken from.
const MODEL_MEMORY: f64 = 300.0;
/// Number of samples that the assumed time of a request of a plain service counts for.
const REQUEST_PRIOR: f64 = 5.0;
/// Number of samples from which on a sample counts at most [`OUTLIER_FACTOR`] away from the fit of its
/// model, and what the fit does not explain is due to the target.
const SETTLED_SAMPLES: u32 = 10;
/// A sample that exceeds the predicted time by this factor (plus [`OUTLIER_MIN_MS`]) indicates a fault
/// rather than the speed.
const OUTLIER_FACTOR: f64 = 4.0;
/// Time that is never an outlier, however short the predicted time is, in milliseconds.
const OUTLIER_MIN_MS: f64 = 300.0;
/// Number of outliers in a row from which on the prediction is taken for wrong rather than the samples.
const OUTLIER_RUN: u8 = 3;
/// Number of standard deviations by which the fit of a model must differ from the rate of its service
/// before it is used. Lower values mistake queueing that the entry does not know of for a difference
/// in speed.
const CERTAIN_DEVIATIONS: f64 = 3.5;
/// Standard deviation of a prefill time relative to its length.
const RELATIVE_DEVIATION: f64 = 0.2;
/// Standard deviation that does not depend on the length, before any sample was observed, in
/// milliseconds.
const ASSUMED_NOISE_MS: f64 = 80.0;
/// Number of samples that [`ASSUMED_NOISE_MS`] counts for.
const NOISE_PRIOR: f64 = 5.0;
/// Number of standard deviations from which on a sample counts less.
const NOISE_LIMIT: f64 = 3.0;
/// Standard deviation of the constant part from the assumed one of 0, in milliseconds. It contains waits
/// behind prompts of other entries that were not reported yet, which must not be taken for the rate.
const CONSTANT_DEVIATION_MS: f64 = 200.0;
/// Sum of squared deviations of running requests that [`RUNNING_REQUEST_MS`] counts for: a hundred
/// samples that differ by six requests. The delay is small against the variation of a single sample.
const RUNNING_PRIOR: f64 = 3_600.0;

/// Weighted mean of positive numbers, as the mean of their logarithms.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Ratio {
    weight: f64,
    logarithms: f64,
}

impl Ratio {
    /// Adds a number, which counts `weight` samples. Older ones decay so that the last `memory` samples
    /// determine the mean.
    pub fn add(&mut self, number: f64, weight: f64, memory: f64) {
        let decay = 1.0 - weight / memory;
        self.weight = self.weight * decay + weight;
        self.logarithms = self.logarithms * decay + weight * number.ln();
    }

    /// Returns the mean relative to `unit`, where `unit` itself counts `prior` samples.
    ///
    /// ```
    /// use flamingo_serve::speed::Ratio;
    ///
    /// let mut ratio = Ratio::default();
    /// assert_eq!(ratio.relative(1.0, 1.0), 1.0);
    /// for _ in 0..10 {
    ///     ratio.add(0.2, 1.0, 300.0);
    /// }
    /// assert!(ratio.relative(1.0, 1.0) < 0.25);
    /// ```
    #[must_use]
    pub fn relative(&self, unit: f64, prior: f64) -> f64 {
        if self.weight <= 0.0 {
            return 1.0;
        }
        let (min, max) = RATIO_BOUNDS;
        let logarithms = self.logarithms - self.weight * unit.ln();
        let ratio = (logarithms / (self.weight + prior)).exp();
        ratio.clamp(min, max)
    }
}

/// Counts samples in a row that exceed their prediction.
#[derive(Clone, Copy, Debug, Default)]
struct Outliers(u8);

impl Outliers {
    /// Returns whether a sample counts.
    fn accept(&mut self, time_ms: f64, predicted_ms: f64) -> bool {
        if time_ms <= predicted_ms * OUTLIER_FACTOR + OUTLIER_MIN_MS {
            self.0 = 0;
            return true;
        }
        self.0 = self.0.saturating_add(1);
        self.0 >= OUTLIER_RUN
    }
}

/// Weighted sums of the samples of one model. Together with those of the other models they give the
/// least squares fit of a line for each model, where all lines have the same constant part: network,
/// first steps and waits that the entry does not know of. Each sample weighs by the inverse of its
/// expected variance.
#[derive(Clone, Copy, Debug, Default)]
struct Sums {
    weight: f64,
    tokens: f64,
    times: f64,
    squares: f64,
    products: f64,
}

impl Sums {
    fn add(&mut self, tokens: f64, time_ms: f64, variance: f64) {
        let weight = 1.0 / variance;
        let decay = 1.0 - 1.0 / MODEL_MEMORY;
        self.weight = self.weight * decay + weight;
        self.tokens = self.tokens * decay + weight * tokens;
        self.times = self.times * decay + weight * time_ms;
        self.squares = self.squares * decay + weight * tokens * tokens;
        self.products = self.products * decay + weight * tokens * time_ms;
    }

    /// Returns the sums with a prior of the time of a token at the service. The prior of a slower model
    /// weighs less, as its samples do.
    fn with_prior(self, service_token_ms: f64) -> Self {
        let seen_ms = if self.squares > 0.0 {
            self.products / self.squares
        } else {
            0.0
        };
        let squares = MODEL_PRIOR / (service_token_ms * seen_ms.max(service_token_ms));
        Self {
            squares: self.squares + squares,
            products: self.products + squares * service_token_ms,
            ..self
        }
    }

    /// Returns the time of a token in milliseconds. A difference from the service's counts only as far as
    /// it exceeds the uncertainty of the fit (positive-part James-Stein shrinkage): prompts that wait
    /// unseen would make models differ that do not.
    fn token_ms(&self, constant: Constant, service_token_ms: f64) -> f64 {
        let fitted = (self.products - constant.ms * self.tokens) / self.squares;
        let by_constant = (self.tokens / self.squares).powi(2) * constant.variance;
        let variance = 1.0 / self.squares + by_constant;
        let difference = fitted - service_token_ms;
        let certain = 1.0 - CERTAIN_DEVIATIONS.powi(2) * variance / difference.powi(2);
        if difference == 0.0 || certain <= 0.0 {
            return service_token_ms;
        }
        service_token_ms + difference * certain
    }
}

/// Part of the variance of times that does not depend on their length, in square milliseconds.
#[derive(Clone, Copy, Debug)]
struct Noise {
    samples: f64,
    squares: f64,
}

impl Default for Noise {
    fn default() -> Self {
        Self {
            samples: NOISE_PRIOR,
            squares: NOISE_PRIOR * ASSUMED_NOISE_MS.powi(2),
        }
    }
}

impl Noise {
    fn add(&mut self, residual_ms: f64, predicted_ms: f64) {
        let relative = (RELATIVE_DEVIATION * predicted_ms).powi(2);
        let decay = 1.0 - 1.0 / MODEL_MEMORY;
        self.samples = self.samples * decay + 1.0;
        self.squares = self.squares * decay + (residual_ms.powi(2) - relative).max(0.0);
    }

    fn variance(&self) -> f64 {
        self.squares / self.samples
    }
}

/// Part of the time to a first event that does not depend on the prompt.
#[derive(Clone, Copy, Debug)]
struct Constant {
    /// The time, in milliseconds.
    ms: f64,
    /// Variance of the estimate, in square milliseconds.
    variance: f64,
}

impl Default for Constant {
    fn default() -> Self {
        Self {
            ms: 0.0,
            variance: CONSTANT_DEVIATION_MS.powi(2),
        }
    }
}

impl Constant {
    /// Fits the constant part of the times of all models.
    fn fit(models: impl Iterator<Item = Sums>) -> Self {
        let mut times = 0.0;
        let mut weight = 1.0 / CONSTANT_DEVIATION_MS.powi(2);
        for sums in models {
            let tokens = sums.tokens / sums.squares;
            times += sums.times - tokens * sums.products;
            weight += sums.weight - tokens * sums.tokens;
        }
        Self {
            ms: (times / weight).max(0.0),
            variance: 1.0 / weight,
        }
    }
}

/// Speed of one model.
#[derive(Clone, Copy, Debug, Default)]
struct Model {
    sums: Sums,
    /// Number of samples.
    samples: u32,
    outliers: Outliers,
    /// Time to the first event that the prompt does not explain, by running requests.
    running: Line,
}

/// A first event that was observed.
#[derive(Clone, Copy, Debug)]
pub struct Sample {
    /// Prompt tokens that the target did not have cached.
    pub tokens: u32,
    /// Requests that ran at the target when this one was sent.
    pub running: u32,
    /// Time from sending the request to its first event.
    pub time: Duration,
}

/// The part of a sample's time that is due to its prompt.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Prefill {
    /// Observed time, in milliseconds.
    pub time_ms: f64,
    /// Time that the rate of the model predicts for a target that is as fast as others, in
    /// milliseconds.
    pub predicted_ms: f64,
    /// How far the sample tells the speed, 0 to 1.
    pub weight: f64,
    /// Whether the model has enough samples that the rest of the time is due to the target.
    pub settled: bool,
}

/// Figures of one model for a prediction.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Rates {
    /// Prefill rate of the service, in tokens per millisecond.
    pub service_tokens_per_ms: f64,
    /// Time of a prompt token of the model relative to the service.
    pub ratio: f64,
    /// Prefill rate of the model, in tokens per millisecond.
    pub tokens_per_ms: f64,
    /// Time by which each running request of a target delays a first event, in milliseconds.
    pub running_request_ms: f64,
    /// Time of a request of a plain service, in milliseconds.
    pub request_ms: f64,
}

/// Speed of the targets of one service.
#[derive(Clone, Debug, Default)]
pub struct Speed {
    /// Prefill rate over all models.
    pub prefill: Estimator,
    models: HashMap<id::Model, Model>,
    constant: Constant,
    noise: Noise,
    /// Time of a request of a plain service relative to [`SERVICE_REQUEST_MS`].
    request: Ratio,
    request_outliers: Outliers,
}

impl Speed {
    /// Returns the time that a prompt token of a model takes, relative to the service; 1 for a model
    /// without samples.
    #[must_use]
    pub fn ratio(&self, model: &str) -> f64 {
        let Some(model) = self.models.get(model) else {
            return 1.0;
        };
        let service_token_ms = 1.0 / self.prefill.tokens_per_ms();
        let sums = model.sums.with_prior(service_token_ms);
        let (min, max) = RATIO_BOUNDS;
        let token_ms = sums.token_ms(self.constant, service_token_ms);
        (token_ms / service_token_ms).clamp(min, max)
    }

    /// Returns the figures of a model for a prediction.
    #[must_use]
    pub fn rates(&self, model: &str) -> Rates {
        let service_tokens_per_ms = self.prefill.tokens_per_ms();
        let ratio = self.ratio(model);
        Rates {
            service_tokens_per_ms,
            ratio,
            tokens_per_ms: service_tokens_per_ms / ratio,
            running_request_ms: self.running_request_ms(model),
            request_ms: self.request_ms(),
        }
    }

    /// Returns the prefill rate of a model in tokens per millisecond.
    #[must_use]
    pub fn tokens_per_ms(&self, model: &str) -> f64 {
        self.prefill.tokens_per_ms() / self.ratio(model)
    }

    /// Returns the prefill rates of the models that have samples, in tokens per millisecond.
    pub fn model_rates(&self) -> impl Iterator<Item = f64> {
        self.models.keys().map(|model| self.tokens_per_ms(model))
    }

    /// Returns the time by which each running request of a target delays a first event of a model, in
    /// milliseconds.
    #[must_use]
    pub fn running_request_ms(&self, model: &str) -> f64 {
        let Some(model) = self.models.get(model) else {
            return RUNNING_REQUEST_MS;
        };
        let running = &model.running;
        let slope = running.slope_with_prior(RUNNING_REQUEST_MS, RUNNING_PRIOR);
        slope.clamp(0.0, MAX_RUNNING_REQUEST_MS)
    }

    /// Returns the time of a request of a plain service, in milliseconds.
    #[must_use]
    pub fn request_ms(&self) -> f64 {
        SERVICE_REQUEST_MS * self.request.relative(1.0, REQUEST_PRIOR)
    }

    /// Returns what of a sample is due to its prompt; `None` for an outlier or without a prompt.
    pub fn prefill_of(&mut self, model: &str, sample: &Sample) -> Option<Prefill> {
        if sample.tokens == 0 {
            return None;
        }
        let time_ms = sample.time.as_secs_f64() * 1_000.0;
        let service_ms = f64::from(sample.tokens) / self.prefill.tokens_per_ms();
        let predicted_ms = service_ms * self.ratio(model);
        let fit = self.models.entry(model.to_owned()).or_default();
        if !fit.outliers.accept(time_ms, predicted_ms) {
            return None;
        }
        // The constant part may exceed the whole time of a fast model.
        let constant_ms = self.constant.ms.min(time_ms / 2.0);
        let weight = predicted_ms.powi(2) / (predicted_ms.powi(2) + self.noise.variance());
        Some(Prefill {
            time_ms: time_ms - constant_ms,
            predicted_ms,
            weight,
            settled: fit.samples >= SETTLED_SAMPLES,
        })
    }

    /// Adds a sample of a model. `stretch` is the factor by which the target took longer than others
    /// usually do.
    pub fn observe(&mut self, model: &str, sample: &Sample, prefill: &Prefill, stretch: f64) {
        let usual_ms = prefill.time_ms / stretch;
        let constant_ms = sample.time.as_secs_f64() * 1_000.0 - prefill.time_ms;
        let fit = self.models.entry(model.to_owned()).or_default();
        let residual_ms = usual_ms - prefill.predicted_ms;
        fit.running.add(f64::from(sample.running), residual_ms);
        let variance = self.noise.variance();
        let limit_ms = NOISE_LIMIT * variance.sqrt();
        let least_ms = prefill.predicted_ms / OUTLIER_FACTOR - limit_ms;
        let most_ms = prefill.predicted_ms * OUTLIER_FACTOR + limit_ms;
        let limited_ms = usual_ms.clamp(least_ms, most_ms);
        self.noise
            .add(limited_ms - prefill.predicted_ms, prefill.predicted_ms);
        let counted_ms = if prefill.settled {
            limited_ms
        } else {
            usual_ms
        };
        let relative = (RELATIVE_DEVIATION * prefill.predicted_ms).powi(2);
        let tokens = f64::from(sample.tokens);
        fit.sums
            .add(tokens, constant_ms + counted_ms, relative + variance);
        fit.samples = fit.samples.saturating_add(1);
        let total_ms = constant_ms + usual_ms;
        let usual = Duration::from_secs_f64(total_ms / 1_000.0);
        self.prefill.observe(sample.tokens, usual);
        let service_token_ms = 1.0 / self.prefill.tokens_per_ms();
        let models = self.models.values();
        let sums = models.map(|model| model.sums.with_prior(service_token_ms));
        self.constant = Constant::fit(sums);
    }

    /// Adds the time of a request of a plain service to a target that had a free slot. `stretch` is the
    /// factor by which the target took longer than others usually do. Returns the time relative to the
    /// predicted one; `None` for an outlier.
    pub fn observe_request(&mut self, time: Duration, stretch: f64) -> Option<f64> {
        let time_ms = time.as_secs_f64() * 1_000.0;
        let predicted_ms = self.request_ms();
        if !self
            .request_outliers
            .accept(time_ms, predicted_ms * stretch)
        {
            return None;
        }
        let ratio = time_ms / stretch / SERVICE_REQUEST_MS;
        let (min, max) = REQUEST_BOUNDS;
        self.request.add(ratio.clamp(min, max), 1.0, MODEL_MEMORY);
        Some(time_ms / predicted_ms)
    }
}
