//! Keeps what workspaces use within their quotas, over all entries together.
//!
//! The leader keeps a token bucket for each workspace ([`ledger`]). Entries get credit from it that
//! expires, and a leased share of the rate that they use while they reach no leader ([`account`]).
//! `docs/design/quotas.md` says why no window exceeds the quota whatever fails.

pub mod account;
pub mod ledger;

use flamingo_wire::workspace::{Quota, Unit};
use std::time::Duration;

/// Time from the sending of a question after which the credit of its answer has expired. Rate × time
/// stays within the overage that the platform allows in a window.
pub const CREDIT_LIFETIME: Duration = Duration::from_millis(500);
/// Time from its admission within which a request must be sent. What waits for longer adds to a later
/// window, and must be admitted anew.
pub const SEND_TIMEOUT: Duration = Duration::from_millis(500);
/// The same for a request that a share has paid for: shares also save up.
pub const SHARE_SEND_TIMEOUT: Duration = Duration::from_millis(100);
/// Time from the sending of a question after which its answer no longer counts.
pub const ANSWER_TIMEOUT: Duration = Duration::from_millis(150);
/// Interval of the questions of an entry that uses quotas. Two fit into the lifetime of credit.
pub const QUESTION_INTERVAL: Duration = Duration::from_millis(200);
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
/// Time for which shares save up what they are not used for, in seconds.
const SHARE_SAVING_S: f64 = 0.4;
/// Tokens that all shares of a workspace may save up beyond `SHARE_SAVING_S`, so that shares of
/// small workspaces can pay for a whole request. This, `RESERVE_TOKENS` and `MAX_DEBT_TOKENS` stay
/// together within the 17,000 that the platform allows above the quota.
const SHARE_SAVING_TOKENS: f64 = 5_000.0;
/// Time for which a bucket gains beyond the burst, in seconds. With the lifetime of credit it stays
/// within the tenth of a window of 8 s that the platform allows above the quota.
const RESERVE_S: f64 = 0.3;
/// Tokens that a bucket gains beyond the burst and `RESERVE_S`: a small bucket would often be full
/// between two requests, and give less than the limit.
const RESERVE_TOKENS: f64 = 5_000.0;
/// Largest debt that one request may leave, in tokens.
const MAX_DEBT_TOKENS: f64 = 6_000.0;
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

/// Returns the largest debt that one request may leave.
fn max_debt(quota: &Quota) -> f64 {
    in_units(quota, MAX_DEBT_TOKENS)
}

/// Returns what a bucket holds at most, together with the credit that entries hold.
fn bucket_size(quota: &Quota) -> f64 {
    quota.burst + quota.per_s * RESERVE_S + in_units(quota, RESERVE_TOKENS)
}

/// Returns the units a second that all shares of a workspace are leased together.
fn shared_rate(quota: &Quota) -> f64 {
    quota.per_s * SHARED_PART
}

/// Returns the units that all shares of a workspace may save up together.
fn share_saving(quota: &Quota) -> f64 {
    quota.per_s * SHARE_SAVING_S + in_units(quota, SHARE_SAVING_TOKENS)
}
