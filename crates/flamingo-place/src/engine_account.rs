//! The memory account of one engine: its newest report, open orders and uncertain copies.

use crate::account::{DUPLICATE_ORDER_LIFETIME, ExchangeResult};
use crate::intents::Intents;
use crate::weights::{Footprint, Weights};
use flamingo_wire::announce::{Announcement, Engine, Resident};
use flamingo_wire::id;
use flamingo_wire::place::{Action, Completion, Order, Outcome, ReportVersion, Settlement};
use std::collections::BTreeMap;
use std::time::{Duration, Instant};

/// Time after which an order that has not ended is resent to a fenced engine.
const RESEND_INTERVAL: Duration = Duration::from_secs(2);
/// Time after which a settlement that has not been committed is proposed again.
const SETTLE_INTERVAL: Duration = Duration::from_secs(2);
/// Time after which a load that the engine reports as in progress counts as overdue.
const LOAD_TIMEOUT: Duration = Duration::from_mins(2);
/// Time after which an order counts as overdue if the engine does not report a load in progress;
/// much longer than the interval between reports.
const UNREPORTED_LOAD_TIMEOUT: Duration = Duration::from_secs(20);

/// Progress of an open order.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Stage {
    /// Proposed to the log, not committed: must not be sent yet.
    Proposed,
    /// Committed, and not yet sent by this leadership.
    Committed,
    /// Sent by this leadership; the exchange is in progress.
    Sent,
    /// Sent by this leadership; the exchange was answered, broke or timed out.
    ExchangeEnded,
    /// Sent by this leadership; the engine refused the order.
    Refused,
}

/// An order from its proposal to its settlement.
#[derive(Clone, Debug)]
pub(crate) struct OpenOrder {
    pub(crate) order: Order,
    stage: Stage,
    /// When this leadership proposed the order or found it in the log.
    known_since: Instant,
    /// When the order may be resent; `None` before it is first sent.
    resend_at: Option<Instant>,
    /// When the settlement may be proposed again; `None` before it is first proposed.
    settle_at: Option<Instant>,
}

/// A copy that a duplicate of a settled order may load or unload again, until `until`.
#[derive(Clone, Debug)]
pub(crate) struct UncertainCopy {
    footprint: Footprint,
    until: Instant,
}

/// The memory account of one engine.
#[derive(Clone, Debug)]
pub(crate) struct EngineAccount {
    /// Newest report; `None` while only the log names the engine.
    pub(crate) report: Option<Announcement>,
    /// When the newest report arrived, or when the account was created.
    pub(crate) reported_at: Instant,
    /// Version that a report must have to be at least as new as every settled order.
    pub(crate) report_version: ReportVersion,
    /// Copies that are resident according to settled orders.
    pub(crate) settled_copies: Vec<Footprint>,
    /// Orders that have not been settled.
    pub(crate) open_orders: BTreeMap<id::Order, OpenOrder>,
    /// Copies of settled orders of which duplicates may still arrive.
    pub(crate) uncertain: Vec<UncertainCopy>,
    /// Until when a new leader orders no load from an unfenced engine; `None` if not blocked.
    pub(crate) loads_blocked_until: Option<Instant>,
}

impl EngineAccount {
    pub(crate) fn new(now: Instant) -> Self {
        Self {
            report: None,
            reported_at: now,
            report_version: ReportVersion::default(),
            settled_copies: Vec::new(),
            open_orders: BTreeMap::new(),
            uncertain: Vec::new(),
            loads_blocked_until: None,
        }
    }

    /// Stores a report if it is newer than the stored one.
    pub(crate) fn update(&mut self, report: &Announcement, now: Instant) {
        let stored = self.report.as_ref();
        if stored.is_none_or(|stored| report.supersedes(stored)) {
            self.report = Some(report.clone());
            self.reported_at = now;
        }
    }

    /// Returns the engine's part of the newest report, or `None` before the first.
    pub(crate) fn engine(&self) -> Option<&Engine> {
        self.report.as_ref()?.engine()
    }

    /// Returns whether there is a report, and it is at least as new as every settled order.
    pub(crate) fn report_is_current(&self) -> bool {
        let report = self.report.as_ref();
        report.is_some_and(|report| version_of(report) >= self.report_version)
    }

    /// Adds an order that the log has committed, or marks its proposal as committed.
    pub(crate) fn commit(&mut self, order: &Order, now: Instant) {
        let new = || OpenOrder {
            order: order.clone(),
            stage: Stage::Committed,
            known_since: now,
            resend_at: None,
            settle_at: None,
        };
        let open = self.open_orders.entry(order.id).or_insert_with(new);
        if open.stage == Stage::Proposed {
            open.stage = Stage::Committed;
        }
    }

