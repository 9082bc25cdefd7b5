//! Finds the prompt part that crashes targets among the parts that stand beside it, and keeps it
//! from them for a time.
//!
//! Answers one load: requests with a part that crashes each target which begins to write an answer
//! to it, among sound requests with the same other parts, while targets also crash for other
//! reasons.
//!
//! A part is quarantined after [`MIN_EVENTS`] crashes in which a request with it was at the point of
//! writing, if next to no request with it was answered since the first of them. A crash counts once
//! the answers of its time have been reported. Crashes with a common cause are one event; see the
//! module `event`. Where such a request had no head, it may just as well have waited for its turn, and
//! [`MIN_HEADLESS_EVENTS`] are needed. Of several parts that qualify, the one that explains most crashes
//! with fewest answers is taken, or else the last in its prompt, which fewer requests share. The crashes
//! that it explains no longer count against any other.
//!
//! It answers a second load as well: a whole request that crashes each target that begins to run it
//! and comes again, at any entry; see the module `request`.

mod dossier;
mod event;
mod part;
mod recent;
mod request;
mod retention;
mod suspect;

use flamingo_wire::fingerprint::Fingerprint;
use flamingo_wire::id;
use flamingo_wire::prompt::{Answered, Crash, Evidence, Exposure, PartId, Parts, Quarantine};
use recent::Recent;
use std::collections::{BTreeMap, HashMap, VecDeque};
use std::time::{Duration, Instant};
use strum::IntoStaticStr;
use suspect::{Record, Unanswered};

/// Number of crash events after which a part is quarantined.
pub const MIN_EVENTS: usize = 4;
/// The same, where requests with the part had no head in some of these events.
pub const MIN_HEADLESS_EVENTS: usize = 5;
/// Time after which a crash counts: entries report their answers several times in it.
pub const SETTLING_TIME: Duration = Duration::from_millis(400);
/// Time for which a crash counts: a request that comes every few minutes must become known.
const CRASH_RETENTION: Duration = Duration::from_mins(15);
/// Largest number of crashes that are kept; the oldest are dropped.
const MAX_CRASHES: usize = 64;
/// Largest number of requests that are kept of one crash.
const MAX_EXPOSURES: usize = 64;
/// Largest number of parts that are kept of one prompt.
const MAX_PARTS: usize = 32;
/// Length of the first quarantine of a part; it doubles with each further one.
const FIRST_QUARANTINE: Duration = Duration::from_mins(5);
/// Longest quarantine.
const MAX_QUARANTINE: Duration = Duration::from_hours(1);
/// Largest number of parts that are quarantined or on probation; those that end first are dropped.
const MAX_TERMS: usize = 256;

/// A part of the prompts of one service, or a whole request to it.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Key {
    /// The service.
    pub service: id::Service,
    /// The part, or the fingerprint of the request.
    pub part: PartId,
}

/// What crashes targets.
#[derive(Clone, Copy, Debug, Eq, IntoStaticStr, PartialEq)]
#[strum(serialize_all = "snake_case")]
pub enum Kind {
    /// A part of prompts, whatever else the requests hold.
    Part,
    /// A whole request, each time that it comes.
    Request,
}

/// The quarantine of a part, and the probation after it.
#[derive(Clone, Copy, Debug)]
struct Term {
    until: Instant,
    /// Until then, a single crash event leads to the next quarantine.
    probation_until: Instant,
    length: Duration,
}

impl Term {
    fn new(now: Instant, length: Duration) -> Self {
        let until = now + length;
        Self {
            until,
            probation_until: until + length,
            length,
        }
    }
}

/// A part or request that has just been quarantined, with the reasons.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Finding {
    /// Which of the two it is.
    pub kind: Kind,
    /// The part.
    pub key: Key,
    /// Crashes in which a request with the part was at the point of writing.
    pub crashes: usize,
    /// Events that these crashes are.
    pub events: usize,
    /// Requests with the part that were answered since the first of these events.
    pub answered: u32,
    /// When the quarantine ends.
    pub until: Instant,
}

/// Evidence against prompt parts, and the parts that are quarantined.
#[derive(Debug, Default)]
pub struct Ledger {
    /// In the order of their times.
    crashes: VecDeque<Record>,
    /// Answers to the parts of `crashes`, counted since the first of these crashes.
    answered: HashMap<Key, u32>,
    /// Answers to the whole requests of `crashes`, counted likewise.
    answered_requests: HashMap<Key, u32>,
    /// Answers to parts that were reported lately.
    recent: Recent,
    /// Answers to whole requests that were reported lately.
    recent_requests: Recent,
    terms: BTreeMap<Key, Term>,
    /// When the next crash counts; `None` if all have been judged.
    judge_at: Option<Instant>,
    /// Number of changes that an instance which takes over has to know.
    revision: u64,
}

