//! What a control instance is told of targets and demand, about once a second.

use crate::ask;
use crate::shared::Shared;
use flamingo_wire::control::{Demand, Reply, Report, Request};
use flamingo_wire::id;
use slog::debug;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

/// Time between two reports.
const INTERVAL: Duration = Duration::from_secs(1);
/// Reports from one that tells unchanged targets' loads to the next.
const LOADS: u64 = 5;
/// Targets in one report.
const TARGETS: usize = 64;
/// Models whose demand waits for the next report, at most.
const MODELS: usize = 1_024;

/// What the next report will tell.
#[derive(Debug, Default)]
pub struct PendingReport {
    /// Targets that this entry heard, with the tag last reported.
    heard: BTreeMap<id::Target, Option<u32>>,
    /// Targets heard since the last report.
    fresh: BTreeSet<id::Target>,
    demand: BTreeMap<id::Model, Demand>,
}

impl PendingReport {
    /// Notes a target that announced itself here.
    pub(crate) fn hear(&mut self, target: &str) {
        self.heard.entry(target.to_owned()).or_default();
        self.fresh.insert(target.to_owned());
    }

    /// Adds demand to what waits.
    pub(crate) fn demand(&mut self, demand: Vec<Demand>) {
        for one in demand {
            if let Some(sum) = self.demand.get_mut(&one.model) {
                sum.requests = sum.requests.saturating_add(one.requests);
                sum.met = sum.met.saturating_add(one.met);
                sum.refused = sum.refused.saturating_add(one.refused);
                sum.tokens = sum.tokens.saturating_add(one.tokens);
            } else if self.demand.len() < MODELS {
                self.demand.insert(one.model.clone(), one);
            }
        }
    }
}

/// Reports for ever.
pub(crate) async fn run(shared: Arc<Shared>) {
    let mut count = 0;
    loop {
        actix_rt::time::sleep(INTERVAL).await;
        count += 1;
        let report = draw_up(&shared, count % LOADS == 0);
        if report.targets.is_empty() && report.demand.is_empty() {
            continue;
        }
        let reply = ask::ask(&shared, &Request::Report(report.clone())).await;
        if let Reply::Refused(fault) = reply {
            debug!(shared.log, "report not taken"; "fault" => %fault);
            put_back(
                &shared,
                report,
                fault.verdict == flamingo_wire::Verdict::NotRun,
            );
        }
    }
}

/// Draws up the next report: changed states, and each few reports all loads.
fn draw_up(shared: &Shared, loads: bool) -> Report {
    let machine = shared.machine();
    let mut draft = shared.draft();
    let mut report = Report {
        node: shared.node.clone(),
        ..Report::default()
    };
    let fresh: Vec<_> = draft.fresh.iter().cloned().collect();
    for target in fresh {
        let Some(record) = machine.table().get(&target) else {
            draft.heard.remove(&target);
            draft.fresh.remove(&target);
            continue;
        };
        let reported = draft.heard.get(&target).copied().flatten();
        let changed = reported != Some(record.state_checksum);
        if report.targets.len() < TARGETS && (changed || loads) {
            draft
                .heard
                .insert(target.clone(), Some(record.state_checksum));
            draft.fresh.remove(&target);
            report.targets.push(record.announcement.clone());
        }
    }
    report.demand = std::mem::take(&mut draft.demand).into_values().collect();
    report
}

/// Keeps what a report that was not taken had to say. Demand of one that may
/// have been taken is not told twice.
fn put_back(shared: &Shared, report: Report, demand: bool) {
    let mut draft = shared.draft();
    for announcement in report.targets {
        draft.heard.insert(announcement.target.clone(), None);
        draft.fresh.insert(announcement.target);
    }
    if demand {
        draft.demand(report.demand);
    }
}
