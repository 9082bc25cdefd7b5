//! The token bucket of one workspace.

use super::super::{Terms, shared_rate};
use super::holdings::{Holdings, non_negative};
use super::promises::Promises;
use super::usage::Usage;
use super::{Entry, Key, Level};
use flamingo_wire::quota::{Decision, Grant, Use, Want, round_down};
use flamingo_wire::workspace::Quota;
use std::collections::HashMap;
use std::time::{Duration, Instant};

/// Interval at which expired and silent holdings are looked for. An entry uses its share half a
/// second after it counts as silent, so that a delay of this length does no harm.
const REFRESH_INTERVAL: Duration = Duration::from_millis(20);
/// Longest time that a request is told to wait.
const MAX_WAIT: Duration = Duration::from_mins(10);
/// Part of the bucket that is not granted as credit ahead of use. Credit that entries hold is renewed
/// only while all of it is at most this part of the bucket.
const KEPT_PART: f64 = 0.5;
/// Requests that a bucket holds at least, unless it counts as holding few. Such a bucket is often full
/// between two requests, and what it gains then is lost.
const FEW_REQUESTS: f64 = 6.0;
/// Time after a rejection in which the limit counts as reached.
const REACHED_RETENTION: Duration = Duration::from_secs(10);
/// Part of the rate that is taken to refill the bucket, at least, when a wait is computed: withheld
/// parts come back within seconds.
const MIN_REFILL_PART: f64 = 0.5;
/// Rounding error of a bucket's level, as a part of what is compared.
const TOLERANCE: f64 = 1e-9;

/// The bucket of one workspace, with what entries hold of it.
#[derive(Debug)]
pub(super) struct Bucket {
    terms: Terms,
    quota: Quota,
    units: f64,
    filled_at: Instant,
    refreshed_at: Instant,
    holdings: Holdings,
    promises: Promises,
    usage: Usage,
    /// Until when the limit counts as reached.
    reached_until: Instant,
    /// Part of the rate that shares of an earlier leader may be using, and until when.
    inherited: f64,
    inherited_until: Instant,
}

impl Bucket {
    /// Returns the bucket of a leadership that began at `start`. With an earlier leader, whose
    /// bucket may have been in debt, it begins with the largest debt, and all that is leased may be
    /// in use until `inherited_until`.
    pub fn new(
        quota: Quota,
        terms: Terms,
        start: Instant,
        inherited_until: Option<Instant>,
    ) -> Self {
        Self {
            terms,
            quota,
            units: inherited_until.map_or(0.0, |_| -terms.max_debt(&quota)),
            filled_at: start,
            refreshed_at: start,
            holdings: Holdings::new(terms),
            promises: Promises::default(),
            usage: Usage::new(terms.window, start),
            reached_until: start,
            inherited: inherited_until.map_or(0.0, |_| shared_rate(&quota)),
            inherited_until: inherited_until.unwrap_or(start),
        }
    }

    /// Fills the bucket until `now` and changes the limit from then on.
    pub fn set_quota(&mut self, quota: Quota, entries: &HashMap<Key, Entry>, now: Instant) {
        self.fill(entries, now);
        self.quota = quota;
        self.cap();
    }

    /// Decides on what an entry asks for.
    ///
    /// `is_silent` says that the entry may not have heard from this leader lately.
    pub fn serve(&mut self, key: &Key, usage: &Use, is_silent: bool, now: Instant) -> Grant {
        let stated = self.holdings.adopt(key, usage, now);
        self.inherited = (self.inherited - stated.inherited).max(0.0);
        self.units += stated.refund;
        self.usage.grant(-stated.refund, now);
        self.cap();
        self.promises.expire(now);
        let wants = usage.wants.iter();
        let decisions = wants.map(|want| self.decide_counted(*want, now)).collect();
        let credit = self.credit(usage, now);
        self.usage.grant(credit, now);
        self.holdings.add_credit(key, credit, now);
        let share = self.share(key, stated.share, is_silent, now);
        self.holdings.lease(key, share, now);
        Grant {
            credit,
            renewed: self.holdings.sums.credit <= self.most_credit(usage, now),
            share,
            per_s: if share > 0.0 { self.quota.per_s } else { 0.0 },
            decisions,
            ..Grant::default()
        }
    }

    /// Returns the state for logs and metrics.
    pub fn level(&mut self, entries: &HashMap<Key, Entry>, now: Instant) -> Level {
        self.fill(entries, now);
        self.promises.expire(now);
        let (granted, refused) = self.usage.sums(now);
        Level {
            granted,
            refused,
            units: self.units,
            withheld: self.quota.per_s - self.refill_per_s(now),
            leased: self.holdings.sums.shares,
            promised: self.promises.total(),
            reserved: self.promises.reserved(),
            ..Level::default()
        }
    }

    /// Fills the bucket in steps that are short enough to withhold the shares of entries that fall
    /// silent.
    pub fn fill(&mut self, entries: &HashMap<Key, Entry>, now: Instant) {
        while self.filled_at < now {
            let before = self.filled_at;
            let idle = self.holdings.is_empty() && before >= self.inherited_until;
            let next = if idle {
                now
            } else {
                now.min(before + REFRESH_INTERVAL)
            };
            if next >= self.refreshed_at + REFRESH_INTERVAL {
                self.holdings.refresh(entries, before, next);
                self.refreshed_at = next;
            }
            let elapsed_s = (next - before).as_secs_f64();
            self.units += self.refill_per_s(before) * elapsed_s;
            self.cap();
            self.filled_at = next;
        }
    }

