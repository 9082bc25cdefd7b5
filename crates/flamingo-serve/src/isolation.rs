//! Decides whether this entry is isolated: it reaches no target, though others may.
//!
//! A pure state machine: the outcomes of connections and requests come in with their time, and a
//! verdict goes out. What it weighs:
//!
//! - A connection that a target accepts shows that targets are reached. It alone ends a suspicion or an
//!   isolation; an answer on a connection that was open before does not, since a partition may leave open
//!   connections alone and refuse new ones.
//! - Targets that failed since the last accepted connection speak for isolation, each of them once,
//!   whatever the number of requests that failed there.
//! - Answers on open connections speak against it, unless the targets that answer refuse new connections
//!   themselves. Where some targets have crashed and the requests of this entry find open connections to
//!   the others, only the crashed ones are dialled: these don't answer, so they don't count.
//!
//! Targets that could refute a suspicion are probed first: those that answer, then those that have not
//! failed. So one target, or half of them, can crash without making an entry isolated for longer than the
//! first probe of a sound target takes.

use flamingo_wire::id;
use std::collections::HashMap;
use std::time::{Duration, Instant};
use strum::IntoStaticStr;

/// Number of failed targets from which on an entry may be isolated, where it knows as many.
const MIN_FAILED: usize = 3;
/// Shortest time between the first and the last failure of an isolation: longer than a round of probes.
const MIN_FAILURE_SPAN: Duration = Duration::from_millis(400);
/// Time without any success after which a target is probed.
const MAX_QUIET: Duration = Duration::from_millis(700);
/// Time between two rounds of probes.
const PROBE_INTERVAL: Duration = Duration::from_millis(300);
/// Number of targets that are probed at a time while the entry is isolated or suspects it.
const PROBES: usize = 2;
/// The same while nothing speaks for isolation but that there is nothing to do.
const QUIET_PROBES: usize = 1;

/// What shows that a target is reached.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Success {
    /// It has accepted a new connection.
    Connected,
    /// It has answered on a connection that was open before.
    Answered,
}

/// What may show that a target is not reached.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Failure {
    /// No connection could be established.
    Unreached,
    /// A connection stayed silent or ended before any byte of an answer.
    Unanswered,
}

/// Whether this entry reaches targets.
#[derive(Clone, Copy, Debug, Eq, IntoStaticStr, PartialEq)]
#[strum(serialize_all = "snake_case")]
pub enum Reach {
    /// Nothing says otherwise.
    Reaching,
    /// As many targets have failed as for an isolation, but not for long enough.
    Suspected,
    /// No target is reached.
    Isolated,
}

/// A change between isolated and not, with what decided.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Change {
    /// The entry is isolated now.
    Isolated {
        /// Number of targets that have failed since the last accepted connection.
        failed: usize,
        /// Number of targets that have answered on open connections since the first of these failures.
        answering: usize,
        /// Time since a target last accepted a connection.
        quiet: Duration,
    },
    /// The entry reaches targets again.
    Reaching {
        /// Time for which it was isolated.
        lasted: Duration,
    },
}

/// What is known of one target.
#[derive(Clone, Copy, Debug, Default)]
struct Record {
    /// The last failure; `None` if it has not failed.
    failure: Option<Failure>,
    /// When it last answered on an open connection; `None` if it has not, or was silent since.
    answered_at: Option<Instant>,
}

/// The outcomes at all targets.
#[derive(Debug)]
pub struct Isolation {
    /// What came since a target last accepted a connection.
    records: HashMap<id::Target, Record>,
    /// When a target last accepted a connection, or the entry started.
    connected_at: Instant,
    /// When a target was last reached in any way, or the entry started.
    reached_at: Instant,
    /// Whether any target was reached since the start.
    has_reached: bool,
    /// The first and the last failure since a target accepted a connection.
    failures: Option<(Instant, Instant)>,
    isolated_since: Option<Instant>,
    /// When the last round of probes began.
    probed_at: Option<Instant>,
}

impl Isolation {
    /// Returns the state of an entry that starts at `now`.
    #[must_use]
    pub fn new(now: Instant) -> Self {
        Self {
            records: HashMap::new(),
            connected_at: now,
            reached_at: now,
            has_reached: false,
            failures: None,
            isolated_since: None,
            probed_at: None,
        }
    }

    /// Records that a target was reached. Returns the end of an isolation.
    ///
    /// ```
    /// use flamingo_serve::isolation::{Failure, Isolation, Reach, Success};
    /// use std::time::{Duration, Instant};
    ///
    /// let now = Instant::now();
    /// let later = now + Duration::from_secs(1);
    /// let mut isolation = Isolation::new(now);
    /// isolation.record_failure("a", Failure::Unreached, 1, now);
    /// isolation.record_failure("a", Failure::Unreached, 1, later);
    /// assert_eq!(isolation.reach(1), Reach::Isolated);
    /// isolation.record_success("a", Success::Connected, later);
    /// assert_eq!(isolation.reach(1), Reach::Reaching);
    /// ```
    pub fn record_success(
        &mut self,
        target: &str,
        success: Success,
        now: Instant,
    ) -> Option<Change> {
        self.reached_at = now;
        self.has_reached = true;
        match success {
            Success::Connected => self.record_connected(now),
            Success::Answered => {
                self.record_answered(target, now);
                None
            }
        }
    }

