//! What an entry holds of one workspace's quota.

use super::super::{LEASE, SHARE_DELAY, SHARED_PART, Terms};
use flamingo_wire::quota::{Grant, Use, Want, round_down};
use flamingo_wire::workspace::Quota;
use std::time::{Duration, Instant};

/// Time after its last use in which a workspace counts as in use.
const ACTIVE: Duration = Duration::from_secs(5);
/// Time over which use is averaged, in seconds.
const AVERAGING_S: f64 = 2.0;
/// Part that the newest request has in the mean cost.
const MEAN_PART: f64 = 0.1;
/// Part of the largest recent cost that remains with each further request.
const LARGEST_DECAY: f64 = 0.99;
/// Time of use for which credit is kept ahead, in seconds: until the answer to the next periodic
/// question, with a reserve for arrivals in groups.
const AHEAD_S: f64 = 0.3;
/// Questions after which the leader hears again of a workspace whose credit is enough. Credit lives for
/// two and a half intervals of questions.
const CREDIT_INTERVALS: u32 = 2;
/// The same for a workspace of which the entry holds no credit. A share is leased for many intervals.
const SHARE_INTERVALS: u32 = 5;
/// Credit that is kept, as a multiple of the credit that is wanted: what is above is given back.
const KEPT_FACTOR: f64 = 1.5;

/// A leased part of the rate.
#[derive(Clone, Copy, Debug)]
struct Share {
    per_s: f64,
    /// The whole rate from which it was taken.
    of_per_s: f64,
    until: Instant,
    /// Units saved up since the entry last lost the leader, as of `saved_at`.
    saved: f64,
    saved_at: Instant,
}

impl Share {
    /// Reduces the share to its part of a limit that is lower than when the share was leased.
    fn lower(&mut self, quota: &Quota) {
        if quota.per_s < self.of_per_s {
            self.per_s *= quota.per_s / self.of_per_s;
            self.of_per_s = quota.per_s;
        }
    }

    fn saving(&self, quota: &Quota, terms: &Terms) -> f64 {
        terms.share_saving(quota) * self.per_s / (self.of_per_s * SHARED_PART)
    }

    fn fill(&mut self, quota: &Quota, terms: &Terms, usable_from: Instant, now: Instant) {
        let from = self.saved_at.max(usable_from);
        let until = now.min(self.until);
        let elapsed_s = until.saturating_duration_since(from).as_secs_f64();
        let saved = self.saved + self.per_s * elapsed_s;
        self.saved = saved.min(self.saving(quota, terms));
        self.saved_at = self.saved_at.max(now);
    }
}

/// What a request gets from a share.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) enum FromShare {
    Taken,
    /// After this time.
    Wait(Duration),
    /// There is no share, or it never saves up enough.
    Nothing,
}

/// What an entry holds of one quota, and how it uses it.
#[derive(Debug)]
pub(super) struct Balance {
    terms: Terms,
    quota: Quota,
    credit: f64,
    credit_until: Instant,
    share: Option<Share>,
    /// The share that the last answered question stated; the leader counts it until another one.
    stated: f64,
    /// Mean use in units a second at `used_at`.
    rate: f64,
    used_at: Instant,
    mean: f64,
    largest: f64,
    /// When the leader next has to hear of this workspace while it is active.
    pub report_at: Instant,
}

impl Balance {
    pub fn new(quota: Quota, terms: Terms, now: Instant) -> Self {
        Self {
            terms,
            quota,
            credit: 0.0,
            credit_until: now,
            share: None,
            stated: 0.0,
            rate: 0.0,
            used_at: now,
            mean: 0.0,
            largest: 0.0,
            report_at: now,
        }
    }

    pub fn set_quota(&mut self, quota: Quota) {
        self.quota = quota;
        if let Some(share) = &mut self.share {
            share.lower(&quota);
        }
    }

    /// Returns whether the leader has to hear of this workspace.
    pub fn is_active(&self, now: Instant) -> bool {
        self.is_used(now) || self.stated > 0.0 || self.share.is_some_and(|share| now < share.until)
    }

    fn is_used(&self, now: Instant) -> bool {
        self.mean > 0.0 && now < self.used_at + ACTIVE
    }

    /// Takes the cost of a request from credit. Returns whether there is enough.
    pub fn take_credit(&mut self, units: f64, now: Instant) -> bool {
        let is_enough = now < self.credit_until && self.credit >= units;
        if is_enough {
            self.credit -= units;
        }
        is_enough
    }

