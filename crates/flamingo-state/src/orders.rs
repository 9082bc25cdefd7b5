//! Orders to engines: committed as intents before they are sent.

use flamingo_place::book::Book;
use flamingo_wire::admin::Move;
use flamingo_wire::control::Reply;
use flamingo_wire::fault::Reason;
use flamingo_wire::place::{Order, Settlement};
use flamingo_wire::{Fault, id};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, VecDeque};
use std::time::SystemTime;

/// Ended orders that the history of moves shows.
pub const RECENT: usize = 1_024;

/// The order intents.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Orders {
    fence: id::Fence,
    leader: id::Node,
    book: Book,
    outstanding: BTreeMap<id::Order, Move>,
    ended: VecDeque<Move>,
}

impl Orders {
    /// Begins a new leadership.
    pub fn lead(&mut self, node: id::Node) -> Reply {
        self.fence += 1;
        self.leader = node;
        Reply::Acknowledged
    }

    /// Returns the fencing number of the newest leadership.
    #[must_use]
    pub fn fence(&self) -> id::Fence {
        self.fence
    }

    /// Returns who began the newest leadership.
    #[must_use]
    pub fn leader(&self) -> &id::Node {
        &self.leader
    }

    /// Returns the identity for the next order.
    ///
    /// A leader that proposes several at once counts on from it itself.
    #[must_use]
    pub fn next(&self) -> id::Order {
        self.book.last + 1
    }

    /// Records an order; only the newest leader's, and each identity once.
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
            let message = format!("order {} is not above {}", order.id, self.book.last);
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

    /// Records how an order ended; an order that is not outstanding stays as it is.
    pub fn settle(&mut self, settlement: &Settlement) -> Reply {
        self.book.settle(settlement);
        let end = &settlement.end;
        if let Some(mut intent) = self.outstanding.remove(&end.order) {
            intent.outcome = Some(end.outcome);
            self.ended.push_back(intent);
            if self.ended.len() > RECENT {
                self.ended.pop_front();
            }
        }
        Reply::Acknowledged
    }

    /// Returns what a leader's account of accelerator memory rests on.
    #[must_use]
    pub fn book(&self) -> &Book {
        &self.book
    }

    /// Returns the orders that may still be under way, by identity.
    pub fn outstanding(&self) -> impl Iterator<Item = &Move> {
        self.outstanding.values()
    }

    /// Returns the orders given lately, newest first.
    #[must_use]
    pub fn moves(&self) -> Vec<Move> {
        let mut moves: Vec<_> = self.outstanding().chain(&self.ended).cloned().collect();
        moves.sort_unstable_by_key(|given| std::cmp::Reverse(given.order.id));
        moves
    }
}
