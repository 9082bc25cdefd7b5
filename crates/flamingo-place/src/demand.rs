//! Estimates the demand for each model; the estimates rise fast and fall slowly.
//!
//! The counts that entries report are summed up in buckets of [`BUCKET_DURATION`]. A bucket above
//! the estimate raises it most of the way. A bucket below lets it fall with a half-life, so that
//! a pause within a burst causes no moves.

use flamingo_wire::config::{Model, Placement};
use flamingo_wire::control::Demand;
use flamingo_wire::id;
use std::collections::BTreeMap;
use std::time::{Duration, Instant};

/// Time over which reported counts are summed up.
pub const BUCKET_DURATION: Duration = Duration::from_secs(10);
/// Fraction of a rise by which one bucket raises the estimate.
const RISE_FRACTION: f64 = 0.7;
/// Time in which the estimate falls half of the way to a lower demand.
const FALL_HALF_LIFE: Duration = Duration::from_mins(20);
/// Factor on the demand, so that copies do not run at their limit.
const HEADROOM: f64 = 1.2;
/// Fraction of requests that miss the latency objective above which one more copy is wanted.
const MAX_MISSED: f64 = 0.05;
/// Requests below which the missed fraction of a bucket is not significant.
const MIN_REQUESTS: f64 = 10.0;

#[derive(Clone, Copy, Debug, Default)]
struct Estimate {
    /// Estimated demand in tokens per second.
    rate: f64,
    /// Fraction of the last bucket's requests that missed the latency objective.
    missed: f64,
    /// Tokens in the current bucket.
    tokens: f64,
    /// Requests in the current bucket.
    requests: f64,
    /// Requests in the current bucket that missed the latency objective.
    misses: f64,
}

/// How many copies a model should have.
#[derive(Clone, Debug, PartialEq)]
pub struct Wanted {
    /// Number of copies, at least 1.
    pub copies: u32,
    /// Estimated demand, in multiples of what one copy can serve.
    pub demand_in_copies: f64,
    /// Explanation for operators, in one line.
    pub reason: String,
}

/// The demand estimates of all models.
#[derive(Clone, Debug)]
pub struct Estimates {
    models: BTreeMap<id::Model, Estimate>,
    /// When the current bucket ends.
    bucket_end: Instant,
}

impl Estimates {
    /// Starts with no demand for any model.
    #[must_use]
    pub fn new(now: Instant) -> Self {
        Self {
            models: BTreeMap::new(),
            bucket_end: now + BUCKET_DURATION,
        }
    }

    /// Adds the counts that an entry has collected since its previous report.
    pub fn add(&mut self, demand: &[Demand]) {
        for demand in demand {
            let estimate = self.models.entry(demand.model.clone()).or_default();
            estimate.tokens += to_float(demand.tokens);
            estimate.requests += f64::from(demand.requests);
            estimate.misses += f64::from(demand.requests.saturating_sub(demand.met));
        }
    }

    /// Closes the buckets that have ended by `now` and updates the estimates.
    pub fn tick(&mut self, now: Instant) {
        while self.bucket_end <= now {
            self.bucket_end += BUCKET_DURATION;
            for estimate in self.models.values_mut() {
                estimate.close_bucket();
            }
        }
    }

    /// Returns the estimated demand for a model in tokens per second, 0 for an unknown model.
    #[must_use]
    pub fn rate(&self, model: &str) -> f64 {
        self.models.get(model).map_or(0.0, |estimate| estimate.rate)
    }

    /// Overwrites the estimated demand for a model, in tokens per second. Simulations use this to
    /// supply demand that they know in advance.
    pub fn set(&mut self, model: &str, rate: f64) {
        self.models.entry(model.to_owned()).or_default().rate = rate;
    }

    /// Returns how many copies `model` should have, given that `ready` copies are resident.
    #[must_use]
    pub fn wanted(&self, model: &Model, placement: &Placement, ready: u32) -> Wanted {
        let estimate = self.models.get(&model.name).copied().unwrap_or_default();
        let demand_in_copies = estimate.rate / f64::from(placement.tokens_per_copy);
        let needed = round_up(demand_in_copies * HEADROOM);
        let overloaded =
            estimate.missed > MAX_MISSED && demand_in_copies * HEADROOM > 0.5 * f64::from(ready);
        let one_more = if overloaded { ready + 1 } else { 0 };
        let copies = model.copies.max(1).max(needed).max(one_more);
        let rate = estimate.rate;
        let missed = estimate.missed * 100.0;
        let reason = format!(
            "{rate:.0} tokens/s need {needed}, {missed:.0}% missed the objective, the set asks for {}",
            model.copies
        );
        Wanted {
            copies,
            demand_in_copies,
            reason,
        }
    }
}

impl Estimate {
    fn close_bucket(&mut self) {
        let rate = self.tokens / BUCKET_DURATION.as_secs_f64();
        if rate > self.rate {
            self.rate += RISE_FRACTION * (rate - self.rate);
        } else {
            let remaining =
                0.5_f64.powf(BUCKET_DURATION.as_secs_f64() / FALL_HALF_LIFE.as_secs_f64());
            self.rate = rate + (self.rate - rate) * remaining;
        }
        self.missed = if self.requests >= MIN_REQUESTS {
            self.misses / self.requests
        } else {
            0.0
        };
        self.tokens = 0.0;
        self.requests = 0.0;
        self.misses = 0.0;
    }
}

// Counts stay far below 2^52, where the conversion is exact.
#[allow(clippy::cast_precision_loss)]
fn to_float(count: u64) -> f64 {
    count as f64
}

// The value is not negative and is clamped to the bound.
#[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
fn round_up(value: f64) -> u32 {
    value.ceil().clamp(0.0, 1_000_000.0) as u32
}
