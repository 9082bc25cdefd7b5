//! What crashes say against one prompt part.
//!
//! A part is quarantined after [`MIN_EVENTS`] crash events, or [`MIN_HEADLESS_EVENTS`] where requests with
//! it had no head in some of them: such requests may just as well have waited for their turn.

use super::event::Timeline;
use super::request::MAX_WAIT_MS;
use super::suspect::{Record, Score, Suspect};
use super::{Finding, Key, Kind, Ledger, MIN_EVENTS, MIN_HEADLESS_EVENTS, SETTLING_TIME};
use flamingo_wire::prompt::{Exposure, PartId};
use std::collections::BTreeMap;
use std::time::Instant;

/// Number of different requests with a part that must have been at the point of writing: one request
/// that comes again says nothing of its parts.
const MIN_REQUESTS: usize = 2;

impl Ledger {
    /// Returns the part against which most speaks, if that suffices for a quarantine.
    pub(super) fn worst_part(&self, now: Instant) -> Option<Finding> {
        let (score, key) = self
            .scores(now)
            .into_iter()
            .filter(|(score, key)| self.suffices(key, score, now))
            .max_by_key(|(score, _)| *score)?;
        Some(finding(&score, key, now))
    }

    /// Returns what speaks against each part that was in a crash which nothing explains.
    fn scores(&self, now: Instant) -> Vec<(Score, Key)> {
        let timeline = Timeline(&self.crashes);
        let settled = self.crashes.iter();
        let settled = settled.filter(|crash| now >= crash.at + SETTLING_TIME);
        let open = settled.filter(|crash| !self.is_explained(crash));
        let mut suspects: BTreeMap<(&str, PartId), Suspect<'_>> = BTreeMap::new();
        for crash in open {
            for exposure in crash.exposures.iter().filter(|exposure| is_close(exposure)) {
                for (depth, part) in exposure.parts.iter().enumerate() {
                    let suspect = suspects.entry((&crash.service, *part));
                    suspect.or_default().add(crash, exposure, depth);
                }
            }
        }
        let scored = suspects.into_iter().map(|((service, part), suspect)| {
            let key = Key {
                service: service.to_owned(),
                part,
            };
            let answered = self.answered.get(&key).copied().unwrap_or(0);
            (suspect.score(timeline, &key, answered), key)
        });
        scored.collect()
    }

    fn suffices(&self, key: &Key, score: &Score, now: Instant) -> bool {
        if self.is_on_probation(key, now) {
            return score.events >= 1;
        }
        let enough = score.events_with_head >= MIN_EVENTS || score.events >= MIN_HEADLESS_EVENTS;
        enough && score.requests >= MIN_REQUESTS
    }

    /// Returns the part against which most speaks, whether or not it suffices.
    pub(super) fn leading_part(&self, now: Instant) -> Option<Finding> {
        let parts = self.scores(now).into_iter();
        let (score, key) = parts.max_by_key(|(score, _)| *score)?;
        Some(finding(&score, key, now))
    }

    /// Returns whether a request with a quarantined part was at the point of writing in a crash.
    fn is_explained(&self, crash: &Record) -> bool {
        let mut terms = self.terms.iter();
        terms.any(|(key, term)| {
            let in_term = crash.at < term.until;
            in_term && crash.contains(key)
        })
    }
}

/// Returns whether a request may have begun to run shortly before its target crashed: it had a head, or
/// had not been there for long.
fn is_close(exposure: &Exposure) -> bool {
    !exposure.headless || exposure.waited_ms <= MAX_WAIT_MS
}

fn finding(score: &Score, key: Key, now: Instant) -> Finding {
    Finding {
        kind: Kind::Part,
        key,
        crashes: score.crashes,
        events: score.events,
        answered: score.answered,
        until: now,
    }
}
