//! The refills that were promised to rejected requests, in the order in which they fall due.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

/// Time after which a promise ends whose request has not come back. Callers that come back do so
/// at the time that they were told, plus their way here.
const GRACE: Duration = Duration::from_millis(300);
/// Promises that fall due within this time of each other are kept as one.
const MERGED: Duration = Duration::from_millis(10);
/// Longest time ahead for which refills are reserved. Requests that must wait for longer are told
/// how long, but most of their callers have gone by then.
const MAX_AHEAD: Duration = Duration::from_secs(10);
/// Part of a request's cost that a promise may lack.
const REDEEM_TOLERANCE: f64 = 1e-6;
/// Largest number of promises: each newcomer is compared with all.
const MAX_PROMISES: usize = 512;

/// Units that a rejected request was told to come back for.
#[derive(Clone, Copy, Debug)]
struct Promise {
    due: Instant,
    units: f64,
}

/// The promises of one bucket.
#[derive(Debug, Default)]
pub(super) struct Promises {
    /// Ordered by the time at which they fall due.
    list: VecDeque<Promise>,
}

impl Promises {
    /// Returns the units that are promised.
    pub fn total(&self) -> f64 {
        self.list.iter().map(|promise| promise.units).sum()
    }

    /// Drops the promises that have ended.
    pub fn expire(&mut self, now: Instant) {
        while let Some(first) = self.list.front() {
            if now < first.due + GRACE {
                break;
            }
            self.list.pop_front();
        }
    }

    /// Returns the units that can be taken now so that each promise can still be kept.
    pub fn surplus(&self, units: f64, per_s: f64, now: Instant) -> f64 {
        let mut promised = 0.0;
        let mut surplus = units;
        for promise in &self.list {
            promised += promise.units;
            let until_due = promise.due.saturating_duration_since(now).as_secs_f64();
            surplus = surplus.min(units + per_s * until_due - promised);
        }
        surplus
    }

    /// Takes `units` of the promises that have fallen due, for a request that comes back. Returns
    /// whether there were as many.
    pub fn redeem(&mut self, units: f64, now: Instant) -> bool {
        let mut missing = units;
        while let Some(first) = self.list.front_mut().filter(|first| first.due <= now) {
            if first.units > missing {
                first.units -= missing;
                return true;
            }
            missing -= first.units;
            self.list.pop_front();
        }
        // Sums of merged promises have rounding errors.
        missing <= units * REDEEM_TOLERANCE
    }

    /// Reserves units for a request that is told to come back at `due`, as far as that is possible.
    pub fn add(&mut self, due: Instant, units: f64, now: Instant) {
        if due > now + MAX_AHEAD {
            return;
        }
        // A change of the rate can make a later promise fall due earlier.
        let last_due = self.list.back().map(|last| last.due);
        let due = last_due.map_or(due, |last| last.max(due));
        if let Some(last) = self.list.back_mut()
            && due < last.due + MERGED
        {
            last.units += units;
        } else if self.list.len() < MAX_PROMISES {
            self.list.push_back(Promise { due, units });
        }
    }
}