    /// Returns whether the credit may be too little for the next request.
    pub fn runs_low(&self) -> bool {
        self.credit < self.largest
    }

    /// Takes the cost of a request from the share of an entry that last heard from a leader at
    /// `heard_at`.
    pub fn take_share(&mut self, units: f64, heard_at: Instant, now: Instant) -> FromShare {
        let usable_from = heard_at + SHARE_DELAY;
        let (quota, terms) = (self.quota, self.terms);
        let Some(share) = self.share.as_mut().filter(|share| now < share.until) else {
            return FromShare::Nothing;
        };
        share.fill(&quota, &terms, usable_from, now);
        if share.saved >= units {
            share.saved -= units;
            return FromShare::Taken;
        }
        if units > share.saving(&quota, &terms) {
            return FromShare::Nothing;
        }
        let wait_s = (units - share.saved) / share.per_s;
        match Duration::try_from_secs_f64(wait_s) {
            Ok(wait) if now + wait < share.until => FromShare::Wait(wait),
            _ => FromShare::Nothing,
        }
    }

    /// Gives back the cost of a request that was not sent. All credit then expires no later than
    /// that of the request would have.
    pub fn give_back(&mut self, units: f64, until: Instant, now: Instant) {
        if now >= until {
            return;
        }
        if now < self.credit_until {
            self.credit += units;
            self.credit_until = self.credit_until.min(until);
        } else {
            self.credit = units;
            self.credit_until = until;
        }
    }

    /// Counts a request that was admitted.
    pub fn record_use(&mut self, units: f64, now: Instant) {
        self.rate = self.rate_at(now) + units / AVERAGING_S;
        self.used_at = now;
        self.mean = if self.mean > 0.0 {
            self.mean + (units - self.mean) * MEAN_PART
        } else {
            units
        };
        self.largest = units.max(self.largest * LARGEST_DECAY);
    }

    fn rate_at(&self, now: Instant) -> f64 {
        let idle_s = now.saturating_duration_since(self.used_at).as_secs_f64();
        self.rate * (-idle_s / AVERAGING_S).exp()
    }

    /// Returns what the next question says, and drops the credit that it gives back.
    pub fn state(&mut self, workspace: &str, wants: Vec<Want>, now: Instant) -> Use {
        if now >= self.credit_until {
            self.credit = 0.0;
        }
        let is_used = self.is_used(now);
        let rate = if is_used { self.rate_at(now) } else { 0.0 };
        let target = if is_used {
            rate * AHEAD_S + self.largest
        } else {
            0.0
        };
        let held = self.credit.min((target * KEPT_FACTOR).ceil());
        let returned = self.credit - held;
        self.credit = held;
        let holds_credit = held > 0.0 || target > 0.0;
        let intervals = if holds_credit {
            CREDIT_INTERVALS
        } else {
            SHARE_INTERVALS
        };
        self.report_at = now + self.terms.question_interval * intervals;
        let share = self.share.filter(|share| now < share.until);
        let share_ms = share.map_or(0, |share| {
            // Rounded up: the leader must not count it for a shorter time than it is used.
            let left = share.until.saturating_duration_since(now);
            u64::try_from(left.as_millis() + 1).unwrap_or(u64::MAX)
        });
        Use {
            workspace: workspace.to_owned(),
            held,
            returned,
            rate: round_down(rate),
            mean: round_down(self.mean),
            ahead: (target - held).max(0.0).ceil(),
            share: share.map_or(0.0, |share| share.per_s),
            share_ms,
            wants,
        }
    }

    /// Adopts what the leader grants to a question that was sent at `asked_at` and stated `stated`
    /// as the share.
    pub fn adopt(&mut self, grant: &Grant, stated: f64, asked_at: Instant, now: Instant) {
        self.stated = stated;
        if now >= self.credit_until {
            self.credit = 0.0;
        }
        if grant.renewed || self.credit <= 0.0 {
            self.credit_until = asked_at + self.terms.credit_lifetime;
        }
        self.credit += grant.credit;
        if self.credit <= 0.0 {
            // The leader has no credit to grant; asking more often would not help.
            self.report_at = asked_at + self.terms.question_interval * SHARE_INTERVALS;
        }
        let mut share = Share {
            per_s: grant.share,
            of_per_s: grant.per_s,
            until: asked_at + LEASE,
            saved: 0.0,
            saved_at: now,
        };
        share.lower(&self.quota);
        self.share = (grant.share > 0.0).then_some(share);
    }
}