impl Ledger {
    /// Counts requests that got their first event. Only parts that a crash has made suspect are
    /// counted.
    pub fn record_answered(&mut self, answered: &Answered) {
        for (part, count) in &answered.parts {
            let key = Key {
                service: answered.service.clone(),
                part: *part,
            };
            if let Some(total) = self.answered.get_mut(&key) {
                *total = total.saturating_add(*count);
                self.revision += 1;
            }
        }
    }

    /// Counts a request that was answered, if a crash has made it suspect.
    pub fn record_answered_request(&mut self, service: &str, request: Fingerprint) {
        if self.answered_requests.is_empty() {
            return;
        }
        let key = Key {
            service: service.to_owned(),
            part: request,
        };
        if let Some(total) = self.answered_requests.get_mut(&key) {
            *total = total.saturating_add(1);
            self.revision += 1;
        }
    }

    /// Records what the entry `from` has seen, and adopts the quarantines that it knows. Returns the
    /// parts that were in none here.
    pub fn record(&mut self, from: &str, evidence: &Evidence, now: Instant) -> Vec<Key> {
        for answered in &evidence.answered {
            self.record_answered(answered);
            self.keep_answered(answered, now);
        }
        for answered in &evidence.answered_requests {
            for request in &answered.requests {
                self.record_answered_request(&answered.service, *request);
                let key = Key {
                    service: answered.service.clone(),
                    part: *request,
                };
                self.recent_requests.add(key, 1, now);
            }
        }
        for crash in &evidence.crashes {
            self.record_crash(from, crash, now);
        }
        self.adopt(&evidence.quarantines, now)
    }

    fn keep_answered(&mut self, answered: &Answered, now: Instant) {
        for (part, count) in &answered.parts {
            let key = Key {
                service: answered.service.clone(),
                part: *part,
            };
            self.recent.add(key, *count, now);
        }
    }

    /// Records a crash that the entry `from` has seen. A second report of the same entry about the
    /// same incarnation changes nothing.
    ///
    /// ```
    /// use flamingo_guard::quarantine::{Ledger, MIN_EVENTS, SETTLING_TIME};
    /// use flamingo_wire::prompt::{Crash, Exposure};
    /// use std::time::{Duration, Instant};
    ///
    /// let mut ledger = Ledger::default();
    /// let mut now = Instant::now();
    /// for incarnation in 0..MIN_EVENTS as u64 {
    ///     now += Duration::from_secs(1);
    ///     let exposures = vec![Exposure {
    ///         parts: [7].into_iter().collect(),
    ///         answered: false,
    ///         waited_ms: 40,
    ///         ..Exposure::default()
    ///     }];
    ///     let crash = Crash {
    ///         service: "s".into(),
    ///         target: "t".into(),
    ///         incarnation,
    ///         age_ms: 0,
    ///         exposures,
    ///     };
    ///     ledger.record_crash("entry-1", &crash, now);
    /// }
    /// assert!(ledger.judge(now).is_empty());
    /// now += SETTLING_TIME;
    /// assert_eq!(ledger.judge(now).len(), 1);
    /// assert!(ledger.find("s", &[7], now).is_some());
    /// assert!(ledger.find("s", &[8], now).is_none());
    /// ```
    pub fn record_crash(&mut self, from: &str, crash: &Crash, now: Instant) {
        let age = Duration::from_millis(crash.age_ms);
        let at = now.checked_sub(age).unwrap_or(now);
        if crash.exposures.is_empty() || now >= at + CRASH_RETENTION {
            return;
        }
        let known = self.position(crash);
        let index = known.unwrap_or_else(|| self.insert(Record::new(crash, at)));
        let record = &mut self.crashes[index];
        if record.reporters.iter().any(|reporter| reporter == from) {
            return;
        }
        record.reporters.push(from.to_owned());
        self.revision += 1;
        let counts_at = (record.at + SETTLING_TIME).max(now);
        self.judge_at = Some(self.judge_at.map_or(counts_at, |at| at.min(counts_at)));
        let room = MAX_EXPOSURES.saturating_sub(record.exposures.len());
        for exposure in crash.exposures.iter().take(room) {
            let parts: Parts = exposure.parts.iter().copied().take(MAX_PARTS).collect();
            for part in &parts {
                let key = Key {
                    service: crash.service.clone(),
                    part: *part,
                };
                let since = self.recent.since(&key, record.at);
                let answered = count_since(&mut self.answered, key, since);
                record.answered_before.entry(*part).or_insert(answered);
            }
            if let Some(request) = exposure.request.filter(|_| !exposure.answered) {
                let key = Key {
                    service: crash.service.clone(),
                    part: request,
                };
                let since = self.recent_requests.since(&key, record.at);
                let answered = count_since(&mut self.answered_requests, key, since);
                let unanswered = Unanswered {
                    answered_before: answered,
                    waited_ms: exposure.waited_ms,
                    follows: exposure.follows,
                };
                record.add_request(request, unanswered);
            }
            record.exposures.push(Exposure { parts, ..*exposure });
        }
        self.remove_excess();
    }

