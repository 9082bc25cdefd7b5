//! Answers the questions of entries about the quotas of workspaces while this instance leads.

use super::workspaces::summarize;
use super::{Controller, LeaderSnapshot};
use flamingo_daemon::clock;
use flamingo_guard::quota::ledger::{Ledger, Level};
use flamingo_wire::Fault;
use flamingo_wire::admin::Answer;
use flamingo_wire::control::Reply;
use flamingo_wire::fault::Reason;
use flamingo_wire::quota::Question;
use slog::info;
use std::time::{Duration, Instant};

/// Time between two lines about the quotas.
const LINE_INTERVAL: Duration = Duration::from_secs(10);
/// Largest number of workspaces that are logged at a time.
const MAX_LINES: usize = 64;

/// Returns the fault for a request that only the leader answers.
fn not_leading() -> Fault {
    let message = "this instance does not lead";
    Fault::not_run(Reason::Leaderless, message, "ask the leader")
}

impl Controller {
    /// Answers an entry's question, if this instance leads.
    pub(super) async fn quota(&self, node: &str, question: &Question) -> Reply {
        let Some(leader) = self.leader_snapshot().await else {
            return Reply::Refused(not_leading());
        };
        let now = clock::now();
        self.start_term(&leader, now);
        let routes = leader.routes.as_ref();
        let workspaces = routes.and_then(|routes| routes.workspaces.as_ref());
        let quota = |name: &str| {
            let mut workspaces = workspaces?.iter();
            let found = workspaces.find(|workspace| workspace.name == name)?;
            found.quota
        };
        let mut term = self.term.borrow_mut();
        let ledger = term
            .quotas
            .get_or_insert_with(|| self.new_quotas(&leader, now));
        match ledger.answer(node, question, quota, now) {
            Some(answer) => Reply::Quota(answer),
            None => Reply::Refused(Fault::not_run(
                Reason::Overloaded,
                "a newer question was answered",
                "ask again",
            )),
        }
    }

    /// Answers an operator's query for the workspaces, if this instance leads.
    pub(super) async fn workspaces(&self) -> Reply {
        let Some(leader) = self.leader_snapshot().await else {
            return Reply::Refused(not_leading());
        };
        let now = clock::now();
        self.start_term(&leader, now);
        let mut term = self.term.borrow_mut();
        let ledger = term
            .quotas
            .get_or_insert_with(|| self.new_quotas(&leader, now));
        let (levels, observed) = (ledger.levels(now), ledger.observed(now));
        let routes = leader.routes.unwrap_or_default();
        let summary = summarize(&routes, &levels, observed);
        Reply::Admin(Answer::Workspaces(summary))
    }

    /// Returns the quotas of a leadership that begins now. Only the first one of all has no shares of
    /// an earlier leader to count; an instance whose lease lapsed is its own predecessor.
    pub(super) fn new_quotas(&self, leader: &LeaderSnapshot, now: Instant) -> Ledger {
        let inherits = leader.fence > 1 || self.has_led.replace(true);
        Ledger::new(self.quota_terms, now, inherits)
    }

    /// Logs the quotas of which entries hold a part or that are used up.
    pub(super) fn log_quotas(&self, now: Instant) {
        let mut term = self.term.borrow_mut();
        let logged_at = term.quotas_logged_at;
        if logged_at.is_some_and(|at| now < at + LINE_INTERVAL) {
            return;
        }
        term.quotas_logged_at = Some(now);
        let Some(ledger) = &mut term.quotas else {
            return;
        };
        let levels = ledger.levels(now).into_iter();
        let busy = |level: &Level| level.leased > 0.0 || level.promised > 0.0;
        for level in levels.filter(busy).take(MAX_LINES) {
            info!(self.log, "quota"; "workspace" => level.workspace, "units" => level.units.round(),
                "leased" => level.leased.round(), "withheld" => level.withheld.round(),
                "promised" => level.promised.round(), "reserved" => level.reserved.round());
        }
    }
}
