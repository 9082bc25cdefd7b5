//! Times and amounts that follow from what the operator allows in a window.

use super::in_units;
use flamingo_wire::workspace::Quota;
use std::fmt;
use std::time::Duration;

/// Least time that the overage must leave. Credit lives for 5/8 of it, and its holder must have asked
/// and been answered within 3/10 of that, from another zone too.
const MIN_TOLERANCE: Duration = Duration::from_millis(80);
/// Part of the window above which the overage is not used. Credit and requests on their way outlive a
/// lowered limit by 5/8 of the tolerance each, and must have ended after one window.
const MAX_TOLERANCE_PART: f64 = 0.5;
/// Longest time from the sending of a question after which its answer no longer counts.
const MAX_ANSWER_TIMEOUT: Duration = Duration::from_millis(150);
/// Longest interval of questions: an entry whose answers are not confirmed within
/// [`SILENCE`](super::SILENCE) counts as silent, and its share is withheld.
const MAX_QUESTION_INTERVAL: Duration = Duration::from_millis(200);

/// What an operator allows to be used in a window: `(rate × window + burst) × (1 + overage) + slack`.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Allowance {
    /// Window over which use is counted.
    pub window: Duration,
    /// Part of the quota that may be used beyond it.
    pub overage: f64,
    /// Tokens that may be used beyond quota and overage.
    pub slack: f64,
}

impl Default for Allowance {
    fn default() -> Self {
        Self {
            window: Duration::from_secs(8),
            overage: 0.1,
            slack: 17_000.0,
        }
    }
}

/// Why no quota can be held within an allowance.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Problem {
    /// Overage and window leave only this time, in seconds, in which a request can be admitted and sent.
    Tolerance(f64),
    /// The slack is negative or not finite.
    Slack(f64),
}

impl fmt::Display for Problem {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Tolerance(seconds) => write!(
                out,
                "the overage times the window is {seconds} s, but must be at least {} s: no request can be \
                 admitted and sent in less",
                MIN_TOLERANCE.as_secs_f64()
            ),
            Self::Slack(tokens) => {
                write!(out, "the slack is {tokens}, but must be a number from 0 on")
            }
        }
    }
}

/// Times and amounts by which quotas are kept within an [`Allowance`].
///
/// All of them scale with the tolerance, which is overage × window, or with the slack. Their parts add
/// up to at most the whole: reserve and time to send to the tolerance; debt, reserve and savings of
/// shares to 16/17 of the slack. What shares save up and send late takes the place of the time to send.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Terms {
    /// Window over which the use of a workspace is counted.
    pub window: Duration,
    /// Time from the sending of a question after which the credit of its answer has expired.
    pub credit_lifetime: Duration,
    /// Time from its admission within which a request must be sent. What waits for longer adds to a
    /// later window, and must be admitted anew.
    pub send_timeout: Duration,
    /// The same for a request that a share has paid for: shares also save up.
    pub share_send_timeout: Duration,
    /// Time from the sending of a question after which its answer no longer counts.
    pub answer_timeout: Duration,
    /// Interval of the questions of an entry that uses quotas. Two fit into the lifetime of credit.
    pub question_interval: Duration,
    /// Time for which shares save up what they are not used for, in seconds.
    pub share_saving_s: f64,
    /// Tokens that all shares of a workspace may save up beyond `share_saving_s`, so that shares of
    /// small workspaces can pay for a whole request.
    pub share_saving_tokens: f64,
    /// Time for which a bucket gains beyond the burst, in seconds.
    pub reserve_s: f64,
    /// Tokens that a bucket gains beyond the burst and `reserve_s`: a small bucket would often be full
    /// between two requests, and give less than the limit.
    pub reserve_tokens: f64,
    /// Largest debt that one request may leave, in tokens.
    pub max_debt_tokens: f64,
}

impl Default for Terms {
    fn default() -> Self {
        Self::derive(Allowance::default())
    }
}

impl Terms {
    /// Returns the terms that keep each window within `allowance`.
    ///
    /// # Errors
    ///
    /// Returns why no quota can be held within it.
    ///
    /// ```
    /// use flamingo_guard::quota::{Allowance, Terms};
    /// use std::time::Duration;
    ///
    /// let allowance = Allowance { window: Duration::from_secs(16), ..Allowance::default() };
    /// let terms = Terms::new(allowance).expect("enforceable");
    /// assert_eq!(terms.credit_lifetime, Duration::from_secs(1));
    /// assert!(Terms::new(Allowance { overage: 0.0, ..allowance }).is_err());
    /// ```
    pub fn new(allowance: Allowance) -> Result<Self, Problem> {
        let Allowance {
            window,
            overage,
            slack,
        } = allowance;
        let tolerance_s = window.as_secs_f64() * overage.min(MAX_TOLERANCE_PART);
        if !overage.is_finite() || tolerance_s < MIN_TOLERANCE.as_secs_f64() {
            return Err(Problem::Tolerance(tolerance_s));
        }
        if !slack.is_finite() || slack < 0.0 {
            return Err(Problem::Slack(slack));
        }
        Ok(Self::derive(allowance))
    }

    fn derive(allowance: Allowance) -> Self {
        let overage = allowance.overage.min(MAX_TOLERANCE_PART);
        let tolerance = allowance.window.mul_f64(overage);
        let credit_lifetime = tolerance.mul_f64(5.0 / 8.0);
        let tolerance_s = tolerance.as_secs_f64();
        let slack = allowance.slack;
        Self {
            window: allowance.window,
            credit_lifetime,
            send_timeout: credit_lifetime,
            share_send_timeout: tolerance / 8,
            answer_timeout: credit_lifetime.mul_f64(0.3).min(MAX_ANSWER_TIMEOUT),
            question_interval: credit_lifetime.mul_f64(0.4).min(MAX_QUESTION_INTERVAL),
            share_saving_s: tolerance_s / 2.0,
            share_saving_tokens: slack * 5.0 / 17.0,
            reserve_s: tolerance_s * 3.0 / 8.0,
            reserve_tokens: slack * 5.0 / 17.0,
            max_debt_tokens: slack * 6.0 / 17.0,
        }
    }

    /// Returns the largest debt that one request may leave.
    pub(super) fn max_debt(&self, quota: &Quota) -> f64 {
        in_units(quota, self.max_debt_tokens)
    }

    /// Returns what a bucket holds at most, together with the credit that entries hold.
    pub(super) fn bucket_size(&self, quota: &Quota) -> f64 {
        quota.burst + quota.per_s * self.reserve_s + in_units(quota, self.reserve_tokens)
    }

    /// Returns the units that all shares of a workspace may save up together.
    pub(super) fn share_saving(&self, quota: &Quota) -> f64 {
        quota.per_s * self.share_saving_s + in_units(quota, self.share_saving_tokens)
    }
}
