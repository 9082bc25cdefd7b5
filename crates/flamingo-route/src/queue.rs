//! Requests that wait for room, by rank and then by deadline.

use flamingo_wire::id;
use std::collections::BTreeMap;
use std::time::{Duration, Instant};

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
    /// When the last request left for a target, or the first came, while any waits.
    moved: Option<Instant>,
    /// Mean time between two requests that leave for targets.
    interval: Duration,
}

/// Weight of the newest interval, as one part in this many.
const WEIGHT: u32 = 8;

impl Queue {
    /// Adds a request.
    pub fn push(&mut self, now: Instant, place: Place, request: id::Request) {
        if self.waiting.is_empty() {
            self.moved = Some(now);
        }
        self.waiting.insert(place, request);
    }

    /// Removes the request at `place`, which leaves for a target.
    pub fn serve(&mut self, now: Instant, place: &Place) -> Option<id::Request> {
        let request = self.waiting.remove(place)?;
        self.served += 1;
        if let Some(moved) = self.moved.replace(now) {
            let newest = now.saturating_duration_since(moved);
            self.interval = (self.interval * (WEIGHT - 1) + newest) / WEIGHT;
        }
        Some(request)
    }

    /// Predicts how long a request waits that has `before` others before it.
    #[must_use]
    pub fn wait(&self, now: Instant, before: usize) -> Duration {
        let before = u32::try_from(before).unwrap_or(u32::MAX).saturating_add(1);
        // A queue that stands still is slower than it was.
        let still = self.moved.filter(|_| !self.waiting.is_empty());
        let still = still.map_or(Duration::ZERO, |moved| now.saturating_duration_since(moved));
        self.interval.max(still / 2).saturating_mul(before)
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
