//! What this entry sees of targets that crash under requests, and of the prompt parts and whole
//! requests that crash them.
//!
//! An entry sees its own requests only. It reports them to the leader, which judges by those of all
//! entries, and keeps the crashes for a time, so that a new leader gets them too. The entry's own
//! [`Ledger`] holds what control has quarantined, and judges by this entry's requests alone, which
//! is all there is while control is out of reach.

mod sightings;

pub use sightings::Fate;

use crate::quarantine::{Finding, Key, Ledger};
use flamingo_wire::fingerprint::Fingerprint;
use flamingo_wire::id;
use flamingo_wire::prompt::{
    Answered, AnsweredRequests, Crash, Evidence, Exposure, PartId, Quarantine,
};
use sightings::Sightings;
use std::collections::{HashMap, VecDeque};
use std::time::{Duration, Instant};

/// Time after its first event for which a request is at the point of writing.
const POINT_OF_WRITING: Duration = Duration::from_millis(100);
/// Time for which a broken connection waits for the news that its target has crashed.
const BREAK_RETENTION: Duration = Duration::from_secs(10);
/// Largest number of parts whose answers wait to be reported.
pub const MAX_ANSWERED_PARTS: usize = 4_096;
/// Largest number of answered requests that wait to be reported; the oldest are dropped.
const MAX_ANSWERED_REQUESTS: usize = 1_024;
/// Largest number of targets with broken connections, and of crashes, that are kept.
const MAX_TARGETS: usize = 64;
/// Largest number of requests that are kept of one target.
const MAX_EXPOSURES: usize = 64;
/// Largest number of requests that are kept as interrupted; the oldest are dropped.
const MAX_BROKEN: usize = 1_024;

/// Name of a leader.
pub type Leader = id::Node;
/// An incarnation of a target.
pub type Life = (id::Target, id::Incarnation);

/// A request whose connection to a target broke.
#[derive(Clone, Copy, Debug)]
pub struct Interrupted<'a> {
    /// Service of the target.
    pub service: &'a str,
    /// Parts of its prompt.
    pub parts: &'a [PartId],
    /// Identity of the whole request.
    pub request: Fingerprint,
    /// When it was sent to the target.
    pub sent_at: Instant,
    /// Whether it is a stream whose head had not come.
    pub headless: bool,
    /// When its first event came; `None` before.
    pub answered_at: Option<Instant>,
}

/// Requests that were at the point of writing when their connections to a target broke.
#[derive(Debug)]
struct Break {
    service: id::Service,
    at: Instant,
    exposures: Vec<Exposure>,
    /// Whether the target accepted a connection afterwards. It may have restarted meanwhile.
    reachable: bool,
}

/// What this entry has seen.
#[derive(Debug, Default)]
pub struct Observer {
    ledger: Ledger,
    answered: HashMap<Key, u32>,
    /// In the order of their answers.
    answered_requests: VecDeque<(id::Service, Fingerprint)>,
    breaks: HashMap<Life, Break>,
    /// Requests under which connections to targets broke, with the time of each, in order.
    broken: VecDeque<(Fingerprint, Instant)>,
    crashes: Sightings,
    /// The leader that has acknowledged the quarantines known here.
    informed: Option<Leader>,
}

impl Observer {
    /// Returns when the last quarantine of these parts and whole requests ends; `None` if there is none.
    #[must_use]
    pub fn quarantined_until(
        &self,
        service: &str,
        parts: &[PartId],
        now: Instant,
    ) -> Option<Instant> {
        self.ledger.find(service, parts, now)
    }

    /// Returns the number of parts that are quarantined.
    #[must_use]
    pub fn quarantined(&self, now: Instant) -> usize {
        self.ledger.quarantines(now).len()
    }

    /// Counts a request that got its first event, or its whole response if that is no stream.
    pub fn record_answered(&mut self, service: &str, parts: &[PartId], request: Fingerprint) {
        self.keep_answered_request((service.to_owned(), request));
        self.ledger.record_answered_request(service, request);
        for part in parts {
            let key = Key {
                service: service.to_owned(),
                part: *part,
            };
            self.add_answered(key, 1);
        }
        self.ledger.record_answered(&Answered {
            service: service.to_owned(),
            parts: parts.iter().map(|part| (*part, 1)).collect(),
        });
    }