    /// Adds an order that is proposed to the log, so that its memory is reserved.
    pub(crate) fn propose(&mut self, order: &Order, now: Instant) {
        let open = OpenOrder {
            order: order.clone(),
            stage: Stage::Proposed,
            known_since: now,
            resend_at: None,
            settle_at: None,
        };
        self.open_orders.insert(order.id, open);
    }

    /// Removes a proposal that can no longer be committed.
    pub(crate) fn reject(&mut self, order: id::Order) {
        let proposed = self.open_orders.get(&order);
        if proposed.is_some_and(|open| open.stage == Stage::Proposed) {
            self.open_orders.remove(&order);
        }
    }

    /// Drops the orders that the log has settled or passed over. Unless the engine is known to be
    /// fenced, their copies become uncertain.
    pub(crate) fn drop_settled(&mut self, intents: &Intents, now: Instant) {
        let fenced = self.engine().is_some_and(|engine| engine.fenced);
        let uncertain = &mut self.uncertain;
        uncertain.retain(|copy| copy.until > now);
        self.open_orders.retain(|id, open| {
            let keep = *id > intents.last_id || intents.outstanding.contains_key(id);
            if !keep && !fenced {
                uncertain.push(UncertainCopy {
                    footprint: Footprint {
                        weights: Weights::of_order(&open.order),
                        memory: open.order.memory,
                    },
                    until: now + DUPLICATE_ORDER_LIFETIME,
                });
            }
            keep
        });
    }

    /// Records the result of an exchange in which this leadership sent an order.
    pub(crate) fn record_exchange(&mut self, order: id::Order, exchange: ExchangeResult) {
        if let Some(open) = self.open_orders.get_mut(&order) {
            open.stage = match exchange {
                ExchangeResult::Answered | ExchangeResult::Lost => Stage::ExchangeEnded,
                ExchangeResult::Refused => Stage::Refused,
                ExchangeResult::Unsent => Stage::Committed,
            };
        }
    }

    /// Returns the orders to send now, with the fencing number of this leadership, and marks them
    /// as sent.
    pub(crate) fn due_orders(&mut self, fence: id::Fence, now: Instant) -> Vec<Order> {
        let Some(report) = &self.report else {
            return Vec::new();
        };
        let incarnation = report.incarnation;
        let fenced = report.engine().is_some_and(|engine| engine.fenced);
        let mut due = Vec::new();
        for open in self.open_orders.values_mut() {
            let same_incarnation = open.order.incarnation == incarnation;
            let waited = open.resend_at.is_none_or(|resend| resend <= now);
            if !same_incarnation || !waited || !open.may_send(fence, fenced) {
                continue;
            }
            open.stage = Stage::Sent;
            open.resend_at = Some(now + RESEND_INTERVAL);
            let mut order = open.order.clone();
            order.fence = fence;
            due.push(order);
        }
        due
    }

    /// Returns the settlements to propose now, for orders that ended according to the newest
    /// report.
    pub(crate) fn due_settlements(&mut self, fence: id::Fence, now: Instant) -> Vec<Settlement> {
        let Some(report) = &self.report else {
            return Vec::new();
        };
        let Some(engine) = report.engine() else {
            return Vec::new();
        };
        let mut settlements = Vec::new();
        for open in self.open_orders.values_mut() {
            let waited = open.settle_at.is_none_or(|settle| settle <= now);
            let Some(outcome) = open.outcome(report, engine, fence).filter(|_| waited) else {
                continue;
            };
            open.settle_at = Some(now + SETTLE_INTERVAL);
            settlements.push(Settlement {
                target: report.target.clone(),
                end: Completion {
                    order: open.order.id,
                    outcome,
                },
                report_version: version_of(report),
            });
        }
        settlements
    }

    /// Returns all copies that may occupy memory, each once.
    pub(crate) fn copies(
        &self,
        footprints: &BTreeMap<Weights, id::Mebibytes>,
        now: Instant,
    ) -> Vec<Footprint> {
        let mut copies: Vec<Footprint> = Vec::new();
        // A report older than a settled order proves nothing, so the settled orders count instead.
        let engine = self.engine().filter(|_| self.report_is_current());
        if engine.is_none() {
            copies.clone_from(&self.settled_copies);
        }
        let resident = engine.map_or(&[][..], |engine| &engine.resident[..]);
        let loading = engine.map_or(&[][..], |engine| &engine.loading[..]);
        for copy in resident.iter().chain(loading) {
            add(&mut copies, self.footprint(copy, footprints));
        }
        for open in self.open_orders.values() {
            let footprint = Footprint {
                weights: Weights::of_order(&open.order),
                memory: open.order.memory,
            };
            add(&mut copies, footprint);
        }
        for copy in self.uncertain.iter().filter(|copy| copy.until > now) {
            add(&mut copies, copy.footprint.clone());
        }
        copies
    }

