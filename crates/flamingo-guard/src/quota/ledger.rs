//! What the leader knows of the quotas: a token bucket for each workspace, and what entries hold.
//!
//! Answers one load: many entries spend from one quota. Buckets begin empty, as what an earlier
//! leader granted is not known here.

mod bucket;
mod holdings;
mod promises;
mod usage;

use super::{LEASE, SILENCE, Terms, limits};
use bucket::Bucket;
use flamingo_wire::id;
use flamingo_wire::quota::{Answer, Grant, Question};
use flamingo_wire::workspace::Quota;
use smallvec::SmallVec;
use std::collections::{BTreeMap, HashMap};
use std::time::{Duration, Instant};

/// Largest number of answers of which the ledger remembers when they were sent.
const MAX_ANSWERS: usize = 4;

/// An incarnation of an entry.
type Key = (id::Node, id::Incarnation);

/// When an entry has been answered.
#[derive(Debug)]
struct Entry {
    /// The newest question.
    sequence: id::Sequence,
    /// The answers that the entry has not confirmed, and the last one that it has.
    answers: SmallVec<[(id::Sequence, Instant); MAX_ANSWERS]>,
    /// When the last answer was sent that the entry has confirmed; `None` before the first.
    confirmed_at: Option<Instant>,
    /// When the entry last asked.
    asked_at: Instant,
}

impl Entry {
    fn new(now: Instant) -> Self {
        Self {
            sequence: 0,
            answers: SmallVec::new(),
            confirmed_at: None,
            asked_at: now,
        }
    }

    /// Returns whether the entry may be using its share, as it may not have heard from this leader
    /// for some time.
    fn is_silent(&self, now: Instant) -> bool {
        self.confirmed_at.is_none_or(|at| now >= at + SILENCE)
    }

    /// Records that the entry has received this answer.
    fn confirm(&mut self, heard: id::Sequence) {
        let found = self.answers.iter().find(|(sequence, _)| *sequence == heard);
        if let Some((_, at)) = found {
            self.confirmed_at = Some(*at);
        }
        self.answers.retain(|(sequence, _)| *sequence >= heard);
    }

    fn record_answer(&mut self, sequence: id::Sequence, now: Instant) {
        if self.answers.len() == MAX_ANSWERS {
            self.answers.remove(0);
        }
        self.answers.push((sequence, now));
    }
}

/// State of one workspace for logs and metrics.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Level {
    /// The workspace.
    pub workspace: id::Workspace,
    /// Units in the bucket; negative after a request above the burst.
    pub units: f64,
    /// Units a second that are withheld for shares that may be in use.
    pub withheld: f64,
    /// Units a second that are leased to entries.
    pub leased: f64,
    /// Units that have been promised to requests that were rejected.
    pub promised: f64,
    /// Units that were granted within the last window and did not come back. Credit that has expired
    /// counts, as its entry may have used it.
    pub granted: f64,
    /// Units of requests that were rejected within the last window. One that comes back counts again.
    pub refused: f64,
    /// Units that are reserved for those of them that are expected to come back.
    pub reserved: f64,
}

/// The quotas of all workspaces during one leadership.
///
/// ```
/// use flamingo_guard::quota::Terms;
/// use flamingo_guard::quota::ledger::Ledger;
/// use flamingo_wire::quota::{Decision, Question, Use, Want};
/// use flamingo_wire::workspace::Quota;
/// use std::time::{Duration, Instant};
///
/// let start = Instant::now();
/// let mut ledger = Ledger::new(Terms::default(), start, false);
/// let quota = Quota { per_s: 2.0, burst: 4.0, ..Quota::default() };
/// let want = Want { units: 1.0, returning: false };
/// let uses = vec![Use { workspace: "w".into(), wants: vec![want], ..Use::default() }];
/// let question = Question { incarnation: 1, sequence: 1, heard: 0, uses };
/// let answer = ledger.answer("entry", &question, |_| Some(quota), start);
/// let decisions = &answer.expect("a new question").grants[0].decisions;
/// assert_eq!(decisions.as_slice(), [Decision::Wait(500)]);
/// ```
#[derive(Debug)]
pub struct Ledger {
    terms: Terms,
    start: Instant,
    /// Until when shares of an earlier leader may be in use; `None` where there was no leader.
    inherited_until: Option<Instant>,
    entries: HashMap<Key, Entry>,
    buckets: BTreeMap<id::Workspace, Bucket>,
}

impl Ledger {
    /// Returns the ledger of a leadership that begins at `now`. `inherits` says whether there may
    /// have been an earlier leader, whose shares are then taken to be in use until they expire.
    #[must_use]
    pub fn new(terms: Terms, now: Instant, inherits: bool) -> Self {
        Self {
            terms,
            start: now,
            inherited_until: inherits.then(|| now + LEASE),
            entries: HashMap::new(),
            buckets: BTreeMap::new(),
        }
    }

    /// Answers an entry's question; `None` if it is not newer than the last one of the entry.
    pub fn answer(
        &mut self,
        node: &str,
        question: &Question,
        quota: impl Fn(&str) -> Option<Quota>,
        now: Instant,
    ) -> Option<Answer> {
        let key = (node.to_owned(), question.incarnation);
        self.forget(now);
        self.fill_before(&key, now);
        let entry = self.entries.entry(key.clone());
        let entry = entry.or_insert_with(|| Entry::new(now));
        if question.sequence <= entry.sequence {
            return None;
        }
        entry.sequence = question.sequence;
        entry.asked_at = now;
        entry.confirm(question.heard);
        entry.record_answer(question.sequence, now);
        let is_silent = entry.is_silent(now);
        let mut grants = Vec::with_capacity(question.uses.len());
        for usage in &question.uses {
            let quota = quota(&usage.workspace).filter(limits);
            let Some(quota) = quota else {
                continue;
            };
            let bucket = self.buckets.entry(usage.workspace.clone());
            let (terms, start, inherited_until) = (self.terms, self.start, self.inherited_until);
            let bucket =
                bucket.or_insert_with(|| Bucket::new(quota, terms, start, inherited_until));
            bucket.set_quota(quota, &self.entries, now);
            grants.push(Grant {
                workspace: usage.workspace.clone(),
                ..bucket.serve(&key, usage, is_silent, now)
            });
        }
        Some(Answer {
            sequence: question.sequence,
            grants,
        })
    }

    /// Returns the state of each workspace that was asked for.
    pub fn levels(&mut self, now: Instant) -> Vec<Level> {
        let entries = &self.entries;
        let buckets = self.buckets.iter_mut();
        buckets
            .map(|(workspace, bucket)| Level {
                workspace: workspace.clone(),
                ..bucket.level(entries, now)
            })
            .collect()
    }

    /// Returns the time within the last window for which this ledger has granted.
    #[must_use]
    pub fn observed(&self, now: Instant) -> Duration {
        let observed = now.saturating_duration_since(self.start);
        observed.min(self.terms.window)
    }

    /// Fills all buckets while the entry still counts as silent, if it does: until its question
    /// came it may have used its shares.
    fn fill_before(&mut self, key: &Key, now: Instant) {
        let entry = self.entries.get(key);
        if entry.is_none_or(|entry| !entry.is_silent(now)) {
            return;
        }
        for bucket in self.buckets.values_mut() {
            bucket.fill(&self.entries, now);
        }
    }

    /// Drops entries that can hold nothing any more.
    fn forget(&mut self, now: Instant) {
        let retention = LEASE + self.terms.credit_lifetime;
        self.entries
            .retain(|_, entry| now < entry.asked_at + retention);
    }
}
