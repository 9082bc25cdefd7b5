//! How long evidence is kept, and how much of it.

use super::suspect::Record;
use super::{CRASH_RETENTION, Key, Ledger, MAX_CRASHES, MAX_TERMS};
use flamingo_wire::fingerprint::Fingerprint;
use flamingo_wire::id;
use flamingo_wire::prompt::PartId;
use std::collections::HashSet;
use std::time::{Duration, Instant};

/// Time for which entries may report a crash; one that speaks against nothing any more is kept so long,
/// so that a second report of it is known as such.
const REPORT_RETENTION: Duration = Duration::from_mins(2);
/// Answers since a crash beyond which it no longer speaks against a part.
const CLEARING_ANSWERS: u32 = 16;

impl Ledger {
    /// Removes crashes, answers and quarantines that no longer count.
    pub fn remove_expired(&mut self, now: Instant) {
        self.recent.remove_expired(now);
        self.recent_requests.remove_expired(now);
        self.remove_ended_terms(now);
        self.remove_cleared();
        let before = self.crashes.len();
        self.crashes.retain(|crash| {
            let retention = if crash.speaks_against_nothing() {
                REPORT_RETENTION
            } else {
                CRASH_RETENTION
            };
            now < crash.at + retention
        });
        if self.crashes.len() < before {
            self.revision += 1;
            self.remove_answers();
        }
    }

    /// Removes a crash that was none.
    pub fn withdraw(&mut self, target: &str, incarnation: id::Incarnation) {
        let before = self.crashes.len();
        self.crashes
            .retain(|crash| crash.target != target || crash.incarnation != incarnation);
        if self.crashes.len() < before {
            self.revision += 1;
            self.remove_answers();
        }
    }

    /// Removes the quarantines whose probation has ended, with the crashes that they explained.
    fn remove_ended_terms(&mut self, now: Instant) {
        let ended = self
            .terms
            .extract_if(.., |_, term| now >= term.probation_until);
        for (key, term) in ended {
            self.crashes
                .retain(|crash| crash.at >= term.until || !crash.involves(&key));
        }
    }

    /// Removes from crashes the parts and requests that were answered since.
    fn remove_cleared(&mut self) {
        let mut has_cleared = false;
        for crash in &mut self.crashes {
            let Record {
                service,
                exposures,
                answered_before,
                requests,
                ..
            } = crash;
            let key = |part: u64| Key {
                service: service.clone(),
                part,
            };
            let before = (answered_before.len(), requests.len());
            answered_before.retain(|part, before| {
                let now = self.answered.get(&key(*part)).copied().unwrap_or(0);
                now <= before.saturating_add(CLEARING_ANSWERS)
            });
            requests.retain(|request, unanswered| {
                let now = self.answered_requests.get(&key(*request));
                now.copied().unwrap_or(0) == unanswered.answered_before
            });
            if before == (answered_before.len(), requests.len()) {
                continue;
            }
            has_cleared = true;
            for exposure in exposures.iter_mut() {
                exposure
                    .parts
                    .retain(|part| answered_before.contains_key(part));
            }
            exposures.retain(|exposure| {
                let mut request = exposure.request.iter();
                !exposure.parts.is_empty() || request.any(|request| requests.contains_key(request))
            });
        }
        if has_cleared {
            self.revision += 1;
            self.remove_answers();
        }
    }

    /// Removes the oldest crashes and the quarantines that end first, beyond the largest numbers.
    /// Crashes that speak against nothing any more go before the others.
    pub(super) fn remove_excess(&mut self) {
        if self.crashes.len() > MAX_CRASHES {
            self.remove_cleared();
            while self.crashes.len() > MAX_CRASHES {
                let cleared = self.crashes.iter().position(Record::speaks_against_nothing);
                self.crashes.remove(cleared.unwrap_or(0));
            }
            self.remove_answers();
        }
        while self.terms.len() > MAX_TERMS {
            let first = self.terms.iter().min_by_key(|(_, term)| term.until);
            let Some(key) = first.map(|(key, _)| key.clone()) else {
                return;
            };
            self.terms.remove(&key);
        }
    }

    /// Removes the answers to parts that are in no crash.
    fn remove_answers(&mut self) {
        let crashes = self.crashes.iter();
        let suspects: HashSet<(&str, PartId)> = crashes
            .flat_map(|crash| {
                let parts = crash.answered_before.keys();
                parts.map(|part| (crash.service.as_str(), *part))
            })
            .collect();
        self.answered
            .retain(|key, _| suspects.contains(&(key.service.as_str(), key.part)));
        let crashes = self.crashes.iter();
        let requests: HashSet<(&str, Fingerprint)> = crashes
            .flat_map(|crash| {
                let requests = crash.requests.keys();
                requests.map(|request| (crash.service.as_str(), *request))
            })
            .collect();
        self.answered_requests
            .retain(|key, _| requests.contains(&(key.service.as_str(), key.part)));
    }
}
