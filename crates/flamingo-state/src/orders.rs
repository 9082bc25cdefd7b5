//! Orders to engines, committed as intents before they are sent.

use flamingo_place::intents::Intents;
use flamingo_wire::admin::Move;
use flamingo_wire::control::Reply;
use flamingo_wire::fault::Reason;
use flamingo_wire::place::{Order, Settlement};
use flamingo_wire::{Fault, id};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, VecDeque};
use std::time::SystemTime;

/// Maximum number of ended orders in the history of moves.
pub const MAX_ENDED: usize = 1_024;

/// Orders to engines: the newest leadership, the intents, and the history.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Orders {
    fence: id::Fence,
    leader: id::Node,
    book: Intents,
    outstanding: BTreeMap<id::Order, Move>,
    ended: VecDeque<Move>,
}

impl Orders {
    /// Starts the leadership of `node` and raises the fencing number.
    pub fn lead(&mut self, node: id::Node) -> Reply {
        self.fence += 1;
        self.leader = node;
        Reply::Acknowledged
    }

    /// Returns the fencing number of the newest leadership, 0 before the first.
    #[must_use]
    pub fn fence(&self) -> id::Fence {
        self.fence
    }

    /// Returns the leader that started the newest leadership.
    #[must_use]
    pub fn leader(&self) -> &id::Node {
        &self.leader
    }

    /// Returns the identity for the next order.
    ///
    /// A leader that proposes several orders at once increments it itself for each.
    #[must_use]
    pub fn next(&self) -> id::Order {
        self.book.last_id + 1
    }

    /// Records the intent of an order. Refuses an order that does not carry the fencing
    /// number in force, and an identity that is not above the last.
    pub fn intend(&mut self, order: Order, now: SystemTime) -> Reply {
        if order.fence != self.fence {
            let message = format!(
                "order {} carries fence {}, {} is in force",
                order.id, order.fence, self.fence
            );
            let help = "another instance leads now; drop the order";
            return Reply::Refused(Fault::not_run(Reason::Conflict, message, help));
        }
        if !self.book.intend(order.clone()) {
            let message = format!("order {} is not above {}", order.id, self.book.last_id);
            let help = "give the order a new identity";
            return Reply::Refused(Fault::not_run(Reason::Reused, message, help));
        }
        let id = order.id;
        let intent = Move {
            order,
            outcome: None,
            at: now,
        };
        self.outstanding.insert(id, intent);
        Reply::Acknowledged
    }

    /// Records how an order ended; ignores an order that is not outstanding.
    pub fn settle(&mut self, settlement: &Settlement) -> Reply {
        self.book.settle(settlement);
        let end = &settlement.end;
        if let Some(mut intent) = self.outstanding.remove(&end.order) {
            intent.outcome = Some(end.outcome);
            self.ended.push_back(intent);
            if self.ended.len() > MAX_ENDED {
                self.ended.pop_front();
            }
        }
        Reply::Acknowledged
    }

    /// Returns the record of outstanding and settled orders, from which a leader computes
    /// the memory in use on each accelerator.
    #[must_use]
    pub fn book(&self) -> &Intents {
        &self.book
    }

    /// Returns the orders that may still be in progress, by identity.
    pub fn outstanding(&self) -> impl Iterator<Item = &Move> {
        self.outstanding.values()
    }

    /// Returns the outstanding orders and the most recent ended ones, newest first.
    #[must_use]
    pub fn moves(&self) -> Vec<Move> {
        let mut moves: Vec<_> = self.outstanding().chain(&self.ended).cloned().collect();
        moves.sort_unstable_by_key(|given| std::cmp::Reverse(given.order.id));
        moves
    }
}
