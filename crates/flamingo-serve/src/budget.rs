//! Retry budget: limits how many requests of a service are resent to targets.
//!
//! Within any window, all entries together may send retries amounting to a share of the requests
//! (`ratio`) plus a constant (`slack`). Each entry process spends for a window what it has earned
//! itself: a part for its own requests of that window, and a part for those of the window before.
//! The sum over any set of processes is then bounded by the requests of all, whichever processes
//! start, end or take over the callers of others: a process that has just started has earned
//! nothing. The constant is divided by the number of entries that share it, see
//! [`Sharers`](crate::sharers::Sharers).

use std::collections::VecDeque;
use std::time::{Duration, Instant};
use strum::IntoStaticStr;

/// Number of steps into which the window is divided.
const WINDOW_STEPS: u32 = 40;
/// Part of `ratio` that is spent for the requests of the window itself. It lets a process that has
/// just started send retries.
const CURRENT_FRACTION: f64 = 0.4;
/// Part of `ratio` that is spent for the requests of the window before. It pays for many failures
/// at one moment.
const PRIOR_FRACTION: f64 = 0.45;
/// Part of `slack` that is spent. The rest of it and of `ratio` covers calls that a target makes
/// for a retry, which count as retries at the service that they call.
const SLACK_FRACTION: f64 = 0.8;

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

/// Why a retry must not be sent.
#[derive(Clone, Copy, Debug, Eq, IntoStaticStr, PartialEq)]
#[strum(serialize_all = "snake_case")]
pub enum Refusal {
    /// What the own requests and the part of the slack allow is spent.
    Spent,
    /// What the own requests allow is spent, and no part of the slack is proved.
    NoShare,
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

    /// Takes back a request that was counted at `counted_at`, since another entry counts it.
    ///
    /// ```
    /// use flamingo_serve::budget::{Allowance, Budget};
    /// use std::time::{Duration, Instant};
    ///
    /// let window = Duration::from_secs(10);
    /// let mut budget = Budget::new(Allowance { ratio: 0.2, slack: 10.0, window });
    /// let now = Instant::now();
    /// budget.record_request(now);
    /// budget.forget_request(now);
    /// assert_eq!(budget.counts(now), (0, 0));
    /// ```
    pub fn forget_request(&mut self, counted_at: Instant) {
        let mut steps = self.steps.iter_mut().rev();
        if let Some(step) = steps.find(|step| step.started_at <= counted_at) {
            step.requests = step.requests.saturating_sub(1);
        }
    }

    /// Spends one retry if the budget allows it, where `sharers` share the slack; `None` while no
    /// part of the slack is proved.
    ///
    /// # Errors
    ///
    /// Returns why the retry must not be sent.
    ///
    /// ```
    /// use flamingo_serve::budget::{Allowance, Budget, Refusal};
    /// use std::time::{Duration, Instant};
    ///
    /// let window = Duration::from_secs(10);
    /// let mut budget = Budget::new(Allowance { ratio: 0.2, slack: 10.0, window });
    /// let now = Instant::now();
    /// assert!(budget.try_retry(now, Some(2)).is_ok());
    /// assert_eq!(budget.try_retry(now, Some(100)), Err(Refusal::Spent));
    /// assert_eq!(budget.try_retry(now, None), Err(Refusal::NoShare));
    /// ```
    pub fn try_retry(&mut self, now: Instant, sharers: Option<usize>) -> Result<(), Refusal> {
        self.step(now);
        if !self.affords_one_more(now, self.slack_part(sharers)) {
            return Err(match sharers {
                Some(_) => Refusal::Spent,
                None => Refusal::NoShare,
            });
        }
        self.step(now).retries += 1;
        Ok(())
    }

    /// Returns the requests and the retries of the last window.
    #[must_use]
    pub fn counts(&self, now: Instant) -> (u32, u32) {
        let window = self.allowance.window;
        let recent = self
            .steps
            .iter()
            .filter(|step| now < step.started_at + window);
        recent.fold((0, 0), |(requests, retries), step| {
            (requests + step.requests, retries + step.retries)
        })
    }

    fn slack_part(&self, sharers: Option<usize>) -> f64 {
        let Some(sharers) = sharers else {
            return 0.0;
        };
        let sharers = u32::try_from(sharers.max(1)).unwrap_or(u32::MAX);
        self.allowance.slack * SLACK_FRACTION / f64::from(sharers)
    }

    /// Returns whether one more retry stays within the budget of each window that contains `now`.
    fn affords_one_more(&self, now: Instant, slack: f64) -> bool {
        let window = self.allowance.window;
        let length = self.step_length();
        // Requests and retries of the window that begins in a step, up to now.
        let (mut requests, mut retries) = (0, 1);
        // Requests of the window before, which are those of the steps from `first` to the current one.
        let (mut prior, mut first) = (0, self.steps.len());
        for (index, step) in self.steps.iter().enumerate().rev() {
            if now >= step.started_at + length + window {
                break;
            }
            retries += step.retries;
            if first <= index {
                prior -= step.requests;
            }
            first = first.min(index);
            // The window may begin anywhere in its step: the requests of the step belong to it or
            // to the window before, and only whole steps count for either.
            while let Some(earlier) = first.checked_sub(1).map(|earlier| &self.steps[earlier])
                && earlier.started_at + window >= step.started_at + length
            {
                prior += earlier.requests;
                first -= 1;
            }
            let within = f64::from(step.requests) * CURRENT_FRACTION.min(PRIOR_FRACTION);
            let earned =
                CURRENT_FRACTION * f64::from(requests) + within + PRIOR_FRACTION * f64::from(prior);
            if f64::from(retries) > self.allowance.ratio * earned + slack {
                return false;
            }
            requests += step.requests;
        }
        true
    }

    fn step_length(&self) -> Duration {
        self.allowance.window / WINDOW_STEPS
    }

    /// Removes the steps that no window needs any more, and returns the current step.
    fn step(&mut self, now: Instant) -> &mut Step {
        let length = self.step_length();
        let kept = self.allowance.window * 2 + length * 2;
        while self
            .steps
            .front()
            .is_some_and(|step| now >= step.started_at + kept)
        {
            self.steps.pop_front();
        }
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