    /// Records an answer on an open connection. It says nothing while no target has failed.
    fn record_answered(&mut self, target: &str, now: Instant) {
        if self.failures.is_none() {
            return;
        }
        let record = self.records.entry(target.to_owned()).or_default();
        record.answered_at = Some(now);
        // That it refuses new connections is not refuted by an open one.
        let refuses = record.failure == Some(Failure::Unreached);
        record.failure = record.failure.filter(|_| refuses);
    }

    fn record_connected(&mut self, now: Instant) -> Option<Change> {
        self.connected_at = now;
        self.failures = None;
        self.records.clear();
        let since = self.isolated_since.take()?;
        Some(Change::Reaching {
            lasted: now.saturating_duration_since(since),
        })
    }

    /// Records that a target may not be reached, where this entry knows `known` targets. Returns the
    /// beginning of an isolation.
    pub fn record_failure(
        &mut self,
        target: &str,
        failure: Failure,
        known: usize,
        now: Instant,
    ) -> Option<Change> {
        let first = self.failures.map_or(now, |(first, _)| first);
        self.failures = Some((first, now));
        let record = self.records.entry(target.to_owned()).or_default();
        if record.failure != Some(Failure::Unreached) {
            record.failure = Some(failure);
        }
        if failure == Failure::Unanswered {
            record.answered_at = None;
        }
        let lasts = now.saturating_duration_since(first) >= MIN_FAILURE_SPAN;
        if self.is_isolated() || !lasts || !self.is_suspected(known) {
            return None;
        }
        self.isolated_since = Some(now);
        Some(Change::Isolated {
            failed: self.failed().count(),
            answering: self.answering().count(),
            quiet: now.saturating_duration_since(self.connected_at),
        })
    }

    /// Returns whether no target is reached.
    #[must_use]
    pub fn is_isolated(&self) -> bool {
        self.isolated_since.is_some()
    }

    /// Returns whether targets are reached, where this entry knows `known` of them.
    #[must_use]
    pub fn reach(&self, known: usize) -> Reach {
        if self.is_isolated() {
            Reach::Isolated
        } else if self.is_suspected(known) {
            Reach::Suspected
        } else {
            Reach::Reaching
        }
    }

    /// Returns whether this entry reaches targets for others: it has reached one since it started, and is
    /// not isolated.
    #[must_use]
    pub fn serves_others(&self) -> bool {
        self.has_reached && !self.is_isolated()
    }

    /// Forgets the targets that are not known any more.
    pub fn retain(&mut self, is_known: impl Fn(&str) -> bool) {
        self.records.retain(|target, _| is_known(target));
    }

    /// Begins a round of probes if one is due. Returns how many targets are to be probed, in the order
    /// of [`Self::probe_rank`].
    ///
    /// ```
    /// use flamingo_serve::isolation::Isolation;
    /// use std::time::{Duration, Instant};
    ///
    /// let now = Instant::now();
    /// let mut isolation = Isolation::new(now);
    /// assert_eq!(isolation.begin_probes(now), 0);
    /// assert!(isolation.begin_probes(now + Duration::from_secs(1)) > 0);
    /// ```
    pub fn begin_probes(&mut self, now: Instant) -> usize {
        let suspects = self.is_isolated() || self.failures.is_some();
        let quiet = now.saturating_duration_since(self.reached_at) >= MAX_QUIET;
        let waits = self.probed_at.is_some_and(|at| now < at + PROBE_INTERVAL);
        if waits || !(suspects || quiet) {
            return 0;
        }
        self.probed_at = Some(now);
        if suspects { PROBES } else { QUIET_PROBES }
    }

    /// Returns the rank in which a target is probed, the least first: the sooner, the more its answer
    /// may refute.
    #[must_use]
    pub fn probe_rank(&self, target: &str) -> u8 {
        let Some(record) = self.records.get(target) else {
            return 1;
        };
        match (record.failure, self.is_answering(record)) {
            (Some(Failure::Unreached), _) => 2,
            (_, true) => 0,
            (_, false) => 1,
        }
    }

    /// Returns whether enough targets have failed, and the answers of others don't speak against it.
    fn is_suspected(&self, known: usize) -> bool {
        let least = MIN_FAILED.min(known).max(1);
        let answering = self.answering().count();
        if answering == 0 {
            return self.failed().count() >= least;
        }
        let refusing = self.refusing().count();
        let refuse_though_answering = self
            .answering()
            .filter(|record| record.failure == Some(Failure::Unreached))
            .count();
        refusing >= least && refuse_though_answering >= MIN_FAILED.min(answering)
    }

    fn failed(&self) -> impl Iterator<Item = &Record> {
        let records = self.records.values();
        records.filter(|record| record.failure.is_some())
    }

    fn refusing(&self) -> impl Iterator<Item = &Record> {
        self.failed()
            .filter(|record| record.failure == Some(Failure::Unreached))
    }

    /// Returns the targets that answer on open connections though others have failed.
    fn answering(&self) -> impl Iterator<Item = &Record> {
        let records = self.records.values();
        records.filter(|record| self.is_answering(record))
    }

    fn is_answering(&self, record: &Record) -> bool {
        let first = self.failures.map(|(first, _)| first);
        first.is_some_and(|first| record.answered_at.is_some_and(|at| at >= first))
    }
}
