//! Exchanges in flight: each is a request that awaits its response until a deadline.

use flamingo_wire::gossip::Peer;
use flamingo_wire::id;
use std::collections::BTreeMap;
use std::time::Instant;

/// Identifier of an exchange, unique within one machine.
pub type ExchangeId = u64;

/// Purpose of an exchange; determines what its response or failure causes.
#[derive(Clone, Debug)]
pub enum Purpose {
    /// Probe of a member, which is suspected if neither this nor indirect probes succeed.
    Probe,
    /// Probe of a member on behalf of the given process.
    Indirect(Peer),
    /// Announcements of these targets, resent until the receiver acknowledges them.
    Push(Vec<id::Target>),
    /// Anti-entropy with a seed, a dead member or another zone.
    Sync,
    /// Message whose response or failure has no further effect.
    OneWay,
}

/// One exchange in flight.
#[derive(Debug)]
pub struct Exchange {
    /// Name of the other process; empty where only its address is known.
    pub node: id::Node,
    /// Purpose of the exchange.
    pub purpose: Purpose,
    /// Time at which the exchange fails without a response.
    pub deadline: Instant,
}

/// All exchanges in flight.
#[derive(Debug, Default)]
pub struct Exchanges {
    next: ExchangeId,
    open: BTreeMap<ExchangeId, Exchange>,
}

impl Exchanges {
    /// Registers a new exchange and returns its identifier.
    pub fn open(&mut self, exchange: Exchange) -> ExchangeId {
        self.next += 1;
        self.open.insert(self.next, exchange);
        self.next
    }

    /// Removes an exchange; returns `None` if it already ended.
    pub fn close(&mut self, id: ExchangeId) -> Option<Exchange> {
        self.open.remove(&id)
    }

    /// Returns the exchanges whose deadline has passed.
    pub fn overdue(&self, now: Instant) -> Vec<ExchangeId> {
        let open = self.open.iter();
        let overdue = open.filter(|(_, exchange)| exchange.deadline <= now);
        overdue.map(|(id, _)| *id).collect()
    }

    /// Removes all exchanges; responses to them are treated as late ones.
    pub fn clear(&mut self) {
        self.open.clear();
    }
}
