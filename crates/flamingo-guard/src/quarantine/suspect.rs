//! What crashes say against one prompt part.

use super::Key;
use flamingo_wire::fingerprint::Fingerprint;
use flamingo_wire::id;
use flamingo_wire::prompt::{Exposure, PartId};
use smallvec::SmallVec;
use std::collections::{HashMap, HashSet};
use std::time::{Duration, Instant};

/// Requests at the point of writing beside which one answer is taken for an exception.
const REQUESTS_PER_ANSWER: u32 = 4;
/// Crashes that are no further apart count as one event.
pub(super) const SAME_EVENT: Duration = Duration::from_millis(20);

/// A crash, as the entries that saw it have reported it.
#[derive(Debug)]
pub(super) struct Record {
    pub service: id::Service,
    pub target: id::Target,
    pub incarnation: id::Incarnation,
    pub at: Instant,
    pub reporters: SmallVec<[id::Node; 4]>,
    pub exposures: Vec<Exposure>,
    /// Parts of `exposures`, with the answers to each that had been counted when it was first
    /// reported.
    pub answered_before: HashMap<PartId, u32>,
    /// Whole requests of `exposures` that were not answered.
    pub requests: HashMap<Fingerprint, Unanswered>,
}

/// A request that was at a target when it crashed.
#[derive(Clone, Copy, Debug)]
pub(super) struct Unanswered {
    /// Answers to this request that had been counted when the crash was first reported.
    pub answered_before: u32,
    /// Time from its sending to the crash, in milliseconds; the shortest if it was there twice.
    pub waited_ms: u64,
}

impl Record {
    pub fn add_request(&mut self, request: Fingerprint, waited_ms: u64, answered_before: u32) {
        let known = self.requests.entry(request).or_insert(Unanswered {
            answered_before,
            waited_ms,
        });
        known.waited_ms = known.waited_ms.min(waited_ms);
    }

    pub fn contains(&self, key: &Key) -> bool {
        self.service == key.service && self.answered_before.contains_key(&key.part)
    }
}

/// What speaks against a part.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(super) struct Score {
    /// Crash events less answers.
    unanswered_events: i64,
    pub events: usize,
    /// Different requests.
    pub requests: usize,
    /// Position in the prompt.
    depth: usize,
}

/// The crashes in which requests with one part were at the point of writing.
#[derive(Debug, Default)]
pub(super) struct Suspect<'a> {
    depth: usize,
    /// Different whole requests.
    fingerprints: HashSet<Fingerprint>,
    /// Requests whose identity is not known; they count as different.
    unnamed: usize,
    /// In the order of their times.
    crashes: Vec<Involvement<'a>>,
}

/// Requests with one part that were at the point of writing in one crash.
#[derive(Debug)]
struct Involvement<'a> {
    crash: &'a Record,
    requests: u32,
    /// Those of `requests` whose first event had come.
    answered: u32,
}

impl<'a> Suspect<'a> {
    pub fn add(&mut self, crash: &'a Record, exposure: &Exposure, depth: usize) {
        self.depth = self.depth.max(depth);
        match exposure.request {
            Some(request) => {
                self.fingerprints.insert(request);
            }
            None => self.unnamed += 1,
        }
        let known = self.crashes.last();
        if known.is_none_or(|known| !std::ptr::eq(known.crash, crash)) {
            self.crashes.push(Involvement {
                crash,
                requests: 0,
                answered: 0,
            });
        }
        if let Some(involvement) = self.crashes.last_mut() {
            involvement.requests += 1;
            involvement.answered += u32::from(exposure.answered);
        }
    }

    /// Returns what the most recent crashes say together: as many as possible of those since which
    /// next to none of the part's requests was answered. `answered_now` is the number of answers
    /// until now. Returns the number of these answers, too.
    pub fn score(&self, part: PartId, answered_now: u32) -> (Score, u32) {
        let mut events = 0;
        let mut requests = 0;
        let mut answered_requests = 0;
        let mut best = (0, 0);
        let mut later: Option<Instant> = None;
        for involvement in self.crashes.iter().rev() {
            let crash = involvement.crash;
            let same_event = later.is_some_and(|at| at <= crash.at + SAME_EVENT);
            events += usize::from(!same_event);
            later = Some(crash.at);
            requests += involvement.requests;
            answered_requests += involvement.answered;
            let before = crash.answered_before.get(&part).copied().unwrap_or(0);
            let answered = answered_now.saturating_sub(before + answered_requests);
            if answered <= requests / REQUESTS_PER_ANSWER {
                best = (events, answered);
            }
        }
        let (events, answered) = best;
        let score = Score {
            unanswered_events: i64::try_from(events).unwrap_or(i64::MAX) - i64::from(answered),
            events,
            requests: self.fingerprints.len() + self.unnamed,
            depth: self.depth,
        };
        (score, answered)
    }
}
