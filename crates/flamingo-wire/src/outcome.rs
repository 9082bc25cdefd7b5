//! Whether a request has run, as far as that is known.

use serde::{Deserialize, Serialize};
use strum::{Display, EnumString, IntoStaticStr};

/// Whether a request may have run at a target.
///
/// The variants are ordered from the safest to the least safe for a retry: only
/// [`Verdict::NotRun`] allows a non-idempotent request to be retried.
///
/// ```
/// use flamingo_wire::Verdict;
///
/// assert_eq!(Verdict::NotRun.worse(Verdict::MayHaveRun), Verdict::MayHaveRun);
/// assert_eq!(Verdict::Ran.to_string(), "ran");
/// ```
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
    Ord,
    PartialEq,
    PartialOrd,
    Serialize,
)]
#[serde(rename_all = "kebab-case")]
#[strum(serialize_all = "kebab-case")]
pub enum Verdict {
    /// No byte of the request can have reached a handler, or the target reported that the request
    /// did not run.
    NotRun,
    /// The request was sent, and its result was not received.
    MayHaveRun,
    /// The target answered the request.
    Ran,
}

impl Verdict {
    /// Returns the less safe of two verdicts, to combine the verdicts of a request's attempts.
    #[must_use]
    pub fn worse(self, other: Self) -> Self {
        self.max(other)
    }
}
