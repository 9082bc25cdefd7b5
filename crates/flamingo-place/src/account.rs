//! The memory account of all accelerators, as one leader keeps it.
//!
//! The committed memory of an accelerator is the sum over all copies that its newest report
//! shows as resident or loading, that an open order names (a load may still be executed, an
//! unload may not have been executed yet), or that a duplicated order may load again. A copy
//! counts once, even if several of these sources show it.
//!
//! An order is open from its proposal to its settlement. Only a report of the engine itself ends
//! it:
//!
//! * a report of the order's incarnation or a later one lists the order as ended, or
//! * a report is of a later incarnation, and the engine refuses orders that were meant for an
//!   earlier one (`fenced`).
//!
//! An unfenced engine does not check orders. It gets each order once, from the leader that
//! committed it. The order ends when the engine lists it as ended or refuses it, and may never
//! end: a leader that froze before it sent the order can resume after any time, even after the
//! engine's restart, and a report of the new incarnation can be older than the order's arrival
//! there. A restart ends only an order that this leadership gave and knows to be unsent. For any
//! other order, the memory of its copy stays reserved. After an order to an unfenced engine has
//! ended, its copy stays counted for [`DUPLICATE_ORDER_LIFETIME`], since a duplicate of the order
//! would be executed again.

use crate::engine_account::EngineAccount;
use crate::intents::Intents;
use crate::weights::Weights;
use flamingo_wire::announce::Announcement;
use flamingo_wire::config::Set;
use flamingo_wire::id;
use flamingo_wire::place::{Order, ReportVersion, Settlement};
use std::collections::BTreeMap;
use std::time::{Duration, Instant};

/// Time for which the network may still deliver a duplicate of an order, which an unfenced
/// engine executes again.
pub const DUPLICATE_ORDER_LIFETIME: Duration = Duration::from_mins(1);

/// Result of one exchange in which an order was sent.
#[derive(Clone, Copy, Debug, Eq, PartialEq, strum::Display)]
#[strum(serialize_all = "kebab-case")]
pub enum ExchangeResult {
    /// The engine accepted the order; a later report shows how it ends.
    Answered,
    /// The engine refused the order.
    Refused,
    /// No byte of the order was sent.
    Unsent,
    /// The connection broke or timed out: the engine may still execute the order, even late.
    Lost,
}

/// The memory account of one leadership.
#[derive(Clone, Debug, Default)]
pub struct Account {
    fence: id::Fence,
    last_id: id::Order,
    pub(crate) engines: BTreeMap<id::Target, EngineAccount>,
    pub(crate) footprints: BTreeMap<Weights, id::Mebibytes>,
}

impl Account {
    /// Starts a leadership with all orders that earlier leaders may have sent.
    ///
    /// The caller must have applied a log entry of its own term to `intents`; otherwise, an order
    /// of an earlier term could still be committed unnoticed. Reports received before are kept.
    pub fn lead(&mut self, fence: id::Fence, intents: &Intents, now: Instant) {
        self.fence = fence;
        self.last_id = intents.last_id;
        for engine in self.engines.values_mut() {
            engine.open_orders.clear();
            engine.uncertain.clear();
            engine.loads_blocked_until = None;
        }
        for target in intents.settled.keys() {
            let engine = self
                .engines
                .entry(target.clone())
                .or_insert_with(|| EngineAccount::new(now));
            engine.loads_blocked_until = Some(now + DUPLICATE_ORDER_LIFETIME);
        }
        self.sync(intents, now);
    }

    /// Adds the memory of each model of the set. Models of earlier sets are kept, because their
    /// copies may still be resident.
    pub fn configure(&mut self, set: &Set) {
        for model in &set.models {
            self.footprints
                .insert(Weights::configured(model), model.footprint());
        }
    }

    /// Stores the report of an engine if it is newer than the stored one. Reports of targets that
    /// are not engines are ignored.
    pub fn report(&mut self, report: &Announcement, now: Instant) {
        if report.engine().is_none() {
            return;
        }
        let engine = self
            .engines
            .entry(report.target.clone())
            .or_insert_with(|| EngineAccount::new(now));
        engine.update(report, now);
    }

    /// Brings the account up to date with the orders that the log has applied: adds committed
    /// ones, removes settled ones and proposals that the log has passed over.
    pub fn sync(&mut self, intents: &Intents, now: Instant) {
        for engine in self.engines.values_mut() {
            engine.drop_settled(intents, now);
        }
        for order in intents.outstanding.values() {
            let engine = self
                .engines
                .entry(order.target.clone())
                .or_insert_with(|| EngineAccount::new(now));
            engine.commit(order, now);
        }
        for (target, settled) in &intents.settled {
            let engine = self
                .engines
                .entry(target.clone())
                .or_insert_with(|| EngineAccount::new(now));
            engine.report_version = settled.report_version;
            engine.settled_copies.clone_from(&settled.copies);
        }
        self.last_id = self.last_id.max(intents.last_id);
    }

    /// Reserves the memory of a new order. Returns the order with its identity and fencing number.
    pub fn propose(&mut self, mut order: Order, now: Instant) -> Order {
        self.last_id += 1;
        order.id = self.last_id;
        order.fence = self.fence;
        if let Some(engine) = self.engines.get_mut(&order.target) {
            engine.propose(&order, now);
        }
        order
    }

    /// Removes a proposal that can no longer be committed.
    pub fn reject(&mut self, order: id::Order) {
        for engine in self.engines.values_mut() {
            engine.reject(order);
        }
    }

    /// Records the result of an exchange in which this leadership sent an order.
    pub fn record_exchange(&mut self, order: id::Order, exchange: ExchangeResult) {
        for engine in self.engines.values_mut() {
            engine.record_exchange(order, exchange);
        }
    }

    /// Returns the orders to send now, and marks them as sent.
    pub fn due_orders(&mut self, now: Instant) -> Vec<Order> {
        let fence = self.fence;
        let engines = self.engines.values_mut();
        engines
            .flat_map(|engine| engine.due_orders(fence, now))
            .collect()
    }

    /// Returns the settlements to propose now, for orders that ended according to the newest
    /// reports.
    pub fn due_settlements(&mut self, now: Instant) -> Vec<Settlement> {
        let fence = self.fence;
        let engines = self.engines.values_mut();
        engines
            .flat_map(|engine| engine.due_settlements(fence, now))
            .collect()
    }

    /// Returns the committed memory of `target` in mebibytes, 0 if the engine is unknown.
    #[must_use]
    pub fn committed(&self, target: &str, now: Instant) -> id::Mebibytes {
        let engine = self.engines.get(target);
        engine.map_or(0, |engine| engine.committed(&self.footprints, now))
    }

    /// Returns the memory of `target` that a new order may use, in mebibytes. It is 0 if the
    /// engine is unknown, its report is outdated, or loads to it are blocked.
    #[must_use]
    pub fn free(&self, target: &str, now: Instant) -> id::Mebibytes {
        let engine = self.engines.get(target);
        engine.map_or(0, |engine| engine.free(&self.footprints, now))
    }

    /// Returns the newest report of `target`, or `None` before the first.
    #[must_use]
    pub fn newest_report(&self, target: &str) -> Option<&Announcement> {
        self.engines.get(target)?.report.as_ref()
    }

    /// Returns the report version that a report of `target` must reach to prove the engine's
    /// state, or `None` if the engine is unknown.
    #[must_use]
    pub fn report_version(&self, target: &str) -> Option<ReportVersion> {
        Some(self.engines.get(target)?.report_version)
    }
}
