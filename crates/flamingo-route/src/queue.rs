//! Queue of the requests of one pool that wait for a free slot.

use flamingo_wire::id;
use std::collections::BTreeMap;
use std::time::{Duration, Instant};

/// Sort key of a queue: rank, then latency objective, then order of arrival.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct Position {
    /// Rank; 0 is the most urgent.
    pub rank: u8,
    /// Time by which the latency objective wants the first token.
    pub objective: Instant,
    /// Sequence number by order of arrival in the queue.
    pub sequence: u64,
}

/// The queue of one pool.
#[derive(Debug, Default)]
pub struct Queue {
    waiting: BTreeMap<Position, id::Request>,
    /// Requests that left this queue for a target: the virtual time of fair queueing between
    /// the pools of a target.
    pub served: u64,
    /// Time at which the last request left for a target, or at which a request entered the
    /// empty queue, whichever is later.
    last_progress: Option<Instant>,
    /// Moving average of the time between two requests that leave for targets.
    mean_interval: Duration,
}

/// Smoothing of the moving average: the newest interval weighs one part in this many.
const SMOOTHING: u32 = 8;

impl Queue {
    /// Adds a request at `position`.
    pub fn push(&mut self, now: Instant, position: Position, request: id::Request) {
        if self.waiting.is_empty() {
            self.last_progress = Some(now);
        }
        self.waiting.insert(position, request);
    }

    /// Removes the request at `position` because it is sent to a target; returns `None` if
    /// the queue has no such position.
    pub fn serve(&mut self, now: Instant, position: &Position) -> Option<id::Request> {
        let request = self.waiting.remove(position)?;
        self.served += 1;
        if let Some(last_progress) = self.last_progress.replace(now) {
            let newest = now.saturating_duration_since(last_progress);
            self.mean_interval = (self.mean_interval * (SMOOTHING - 1) + newest) / SMOOTHING;
        }
        Some(request)
    }

    /// Predicts the queueing delay of a request that has `before` others before it.
    #[must_use]
    pub fn predict_delay(&self, now: Instant, before: usize) -> Duration {
        let before = u32::try_from(before).unwrap_or(u32::MAX).saturating_add(1);
        // The average doesn't see a queue that stopped moving, so half the time since
        // its last progress counts as well.
        let stalled = self.last_progress.filter(|_| !self.waiting.is_empty());
        let stalled = stalled.map_or(Duration::ZERO, |last_progress| {
            now.saturating_duration_since(last_progress)
        });
        self.mean_interval.max(stalled / 2).saturating_mul(before)
    }

    /// Removes the request at `position` without sending it to a target.
    pub fn remove(&mut self, position: &Position) -> Option<id::Request> {
        self.waiting.remove(position)
    }

    /// Returns the request that is sent next.
    #[must_use]
    pub fn first(&self) -> Option<(&Position, &id::Request)> {
        self.waiting.first_key_value()
    }

    /// Returns the last request, which is dropped first when the queue is full.
    #[must_use]
    pub fn last(&self) -> Option<(&Position, &id::Request)> {
        self.waiting.last_key_value()
    }

    /// Returns the requests in the order in which they are sent.
    pub fn iter(&self) -> impl Iterator<Item = (&Position, &id::Request)> {
        self.waiting.iter()
    }

    /// Returns the number of queued requests whose position is before `position`.
    #[must_use]
    pub fn count_before(&self, position: &Position) -> usize {
        if self.last().is_none_or(|(last, _)| last < position) {
            return self.waiting.len();
        }
        self.waiting.range(..position).count()
    }

    /// Returns the length of the queue.
    #[must_use]
    pub fn len(&self) -> usize {
        self.waiting.len()
    }

    /// Returns whether the queue is empty.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }
}