    fn keep_answered_request(&mut self, request: (id::Service, Fingerprint)) {
        if self.answered_requests.len() >= MAX_ANSWERED_REQUESTS {
            self.answered_requests.pop_front();
        }
        self.answered_requests.push_back(request);
    }

    /// Records that the connection of a request broke. Returns whether the target should be probed: the request was at the point of writing, and no
    /// probe is under way.
    pub fn record_break(&mut self, life: &Life, request: &Interrupted<'_>, now: Instant) -> bool {
        let answered_at = request.answered_at;
        let writes = answered_at.is_none_or(|at| now < at + POINT_OF_WRITING);
        let follows = self.was_broken(request.request, request.sent_at);
        self.keep_broken(request.request, now);
        let known = self.breaks.contains_key(life);
        if !writes || (!known && self.breaks.len() >= MAX_TARGETS) {
            return false;
        }
        if self.breaks.get(life).is_some_and(|broken| broken.reachable) {
            self.breaks.remove(life);
        }
        let probing = self.breaks.contains_key(life);
        let broken = self.breaks.entry(life.clone()).or_insert_with(|| Break {
            service: request.service.to_owned(),
            at: now,
            exposures: Vec::new(),
            reachable: false,
        });
        if broken.exposures.len() < MAX_EXPOSURES {
            broken.exposures.push(Exposure {
                parts: request.parts.into(),
                answered: answered_at.is_some(),
                request: Some(request.request),
                waited_ms: age_ms(request.sent_at, now),
                headless: request.headless,
                follows,
            });
        }
        !probing
    }

    /// Returns whether a connection had broken under a request by the time at which it was sent.
    fn was_broken(&self, request: Fingerprint, sent_at: Instant) -> bool {
        let mut broken = self.broken.iter();
        broken.any(|(known, at)| *known == request && *at <= sent_at)
    }

    fn keep_broken(&mut self, request: Fingerprint, now: Instant) {
        if self.broken.len() >= MAX_BROKEN {
            self.broken.pop_front();
        }
        self.broken.push_back((request, now));
    }

    /// Records that a target with broken connections accepted a new one.
    pub fn record_reachable(&mut self, life: &Life) {
        if let Some(broken) = self.breaks.get_mut(life) {
            broken.reachable = true;
        }
    }

    /// Records that an incarnation of a target has ended, if connections to it broke. Returns whether
    /// they did.
    pub fn record_crash(&mut self, life: &Life, now: Instant) -> bool {
        self.record(life, now, true)
    }

    /// Records that a target whose connections broke accepts none, if they did. That is a crash unless this
    /// entry is cut off from the target: it is reported once that is known, see [`Self::confirm_likely`],
    /// [`Self::doubt_likely`] and [`Self::settle`]. Returns whether connections to the target broke.
    ///
    /// ```
    /// use flamingo_guard::observer::{Fate, Interrupted, Observer};
    /// use std::time::Instant;
    ///
    /// let now = Instant::now();
    /// let life = ("t".to_owned(), 1);
    /// let request = Interrupted {
    ///     service: "s",
    ///     parts: &[],
    ///     request: 7,
    ///     sent_at: now,
    ///     headless: false,
    ///     answered_at: None,
    /// };
    /// let mut observer = Observer::default();
    /// observer.record_break(&life, &request, now);
    /// assert!(observer.record_unreached(&life, now));
    /// assert!(observer.take_evidence("leader", now).crashes.is_empty());
    /// observer.confirm_likely("u", now);
    /// assert_eq!(observer.take_evidence("leader", now).crashes.len(), 1);
    /// ```
    pub fn record_unreached(&mut self, life: &Life, now: Instant) -> bool {
        self.record(life, now, false)
    }

    fn record(&mut self, life: &Life, now: Instant, is_certain: bool) -> bool {
        let Some(broken) = self.breaks.remove(life) else {
            return false;
        };
        let (target, incarnation) = life.clone();
        let crash = Crash {
            service: broken.service,
            target,
            incarnation,
            age_ms: age_ms(broken.at, now),
            exposures: broken.exposures,
        };
        self.ledger.record_crash("", &crash, now);
        self.crashes.add(crash, broken.at, is_certain);
        true
    }

    /// Takes likely crashes for certain, since this entry reaches another target: `target` has accepted a
    /// connection that was dialled at `dialled_at`.
    pub fn confirm_likely(&mut self, target: &str, dialled_at: Instant) {
        self.crashes.confirm_likely(target, dialled_at);
    }

