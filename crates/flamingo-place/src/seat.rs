//! One accelerator in the account.

use crate::account::{Exchange, STRAY};
use crate::book::Book;
use crate::weights::{Held, Weights};
use flamingo_wire::announce::{Announcement, Engine, Resident};
use flamingo_wire::id;
use flamingo_wire::place::{Action, Completion, Order, Outcome, ReportVersion, Settlement};
use std::collections::BTreeMap;
use std::time::{Duration, Instant};

/// Time after which an unanswered order is sent again to an engine that recognises it.
const RESEND: Duration = Duration::from_secs(2);
/// Time after which a settlement that did not commit is proposed again.
const RESETTLE: Duration = Duration::from_secs(2);
/// Time after which a load that has not ended no longer counts as a copy to come.
const PATIENCE: Duration = Duration::from_mins(2);
/// The same for a load that the engine's report doesn't show; many reports long.
const UNSEEN: Duration = Duration::from_secs(20);

/// How far an open order has come.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Stage {
    /// Proposed to the log; must not be sent yet.
    Proposed,
    /// Committed, and not sent by this leadership.
    Committed,
    /// Sent by this leadership; the exchange goes on.
    Sent,
    /// Sent by this leadership; the exchange is over.
    Over,
    /// The engine refused it when this leadership sent it.
    Refused,
}

/// An order that is not known to have ended.
#[derive(Clone, Debug)]
pub(crate) struct Open {
    pub(crate) order: Order,
    stage: Stage,
    /// When this leadership first knew of it.
    since: Instant,
    /// When it may be sent again.
    resend: Option<Instant>,
    /// When its settlement may be proposed again.
    settle: Option<Instant>,
}

/// A copy that a doubled order may bring back, or take away once more.
#[derive(Clone, Debug)]
pub(crate) struct Stray {
    held: Held,
    until: Instant,
}

/// One accelerator.
#[derive(Clone, Debug)]
pub(crate) struct Seat {
    pub(crate) report: Option<Announcement>,
    /// When its newest report came.
    pub(crate) heard: Instant,
    pub(crate) mark: ReportVersion,
    pub(crate) held: Vec<Held>,
    pub(crate) open: BTreeMap<id::Order, Open>,
    pub(crate) strays: Vec<Stray>,
    /// Until when a leader that took over gives no load to an engine that checks nothing.
    pub(crate) blocked: Option<Instant>,
}

impl Seat {
    pub(crate) fn new(now: Instant) -> Self {
        Self {
            report: None,
            heard: now,
            mark: ReportVersion::default(),
            held: Vec::new(),
            open: BTreeMap::new(),
            strays: Vec::new(),
            blocked: None,
        }
    }

    pub(crate) fn take(&mut self, report: &Announcement, now: Instant) {
        let known = self.report.as_ref();
        if known.is_none_or(|known| report.supersedes(known)) {
            self.report = Some(report.clone());
            self.heard = now;
        }
    }

    pub(crate) fn engine(&self) -> Option<&Engine> {
        self.report.as_ref()?.engine()
    }

    /// Returns whether the newest report is at least as new as every settled order.
    pub(crate) fn current(&self) -> bool {
        let report = self.report.as_ref();
        report.is_some_and(|report| place(report) >= self.mark)
    }

    pub(crate) fn commit(&mut self, order: &Order, now: Instant) {
        let fresh = || Open {
            order: order.clone(),
            stage: Stage::Committed,
            since: now,
            resend: None,
            settle: None,
        };
        let open = self.open.entry(order.id).or_insert_with(fresh);
        if open.stage == Stage::Proposed {
            open.stage = Stage::Committed;
        }
    }

    pub(crate) fn propose(&mut self, order: &Order, now: Instant) {
        let open = Open {
            order: order.clone(),
            stage: Stage::Proposed,
            since: now,
            resend: None,
            settle: None,
        };
        self.open.insert(order.id, open);
    }

    pub(crate) fn reject(&mut self, order: id::Order) {
        let proposed = self.open.get(&order);
        if proposed.is_some_and(|open| open.stage == Stage::Proposed) {
            self.open.remove(&order);
        }
    }

