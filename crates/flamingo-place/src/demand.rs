//! Demand for each model: an estimate that rises fast and falls slowly.
//!
//! Counts of the entries are gathered in buckets. A bucket above the estimate moves
//! it most of the way up; one below lets it fall with a half-life, so that a pause
//! of a burst causes no moves.

use flamingo_wire::config::{Model, Placement};
use flamingo_wire::control::Demand;
use flamingo_wire::id;
use std::collections::BTreeMap;
use std::time::{Duration, Instant};

/// Time over which counts are gathered.
pub const BUCKET: Duration = Duration::from_secs(10);
/// Share of a rise that one bucket takes over.
const RISE: f64 = 0.7;
/// Time in which the estimate falls half the way to a lower demand.
const HALF_LIFE: Duration = Duration::from_mins(20);
/// Room above the estimate, so that a copy is not driven at its limit.
const HEADROOM: f64 = 1.2;
/// Share of requests that miss their promise from which a copy more is wanted.
const MISSES: f64 = 0.05;
/// Requests below which a bucket's misses say nothing.
const FEW: f64 = 10.0;

#[derive(Clone, Copy, Debug, Default)]
struct Estimate {
    /// Tokens a second.
    rate: f64,
    /// Share of requests that missed their promise.
    missed: f64,
    tokens: f64,
    requests: f64,
    misses: f64,
}

/// How many copies a model should have.
#[derive(Clone, Debug, PartialEq)]
pub struct Wanted {
    /// Copies.
    pub copies: u32,
    /// Copies' worth of demand; 1 is all that one copy can do.
    pub work: f64,
    /// Why, in one line.
    pub reason: String,
}

/// The estimates of all models.
#[derive(Clone, Debug)]
pub struct Estimates {
    models: BTreeMap<id::Model, Estimate>,
    /// When the bucket that fills now ends.
    end: Instant,
}

impl Estimates {
    /// Starts without any demand.
    #[must_use]
    pub fn new(now: Instant) -> Self {
        Self {
            models: BTreeMap::new(),
            end: now + BUCKET,
        }
    }

    /// Adds what an entry counted since its last report.
    pub fn add(&mut self, demand: &[Demand]) {
        for demand in demand {
            let estimate = self.models.entry(demand.model.clone()).or_default();
            estimate.tokens += to_float(demand.tokens);
            estimate.requests += f64::from(demand.requests);
            estimate.misses += f64::from(demand.requests.saturating_sub(demand.met));
        }
    }

    /// Ends buckets whose time has come.
    pub fn tick(&mut self, now: Instant) {
        while self.end <= now {
            self.end += BUCKET;
            for estimate in self.models.values_mut() {
                estimate.close();
            }
        }
    }

    /// Returns the estimate for a model, in tokens a second.
    #[must_use]
    pub fn rate(&self, model: &str) -> f64 {
        self.models.get(model).map_or(0.0, |estimate| estimate.rate)
    }

    /// Sets the estimate of a model, in tokens a second, as an oracle would know it.
    pub fn set(&mut self, model: &str, rate: f64) {
        self.models.entry(model.to_owned()).or_default().rate = rate;
    }

    /// Returns how many copies `model` should have where it has `now` ready.
    #[must_use]
    pub fn wanted(&self, model: &Model, placement: &Placement, ready: u32) -> Wanted {
        let estimate = self.models.get(&model.name).copied().unwrap_or_default();
        let work = estimate.rate / f64::from(placement.tokens_per_copy);
        let asked = round_up(work * HEADROOM);
        let short = estimate.missed > MISSES && work * HEADROOM > 0.5 * f64::from(ready);
        let pressed = if short { ready + 1 } else { 0 };
        let copies = model.copies.max(1).max(asked).max(pressed);
        let rate = estimate.rate;
        let missed = estimate.missed * 100.0;
        let reason = format!(
            "{rate:.0} tokens/s ask for {asked}, {missed:.0}% missed, the set for {}",
            model.copies
        );
        Wanted {
            copies,
            work,
            reason,
        }
    }
}

impl Estimate {
    fn close(&mut self) {
        let rate = self.tokens / BUCKET.as_secs_f64();
        if rate > self.rate {
            self.rate += RISE * (rate - self.rate);
        } else {
            let left = 0.5_f64.powf(BUCKET.as_secs_f64() / HALF_LIFE.as_secs_f64());
            self.rate = rate + (self.rate - rate) * left;
        }
        self.missed = if self.requests >= FEW {
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

// The value is not negative and is cut at the bound.
#[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
fn round_up(value: f64) -> u32 {
    value.ceil().clamp(0.0, 1_000_000.0) as u32
}
