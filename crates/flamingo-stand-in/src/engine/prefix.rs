//! A bounded cache of prompt prefixes, whose events are delayed and partly lost.

use crate::answer;
use serde::Serialize;
use std::collections::{HashMap, VecDeque};
use std::time::{Duration, Instant};

/// Size of a block, the unit of caching, in characters.
pub const BLOCK: usize = 64;
/// Number of events that are kept for readers.
const EVENTS: usize = 4_096;
/// One event in this number is never published.
const GAP: u64 = 16;

/// Returns the hashes of the blocks in order; each hash includes the preceding blocks.
///
/// ```
/// use flamingo_stand_in::engine::prefix;
///
/// let one = "a".repeat(prefix::BLOCK);
/// let two = one.clone() + &"b".repeat(prefix::BLOCK);
/// assert_eq!(prefix::blocks("notes", &one)[0], prefix::blocks("notes", &two)[0]);
/// ```
#[must_use]
pub fn blocks(model: &str, prompt: &str) -> Vec<u64> {
    let mut seed = answer::hash(0, model.as_bytes());
    let whole = prompt.as_bytes().chunks_exact(BLOCK);
    whole
        .map(|block| {
            seed = answer::hash(seed, block);
            seed
        })
        .collect()
}

/// A change of the cache.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct Event {
    /// Sequence number of the event. A missing number indicates a lost event.
    pub sequence: u64,
    /// Hash of the block.
    pub block: u64,
    /// Whether the block was stored; otherwise it was evicted.
    pub stored: bool,
}

/// The cache, which evicts the least recently used blocks first.
#[derive(Debug)]
pub struct Cache {
    size: usize,
    clock: u64,
    used: HashMap<u64, u64>,
    order: VecDeque<(u64, u64)>,
    events: VecDeque<(Instant, Event)>,
    sequence: u64,
}

impl Cache {
    /// Builds an empty cache of `size` blocks.
    #[must_use]
    pub fn new(size: usize) -> Self {
        Self {
            size,
            clock: 0,
            used: HashMap::new(),
            order: VecDeque::new(),
            events: VecDeque::new(),
            sequence: 0,
        }
    }

    /// Returns the number of leading blocks that are cached.
    #[must_use]
    pub fn cached(&self, blocks: &[u64]) -> usize {
        let known = blocks
            .iter()
            .take_while(|block| self.used.contains_key(block));
        known.count()
    }

    /// Stores blocks, and evicts the least recently used ones beyond the capacity.
    pub fn store(&mut self, blocks: &[u64], now: Instant) {
        for block in blocks {
            self.clock += 1;
            if self.used.insert(*block, self.clock).is_none() {
                self.publish(*block, true, now);
            }
            self.order.push_back((*block, self.clock));
        }
        while self.used.len() > self.size || self.order.len() > 4 * self.size.max(BLOCK) {
            let Some((block, at)) = self.order.pop_front() else {
                return;
            };
            if self.used.get(&block) == Some(&at) {
                self.used.remove(&block);
                self.publish(block, false, now);
            }
        }
    }

    /// Returns the events after number `after` that are older than `lag`.
    #[must_use]
    pub fn events(&self, after: u64, lag: Duration, now: Instant) -> Vec<Event> {
        let old = self.events.iter().filter(|(at, event)| {
            event.sequence > after && now.saturating_duration_since(*at) >= lag
        });
        old.map(|(_, event)| *event).collect()
    }

    fn publish(&mut self, block: u64, stored: bool, now: Instant) {
        self.sequence += 1;
        let sequence = self.sequence;
        if sequence.is_multiple_of(GAP) {
            return;
        }
        let event = Event {
            sequence,
            block,
            stored,
        };
        self.events.push_back((now, event));
        if self.events.len() > EVENTS {
            self.events.pop_front();
        }
    }
}