    /// Returns the memory of all copies that may occupy it, in mebibytes.
    pub(crate) fn committed(
        &self,
        footprints: &BTreeMap<Weights, id::Mebibytes>,
        now: Instant,
    ) -> id::Mebibytes {
        let copies = self.copies(footprints, now);
        copies.iter().map(|copy| copy.memory).sum()
    }

    /// Returns the memory that a new order may use, in mebibytes; 0 without a current report or
    /// while loads are blocked.
    pub(crate) fn free(
        &self,
        footprints: &BTreeMap<Weights, id::Mebibytes>,
        now: Instant,
    ) -> id::Mebibytes {
        let Some(engine) = self.engine().filter(|_| self.report_is_current()) else {
            return 0;
        };
        let blocked = self.loads_blocked_until.is_some_and(|until| until > now);
        if blocked && !engine.fenced {
            return 0;
        }
        engine
            .memory
            .saturating_sub(self.committed(footprints, now))
    }

    /// Returns whether `weights` are resident, by the current report or else by settled orders.
    pub(crate) fn is_resident(&self, weights: &Weights) -> bool {
        match self.engine().filter(|_| self.report_is_current()) {
            Some(engine) => has(&engine.resident, weights),
            None => self
                .settled_copies
                .iter()
                .any(|copy| copy.weights == *weights),
        }
    }

    /// Returns whether the current report shows `weights` as loading.
    pub(crate) fn is_loading(&self, weights: &Weights) -> bool {
        let engine = self.engine().filter(|_| self.report_is_current());
        engine.is_some_and(|engine| has(&engine.loading, weights))
    }

    /// Returns whether a new order for `weights` could race an open order or a duplicate.
    pub(crate) fn has_pending_order(&self, weights: &Weights, now: Instant) -> bool {
        let mut open = self.open_orders.values();
        let mut uncertain = self.uncertain.iter().filter(|copy| copy.until > now);
        open.any(|open| Weights::of_order(&open.order) == *weights)
            || uncertain.any(|copy| copy.footprint.weights == *weights)
    }

    /// Returns whether an open order for `weights` has exceeded its timeout.
    pub(crate) fn has_overdue_order(&self, weights: &Weights, now: Instant) -> bool {
        let timeout = if self.is_loading(weights) {
            LOAD_TIMEOUT
        } else {
            UNREPORTED_LOAD_TIMEOUT
        };
        let mut open = self.open_orders.values();
        open.any(|open| {
            Weights::of_order(&open.order) == *weights && open.known_since + timeout <= now
        })
    }

    /// Returns the memory of a reported copy: as ordered, or else as configured.
    ///
    /// A copy that no order or configuration names may occupy the whole accelerator.
    fn footprint(
        &self,
        copy: &Resident,
        footprints: &BTreeMap<Weights, id::Mebibytes>,
    ) -> Footprint {
        let weights = Weights::of(copy);
        let incarnation = self.report.as_ref().map(|report| report.incarnation);
        let settled = self
            .settled_copies
            .iter()
            .find(|copy| copy.weights == weights);
        let settled = settled.filter(|_| incarnation == Some(self.report_version.incarnation));
        let capacity = self.engine().map_or(0, |engine| engine.memory);
        let footprint = footprints.get(&weights).copied();
        Footprint {
            memory: settled
                .map(|copy| copy.memory)
                .or(footprint)
                .unwrap_or(capacity),
            weights,
        }
    }
}

impl OpenOrder {
    /// Returns whether this order is an unload.
    pub(crate) fn unloads(&self) -> bool {
        matches!(self.order.action, Action::Unload(_))
    }

    /// Returns whether the order may be sent now. An unfenced engine gets each order once, from
    /// the leader that committed it.
    fn may_send(&self, fence: id::Fence, fenced: bool) -> bool {
        match self.stage {
            Stage::Proposed | Stage::Sent => false,
            Stage::Committed => fenced || self.order.fence == fence,
            Stage::ExchangeEnded | Stage::Refused => fenced,
        }
    }

    /// Returns how the order ended, or `None` if `report` does not prove that it ended.
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
        let own = self.order.fence == fence;
        let never_sent = restarted && self.stage == Stage::Committed;
        (own && (never_sent || self.stage == Stage::Refused)).then_some(Outcome::Failed)
    }
}

fn has(copies: &[Resident], weights: &Weights) -> bool {
    copies.iter().any(|copy| Weights::of(copy) == *weights)
}

/// Returns the incarnation and sequence number of `report`.
pub(crate) fn version_of(report: &Announcement) -> ReportVersion {
    ReportVersion {
        incarnation: report.incarnation,
        sequence: report.sequence,
    }
}

/// Adds a copy. If the list has a copy of the same weights, the larger size counts.
fn add(copies: &mut Vec<Footprint>, footprint: Footprint) {
    match copies
        .iter_mut()
        .find(|known| known.weights == footprint.weights)
    {
        Some(known) => known.memory = known.memory.max(footprint.memory),
        None => copies.push(footprint),
    }
}
