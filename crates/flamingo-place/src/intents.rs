//! The replicated record of placement orders: outstanding intents and what settled orders left.
//!
//! The Raft log applies [`Intents::intend`] before an order may be sent, and
//! [`Intents::settle`] after a report of the engine has shown how the order ended. A new leader
//! therefore finds here every order that any earlier leader can have sent.

use crate::weights::{Footprint, Weights};
use flamingo_wire::id;
use flamingo_wire::place::{Action, Order, Outcome, ReportVersion, Settlement};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// What one engine has resident according to its settled orders.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Settled {
    /// Version of the newest report that settled an order, or the incarnation for which the
    /// newest order was given. An older report proves nothing about the engine's state.
    #[serde(rename = "mark")]
    pub report_version: ReportVersion,
    /// Copies loaded by settled orders in the incarnation of `report_version`.
    #[serde(rename = "held")]
    pub copies: Vec<Footprint>,
}

/// All orders that may be outstanding, and what settled orders left on each engine.
///
/// ```
/// use flamingo_place::intents::Intents;
/// use flamingo_wire::announce::Resident;
/// use flamingo_wire::place::{Action, Order};
///
/// let copy = Resident { model: "notes".into(), version: 1, adapters: Vec::new() };
/// let order = Order {
///     id: 1,
///     fence: 1,
///     target: "engine-1".into(),
///     incarnation: 7,
///     action: Action::Load(copy),
///     memory: 10_000,
///     reason: "first copy".into(),
/// };
/// let mut intents = Intents::default();
/// assert!(intents.intend(order.clone()));
/// assert!(!intents.intend(order), "an identity is never used twice");
/// ```
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Intents {
    /// Highest identity of a committed order; 0 before the first.
    #[serde(rename = "last")]
    pub last_id: id::Order,
    /// Orders that have not been settled, by identity.
    #[serde(rename = "intents")]
    pub outstanding: BTreeMap<id::Order, Order>,
    /// What settled orders left, by engine.
    #[serde(rename = "pages")]
    pub settled: BTreeMap<id::Target, Settled>,
}

impl Intents {
    /// Records an order before it is sent. Returns whether it may be sent: an identity that is
    /// not above `last_id` is rejected.
    pub fn intend(&mut self, order: Order) -> bool {
        if order.id <= self.last_id {
            return false;
        }
        self.last_id = order.id;
        let settled = self.settled.entry(order.target.clone()).or_default();
        settled.advance(ReportVersion {
            incarnation: order.incarnation,
            sequence: 0,
        });
        self.outstanding.insert(order.id, order);
        true
    }

    /// Records that an order has ended. Returns whether the order was outstanding.
    pub fn settle(&mut self, settlement: &Settlement) -> bool {
        let Some(order) = self.outstanding.remove(&settlement.end.order) else {
            return false;
        };
        let settled = self.settled.entry(order.target.clone()).or_default();
        settled.advance(settlement.report_version);
        if settlement.end.outcome == Outcome::Done {
            settled.apply(&order);
        }
        true
    }
}

impl Settled {
    /// Raises the report version. A later incarnation clears the copies, since a restarted
    /// engine has none.
    fn advance(&mut self, version: ReportVersion) {
        if version.incarnation > self.report_version.incarnation {
            self.copies.clear();
        }
        self.report_version = self.report_version.max(version);
    }

    /// Applies an order that the engine has carried out.
    fn apply(&mut self, order: &Order) {
        let (Action::Load(copy) | Action::Unload(copy)) = &order.action;
        let weights = Weights::of(copy);
        self.copies.retain(|other| other.weights != weights);
        if matches!(order.action, Action::Load(_))
            && order.incarnation == self.report_version.incarnation
        {
            self.copies.push(Footprint {
                weights,
                memory: order.memory,
            });
        }
    }
}
