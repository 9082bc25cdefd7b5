//! The replicated part of placement: which orders may be outstanding.
//!
//! The log applies [`Book::intend`] before an order may be sent and
//! [`Book::settle`] once an engine's own report has shown its end. Every leader
//! reads here all orders that any earlier leader can have sent.

use crate::weights::{Held, Weights};
use flamingo_wire::id;
use flamingo_wire::place::{Action, Order, Outcome, ReportVersion, Settlement};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// What one engine is known to hold by settled orders.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Page {
    /// The newest report that an order was based on or settled by; an older one proves
    /// nothing.
    pub mark: ReportVersion,
    /// Memory that settled loads committed in the incarnation of the mark.
    pub held: Vec<Held>,
}

/// Every order that may be outstanding, and what settled orders left behind.
///
/// ```
/// use flamingo_place::book::Book;
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
/// let mut book = Book::default();
/// assert!(book.intend(order.clone()));
/// assert!(!book.intend(order), "an identity is never used twice");
/// ```
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Book {
    /// The highest identity that was ever committed.
    pub last: id::Order,
    /// Orders that are not known to have ended.
    pub intents: BTreeMap<id::Order, Order>,
    /// What settled orders left behind, by engine.
    pub pages: BTreeMap<id::Target, Page>,
}

impl Book {
    /// Records an order before it is sent; returns whether it may be sent.
    pub fn intend(&mut self, order: Order) -> bool {
        if order.id <= self.last {
            return false;
        }
        self.last = order.id;
        let page = self.pages.entry(order.target.clone()).or_default();
        page.reach(ReportVersion {
            incarnation: order.incarnation,
            sequence: 0,
        });
        self.intents.insert(order.id, order);
        true
    }

    /// Records that an order has ended; returns whether it was outstanding.
    pub fn settle(&mut self, settlement: &Settlement) -> bool {
        let Some(order) = self.intents.remove(&settlement.end.order) else {
            return false;
        };
        let page = self.pages.entry(order.target.clone()).or_default();
        page.reach(settlement.report_version);
        if settlement.end.outcome == Outcome::Done {
            page.carry_out(&order);
        }
        true
    }
}

impl Page {
    /// Takes a newer place; a restarted engine holds nothing of before.
    fn reach(&mut self, mark: ReportVersion) {
        if mark.incarnation > self.mark.incarnation {
            self.held.clear();
        }
        self.mark = self.mark.max(mark);
    }

    fn carry_out(&mut self, order: &Order) {
        let (Action::Load(copy) | Action::Unload(copy)) = &order.action;
        let weights = Weights::of(copy);
        self.held.retain(|held| held.weights != weights);
        if matches!(order.action, Action::Load(_)) && order.incarnation == self.mark.incarnation {
            self.held.push(Held {
                weights,
                memory: order.memory,
            });
        }
    }
}
