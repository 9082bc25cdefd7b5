//! Names the limit that decides when a request ends without an answer of a target.

use crate::wire::Cause;
use strum::{EnumIter, IntoStaticStr};

/// The limit that decided. The names are those of the log lines.
#[derive(Clone, Copy, Debug, EnumIter, Eq, IntoStaticStr, PartialEq)]
#[strum(serialize_all = "snake_case")]
pub enum Limit {
    /// The quota of the workspace.
    Quota,
    /// The room at targets, or the memory of the entry.
    Room,
    /// The part of scarce room that the workspace may use.
    Share,
    /// The caller's key.
    Key,
}

impl Limit {
    /// Returns the limit that a cause stands for; `None` for a cause that is no limit, such as a target
    /// that failed.
    ///
    /// ```
    /// use flamingo_serve::limit::Limit;
    /// use flamingo_serve::wire::Cause;
    ///
    /// assert_eq!(Limit::of(Cause::OverQuota), Some(Limit::Quota));
    /// assert_eq!(Limit::of(Cause::Broken), None);
    /// ```
    #[must_use]
    pub fn of(cause: Cause) -> Option<Self> {
        match cause {
            Cause::OverQuota | Cause::QuotaUnknown => Some(Self::Quota),
            Cause::NoRoom | Cause::Paused | Cause::NoMemory => Some(Self::Room),
            Cause::OverShare => Some(Self::Share),
            Cause::Unauthenticated | Cause::UnsureKey => Some(Self::Key),
            Cause::Unreadable
            | Cause::TooLarge
            | Cause::NoRoute
            | Cause::UnsureRoute
            | Cause::NoRoutes
            | Cause::NoTarget
            | Cause::NoModel
            | Cause::UnknownOrigin
            | Cause::Quarantined
            | Cause::NoBudget
            | Cause::Broken
            | Cause::Late
            | Cause::Stopping => None,
        }
    }

    /// Returns the name of the limit that a cause stands for, for the log.
    ///
    /// ```
    /// use flamingo_serve::limit::Limit;
    /// use flamingo_serve::wire::Cause;
    ///
    /// assert_eq!(Limit::name(Cause::NoRoom), Some("room"));
    /// ```
    #[must_use]
    pub fn name(cause: Cause) -> Option<&'static str> {
        Self::of(cause).map(Into::into)
    }
}
