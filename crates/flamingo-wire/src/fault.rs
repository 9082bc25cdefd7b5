//! The error type that processes send to each other and to callers.

use crate::id;
use crate::outcome::Verdict;
use serde::{Deserialize, Serialize};
use std::fmt;
use strum::{Display, EnumString, IntoStaticStr};

/// Why a request was refused.
#[derive(
    Clone,
    Copy,
    Debug,
    Deserialize,
    Display,
    EnumString,
    Eq,
    Hash,
    IntoStaticStr,
    PartialEq,
    Serialize,
)]
#[serde(rename_all = "kebab-case")]
#[strum(serialize_all = "kebab-case")]
pub enum Reason {
    /// The request itself is wrong.
    Invalid,
    /// The key is missing or wrong.
    Unauthorized,
    /// No model, profile or service has the given name.
    Unknown,
    /// No target has capacity for the request.
    Overloaded,
    /// The latency objective can't be met, and the profile rejects late requests.
    Late,
    /// The instance does not lead and knows no leader.
    Leaderless,
    /// Another instance leads.
    Redirect,
    /// The given version is not the one in force.
    Conflict,
    /// The idempotency key was already used for another request.
    Reused,
    /// The target failed or stopped answering.
    Target,
    /// The process is stopping.
    Stopping,
    /// A disk failed or is full.
    Storage,
}

/// A refusal, with its reason and advice for the caller.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Fault {
    /// Reason of the refusal.
    pub reason: Reason,
    /// Whether the request may have run.
    pub verdict: Verdict,
    /// Description of the problem and where it occurred.
    pub message: String,
    /// Advice on how to solve the problem.
    pub help: String,
    /// Seconds after which to retry; `None` where a retry can't help.
    pub retry_after: Option<u32>,
    /// Name of the leader, where the reason is [`Reason::Redirect`].
    pub leader: Option<id::Node>,
}

impl Fault {
    /// Builds a fault of a request that did not run.
    ///
    /// ```
    /// use flamingo_wire::{Fault, Verdict, fault::Reason};
    ///
    /// let fault = Fault::not_run(Reason::Unknown, "no model 'x'", "see GET /v1/models");
    /// assert_eq!(fault.verdict, Verdict::NotRun);
    /// ```
    #[must_use]
    pub fn not_run(reason: Reason, message: impl Into<String>, help: impl Into<String>) -> Self {
        Self {
            reason,
            verdict: Verdict::NotRun,
            message: message.into(),
            help: help.into(),
            retry_after: None,
            leader: None,
        }
    }

    /// Replaces the verdict.
    #[must_use]
    pub fn verdict(mut self, verdict: Verdict) -> Self {
        self.verdict = verdict;
        self
    }

    /// Sets the number of seconds after which to retry.
    #[must_use]
    pub fn retry_after(mut self, seconds: u32) -> Self {
        self.retry_after = Some(seconds);
        self
    }
}

impl fmt::Display for Fault {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(out, "{} ({}, {})", self.message, self.reason, self.verdict)
    }
}

impl std::error::Error for Fault {}
