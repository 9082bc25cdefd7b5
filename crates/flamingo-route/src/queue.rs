//! Requests that wait for room, by rank and then by deadline.

use flamingo_wire::id;
use std::collections::BTreeMap;
use std::time::Instant;

/// Place in a queue: rank, then promise, then order of arrival.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct Place {
    /// Rank; 0 is the most urgent.
    pub rank: u8,
    /// When the first token is promised.
    pub promise: Instant,
    /// Order of arrival.
    pub turn: u64,
}

/// The queue of one pool.
#[derive(Debug, Default)]
pub struct Queue {
    waiting: BTreeMap<Place, id::Request>,
    /// Virtual time: grows with each request served, for fairness between pools.
    pub served: u64,
}

impl Queue {
    /// Adds a request.
    pub fn push(&mut self, place: Place, request: id::Request) {
        self.waiting.insert(place, request);
    }

    /// Removes the request at `place`.
    pub fn remove(&mut self, place: &Place) -> Option<id::Request> {
        self.waiting.remove(place)
    }

    /// Returns the first request.
    #[must_use]
    pub fn first(&self) -> Option<(&Place, &id::Request)> {
        self.waiting.first_key_value()
    }

    /// Returns the last request, the first to be shed.
    #[must_use]
    pub fn last(&self) -> Option<(&Place, &id::Request)> {
        self.waiting.last_key_value()
    }

    /// Returns the requests in their order.
    pub fn iter(&self) -> impl Iterator<Item = (&Place, &id::Request)> {
        self.waiting.iter()
    }

    /// Returns the number of requests that stand before `place`.
    #[must_use]
    pub fn before(&self, place: &Place) -> usize {
        if self.last().is_none_or(|(last, _)| last < place) {
            return self.waiting.len();
        }
        self.waiting.range(..place).count()
    }

    /// Returns the number of waiting requests.
    #[must_use]
    pub fn len(&self) -> usize {
        self.waiting.len()
    }

    /// Returns whether none waits.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }
}
