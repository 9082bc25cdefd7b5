//! Faults that tests inject with `POST /stand-in/faults`.

use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::{Rng, SeedableRng};
use serde::{Deserialize, Serialize};

/// Faults to inject from now on. A field that the body omits is reset.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Faults {
    /// Number of next orders that are neither executed nor answered.
    pub lose_orders: u32,
    /// Delay before each order is executed, in milliseconds.
    pub delay_orders_ms: u64,
    /// Number of next orders that are executed twice.
    pub double_orders: u32,
    /// Number of next orders that are executed, but not answered.
    pub lose_answers: u32,
    /// Number of next loads that fail at the end of their duration.
    pub fail_loads: u32,
    /// Whether requests and orders are accepted, but never answered.
    pub silent: bool,
    /// Whether announcements stop.
    pub mute: bool,
    /// Number of tokens after which streams are truncated.
    pub truncate_after: Option<u32>,
    /// Factor on all durations, in thousandths; 0 means 1.
    pub slow: u32,
    /// `Retry-After`, in seconds, with which requests are rejected as not run.
    pub refuse_s: Option<u32>,
    /// Whether load reports always report an idle engine.
    pub wrong_load: bool,
    /// Share of requests to which `truncate_after` and `refuse_s` apply, in thousandths; 0 means
    /// all.
    pub share: u32,
    /// Seed of the random selection by `share`.
    pub seed: u64,
}

/// The active faults, with the state of their random selection.
#[derive(Debug)]
pub struct Source {
    faults: Faults,
    rng: ChaCha8Rng,
}

impl Default for Source {
    fn default() -> Self {
        Self::new(Faults::default())
    }
}

impl Source {
    /// Replaces the active faults.
    #[must_use]
    pub fn new(faults: Faults) -> Self {
        let rng = ChaCha8Rng::seed_from_u64(faults.seed);
        Self { faults, rng }
    }

    /// Returns the active faults.
    #[must_use]
    pub fn faults(&self) -> &Faults {
        &self.faults
    }

    /// Selects the faults of the next request: its rejection, and where its stream is truncated.
    pub fn request(&mut self) -> (Option<u32>, Option<u32>) {
        let share = self.faults.share;
        if share > 0 && self.rng.next_u32() % 1_000 >= share {
            return (None, None);
        }
        (self.faults.refuse_s, self.faults.truncate_after)
    }

    /// Returns the fault of the next order, and counts it down.
    pub fn order(&mut self) -> Order {
        Order {
            lost: take(&mut self.faults.lose_orders),
            doubled: take(&mut self.faults.double_orders),
            unanswered: take(&mut self.faults.lose_answers),
            delay_ms: self.faults.delay_orders_ms,
        }
    }

    /// Returns whether the next load fails, and counts it down.
    pub fn load_fails(&mut self) -> bool {
        take(&mut self.faults.fail_loads)
    }
}

/// Fault of one order.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Order {
    /// Neither executed nor answered.
    pub lost: bool,
    /// Executed twice.
    pub doubled: bool,
    /// Executed, but not answered.
    pub unanswered: bool,
    /// Executed after this delay, in milliseconds.
    pub delay_ms: u64,
}

fn take(count: &mut u32) -> bool {
    let hit = *count > 0;
    *count = count.saturating_sub(1);
    hit
}