    /// Drops the orders that the log has settled or has passed over.
    pub(crate) fn drop_settled(&mut self, book: &Book, now: Instant) {
        let checks = self.engine().is_some_and(|engine| engine.fenced);
        let strays = &mut self.strays;
        strays.retain(|stray| stray.until > now);
        self.open.retain(|id, open| {
            let keep = *id > book.last || book.intents.contains_key(id);
            if !keep && !checks {
                strays.push(Stray {
                    held: Held {
                        weights: Weights::ordered(&open.order),
                        memory: open.order.memory,
                    },
                    until: now + STRAY,
                });
            }
            keep
        });
    }

    pub(crate) fn exchanged(&mut self, order: id::Order, exchange: Exchange) {
        if let Some(open) = self.open.get_mut(&order) {
            open.stage = match exchange {
                Exchange::Answered | Exchange::Lost => Stage::Over,
                Exchange::Refused => Stage::Refused,
                Exchange::Unsent => Stage::Committed,
            };
        }
    }

    /// Returns the orders to send now, under the fencing number of this leadership.
    pub(crate) fn due(&mut self, fence: id::Fence, now: Instant) -> Vec<Order> {
        let Some(report) = &self.report else {
            return Vec::new();
        };
        let incarnation = report.incarnation;
        let fenced = report.engine().is_some_and(|engine| engine.fenced);
        let mut due = Vec::new();
        for open in self.open.values_mut() {
            let meant = open.order.incarnation == incarnation;
            let waited = open.resend.is_none_or(|resend| resend <= now);
            if !meant || !waited || !open.may_send(fence, fenced) {
                continue;
            }
            open.stage = Stage::Sent;
            open.resend = Some(now + RESEND);
            let mut order = open.order.clone();
            order.fence = fence;
            due.push(order);
        }
        due
    }

    /// Returns the orders whose end the newest report shows.
    pub(crate) fn ends(&mut self, fence: id::Fence, now: Instant) -> Vec<Settlement> {
        let Some(report) = &self.report else {
            return Vec::new();
        };
        let Some(engine) = report.engine() else {
            return Vec::new();
        };
        let mut ends = Vec::new();
        for open in self.open.values_mut() {
            let waited = open.settle.is_none_or(|settle| settle <= now);
            let Some(outcome) = open.outcome(report, engine, fence).filter(|_| waited) else {
                continue;
            };
            open.settle = Some(now + RESETTLE);
            ends.push(Settlement {
                target: report.target.clone(),
                end: Completion {
                    order: open.order.id,
                    outcome,
                },
                report_version: place(report),
            });
        }
        ends
    }

    /// Returns the copies that may take room, each once.
    pub(crate) fn copies(
        &self,
        footprints: &BTreeMap<Weights, id::Mebibytes>,
        now: Instant,
    ) -> Vec<Held> {
        let mut copies: Vec<Held> = Vec::new();
        // A report older than a settled order proves nothing: settled orders count.
        let engine = self.engine().filter(|_| self.current());
        if engine.is_none() {
            copies.clone_from(&self.held);
        }
        let shown = engine.map_or(&[][..], |engine| &engine.resident[..]);
        let loading = engine.map_or(&[][..], |engine| &engine.loading[..]);
        for copy in shown.iter().chain(loading) {
            add(&mut copies, self.shown(copy, footprints));
        }
        for open in self.open.values() {
            let held = Held {
                weights: Weights::ordered(&open.order),
                memory: open.order.memory,
            };
            add(&mut copies, held);
        }
        for stray in self.strays.iter().filter(|stray| stray.until > now) {
            add(&mut copies, stray.held.clone());
        }
        copies
    }

    /// Returns the committed memory in mebibytes.
    pub(crate) fn committed(
        &self,
        footprints: &BTreeMap<Weights, id::Mebibytes>,
        now: Instant,
    ) -> id::Mebibytes {
        let copies = self.copies(footprints, now);
        copies.iter().map(|held| held.memory).sum()
    }

    /// Returns the memory that an order may take, in mebibytes.
    pub(crate) fn free(
        &self,
        footprints: &BTreeMap<Weights, id::Mebibytes>,
        now: Instant,
    ) -> id::Mebibytes {
        let Some(engine) = self.engine().filter(|_| self.current()) else {
            return 0;
        };
        let blocked = self.blocked.is_some_and(|until| until > now);
        if blocked && !engine.fenced {
            return 0;
        }
        engine
            .memory
            .saturating_sub(self.committed(footprints, now))
    }

