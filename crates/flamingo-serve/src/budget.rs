//! Retry budget: limits how many requests of a service are resent to targets.
//!
//! Within any window, all entries together may send retries amounting to a share of the requests
//! (`ratio`) plus a constant (`slack`). Each entry spends the share of its own requests, and the
//! constant divided by the number of entries that it knows of.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

/// Number of steps into which the window is divided.
const WINDOW_STEPS: u32 = 20;
/// Fraction of the allowance that an entry spends. The rest covers entries that differ slightly
/// in their counts, such as the number of entries.
const SPENDABLE_FRACTION: f64 = 0.8;

/// Retries that all entries together may send for one service.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Allowance {
    /// Retries allowed for each request.
    pub ratio: f64,
    /// Retries allowed in any window in addition to those by `ratio`.
    pub slack: f64,
    /// Length of the window.
    pub window: Duration,
}

/// Requests and retries in one step of the window.
#[derive(Clone, Copy, Debug)]
struct Step {
    started_at: Instant,
    requests: u32,
    retries: u32,
}

/// The retry budget of one service at one entry.
#[derive(Debug)]
pub struct Budget {
    allowance: Allowance,
    steps: VecDeque<Step>,
}

impl Budget {
    /// Returns a budget with no requests and no retries counted.
    #[must_use]
    pub fn new(allowance: Allowance) -> Self {
        Self {
            allowance,
            steps: VecDeque::new(),
        }
    }

    /// Counts a request, which raises the number of retries allowed.
    pub fn record_request(&mut self, now: Instant) {
        self.step(now).requests += 1;
    }

    /// Spends one retry if the budget allows it, where `entries` share the allowance. Returns
    /// whether the retry may be sent.
    ///
    /// ```
    /// use flamingo_serve::budget::{Allowance, Budget};
    /// use std::time::{Duration, Instant};
    ///
    /// let window = Duration::from_secs(10);
    /// let mut budget = Budget::new(Allowance { ratio: 0.2, slack: 10.0, window });
    /// let now = Instant::now();
    /// assert!(budget.try_retry(now, 2));
    /// assert!(!budget.try_retry(now, 100));
    /// ```
    pub fn try_retry(&mut self, now: Instant, entries: usize) -> bool {
        self.step(now);
        let requests: u32 = self.steps.iter().map(|step| step.requests).sum();
        let retries: u32 = self.steps.iter().map(|step| step.retries).sum();
        let entries = u32::try_from(entries.max(1)).unwrap_or(u32::MAX);
        let slack = self.allowance.slack / f64::from(entries);
        let max_retries = (self.allowance.ratio * f64::from(requests) + slack) * SPENDABLE_FRACTION;
        if f64::from(retries + 1) > max_retries {
            return false;
        }
        self.step(now).retries += 1;
        true
    }

    /// Removes the steps that have left the window, and returns the current step.
    fn step(&mut self, now: Instant) -> &mut Step {
        // Steps are kept for one step longer than the window, so that retries at its edge still
        // count.
        let window = self.allowance.window * (WINDOW_STEPS + 1) / WINDOW_STEPS;
        while self
            .steps
            .front()
            .is_some_and(|step| now >= step.started_at + window)
        {
            self.steps.pop_front();
        }
        let length = self.allowance.window / WINDOW_STEPS;
        let starts_step = self
            .steps
            .back()
            .is_none_or(|step| now >= step.started_at + length);
        if starts_step {
            self.steps.push_back(Step {
                started_at: now,
                requests: 0,
                retries: 0,
            });
        }
        let last = self.steps.len() - 1;
        &mut self.steps[last]
    }
}
