//! What crashes say against one prompt part or whole request.

use super::Key;
use super::event::{Involvement, Timeline};
use flamingo_wire::fingerprint::Fingerprint;
use flamingo_wire::id;
use flamingo_wire::prompt::{Crash, Exposure, PartId};
use smallvec::SmallVec;
use std::collections::{HashMap, HashSet};
use std::time::Instant;

/// Requests at the point of writing beside which one answer is taken for an exception.
const REQUESTS_PER_ANSWER: u32 = 4;

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
    /// Whether it was sent there after another target had broken off under it.
    pub follows: bool,
}

impl Record {
    /// Returns the record of a crash without its requests.
    pub fn new(crash: &Crash, at: Instant) -> Self {
        Self {
            service: crash.service.clone(),
            target: crash.target.clone(),
            incarnation: crash.incarnation,
            at,
            reporters: SmallVec::new(),
            exposures: Vec::new(),
            answered_before: HashMap::new(),
            requests: HashMap::new(),
        }
    }

    pub fn add_request(&mut self, request: Fingerprint, new: Unanswered) {
        let known = self.requests.entry(request).or_insert(new);
        known.waited_ms = known.waited_ms.min(new.waited_ms);
        known.follows |= new.follows;
    }

    pub fn contains(&self, key: &Key) -> bool {
        self.service == key.service && self.answered_before.contains_key(&key.part)
    }

    /// Returns whether all that was at the target has been answered since.
    pub fn speaks_against_nothing(&self) -> bool {
        self.answered_before.is_empty() && self.requests.is_empty()
    }

    /// Returns whether a part or whole request was at the target.
    pub fn involves(&self, key: &Key) -> bool {
        self.contains(key) || (self.service == key.service && self.requests.contains_key(&key.part))
    }
}

/// The most recent crashes of a part.
#[derive(Clone, Copy, Debug, Default)]
struct Tally {
    crashes: usize,
    events: usize,
    /// Those of `events` in which a response to a request with the part had a head.
    events_with_head: usize,
    /// Requests that were answered since the first of these crashes.
    answered: u32,
}

/// What speaks against a part.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(super) struct Score {
    /// Crash events less answers.
    unanswered_events: i64,
    pub events: usize,
    /// Those of `events` in which a response to a request with the part had a head.
    pub events_with_head: usize,
    /// Different requests.
    pub requests: usize,
    /// Position in the prompt.
    depth: usize,
    pub crashes: usize,
    /// Requests that were answered since the first of these crashes.
    pub answered: u32,
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
    crashes: Vec<Requests<'a>>,
}

/// Requests with one part that were at the point of writing in one crash.
#[derive(Debug)]
struct Requests<'a> {
    involvement: Involvement<'a>,
    count: u32,
    /// Those of `count` whose first event had come.
    answered: u32,
    /// Whether one of them had a head.
    has_head: bool,
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
        if known.is_none_or(|known| !std::ptr::eq(known.involvement.crash, crash)) {
            self.crashes.push(Requests {
                involvement: Involvement::new(crash),
                count: 0,
                answered: 0,
                has_head: false,
            });
        }
        if let Some(requests) = self.crashes.last_mut() {
            requests
                .involvement
                .add(exposure.waited_ms, exposure.follows);
            requests.count += 1;
            requests.answered += u32::from(exposure.answered);
            requests.has_head |= !exposure.headless;
        }
    }

    /// Returns what the most recent crashes say together: as many as possible of those since which
    /// next to none of the part's requests was answered. `answered_now` is the number of answers
    /// until now.
    pub fn score(&self, timeline: Timeline<'_>, key: &Key, answered_now: u32) -> Score {
        let mut tally = Tally::default();
        let mut requests = 0;
        let mut answered_requests = 0;
        let mut best = Tally::default();
        let mut later: Option<&Requests<'_>> = None;
        for earlier in self.crashes.iter().rev() {
            let is_event = later.is_none_or(|later| {
                timeline.are_separate(key, &earlier.involvement, &later.involvement)
            });
            tally.crashes += 1;
            tally.events += usize::from(is_event);
            tally.events_with_head += usize::from(is_event && earlier.has_head);
            later = Some(earlier);
            requests += earlier.count;
            answered_requests += earlier.answered;
            let before = earlier.involvement.crash.answered_before.get(&key.part);
            let before = before.copied().unwrap_or(0);
            tally.answered = answered_now.saturating_sub(before + answered_requests);
            if tally.answered <= requests / REQUESTS_PER_ANSWER {
                best = tally;
            }
        }
        let events = i64::try_from(best.events).unwrap_or(i64::MAX);
        Score {
            unanswered_events: events - i64::from(best.answered),
            events: best.events,
            events_with_head: best.events_with_head,
            requests: self.fingerprints.len() + self.unnamed,
            depth: self.depth,
            crashes: best.crashes,
            answered: best.answered,
        }
    }
}