    /// Returns whether `weights` are in memory, as far as that is known.
    pub(crate) fn resident(&self, weights: &Weights) -> bool {
        match self.engine().filter(|_| self.current()) {
            Some(engine) => has(&engine.resident, weights),
            None => self.held.iter().any(|held| held.weights == *weights),
        }
    }

    /// Returns whether the engine says that it loads `weights`.
    pub(crate) fn loading(&self, weights: &Weights) -> bool {
        let engine = self.engine().filter(|_| self.current());
        engine.is_some_and(|engine| has(&engine.loading, weights))
    }

    /// Returns whether an order for `weights` may race another one.
    pub(crate) fn busy(&self, weights: &Weights, now: Instant) -> bool {
        let mut open = self.open.values();
        let mut strays = self.strays.iter().filter(|stray| stray.until > now);
        open.any(|open| Weights::ordered(&open.order) == *weights)
            || strays.any(|stray| stray.held.weights == *weights)
    }

    /// Returns whether an order for `weights` has taken too long to be waited for.
    pub(crate) fn late(&self, weights: &Weights, now: Instant) -> bool {
        let patience = if self.loading(weights) {
            PATIENCE
        } else {
            UNSEEN
        };
        let mut open = self.open.values();
        open.any(|open| Weights::ordered(&open.order) == *weights && open.since + patience <= now)
    }

    /// Returns the memory of a copy that a report shows.
    ///
    /// A copy that nobody ordered and no configuration names may take it all.
    fn shown(&self, copy: &Resident, footprints: &BTreeMap<Weights, id::Mebibytes>) -> Held {
        let weights = Weights::of(copy);
        let ours = self.report.as_ref().map(|report| report.incarnation);
        let held = self.held.iter().find(|held| held.weights == weights);
        let held = held.filter(|_| ours == Some(self.mark.incarnation));
        let all = self.engine().map_or(0, |engine| engine.memory);
        let footprint = footprints.get(&weights).copied();
        Held {
            memory: held.map(|held| held.memory).or(footprint).unwrap_or(all),
            weights,
        }
    }
}

impl Open {
    /// Returns whether this order asks for an unload.
    pub(crate) fn unloads(&self) -> bool {
        matches!(self.order.action, Action::Unload(_))
    }

    /// An engine that checks nothing gets an order once, from its own leader.
    fn may_send(&self, fence: id::Fence, fenced: bool) -> bool {
        match self.stage {
            Stage::Proposed | Stage::Sent => false,
            Stage::Committed => fenced || self.order.fence == fence,
            Stage::Over | Stage::Refused => fenced,
        }
    }

    /// Returns how the order ended, as far as `report` proves it.
    fn outcome(&self, report: &Announcement, engine: &Engine, fence: id::Fence) -> Option<Outcome> {
        if self.stage == Stage::Proposed {
            return None;
        }
        let listed = engine.ended.iter().find(|end| end.order == self.order.id);
        if let Some(end) = listed.filter(|_| report.incarnation >= self.order.incarnation) {
            return Some(end.outcome);
        }
        let restarted = report.incarnation > self.order.incarnation;
        if engine.fenced {
            return restarted.then_some(Outcome::Failed);
        }
        let ours = self.order.fence == fence;
        let never = restarted && self.stage == Stage::Committed;
        (ours && (never || self.stage == Stage::Refused)).then_some(Outcome::Failed)
    }
}

fn has(copies: &[Resident], weights: &Weights) -> bool {
    copies.iter().any(|copy| Weights::of(copy) == *weights)
}

/// Returns the place of `report` among the reports of its target.
pub(crate) fn place(report: &Announcement) -> ReportVersion {
    ReportVersion {
        incarnation: report.incarnation,
        sequence: report.sequence,
    }
}

/// Adds a copy that may be known already, with the larger of both sizes.
fn add(copies: &mut Vec<Held>, held: Held) {
    match copies
        .iter_mut()
        .find(|known| known.weights == held.weights)
    {
        Some(known) => known.memory = known.memory.max(held.memory),
        None => copies.push(held),
    }
}