    /// Returns the index of a crash that is known.
    fn position(&self, crash: &Crash) -> Option<usize> {
        self.crashes.iter().position(|known| {
            known.target == crash.target && known.incarnation == crash.incarnation
        })
    }

    /// Inserts a crash in the order of time, and returns its index.
    fn insert(&mut self, record: Record) -> usize {
        let index = self.crashes.partition_point(|known| known.at <= record.at);
        self.crashes.insert(index, record);
        index
    }

    /// Returns whether there is evidence that has not been judged and counts by now.
    #[must_use]
    pub fn is_due(&self, now: Instant) -> bool {
        self.judge_at.is_some_and(|judge_at| now >= judge_at)
    }

    /// Quarantines the parts and requests against which the evidence suffices, and returns them. Does nothing
    /// while there is no new evidence.
    pub fn judge(&mut self, now: Instant) -> Vec<Finding> {
        if !self.is_due(now) {
            return Vec::new();
        }
        self.remove_expired(now);
        let settling = self.crashes.iter().map(|crash| crash.at + SETTLING_TIME);
        self.judge_at = settling.filter(|counts_at| now < *counts_at).min();
        let mut findings = Vec::new();
        while let Some(finding) = self.worst_request(now).or_else(|| self.worst_part(now)) {
            let length = self.terms.get(&finding.key).map(|term| term.length * 2);
            let length = length.unwrap_or(FIRST_QUARANTINE).min(MAX_QUARANTINE);
            let term = Term::new(now, length);
            self.terms.insert(finding.key.clone(), term);
            self.revision += 1;
            findings.push(Finding {
                until: term.until,
                ..finding
            });
        }
        self.remove_excess();
        findings
    }

    /// Returns the part and the request against which most speaks, whether or not it suffices.
    #[must_use]
    pub fn leading(&self, now: Instant) -> Vec<Finding> {
        let leading = [self.leading_part(now), self.leading_request(now)];
        let leading = leading.into_iter().flatten();
        leading.filter(|finding| finding.events > 0).collect()
    }

    fn is_on_probation(&self, key: &Key, now: Instant) -> bool {
        let term = self.terms.get(key);
        term.is_some_and(|term| (term.until..term.probation_until).contains(&now))
    }

    /// Returns when the last quarantine of these parts and whole requests ends; `None` if there is
    /// none.
    #[must_use]
    pub fn find(&self, service: &str, parts: &[PartId], now: Instant) -> Option<Instant> {
        if self.terms.is_empty() {
            return None;
        }
        let ends = parts.iter().filter_map(|part| {
            let key = Key {
                service: service.to_owned(),
                part: *part,
            };
            self.terms.get(&key).map(|term| term.until)
        });
        ends.filter(|until| now < *until).max()
    }

    /// Adopts quarantines that another instance has decided, and returns the parts that were in none
    /// here. A later end replaces an earlier one.
    pub fn adopt(&mut self, quarantines: &[Quarantine], now: Instant) -> Vec<Key> {
        let mut new = Vec::new();
        for quarantine in quarantines {
            let remaining = Duration::from_millis(quarantine.remaining_ms).min(MAX_QUARANTINE);
            let key = Key {
                service: quarantine.service.clone(),
                part: quarantine.part,
            };
            let term = Term {
                length: remaining.max(FIRST_QUARANTINE),
                ..Term::new(now, remaining)
            };
            let known = self.terms.get(&key);
            if known.is_none_or(|known| known.until <= now) {
                new.push(key.clone());
            }
            if known.is_none_or(|known| known.until < term.until) {
                self.terms.insert(key, term);
                self.revision += 1;
            }
        }
        self.remove_excess();
        new
    }

    /// Returns the quarantines in force, for other instances.
    #[must_use]
    pub fn quarantines(&self, now: Instant) -> Vec<Quarantine> {
        let terms = self.terms.iter();
        let in_force = terms.filter(|(_, term)| now < term.until);
        in_force
            .map(|(key, term)| Quarantine {
                service: key.service.clone(),
                part: key.part,
                remaining_ms: u64::try_from((term.until - now).as_millis()).unwrap_or(u64::MAX),
            })
            .collect()
    }
}

/// Enters answers that were counted since a crash, and returns how many had been counted before it.
fn count_since(answered: &mut HashMap<Key, u32>, key: Key, since: u32) -> u32 {
    let total = answered.entry(key).or_default();
    *total = (*total).max(since);
    *total - since
}
