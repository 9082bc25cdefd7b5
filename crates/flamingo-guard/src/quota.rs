//! Keeps what workspaces use within their quotas, over all entries together.
//!
//! The leader keeps a token bucket for each workspace ([`ledger`]). Entries get credit from it that
//! expires, and a leased share of the rate that they use while they reach no leader ([`account`]).
//! `docs/design/quotas.md` says why no window exceeds the quota whatever fails. What a window may hold
//! beyond the quota is an operator's [`Allowance`], from which the [`Terms`] are derived.

pub mod account;
pub mod ledger;
mod terms;

pub use terms::{Allowance, Problem, Terms};

use flamingo_wire::workspace::{Quota, Unit};
use std::time::Duration;

/// Time from the sending of a question for which the share of its answer is leased.
pub const LEASE: Duration = Duration::from_secs(10);
/// Time without an answer after which an entry uses its share.
pub const SHARE_DELAY: Duration = Duration::from_secs(1);
/// Time without a confirmed answer after which the leader withholds an entry's share. It is shorter
/// than [`SHARE_DELAY`], so that a share is withheld before it is used.
pub const SILENCE: Duration = Duration::from_millis(500);
/// Part of the rate that is leased as shares. A new leader withholds all that an earlier one may have
/// leased until [`LEASE`] ends; the remaining part refills the buckets meanwhile.
pub const SHARED_PART: f64 = 0.3;
/// Tokens that a request usually costs. Where requests are counted, this many tokens are one.
const REQUEST_TOKENS: f64 = 2_500.0;

/// Returns the cost of a request in units of a quota.
///
/// `tokens` is the sum of the prompt and the largest output; a request that names neither a model
/// nor tokens costs what the quota sets for it.
///
/// ```
/// use flamingo_guard::quota::cost;
/// use flamingo_wire::workspace::{Quota, Unit};
///
/// let quota = Quota { unit: Unit::Tokens, plain_units: 200.0, ..Quota::default() };
/// assert_eq!(cost(&quota, true, 2_500), 2_500.0);
/// assert_eq!(cost(&quota, false, 0), 200.0);
/// ```
#[must_use]
pub fn cost(quota: &Quota, has_model: bool, tokens: u32) -> f64 {
    match quota.unit {
        Unit::Requests => 1.0,
        Unit::Tokens if tokens == 0 && !has_model => quota.plain_units,
        Unit::Tokens => f64::from(tokens),
    }
}

/// Returns whether a quota limits anything: a rate of 0 means no limit.
#[must_use]
pub fn limits(quota: &Quota) -> bool {
    quota.per_s > 0.0
}

/// Returns a number of tokens in the units of a quota.
fn in_units(quota: &Quota, tokens: f64) -> f64 {
    match quota.unit {
        Unit::Requests => tokens / REQUEST_TOKENS,
        Unit::Tokens => tokens,
    }
}

/// Returns the units a second that all shares of a workspace are leased together.
fn shared_rate(quota: &Quota) -> f64 {
    quota.per_s * SHARED_PART
}
