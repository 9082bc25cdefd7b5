//! The entries that share the slack of the retry budget.
//!
//! An entry spends a part of the slack only while it can prove that all who may spend another part
//! are counted: it has been counted by the leader for longer than a window, so that what a process
//! before it spent is over and all others have heard of it; it has heard from the leader just now; and
//! it divides by the largest count of that time. Only the leader's counts are used, since the
//! smaller side of a split has none.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

/// Time after which a count of the leader is no longer relied on. Pushes come at least once a
/// second.
pub const COUNT_TIMEOUT: Duration = Duration::from_secs(2);

/// A count of the leader.
#[derive(Clone, Copy, Debug)]
struct Count {
    heard_at: Instant,
    entries: usize,
}

/// Counts of entries that the leader has sent.
#[derive(Clone, Debug)]
pub struct Sharers {
    /// Window of the retry budget.
    window: Duration,
    /// Time since which the leader counts this entry, with no gap of a window.
    counted_since: Option<Instant>,
    last_heard_at: Option<Instant>,
    /// The last counts, without those that are followed by an equal or a larger one.
    counts: VecDeque<Count>,
    /// Whether entries may get the counts through a relay.
    may_be_relayed: bool,
}

impl Default for Sharers {
    /// Returns sharers without a window, for which no part of the slack is ever proved.
    fn default() -> Self {
        Self::new(Duration::MAX)
    }
}

impl Sharers {
    /// Returns sharers for a budget with this window, with no count heard.
    #[must_use]
    pub fn new(window: Duration) -> Self {
        Self {
            window,
            counted_since: None,
            last_heard_at: None,
            counts: VecDeque::new(),
            may_be_relayed: false,
        }
    }

    /// Sets whether entries, this one or others, may get the counts through a relay.
    pub fn set_relayed(&mut self, may_be_relayed: bool) {
        self.may_be_relayed = may_be_relayed;
    }

    /// Records a count that the leader has sent.
    pub fn record(&mut self, entries: usize, now: Instant) {
        // The others remember this entry for longer than a window after the leader has ceased to
        // count it.
        let forgotten = self.age(now).is_none_or(|age| age > self.window);
        if forgotten {
            self.counted_since = Some(now);
        }
        self.last_heard_at = Some(now);
        while self
            .counts
            .back()
            .is_some_and(|count| count.entries <= entries)
        {
            self.counts.pop_back();
        }
        self.counts.push_back(Count {
            heard_at: now,
            entries,
        });
        let memory = self.memory();
        self.counts
            .retain(|count| now.saturating_duration_since(count.heard_at) <= memory);
    }

    /// Returns the number of entries that may share the slack; `None` while no part of it is
    /// proved.
    ///
    /// ```
    /// use flamingo_serve::sharers::Sharers;
    /// use std::time::{Duration, Instant};
    ///
    /// let mut sharers = Sharers::new(Duration::from_secs(10));
    /// let start = Instant::now();
    /// for second in 0..20 {
    ///     sharers.record(3, start + Duration::from_secs(second));
    /// }
    /// assert_eq!(sharers.count(start + Duration::from_secs(19)), Some(3));
    /// assert_eq!(sharers.count(start + Duration::from_secs(30)), None);
    /// ```
    #[must_use]
    pub fn count(&self, now: Instant) -> Option<usize> {
        let memory = self.memory();
        let counted_for = now.saturating_duration_since(self.counted_since?);
        if counted_for < memory || self.age(now)? > COUNT_TIMEOUT {
            return None;
        }
        let recent = self
            .counts
            .iter()
            .filter(|count| now.saturating_duration_since(count.heard_at) <= memory);
        recent.map(|count| count.entries.max(1)).max()
    }

    /// Returns the largest count that may still hold and the age of the last one; `None` before
    /// the first.
    #[must_use]
    pub fn last(&self, now: Instant) -> Option<(usize, Duration)> {
        let largest = self.counts.iter().map(|count| count.entries).max()?;
        Some((largest, self.age(now)?))
    }

    fn age(&self, now: Instant) -> Option<Duration> {
        let last = self.last_heard_at?;
        Some(now.saturating_duration_since(last))
    }

    /// Returns the time for which counts are remembered, and for which this entry must have been
    /// counted: a window, and the time that two entries may be behind the leader. Each hop adds the
    /// time after which a silent stream is dropped, and the first count that arrives through a relay
    /// after a report may have been made before it.
    fn memory(&self) -> Duration {
        let hops = if self.may_be_relayed { 4 } else { 2 };
        self.window.saturating_add(COUNT_TIMEOUT * hops)
    }
}
