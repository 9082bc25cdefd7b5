//! Judges prompt parts by what all entries report, and has the entries keep those that crash targets
//! from them.
//!
//! This rests on evidence alone and needs no leadership: an instance that no longer leads may still
//! judge by the reports that it gets. A new leader has the quarantines of the other control
//! instances, and entries report to it those that they know and the crashes that they saw lately.

use super::Controller;
use crate::watch::lock_registry;
use flamingo_daemon::clock;
use flamingo_guard::quarantine::{Finding, Ledger};
use flamingo_wire::prompt::{Crash, Evidence};
use slog::info;
use std::time::Instant;

/// Largest number of requests that a line names.
const MAX_LOGGED_REQUESTS: usize = 16;

impl Controller {
    /// Records what the entry `from` has seen.
    pub(super) fn record_evidence(&self, from: &str, evidence: &Evidence) {
        let now = clock::now();
        let mut ledger = self.evidence.borrow_mut();
        for crash in &evidence.crashes {
            info!(self.log, "crash reported"; "entry" => from, "target" => &crash.target,
                "incarnation" => crash.incarnation, "requests" => crash.exposures.len(),
                "fingerprints" => fingerprints(crash), "age_ms" => crash.age_ms);
        }
        if !ledger.record(from, evidence, now).is_empty() {
            self.publish_quarantines(&ledger, now);
        }
    }

    /// Judges by what the entries have seen, and publishes the parts that this puts in quarantine.
    pub(super) fn judge_parts(&self) {
        let now = clock::now();
        let mut ledger = self.evidence.borrow_mut();
        let known = lock_registry(&self.core.registry).quarantines(now);
        ledger.adopt(&known, now);
        let is_due = ledger.is_due(now);
        let findings = ledger.judge(now);
        if is_due {
            self.log_suspects(&ledger.leading(now));
        }
        for finding in &findings {
            let kind: &str = finding.kind.into();
            info!(self.log, "quarantined"; "kind" => kind, "service" => &finding.key.service,
                "part" => format!("{:x}", finding.key.part), "crashes" => finding.crashes,
                "events" => finding.events, "answered" => finding.answered,
                "for_ms" => (finding.until - now).as_millis());
        }
        if !findings.is_empty() {
            self.publish_quarantines(&ledger, now);
        }
    }

    /// Logs what the evidence speaks against most, also where it does not suffice.
    fn log_suspects(&self, leading: &[Finding]) {
        for finding in leading {
            let kind: &str = finding.kind.into();
            info!(self.log, "suspected"; "kind" => kind, "service" => &finding.key.service,
                "part" => format!("{:x}", finding.key.part), "crashes" => finding.crashes,
                "events" => finding.events, "answered" => finding.answered);
        }
    }

    fn publish_quarantines(&self, ledger: &Ledger, now: Instant) {
        let quarantines = ledger.quarantines(now);
        lock_registry(&self.core.registry).publish_quarantines(now, quarantines);
    }
}

/// Returns the whole requests in a crash that were not answered, as text.
fn fingerprints(crash: &Crash) -> String {
    let unanswered = crash.exposures.iter().filter(|exposure| !exposure.answered);
    let requests = unanswered.filter_map(|exposure| exposure.request);
    let names: Vec<String> = requests
        .take(MAX_LOGGED_REQUESTS)
        .map(|request| format!("{request:016x}"))
        .collect();
    names.join(",")
}
