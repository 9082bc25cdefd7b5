//! Publishes which workspaces are above their share of what is short, while this instance leads.

use super::Controller;
use crate::watch::lock_registry;
use flamingo_daemon::clock;
use flamingo_guard::share::ledger::Ledger;
use flamingo_wire::control::Push;
use flamingo_wire::share::Use;
use slog::info;
use std::time::{Duration, Instant};

/// Time between two lines about the workspaces above their share.
const LINE_INTERVAL: Duration = Duration::from_secs(2);

impl Controller {
    /// Adds the work of workspaces that an entry reports.
    pub(super) fn record_shares(&self, uses: &[Use]) {
        if uses.is_empty() {
            return;
        }
        let mut term = self.term.borrow_mut();
        let ledger = &mut term.shares;
        ledger
            .get_or_insert_with(|| Ledger::new(clock::now()))
            .record(uses);
    }

    /// Publishes the workspaces above their share, if that is due, and logs them.
    pub(super) fn publish_shares(&self, now: Instant) {
        let mut term = self.term.borrow_mut();
        let Some(ledger) = &mut term.shares else {
            return;
        };
        if let Some(limits) = ledger.publish(now) {
            lock_registry(&self.core.registry).publish(Push::Shares(limits));
        }
        if ledger.excesses().is_empty() {
            return;
        }
        let logged_at = term.shares_logged_at;
        if logged_at.is_some_and(|at| now < at + LINE_INTERVAL) {
            return;
        }
        term.shares_logged_at = Some(now);
        let excesses = term.shares.iter().flat_map(Ledger::excesses);
        for excess in excesses {
            let limit = &excess.limit;
            info!(self.log, "workspace above its share"; "workspace" => &limit.workspace,
                "rank" => limit.rank, "service" => &limit.service, "model" => &limit.model,
                "asked_ms" => excess.asked.round(), "beyond_ms" => excess.beyond.round(),
                "part" => f64::from(limit.permille) / 1_000.0);
        }
    }
}
