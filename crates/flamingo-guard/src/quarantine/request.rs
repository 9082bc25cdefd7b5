//! What crashes say against one whole request.
//!
//! A request is quarantined after [`MIN_REQUEST_EVENTS`] crashes since which it was never answered. Of
//! requests that stood in the same crashes, the one that has always waited least is taken, since a
//! target crashes as soon as it begins to run the deadly one; while none stands out, the next crash is
//! awaited. Crashes that a quarantined part or request explains count against no other request.

use super::event::{Involvement, Timeline};
use super::suspect::{Record, Unanswered};
use super::{Finding, Key, Kind, Ledger, SETTLING_TIME};
use flamingo_wire::fingerprint::Fingerprint;
use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::time::Instant;

/// Number of crash events after which a request is quarantined.
pub(super) const MIN_REQUEST_EVENTS: usize = 3;
/// Number of crash events after which one of several requests is taken although none stands out.
const MAX_REQUEST_EVENTS: usize = 5;
/// Longest time between the sending of a request and a crash that counts against it, in milliseconds.
pub(super) const MAX_WAIT_MS: u64 = 2_000;
/// Percentage of the wait of the others below which a request stands out.
const OUTSTANDING_PERCENT: u64 = 80;

/// Crashes under one request since it was last answered.
#[derive(Clone, Copy, Debug, Default)]
struct Suspect<'a> {
    crashes: usize,
    events: usize,
    /// Longest wait in these crashes, in milliseconds.
    longest_wait_ms: u64,
    /// The earliest of these crashes.
    earliest: Option<Involvement<'a>>,
}

impl<'a> Suspect<'a> {
    /// Adds a crash that is earlier than those before.
    fn add(&mut self, timeline: Timeline<'_>, key: &Key, crash: &'a Record, request: Unanswered) {
        let mut involvement = Involvement::new(crash);
        involvement.add(request.waited_ms, request.follows);
        let later = self.earliest.replace(involvement);
        let is_event = later.is_none_or(|later| timeline.are_separate(key, &involvement, &later));
        self.crashes += 1;
        self.events += usize::from(is_event);
        self.longest_wait_ms = self.longest_wait_ms.max(request.waited_ms);
    }

    /// Returns whether this request always waited for less time than another one did at some target.
    /// Waits that can't be told apart are equal.
    fn stands_out(&self, rival: &Self) -> bool {
        self.longest_wait_ms * 100 < rival.longest_wait_ms * OUTSTANDING_PERCENT
    }
}

impl Ledger {
    /// Returns the request against which most speaks, if that suffices for a quarantine.
    pub(super) fn worst_request(&self, now: Instant) -> Option<Finding> {
        let suspects = self.suspect_requests(now);
        let enough = |key: &Key| {
            if self.is_on_probation(key, now) {
                1
            } else {
                MIN_REQUEST_EVENTS
            }
        };
        let guilty = suspects
            .iter()
            .filter(|(key, suspect)| suspect.events >= enough(key));
        let (key, worst) =
            guilty.max_by_key(|(_, suspect)| (suspect.events, Reverse(suspect.longest_wait_ms)))?;
        let mut rivals = suspects.iter().filter(|(other, suspect)| {
            let alike = other.service == key.service && suspect.events == worst.events;
            alike && *other != key
        });
        let stands_out = rivals.all(|(_, rival)| worst.stands_out(rival));
        if !stands_out && worst.events < MAX_REQUEST_EVENTS {
            return None;
        }
        Some(Finding {
            kind: Kind::Request,
            key: key.clone(),
            crashes: worst.crashes,
            events: worst.events,
            answered: 0,
            until: now,
        })
    }

    /// Returns the request that was in most crash events which nothing explains.
    pub(super) fn leading_request(&self, now: Instant) -> Option<Finding> {
        let suspects = self.suspect_requests(now).into_iter();
        let (key, leading) = suspects.max_by_key(|(_, suspect)| suspect.events)?;
        Some(Finding {
            kind: Kind::Request,
            key,
            crashes: leading.crashes,
            events: leading.events,
            answered: 0,
            until: now,
        })
    }

    /// Returns the requests that stood in crashes which nothing explains.
    fn suspect_requests(&self, now: Instant) -> BTreeMap<Key, Suspect<'_>> {
        let timeline = Timeline(&self.crashes);
        let settled = self.crashes.iter().rev();
        let settled = settled.filter(|crash| now >= crash.at + SETTLING_TIME);
        let mut suspects: BTreeMap<Key, Suspect<'_>> = BTreeMap::new();
        for crash in settled.filter(|crash| !self.explains_request(crash)) {
            for (request, unanswered) in &crash.requests {
                let key = Key {
                    service: crash.service.clone(),
                    part: *request,
                };
                if !self.counts_against(crash, *request, &key) {
                    continue;
                }
                let suspect = suspects.entry(key.clone()).or_default();
                suspect.add(timeline, &key, crash, *unanswered);
            }
        }
        suspects
    }

    /// Returns whether a request was sent a short time before a crash, and not answered since.
    fn counts_against(&self, crash: &Record, request: Fingerprint, key: &Key) -> bool {
        let unanswered = crash.requests[&request];
        let answered = self.answered_requests.get(key).copied().unwrap_or(0);
        unanswered.waited_ms <= MAX_WAIT_MS && answered == unanswered.answered_before
    }

    /// Returns whether a quarantined part or request was at the target in a crash.
    fn explains_request(&self, crash: &Record) -> bool {
        let mut terms = self.terms.iter();
        terms.any(|(key, term)| crash.at < term.until && crash.involves(key))
    }
}
