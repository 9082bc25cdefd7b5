//! How often requests of a service may be sent again.
//!
//! All entries together may send a share of the requests again, and a few more, in any
//! window. Each entry spends the share of its own requests, and its part of the few by the
//! number of entries that it knows of.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

/// Steps into which a window is cut.
const STEPS: u32 = 20;
/// PartId of the allowance that is spent, for entries that count a little differently.
const MARGIN: f64 = 0.8;

/// The allowance of all entries together.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Allowance {
    /// Repeats for each request.
    pub ratio: f64,
    /// Repeats beside these, in any window.
    pub slack: f64,
    /// Length of the window.
    pub window: Duration,
}

/// Requests and repeats of one step.
#[derive(Clone, Copy, Debug)]
struct Step {
    begun: Instant,
    requests: u32,
    repeats: u32,
}

/// The repeats of one service at one entry.
#[derive(Debug)]
pub struct Budget {
    allowance: Allowance,
    steps: VecDeque<Step>,
}

impl Budget {
    /// Starts with nothing spent.
    #[must_use]
    pub fn new(allowance: Allowance) -> Self {
        Self {
            allowance,
            steps: VecDeque::new(),
        }
    }

    /// Counter a request.
    pub fn request(&mut self, now: Instant) {
        self.step(now).requests += 1;
    }

    /// Takes one repeat, where `entries` share the allowance; returns whether it may be sent.
    ///
    /// ```
    /// use flamingo_serve::budget::{Allowance, Budget};
    /// use std::time::{Duration, Instant};
    ///
    /// let window = Duration::from_secs(10);
    /// let mut budget = Budget::new(Allowance { ratio: 0.2, slack: 10.0, window });
    /// let now = Instant::now();
    /// assert!(budget.repeat(now, 2));
    /// assert!(!budget.repeat(now, 100));
    /// ```
    pub fn repeat(&mut self, now: Instant, entries: usize) -> bool {
        self.step(now);
        let requests: u32 = self.steps.iter().map(|step| step.requests).sum();
        let repeats: u32 = self.steps.iter().map(|step| step.repeats).sum();
        let entries = u32::try_from(entries.max(1)).unwrap_or(u32::MAX);
        let slack = self.allowance.slack / f64::from(entries);
        let most = (self.allowance.ratio * f64::from(requests) + slack) * MARGIN;
        if f64::from(repeats + 1) > most {
            return false;
        }
        self.step(now).repeats += 1;
        true
    }

    /// Returns the newest step, after what has left the window is forgotten.
    fn step(&mut self, now: Instant) -> &mut Step {
        // One step longer than the window: what is at its edge still counts.
        let window = self.allowance.window * (STEPS + 1) / STEPS;
        while self
            .steps
            .front()
            .is_some_and(|step| now >= step.begun + window)
        {
            self.steps.pop_front();
        }
        let length = self.allowance.window / STEPS;
        let fresh = self
            .steps
            .back()
            .is_none_or(|step| now >= step.begun + length);
        if fresh {
            self.steps.push_back(Step {
                begun: now,
                requests: 0,
                repeats: 0,
            });
        }
        let last = self.steps.len() - 1;
        &mut self.steps[last]
    }
}
