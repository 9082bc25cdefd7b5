//! Reports of targets and demand to the control instances, about once a second.

use crate::ask;
use crate::shared::Shared;
use flamingo_wire::control::{Demand, Reply, Report, Request};
use flamingo_wire::event::Event;
use flamingo_wire::id;
use flamingo_wire::prompt::Evidence;
use slog::debug;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Time between two reports.
const REPORT_INTERVAL: Duration = Duration::from_secs(1);
/// Every report whose number is a multiple of this also contains targets of which only the load
/// changed.
const LOAD_REPORT_PERIOD: u64 = 5;
/// Maximum number of targets in one report.
const MAX_TARGETS: usize = 64;
/// Maximum number of crashes, quarantines and models with answers that wait for the next report.
const MAX_EVIDENCE: usize = 256;
/// Maximum number of models whose demand is collected for the next report.
const MAX_MODELS: usize = 1_024;

/// The content of the next report.
#[derive(Debug, Default)]
pub struct PendingReport {
    /// Targets that announced themselves at this entry, with the state checksum that was last
    /// reported; `None` where the target must be reported again.
    reported_checksums: BTreeMap<id::Target, Option<u32>>,
    /// Targets that announced themselves since they were last reported.
    to_report: BTreeSet<id::Target>,
    demand: BTreeMap<id::Model, Demand>,
    evidence: Evidence,
    /// The instant at which the ages and remaining times in the evidence hold; `None` before the first.
    evidence_at: Option<Instant>,
}

impl PendingReport {
    /// Records that a target announced itself at this entry.
    pub(crate) fn add_target(&mut self, target: &str) {
        self.reported_checksums
            .entry(target.to_owned())
            .or_default();
        self.to_report.insert(target.to_owned());
    }

    /// Adds evidence to the next report. Its ages and remaining times hold at `taken_at`.
    pub fn add_evidence(&mut self, mut evidence: Evidence, taken_at: Instant) {
        let waiting_at = self.evidence_at.unwrap_or(taken_at);
        let at = waiting_at.max(taken_at);
        age(&mut self.evidence, at.saturating_duration_since(waiting_at));
        age(&mut evidence, at.saturating_duration_since(taken_at));
        self.evidence_at = Some(at);
        self.evidence.answered.extend(evidence.answered);
        self.evidence.crashes.extend(evidence.crashes);
        let requests = evidence.answered_requests;
        self.evidence.answered_requests.extend(requests);
        self.evidence.quarantines.extend(evidence.quarantines);
        self.evidence.answered.truncate(MAX_EVIDENCE);
        self.evidence.crashes.truncate(MAX_EVIDENCE);
        self.evidence.answered_requests.truncate(MAX_EVIDENCE);
        self.evidence.quarantines.truncate(MAX_EVIDENCE);
    }

    /// Takes the evidence for a report that is sent now.
    pub fn take_evidence(&mut self, now: Instant) -> Evidence {
        let mut evidence = std::mem::take(&mut self.evidence);
        if let Some(at) = self.evidence_at.take() {
            age(&mut evidence, now.saturating_duration_since(at));
        }
        evidence
    }

    /// Adds demand to the next report.
    pub(crate) fn add_demand(&mut self, demand: Vec<Demand>) {
        for item in demand {
            if let Some(sum) = self.demand.get_mut(&item.model) {
                sum.requests = sum.requests.saturating_add(item.requests);
                sum.met = sum.met.saturating_add(item.met);
                sum.refused = sum.refused.saturating_add(item.refused);
                sum.tokens = sum.tokens.saturating_add(item.tokens);
            } else if self.demand.len() < MAX_MODELS {
                self.demand.insert(item.model.clone(), item);
            }
        }
    }
}

/// Corrects evidence by the time that has passed since it was taken. Quarantines that have ended are
/// left out.
fn age(evidence: &mut Evidence, passed: Duration) {
    let passed_ms = u64::try_from(passed.as_millis()).unwrap_or(u64::MAX);
    if passed_ms == 0 {
        return;
    }
    for crash in &mut evidence.crashes {
        crash.age_ms = crash.age_ms.saturating_add(passed_ms);
    }
    for quarantine in &mut evidence.quarantines {
        quarantine.remaining_ms = quarantine.remaining_ms.saturating_sub(passed_ms);
    }
    evidence
        .quarantines
        .retain(|quarantine| quarantine.remaining_ms > 0);
}

/// Number of reports of which at least one is sent although it is empty: its reply brings the prompt
/// parts in quarantine.
const EMPTY_REPORT_PERIOD: u64 = 2;

/// Sends reports periodically. Never returns.
pub(crate) async fn run(shared: Arc<Shared>) {
    let mut count = 0;
    loop {
        actix_rt::time::sleep(REPORT_INTERVAL).await;
        count += 1;
        let taken_at = Instant::now();
        let report = next_report(&shared, count % LOAD_REPORT_PERIOD == 0, taken_at);
        let empty = report.targets.is_empty()
            && report.demand.is_empty()
            && report.evidence == Evidence::default();
        if empty && count % EMPTY_REPORT_PERIOD != 0 {
            continue;
        }
        match ask::ask(&shared, &Request::Report(report.clone())).await {
            Reply::Quarantines(quarantines) => {
                shared.sink.take(Event::Quarantines(quarantines));
            }
            Reply::Refused(fault) => {
                debug!(shared.log, "report failed"; "fault" => %fault);
                restore(
                    &shared,
                    report,
                    taken_at,
                    fault.verdict == flamingo_wire::Verdict::NotRun,
                );
            }
            _ => {}
        }
    }
}

/// Returns the next report. It contains targets whose state changed and, where `with_loads` is
/// set, also those of which only the load may have changed.
fn next_report(shared: &Shared, with_loads: bool, now: Instant) -> Report {
    let machine = shared.machine();
    let mut pending = shared.pending_report();
    let mut report = Report {
        node: shared.node.clone(),
        ..Report::default()
    };
    let due_targets: Vec<_> = pending.to_report.iter().cloned().collect();
    for target in due_targets {
        let Some(record) = machine.table().get(&target) else {
            pending.reported_checksums.remove(&target);
            pending.to_report.remove(&target);
            continue;
        };
        let reported = pending.reported_checksums.get(&target).copied().flatten();
        let changed = reported != Some(record.state_checksum);
        if report.targets.len() < MAX_TARGETS && (changed || with_loads) {
            pending
                .reported_checksums
                .insert(target.clone(), Some(record.state_checksum));
            pending.to_report.remove(&target);
            report.targets.push(record.announcement.clone());
        }
    }
    report.demand = std::mem::take(&mut pending.demand).into_values().collect();
    report.evidence = pending.take_evidence(now);
    report
}

/// Restores the content of a report that failed, so that the next report contains it. Evidence that
/// arrives twice counts once, but for answers, which speak for a prompt. Demand is
/// restored only where the report was certainly not processed, so that none is counted twice.
fn restore(shared: &Shared, report: Report, taken_at: Instant, with_demand: bool) {
    let mut pending = shared.pending_report();
    pending.add_evidence(report.evidence, taken_at);
    for announcement in report.targets {
        pending
            .reported_checksums
            .insert(announcement.target.clone(), None);
        pending.to_report.insert(announcement.target);
    }
    if with_demand {
        pending.add_demand(report.demand);
    }
}
