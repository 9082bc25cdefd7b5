//! The refills that were promised to rejected requests, in the order in which they fall due.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

/// Time after which a promise ends whose request has not come back. Callers that come back do so
/// at the time that they were told, plus their way here.
const GRACE: Duration = Duration::from_millis(200);
/// Promises that fall due within this time of each other are kept as one.
const MERGED: Duration = Duration::from_millis(10);
/// The same for promises far ahead, as a part of the time until they fall due. It bounds their number
/// while all callers come back and the waits grow.
const MERGED_PART: u32 = 64;
/// Part of a request's cost that a promise may lack, or that is left of one that was redeemed: sums of
/// merged promises have rounding errors.
const REDEEM_TOLERANCE: f64 = 1e-6;
/// Largest number of promises: each newcomer is compared with all.
const MAX_PROMISES: usize = 512;
/// Part of promises that is taken to be redeemed before any has ended.
const FIRST_PART: f64 = 0.5;
/// Number of the latest requests that count in the part of promises that is redeemed.
const REMEMBERED: f64 = 20.0;
/// Standard deviations of what is redeemed that are reserved above its mean. Of few promises either
/// nothing is redeemed or much more than the mean.
const DEVIATIONS: f64 = 2.0;

/// Units that rejected requests were told to come back for.
#[derive(Clone, Copy, Debug)]
struct Promise {
    /// When the first of the requests may come back.
    due: Instant,
    /// When the promise ends.
    until: Instant,
    amount: Amount,
}

/// Costs of several requests.
#[derive(Clone, Copy, Debug, Default)]
struct Amount {
    units: f64,
    /// Sum of the squares of the costs, from which the deviation of what is redeemed follows.
    squares: f64,
}

impl Amount {
    fn of(units: f64) -> Self {
        Self {
            units,
            squares: units * units,
        }
    }

    fn add(&mut self, other: Self) {
        self.units += other.units;
        self.squares += other.squares;
    }

    /// Takes units out, and their part of the squares. Returns what was taken.
    fn take(&mut self, units: f64) -> Self {
        let taken = Self {
            units,
            squares: self.squares * units / self.units.max(f64::MIN_POSITIVE),
        };
        self.units -= taken.units;
        self.squares -= taken.squares;
        taken
    }

    /// Returns about how many requests these are.
    fn requests(&self) -> f64 {
        self.units * self.units / self.squares.max(f64::MIN_POSITIVE)
    }
}

/// The promises of one bucket.
#[derive(Debug)]
pub(super) struct Promises {
    /// Ordered by the time at which they fall due.
    list: VecDeque<Promise>,
    /// Part of the latest promises that was redeemed.
    redeemed_part: f64,
    /// Number of requests from which that is known.
    ended: f64,
}

impl Default for Promises {
    fn default() -> Self {
        Self {
            list: VecDeque::new(),
            redeemed_part: FIRST_PART,
            ended: 0.0,
        }
    }
}

impl Promises {
    /// Returns the units that are promised.
    pub fn total(&self) -> f64 {
        let promised = self.list.iter();
        promised.map(|promise| promise.amount.units).sum()
    }

    /// Returns the units that are reserved for the promises.
    pub fn reserved(&self) -> f64 {
        let mut sum = Amount::default();
        for promise in &self.list {
            sum.add(promise.amount);
        }
        self.reserve(sum)
    }

    /// Returns the units that are reserved for promises of this amount: what is redeemed of them in
    /// the mean, and what it deviates by.
    fn reserve(&self, promised: Amount) -> f64 {
        let part = self.redeemed_part;
        let deviation = (part * (1.0 - part) * promised.squares).max(0.0).sqrt();
        promised
            .units
            .min(promised.units * part + deviation * DEVIATIONS)
    }

    /// Drops the promises that have ended.
    pub fn expire(&mut self, now: Instant) {
        while let Some(first) = self.list.front().copied() {
            if now < first.until {
                break;
            }
            self.learn(first.amount, 0.0);
            self.list.pop_front();
        }
    }

    /// Returns the units that can be taken now so that the promises can still be kept.
    pub fn surplus(&self, units: f64, per_s: f64, now: Instant) -> f64 {
        let mut promised = Amount::default();
        let mut surplus = units;
        for promise in &self.list {
            promised.add(promise.amount);
            let until_due = promise.due.saturating_duration_since(now).as_secs_f64();
            surplus = surplus.min(units + per_s * until_due - self.reserve(promised));
        }
        surplus
    }

    /// Takes `units` of the promises that have fallen due, for a request that comes back. Returns
    /// `false`, and takes nothing, if there are not as many.
    pub fn redeem(&mut self, units: f64, now: Instant) -> bool {
        let due = self.list.iter().take_while(|promise| promise.due <= now);
        let promised: f64 = due.map(|promise| promise.amount.units).sum();
        if promised < units * (1.0 - REDEEM_TOLERANCE) {
            return false;
        }
        let mut missing = units;
        while let Some(first) = self.list.front_mut().filter(|first| first.due <= now) {
            let taken = first.amount.take(missing.min(first.amount.units));
            if first.amount.units <= units * REDEEM_TOLERANCE {
                self.list.pop_front();
            }
            self.learn(taken, 1.0);
            missing -= taken.units;
            if missing <= 0.0 {
                break;
            }
        }
        true
    }

    /// Reserves units for a request that is told to come back at `due`, as far as that is possible.
    pub fn add(&mut self, due: Instant, units: f64, now: Instant) {
        let merged = MERGED.max(due.saturating_duration_since(now) / MERGED_PART);
        // What is reserved changes with the part that is redeemed, so that a later promise may fall
        // due earlier.
        let later = self.list.partition_point(|promise| promise.due <= due);
        let earlier = later.checked_sub(1);
        let earlier = earlier.and_then(|index| self.list.get_mut(index));
        if let Some(earlier) = earlier
            && due < earlier.due + merged
        {
            earlier.amount.add(Amount::of(units));
            earlier.until = earlier.until.max(due + GRACE);
        } else if self.list.len() < MAX_PROMISES {
            let promise = Promise {
                due,
                until: due + GRACE,
                amount: Amount::of(units),
            };
            self.list.insert(later, promise);
        }
    }

    /// Learns how much of an amount was redeemed, from 0 to 1.
    fn learn(&mut self, amount: Amount, part: f64) {
        let requests = amount.requests();
        self.ended = (self.ended + requests).min(REMEMBERED);
        let remaining = (1.0 - 1.0 / (self.ended + 1.0)).powf(requests);
        self.redeemed_part = part + (self.redeemed_part - part) * remaining;
    }
}