    /// Doubts likely crashes, since this entry is or was isolated from targets.
    pub fn doubt_likely(&mut self) {
        self.crashes.doubt_likely();
    }

    /// Settles the crashes that are not certain by what has become of each incarnation since the given time.
    /// Returns those that went on: these were no crashes.
    pub fn settle(&mut self, fate: impl Fn(&Life, Instant) -> Fate) -> Vec<Life> {
        let alive = self.crashes.settle(fate);
        for (target, incarnation) in &alive {
            self.ledger.withdraw(target, *incarnation);
        }
        alive
    }

    /// Quarantines the parts against which this entry's own evidence suffices, and returns them.
    pub fn judge(&mut self, now: Instant) -> Vec<Finding> {
        let findings = self.ledger.judge(now);
        if !findings.is_empty() {
            self.informed = None;
        }
        findings
    }

    /// Returns the incarnations of a target with broken connections that have ended, since
    /// `incarnation` has begun.
    #[must_use]
    pub fn ended_lives(&self, target: &str, incarnation: id::Incarnation) -> Vec<Life> {
        let lives = self.breaks.keys();
        let ended = lives.filter(|(known, before)| known == target && *before < incarnation);
        ended.cloned().collect()
    }

    /// Adopts what control has quarantined, and returns the parts that are new here.
    pub fn adopt(&mut self, quarantines: &[Quarantine], now: Instant) -> Vec<Key> {
        self.ledger.adopt(quarantines, now)
    }

    /// Returns what the leader does not know yet, and counts the answers in it as reported.
    pub fn take_evidence(&mut self, leader: &str, now: Instant) -> Evidence {
        let informed = self.informed.as_deref() == Some(leader);
        let quarantines = if informed {
            Vec::new()
        } else {
            self.ledger.quarantines(now)
        };
        let mut answered: HashMap<id::Service, Vec<(PartId, u32)>> = HashMap::new();
        for (key, count) in self.answered.drain() {
            answered
                .entry(key.service)
                .or_default()
                .push((key.part, count));
        }
        let answered = answered.into_iter();
        let mut answered_requests: HashMap<id::Service, Vec<Fingerprint>> = HashMap::new();
        for (service, request) in self.answered_requests.drain(..) {
            answered_requests.entry(service).or_default().push(request);
        }
        let answered_requests = answered_requests.into_iter();
        Evidence {
            quarantines,
            answered: answered
                .map(|(service, parts)| Answered { service, parts })
                .collect(),
            answered_requests: answered_requests
                .map(|(service, requests)| AnsweredRequests { service, requests })
                .collect(),
            crashes: self.crashes.unreported(leader, now),
        }
    }

    /// Records that the leader has acknowledged this evidence.
    pub fn acknowledge(&mut self, leader: &str, evidence: &Evidence) {
        self.informed = Some(leader.to_owned());
        self.crashes.acknowledge(leader, &evidence.crashes);
    }

    /// Counts the answers in this evidence as not reported again, since its report was lost.
    pub fn return_answered(&mut self, evidence: Evidence) {
        for answered in evidence.answered_requests {
            for request in answered.requests {
                self.keep_answered_request((answered.service.clone(), request));
            }
        }
        for answered in evidence.answered {
            for (part, count) in answered.parts {
                let key = Key {
                    service: answered.service.clone(),
                    part,
                };
                self.add_answered(key, count);
            }
        }
    }

    /// Counts answers of one part; those of a further part are lost where too many parts wait.
    fn add_answered(&mut self, key: Key, count: u32) {
        let full = self.answered.len() >= MAX_ANSWERED_PARTS;
        if !full || self.answered.contains_key(&key) {
            *self.answered.entry(key).or_default() += count;
        }
    }

    /// Removes what no longer counts.
    pub fn remove_expired(&mut self, now: Instant) {
        self.ledger.remove_expired(now);
        self.breaks
            .retain(|_, broken| now < broken.at + BREAK_RETENTION);
        self.broken.retain(|(_, at)| now < *at + BREAK_RETENTION);
        self.crashes.remove_expired(now);
    }
}

fn age_ms(at: Instant, now: Instant) -> u64 {
    let age = now.saturating_duration_since(at);
    u64::try_from(age.as_millis()).unwrap_or(u64::MAX)
}
