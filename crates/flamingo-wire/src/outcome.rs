//! What is known of whether a request has run.

use serde::{Deserialize, Serialize};
use strum::{Display, EnumString, IntoStaticStr};

/// Whether a request may have run at a target.
///
/// The order is from best to worst for a repeat: only [`Verdict::NotRun`]
/// allows a non-idempotent request to be sent again.
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
    /// No byte of the request can have reached a handler, or the target said so.
    NotRun,
    /// The request was sent and its end was not seen.
    MayHaveRun,
    /// The target answered the request.
    Ran,
}

impl Verdict {
    /// Returns the worse of two verdicts: that of a request over its attempts.
    #[must_use]
    pub fn worse(self, other: Self) -> Self {
        self.max(other)
    }
}
