//! The evidence of one ledger, for the ledger of an instance that takes over or restarts.

use super::suspect::{Record, Unanswered};
use super::{CRASH_RETENTION, Key, Ledger, MAX_CRASHES, MAX_EXPOSURES, SETTLING_TIME};
use flamingo_wire::fingerprint::Fingerprint;
use flamingo_wire::prompt::{Crash, Dossier, Suspicion};
use std::time::{Duration, Instant};

impl Ledger {
    /// Returns the number of changes so far that an instance which takes over has to know.
    #[must_use]
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Returns whether there is neither evidence nor a quarantine.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.crashes.is_empty() && self.terms.is_empty()
    }

    /// Returns all evidence.
    ///
    /// ```
    /// use flamingo_guard::quarantine::{Ledger, MIN_EVENTS, SETTLING_TIME};
    /// use flamingo_wire::prompt::{Crash, Exposure};
    /// use std::time::{Duration, Instant};
    ///
    /// let now = Instant::now();
    /// let mut ledger = Ledger::default();
    /// for incarnation in 0..MIN_EVENTS as u64 {
    ///     let exposure = Exposure {
    ///         parts: [7].into_iter().collect(),
    ///         ..Exposure::default()
    ///     };
    ///     let crash = Crash {
    ///         service: "s".into(),
    ///         target: "t".into(),
    ///         incarnation,
    ///         age_ms: 10_000 - 1_000 * incarnation,
    ///         exposures: vec![exposure],
    ///     };
    ///     ledger.record_crash("entry-1", &crash, now);
    /// }
    /// let mut successor = Ledger::default();
    /// successor.restore(&ledger.dossier(now), now);
    /// assert_eq!(successor.judge(now + SETTLING_TIME).len(), 1);
    /// ```
    #[must_use]
    pub fn dossier(&self, now: Instant) -> Dossier {
        let suspicions = self.crashes.iter().map(|crash| self.suspicion(crash, now));
        Dossier {
            suspicions: suspicions.collect(),
            quarantines: self.quarantines(now),
        }
    }

    fn suspicion(&self, record: &Record, now: Instant) -> Suspicion {
        let age = now.saturating_duration_since(record.at).as_millis();
        let answered = record.answered_before.iter().map(|(part, before)| {
            let key = Key {
                service: record.service.clone(),
                part: *part,
            };
            let total = self.answered.get(&key).copied().unwrap_or(0);
            (*part, total.saturating_sub(*before))
        });
        Suspicion {
            crash: Crash {
                service: record.service.clone(),
                target: record.target.clone(),
                incarnation: record.incarnation,
                age_ms: u64::try_from(age).unwrap_or(u64::MAX),
                exposures: record.exposures.clone(),
            },
            reporters: record.reporters.to_vec(),
            answered: answered.collect(),
            unanswered: self.unanswered(record).collect(),
        }
    }

    /// Returns the requests of a crash that were never answered since.
    fn unanswered<'a>(&'a self, record: &'a Record) -> impl Iterator<Item = Fingerprint> + 'a {
        let requests = record.requests.iter();
        let unanswered = requests.filter(|(request, unanswered)| {
            let key = Key {
                service: record.service.clone(),
                part: **request,
            };
            let total = self.answered_requests.get(&key).copied().unwrap_or(0);
            total == unanswered.answered_before
        });
        unanswered.map(|(request, _)| *request)
    }

    /// Adopts the evidence of another instance. A crash that is known here is replaced if that instance
    /// has heard of it from all entries that reported it here. Returns the parts and requests that were
    /// in no quarantine here.
    pub fn restore(&mut self, dossier: &Dossier, now: Instant) -> Vec<Key> {
        for suspicion in dossier.suspicions.iter().take(MAX_CRASHES) {
            self.restore_crash(suspicion, now);
        }
        self.remove_excess();
        self.adopt(&dossier.quarantines, now)
    }

    fn restore_crash(&mut self, suspicion: &Suspicion, now: Instant) {
        let crash = &suspicion.crash;
        let at = now.checked_sub(Duration::from_millis(crash.age_ms));
        let Some(at) = at.filter(|at| now < *at + CRASH_RETENTION) else {
            return;
        };
        if let Some(index) = self.position(crash) {
            let known = &self.crashes[index];
            let is_part = known
                .reporters
                .iter()
                .all(|reporter| suspicion.reporters.contains(reporter));
            if !is_part || self.is_current(known, suspicion) {
                return;
            }
            self.crashes.remove(index);
        }
        let mut record = Record::new(crash, at);
        self.fill(&mut record, suspicion);
        self.insert(record);
        self.revision += 1;
        let counts_at = (at + SETTLING_TIME).max(now);
        self.judge_at = Some(self.judge_at.map_or(counts_at, |at| at.min(counts_at)));
    }

    /// Returns whether a record says what a suspicion does.
    fn is_current(&self, known: &Record, suspicion: &Suspicion) -> bool {
        let mut known = self.suspicion(known, known.at);
        let mut new = suspicion.clone();
        new.crash.age_ms = 0;
        for suspicion in [&mut known, &mut new] {
            suspicion.reporters.sort_unstable();
            suspicion.answered.sort_unstable();
            suspicion.unanswered.sort_unstable();
        }
        known == new
    }

    /// Enters what a suspicion says into the record of its crash. The answers that another instance has
    /// counted since are added to those that are counted here.
    fn fill(&mut self, record: &mut Record, suspicion: &Suspicion) {
        record.reporters = suspicion.reporters.iter().cloned().collect();
        let key = |part: u64| Key {
            service: suspicion.crash.service.clone(),
            part,
        };
        for (part, since) in &suspicion.answered {
            let total = self.answered.entry(key(*part)).or_default();
            *total = (*total).max(*since);
            record.answered_before.insert(*part, *total - since);
        }
        for exposure in suspicion.crash.exposures.iter().take(MAX_EXPOSURES) {
            let mut exposure = exposure.clone();
            exposure
                .parts
                .retain(|part| record.answered_before.contains_key(part));
            let unanswered = exposure
                .request
                .filter(|request| !exposure.answered && suspicion.unanswered.contains(request));
            if let Some(request) = unanswered {
                let answered = *self.answered_requests.entry(key(request)).or_default();
                let unanswered = Unanswered {
                    answered_before: answered,
                    waited_ms: exposure.waited_ms,
                    follows: exposure.follows,
                };
                record.add_request(request, unanswered);
            }
            record.exposures.push(exposure);
        }
    }
}
