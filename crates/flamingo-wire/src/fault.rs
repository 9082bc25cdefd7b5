//! The error that crosses process borders.

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
    /// No such model, profile or service.
    Unknown,
    /// No target can take it now.
    Overloaded,
    /// The promise can't be met and the profile says to refuse.
    Late,
    /// The asked instance does not lead and knows no leader.
    Leaderless,
    /// Another instance leads.
    Redirect,
    /// The version is not the one in force.
    Conflict,
    /// The same key was used with another body.
    Reused,
    /// The target failed or fell silent.
    Target,
    /// The process is stopping.
    Stopping,
    /// A disk failed or is full.
    Storage,
}

/// A refusal with its place and what to do.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Fault {
    /// Why.
    pub reason: Reason,
    /// Whether the request may have run.
    pub verdict: Verdict,
    /// What was wrong, and where.
    pub message: String,
    /// What to do about it.
    pub help: String,
    /// When to come back, in seconds from the answer, where that can help.
    pub retry_after: Option<u32>,
    /// Who leads, where the reason is [`Reason::Redirect`].
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

    /// Says when to come back, in seconds.
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
