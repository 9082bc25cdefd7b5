//! What entries may hold of one workspace: credit that has not expired, and leased shares.

use super::super::{LEASE, Terms, shared_rate};
use super::{Entry, Key};
use flamingo_wire::quota::Use;
use flamingo_wire::workspace::Quota;
use std::collections::HashMap;
use std::time::{Duration, Instant};

/// Interval at which shares are divided anew.
const DIVISION_INTERVAL: Duration = Duration::from_millis(200);
/// Part of the least use of an entry that gets a share, below which another one does not: use varies
/// until shares are divided anew.
const LEAST_PART: f64 = 0.7;

/// What one entry may hold.
#[derive(Debug)]
struct Holding {
    credit: f64,
    credit_until: Instant,
    /// The largest share that the entry may hold: the one that it had when it asked, or the one
    /// that it was answered.
    share: f64,
    share_until: Instant,
    /// Recent use in units a second.
    rate: f64,
    rate_until: Instant,
    /// Mean cost of its requests.
    mean: f64,
}

impl Holding {
    fn new(now: Instant) -> Self {
        Self {
            credit: 0.0,
            credit_until: now,
            share: 0.0,
            share_until: now,
            rate: 0.0,
            rate_until: now,
            mean: 0.0,
        }
    }

    fn expire(&mut self, now: Instant) {
        if self.credit_until <= now {
            self.credit = 0.0;
        }
        if self.share_until <= now {
            self.share = 0.0;
        }
        if self.rate_until <= now {
            self.rate = 0.0;
        }
    }

    fn is_empty(&self) -> bool {
        self.credit <= 0.0 && self.share <= 0.0 && self.rate <= 0.0
    }
}

/// Sums over all entries, as of the last refresh and the changes since.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Sums {
    /// Credit ahead of use.
    pub credit: f64,
    /// Shares.
    pub shares: f64,
    /// Shares of silent entries, which may be in use.
    pub silent: f64,
}

/// What all entries may hold.
#[derive(Debug)]
pub(super) struct Holdings {
    terms: Terms,
    list: HashMap<Key, Holding>,
    pub sums: Sums,
    /// Use in units a second of the entries that get shares.
    used_per_s: f64,
    /// Least use in units a second of an entry that gets a share.
    least_per_s: f64,
    divided_at: Option<Instant>,
}

/// Credit and share of an entry, as its question states them.
#[derive(Clone, Copy, Debug)]
pub(super) struct Stated {
    /// Credit that the entry gave back and that was counted as its own.
    pub refund: f64,
    /// The share that the entry holds.
    pub share: f64,
    /// The same where this entry was not known: an earlier leader granted it.
    pub inherited: f64,
}

impl Holdings {
    pub fn new(terms: Terms) -> Self {
        Self {
            terms,
            list: HashMap::new(),
            sums: Sums::default(),
            used_per_s: 0.0,
            least_per_s: 0.0,
            divided_at: None,
        }
    }

    pub fn is_empty(&self) -> bool {
        self.list.is_empty()
    }

    /// Drops what has expired at `before`, and sums up; entries that are silent at `now` count as
    /// silent.
    pub fn refresh(&mut self, entries: &HashMap<Key, Entry>, before: Instant, now: Instant) {
        let mut sums = Sums::default();
        self.list.retain(|key, holding| {
            holding.expire(before);
            sums.credit += holding.credit;
            sums.shares += holding.share;
            if entries.get(key).is_none_or(|entry| entry.is_silent(now)) {
                sums.silent += holding.share;
            }
            !holding.is_empty()
        });
        self.sums = sums;
    }

    /// Adopts what an entry states in its question.
    pub fn adopt(&mut self, key: &Key, usage: &Use, now: Instant) -> Stated {
        let known = self.list.contains_key(key);
        let holding = self.list.entry(key.clone());
        let holding = holding.or_insert_with(|| Holding::new(now));
        let counted = if now < holding.credit_until {
            holding.credit
        } else {
            0.0
        };
        let held = non_negative(usage.held);
        let refund = non_negative(usage.returned).min(counted - held).max(0.0);
        self.sums.credit += held - holding.credit;
        holding.credit = held;
        holding.credit_until = now + self.terms.credit_lifetime;
        let lease = Duration::from_millis(usage.share_ms).min(LEASE);
        let share = if lease.is_zero() {
            0.0
        } else {
            non_negative(usage.share)
        };
        self.sums.shares += share - holding.share;
        if !known {
            self.sums.silent += share;
        }
        holding.share = share;
        holding.share_until = now + lease;
        holding.rate = non_negative(usage.rate);
        holding.rate_until = now + LEASE;
        holding.mean = non_negative(usage.mean);
        Stated {
            refund,
            share,
            inherited: if known { 0.0 } else { share },
        }
    }

    /// Records credit that an entry gets ahead of use, beside what it holds.
    pub fn add_credit(&mut self, key: &Key, credit: f64, now: Instant) {
        if let Some(holding) = self.list.get_mut(key) {
            holding.credit += credit;
            holding.credit_until = now + self.terms.credit_lifetime;
            self.sums.credit += credit;
        }
    }

    /// Records the share that an entry is answered.
    pub fn lease(&mut self, key: &Key, share: f64, now: Instant) {
        if let Some(holding) = self.list.get_mut(key) {
            let larger = share.max(holding.share);
            self.sums.shares += larger - holding.share;
            holding.share = larger;
            holding.share_until = now + LEASE;
        }
    }

    /// Returns the part of the rate that an entry should have as its share: by its use among the
    /// entries that use most.
    pub fn fair_share(&mut self, key: &Key, quota: &Quota, now: Instant) -> f64 {
        let divided = self.divided_at;
        if divided.is_none_or(|at| now >= at + DIVISION_INTERVAL) {
            self.divided_at = Some(now);
            self.divide(quota);
        }
        let rate = self.list.get(key).map_or(0.0, |holding| holding.rate);
        if rate <= 0.0 || rate < self.least_per_s * LEAST_PART {
            return 0.0;
        }
        shared_rate(quota) * (rate / self.used_per_s.max(rate))
    }

    /// Chooses the entries that get shares: those that use most, and no more of them than can each
    /// save up the mean cost of a request.
    fn divide(&mut self, quota: &Quota) {
        let using = self.list.values().filter(|holding| holding.rate > 0.0);
        let mut rates: Vec<f64> = using.clone().map(|holding| holding.rate).collect();
        rates.sort_unstable_by(|left, right| right.total_cmp(left));
        let used: f64 = rates.iter().sum();
        let costs: f64 = using.map(|holding| holding.mean * holding.rate).sum();
        let mean = costs / used.max(f64::MIN_POSITIVE);
        let saved = self.terms.share_saving(quota);
        self.used_per_s = rates.first().copied().unwrap_or(0.0);
        self.least_per_s = self.used_per_s;
        let mut sum = 0.0;
        for rate in rates {
            sum += rate;
            if saved * rate / sum >= mean {
                self.used_per_s = sum;
                self.least_per_s = rate;
            }
        }
    }
}

/// Returns a number from a message, with 0 for one that is negative or not finite.
pub(super) fn non_negative(number: f64) -> f64 {
    if number.is_finite() {
        number.max(0.0)
    } else {
        0.0
    }
}
