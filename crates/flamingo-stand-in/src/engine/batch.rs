//! Continuous batching: which sequences run or wait, and the duration of a decoding step.
//!
//! Admission by iteration follows Orca (Yu et al., OSDI 2022); the KV cache as
//! the limit of the batch follows vLLM (Kwon et al., SOSP 2023).

use std::collections::{BTreeMap, HashMap};
use std::time::Duration;
use tokio::sync::oneshot;

/// Number of additional sequences that double the duration of a step.
pub const DOUBLING: u32 = 32;

/// Identity of a sequence.
pub type Key = u64;

/// Limits of the batch.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Maximum number of running sequences.
    pub sequences: usize,
    /// Capacity of the KV cache, in tokens.
    pub tokens: usize,
}

/// The batch and its queue.
#[derive(Debug)]
pub struct Batch {
    limits: Limits,
    used: usize,
    next: Key,
    running: HashMap<Key, usize>,
    waiting: BTreeMap<(i32, Key), Waiter>,
}

#[derive(Debug)]
struct Waiter {
    tokens: usize,
    admitted: oneshot::Sender<()>,
}

impl Batch {
    /// Builds an empty batch.
    #[must_use]
    pub fn new(limits: Limits) -> Self {
        Self {
            limits,
            used: 0,
            next: 0,
            running: HashMap::new(),
            waiting: BTreeMap::new(),
        }
    }

    /// Queues a sequence of `tokens`. A lower `priority` is admitted first.
    pub fn enter(&mut self, priority: i32, tokens: usize) -> (Key, oneshot::Receiver<()>) {
        let key = self.next;
        self.next += 1;
        let (admitted, receiver) = oneshot::channel();
        let tokens = tokens.min(self.limits.tokens);
        self.waiting
            .insert((priority, key), Waiter { tokens, admitted });
        self.admit();
        (key, receiver)
    }

    /// Removes a sequence that runs or waits.
    pub fn leave(&mut self, key: Key) {
        if let Some(tokens) = self.running.remove(&key) {
            self.used -= tokens;
        } else {
            self.waiting.retain(|(_, other), _| *other != key);
        }
        self.admit();
    }

    /// Returns the number of running sequences.
    #[must_use]
    pub fn running(&self) -> usize {
        self.running.len()
    }

    /// Returns the number of waiting sequences.
    #[must_use]
    pub fn waiting(&self) -> usize {
        self.waiting.len()
    }

    /// Returns the share of the KV cache in use, in thousandths.
    #[must_use]
    pub fn cache(&self) -> u16 {
        u16::try_from(self.used * 1_000 / self.limits.tokens.max(1)).unwrap_or(1_000)
    }

    fn admit(&mut self) {
        while let Some(first) = self.waiting.first_entry() {
            let tokens = first.get().tokens;
            let full = self.running.len() >= self.limits.sequences;
            if full || self.used + tokens > self.limits.tokens {
                return;
            }
            let ((_, key), waiter) = first.remove_entry();
            self.used += tokens;
            self.running.insert(key, tokens);
            // If the receiver was dropped, its owner frees the place with `leave`.
            let _ = waiter.admitted.send(());
        }
    }
}

/// Returns the duration of one decoding step with `running` sequences in the batch:
/// `pace * (1 + (running - 1) / DOUBLING)`, linear in the batch size.
///
/// ```
/// use flamingo_stand_in::engine::batch;
/// use std::time::Duration;
///
/// let pace = Duration::from_millis(20);
/// assert_eq!(batch::step(pace, 1), pace);
/// assert_eq!(batch::step(pace, 33), pace * 2);
/// ```
#[must_use]
pub fn step(pace: Duration, running: usize) -> Duration {
    let more = u32::try_from(running.saturating_sub(1)).unwrap_or(u32::MAX);
    pace + pace.saturating_mul(more) / DOUBLING
}
