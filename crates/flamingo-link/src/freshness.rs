//! Whether the routes in force at an entry are the newest ones.
//!
//! That a leader exists, or sends anything, doesn't show it: routes come another way. What shows it is a
//! question that was answered, by a leader that surely leads: the answer holds for the time of the question.

use flamingo_wire::control::NewestRoutes;
use flamingo_wire::id;
use std::time::{Duration, Instant};

/// Age of the last answered question up to which the routes count as the newest. Entries ask each half second.
pub const MAX_PROOF_AGE: Duration = Duration::from_secs(2);

/// Time within which routes that are known are pushed, besides the time of a copy.
pub const PUSH_DELAY: Duration = Duration::from_millis(300);
/// The same at the start of an entry, which begins with all registrations.
const START_DELAY: Duration = Duration::from_secs(2);
/// Rate at which a copy is pushed at least, in bytes a millisecond: a link of 7 Mbit/s that is a quarter free.
const PUSH_BYTES_PER_MS: u64 = 250;

/// What an entry knows of the newest routes. All times are of one clock, which the caller chooses.
#[derive(Clone, Debug, Default)]
pub struct Freshness {
    /// Version of the routes in force; 0 before the first.
    in_force: id::Version,
    /// Version of the newest routes that any control instance knows to be committed.
    newest: id::Version,
    /// The newest version when this entry began to lack one, and since when; `None` while it lacks none. Each
    /// of a series of changes is waited for by itself.
    awaited: Option<(id::Version, Instant)>,
    /// When the last question was sent that the leader has answered.
    asked_at: Option<Instant>,
    /// The newest of its answers.
    answer: NewestRoutes,
}

impl Freshness {
    /// Records a version that a control instance knows to be committed. Returns whether it is newer than any
    /// known before.
    ///
    /// ```
    /// use flamingo_link::freshness::Freshness;
    /// use std::time::{Duration, Instant};
    ///
    /// let (mut freshness, now) = (Freshness::default(), Instant::now());
    /// freshness.record_in_force(4, now);
    /// assert!(freshness.record_committed(9, now));
    /// let later = now + Duration::from_secs(1);
    /// assert_eq!(freshness.outdated_for(later), Some(Duration::from_secs(1)));
    /// freshness.record_in_force(9, later);
    /// assert_eq!(freshness.outdated_for(later), None);
    /// ```
    pub fn record_committed(&mut self, version: id::Version, now: Instant) -> bool {
        if version <= self.newest {
            return false;
        }
        self.newest = version;
        self.update(now);
        true
    }

    /// Records that the leader has answered a question sent at `asked_at`: these routes were then the newest, if
    /// no newer ones are known since. Returns whether they are newer than any known before.
    pub fn record_answer(&mut self, answer: NewestRoutes, asked_at: Instant, now: Instant) -> bool {
        self.asked_at = self.asked_at.max(Some(asked_at));
        if answer.version > self.answer.version {
            self.answer = answer;
        }
        self.record_committed(answer.version, now)
    }

    /// Returns whether routes that the leader has named should have been pushed by now, so that something
    /// between it and this entry lags.
    ///
    /// ```
    /// use flamingo_link::freshness::{Freshness, PUSH_DELAY};
    /// use flamingo_wire::control::NewestRoutes;
    /// use std::time::{Duration, Instant};
    ///
    /// let (mut freshness, now) = (Freshness::default(), Instant::now());
    /// freshness.record_in_force(4, now);
    /// freshness.record_answer(NewestRoutes { version: 5, bytes: 250_000 }, now, now);
    /// let copy_time = Duration::from_secs(1);
    /// assert!(!freshness.are_overdue(now + PUSH_DELAY));
    /// assert!(freshness.are_overdue(now + PUSH_DELAY + copy_time));
    /// freshness.record_in_force(5, now);
    /// assert!(!freshness.are_overdue(now + PUSH_DELAY + copy_time));
    /// ```
    #[must_use]
    pub fn are_overdue(&self, now: Instant) -> bool {
        let delay = if self.in_force == 0 {
            START_DELAY
        } else {
            PUSH_DELAY
        };
        let copy_time = Duration::from_millis(self.answer.bytes / PUSH_BYTES_PER_MS);
        let is_missing = self.answer.version > self.in_force;
        let outdated_for = self.outdated_for(now).unwrap_or_default();
        is_missing && outdated_for >= delay + copy_time
    }

    /// Returns whether the routes in force are surely the newest ones, but for those of the last
    /// [`MAX_PROOF_AGE`].
    ///
    /// ```
    /// use flamingo_link::freshness::{Freshness, MAX_PROOF_AGE};
    /// use flamingo_wire::control::NewestRoutes;
    /// use std::time::{Duration, Instant};
    ///
    /// let (mut freshness, asked_at) = (Freshness::default(), Instant::now());
    /// freshness.record_in_force(4, asked_at);
    /// assert!(!freshness.is_sure(asked_at));
    /// let answer = NewestRoutes { version: 4, bytes: 0 };
    /// freshness.record_answer(answer, asked_at, asked_at);
    /// assert!(freshness.is_sure(asked_at + MAX_PROOF_AGE));
    /// assert!(!freshness.is_sure(asked_at + MAX_PROOF_AGE + Duration::from_nanos(1)));
    /// freshness.record_committed(5, asked_at);
    /// assert!(!freshness.is_sure(asked_at));
    /// ```
    #[must_use]
    pub fn is_sure(&self, now: Instant) -> bool {
        let age = self.asked_at.map(|at| now.saturating_duration_since(at));
        self.in_force >= self.newest && age.is_some_and(|age| age <= MAX_PROOF_AGE)
    }

    /// Records the version of the routes that are in force from now on.
    pub fn record_in_force(&mut self, version: id::Version, now: Instant) {
        self.in_force = version;
        self.newest = self.newest.max(version);
        self.update(now);
    }

    fn update(&mut self, now: Instant) {
        let awaited = self.awaited.filter(|(version, _)| self.in_force < *version);
        let lacks_newest = self.in_force < self.newest;
        self.awaited = lacks_newest.then(|| awaited.unwrap_or((self.newest, now)));
    }

    /// Returns the version of the newest routes that are known to be committed; 0 before the first.
    #[must_use]
    pub fn newest(&self) -> id::Version {
        self.newest
    }

    /// Returns since when this entry has lacked routes that are known; `None` if it lacks none.
    #[must_use]
    pub fn outdated_since(&self) -> Option<Instant> {
        self.awaited.map(|(_, since)| since)
    }

    /// Returns for how long this entry has lacked routes that are known; `None` if it lacks none.
    #[must_use]
    pub fn outdated_for(&self, now: Instant) -> Option<Duration> {
        let since = self.outdated_since()?;
        Some(now.saturating_duration_since(since))
    }
}