    /// Keeps the bucket and the credit ahead of use within the size of the bucket together.
    fn cap(&mut self) {
        self.units = self.units.min(self.capacity());
    }

    fn capacity(&self) -> f64 {
        (self.terms.bucket_size(&self.quota) - self.holdings.sums.credit).max(0.0)
    }

    /// Returns the part of the rate that no share may be using.
    fn refill_per_s(&self, at: Instant) -> f64 {
        let withheld = self.holdings.sums.silent + self.inherited_at(at);
        (self.quota.per_s - withheld).max(0.0)
    }

    fn inherited_at(&self, at: Instant) -> f64 {
        if at < self.inherited_until {
            self.inherited
        } else {
            0.0
        }
    }

    /// Decides on a request that lacks credit, and counts its cost.
    fn decide_counted(&mut self, want: Want, now: Instant) -> Decision {
        let decision = self.decide(want, now);
        let cost = non_negative(want.units);
        match decision {
            Decision::Admitted => self.usage.grant(cost, now),
            Decision::Wait(_) => self.usage.refuse(cost, now),
            // It costs more than the quota ever allows: the workspace is not over its limit.
            Decision::TooLarge => {}
        }
        decision
    }

    /// Decides on a request that lacks credit.
    fn decide(&mut self, want: Want, now: Instant) -> Decision {
        let cost = non_negative(want.units);
        let max_debt = self.terms.max_debt(&self.quota);
        if cost > self.terms.bucket_size(&self.quota) + max_debt {
            return Decision::TooLarge;
        }
        let capacity = self.capacity();
        // A request above the burst leaves a debt, and so does one of which the bucket holds few: it
        // would often be full while the next one is too large for what it holds.
        let needed = if self.holds_few(cost) {
            (cost - max_debt).max(0.0)
        } else {
            cost.min(self.quota.burst).max(cost - max_debt)
        };
        let needed = needed.min(capacity) * (1.0 - TOLERANCE);
        let per_s = self.refill_per_s(now);
        let full = self.units >= capacity * (1.0 - TOLERANCE);
        let kept = want.returning && self.promises.redeem(cost, now);
        let is_enough = if kept {
            // Less may have been reserved than is redeemed: what is missing is owed.
            true
        } else if full {
            // A full bucket loses what it gains: where promises end without being redeemed, they must
            // not keep it full.
            self.units >= needed
        } else {
            let left = self.units - cost + max_debt;
            self.units >= needed && self.promises.surplus(left, per_s, now) >= 0.0
        };
        if is_enough && self.units - cost >= -max_debt {
            self.units -= cost;
            return Decision::Admitted;
        }
        self.reached_until = now + REACHED_RETENTION;
        let missing = (self.promises.reserved() + needed - self.units).max(0.0);
        let per_s = per_s.max(self.quota.per_s * MIN_REFILL_PART);
        let delay = Duration::try_from_secs_f64(missing / per_s).unwrap_or(MAX_WAIT);
        let delay = delay.min(MAX_WAIT);
        self.promises.add(now + delay, cost, now);
        // Rounded up, so that a caller that comes back at that time is not early.
        let wait_ms = delay.as_nanos().div_ceil(1_000_000).max(1);
        Decision::Wait(u64::try_from(wait_ms).unwrap_or(u64::MAX))
    }

    /// Returns the credit that all entries may hold of which one has this use.
    fn most_credit(&self, usage: &Use, now: Instant) -> f64 {
        if now < self.reached_until && self.holds_few(non_negative(usage.mean)) {
            // Credit of entries that don't use it would take the room in which the bucket gains what
            // others need.
            return 0.0;
        }
        self.terms.bucket_size(&self.quota) * (1.0 - KEPT_PART)
    }

    /// Returns whether the bucket holds only few requests of this cost.
    fn holds_few(&self, cost: f64) -> bool {
        self.terms.bucket_size(&self.quota) < cost * FEW_REQUESTS
    }

    /// Takes credit ahead of use, as far as the bucket stays half full. Credit that does not pay for
    /// a request is not granted.
    fn credit(&mut self, usage: &Use, now: Instant) -> f64 {
        if self.most_credit(usage, now) <= 0.0 {
            return 0.0;
        }
        let per_s = self.refill_per_s(now);
        let surplus = self.promises.surplus(self.units, per_s, now);
        let available = (surplus - self.terms.bucket_size(&self.quota) * KEPT_PART).max(0.0);
        let credit = round_down(non_negative(usage.ahead).min(available));
        if credit + non_negative(usage.held) < non_negative(usage.mean) {
            return 0.0;
        }
        self.units -= credit;
        credit
    }

    /// Returns the new share of an entry. It grows only by what nobody else may hold, and only where
    /// the entry has confirmed an answer lately: otherwise it would be withheld at once.
    fn share(&mut self, key: &Key, stated: f64, is_silent: bool, now: Instant) -> f64 {
        let others = self.holdings.sums.shares - stated;
        let free = shared_rate(&self.quota) - self.inherited_at(now) - others;
        let fair = self.holdings.fair_share(key, &self.quota, now);
        let most = if is_silent { fair.min(stated) } else { fair };
        round_down(most.min(free.max(0.0)))
    }
}
