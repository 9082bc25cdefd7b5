//! Exchanges under way, each with a stored deadline.

use flamingo_wire::gossip::Peer;
use flamingo_wire::id;
use std::collections::BTreeMap;
use std::time::Instant;

/// Number of an exchange.
pub type ExchangeId = u64;

/// Why an exchange is made.
#[derive(Clone, Debug)]
pub enum Purpose {
    /// The regular one with a member: it must answer, or it will be suspected.
    Probe,
    /// A member is tried on behalf of another one.
    Indirect(Peer),
    /// News of these targets.
    Push(Vec<id::Target>),
    /// To find and repair differences with a seed, a dead member or a zone.
    Sync,
    /// Nothing follows from its end.
    Plain,
}

/// One exchange under way.
#[derive(Debug)]
pub struct Flight {
    /// The other end; empty where only its address is known.
    pub node: id::Node,
    /// Why.
    pub purpose: Purpose,
    /// When it counts as failed.
    pub deadline: Instant,
}

/// The exchanges under way.
#[derive(Debug, Default)]
pub struct Flights {
    next: ExchangeId,
    open: BTreeMap<ExchangeId, Flight>,
}

impl Flights {
    /// Opens an exchange.
    pub fn open(&mut self, flight: Flight) -> ExchangeId {
        self.next += 1;
        self.open.insert(self.next, flight);
        self.next
    }

    /// Ends an exchange.
    pub fn close(&mut self, exchange: ExchangeId) -> Option<Flight> {
        self.open.remove(&exchange)
    }

    /// Returns the exchanges whose deadline has passed.
    pub fn overdue(&self, now: Instant) -> Vec<ExchangeId> {
        let open = self.open.iter();
        let overdue = open.filter(|(_, flight)| flight.deadline <= now);
        overdue.map(|(exchange, _)| *exchange).collect()
    }

    /// Forgets all exchanges; a late answer to one changes nothing.
    pub fn clear(&mut self) {
        self.open.clear();
    }
}
