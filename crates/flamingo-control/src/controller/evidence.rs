//! Judges prompt parts by what all entries report, and has the entries keep those that crash targets
//! from them.
//!
//! This rests on evidence alone and needs no leadership: an instance that no longer leads may still
//! judge by the reports that it gets. A new leader has the evidence of the one before, which all
//! control instances keep (see [`crate::suspicions`]), and entries report to it the crashes that they
//! saw lately.

use super::Controller;
use crate::watch::lock_registry;
use flamingo_daemon::clock;
use flamingo_guard::quarantine::Finding;
use flamingo_wire::prompt::{Crash, Evidence};
use slog::info;

/// Largest number of requests that a line names.
const MAX_LOGGED_REQUESTS: usize = 16;

impl Controller {
    /// Records what the entry `from` has seen.
    pub(super) fn record_evidence(&self, from: &str, evidence: &Evidence) {
        for crash in &evidence.crashes {
            info!(self.log, "crash reported"; "entry" => from, "target" => &crash.target,
                "incarnation" => crash.incarnation, "requests" => crash.exposures.len(),
                "fingerprints" => fingerprints(crash), "age_ms" => crash.age_ms);
        }
        let now = clock::now();
        lock_registry(&self.core.registry).record_evidence(now, from, evidence);
    }

    /// Judges by what the entries have seen, and publishes the parts that this puts in quarantine.
    pub(super) fn judge_parts(&self) {
        let now = clock::now();
        let mut registry = lock_registry(&self.core.registry);
        if !registry.is_judgement_due(now) {
            return;
        }
        let findings = registry.judge(now);
        let leading = registry.leading_suspects(now);
        drop(registry);
        self.log_suspects(&leading);
        for finding in &findings {
            let kind: &str = finding.kind.into();
            info!(self.log, "quarantined"; "kind" => kind, "service" => &finding.key.service,
                "part" => format!("{:x}", finding.key.part), "crashes" => finding.crashes,
                "events" => finding.events, "answered" => finding.answered,
                "for_ms" => (finding.until - now).as_millis());
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
