//! Which crashes are one event.
//!
//! Targets that are lost together, as with a rack, are one event: what ran on them has nothing to do
//! with it. Crashes at the same moment count as such, unless what is suspected was sent to the later
//! target once the earlier one had crashed under it, and no target crashed without it at that moment.

use super::Key;
use super::suspect::Record;
use std::collections::VecDeque;
use std::time::{Duration, Instant};

/// Crashes that are no further apart are at the same moment.
pub(super) const SAME_MOMENT: Duration = Duration::from_millis(20);

/// A crash in which what is suspected was at the target.
#[derive(Clone, Copy, Debug)]
pub(super) struct Involvement<'a> {
    pub crash: &'a Record,
    /// When the last of it was sent there.
    sent_at: Option<Instant>,
    /// Whether any of it was sent after another target had broken off under it.
    follows: bool,
}

impl<'a> Involvement<'a> {
    pub fn new(crash: &'a Record) -> Self {
        Self {
            crash,
            sent_at: None,
            follows: false,
        }
    }

    /// Adds a request that was sent to the target this long before the crash.
    pub fn add(&mut self, waited_ms: u64, follows: bool) {
        let sent_at = self.crash.at.checked_sub(Duration::from_millis(waited_ms));
        self.sent_at = self.sent_at.max(sent_at);
        self.follows |= follows;
    }
}

/// All crashes that are known, in the order of their times.
#[derive(Clone, Copy, Debug)]
pub(super) struct Timeline<'a>(pub &'a VecDeque<Record>);

impl Timeline<'_> {
    /// Returns whether two crashes that `key` was involved in are two events.
    pub fn are_separate(
        self,
        key: &Key,
        earlier: &Involvement<'_>,
        later: &Involvement<'_>,
    ) -> bool {
        if later.crash.at > earlier.crash.at + SAME_MOMENT {
            return true;
        }
        let sent_after = later
            .sent_at
            .is_some_and(|sent_at| sent_at >= earlier.crash.at);
        (later.follows || sent_after) && self.crashed_only_under(key, earlier, later)
    }

    /// Returns whether no target crashed at the moment of these crashes without `key`.
    fn crashed_only_under(
        self,
        key: &Key,
        earlier: &Involvement<'_>,
        later: &Involvement<'_>,
    ) -> bool {
        let mut near = self.0.iter().filter(|crash| {
            crash.at + SAME_MOMENT >= earlier.crash.at && crash.at <= later.crash.at + SAME_MOMENT
        });
        near.all(|crash| crash.involves(key))
    }
}
