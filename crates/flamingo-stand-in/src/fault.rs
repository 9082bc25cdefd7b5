//! Faults that a call to a fake sets: `POST /stand-in/faults`.

use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::{Rng, SeedableRng};
use serde::{Deserialize, Serialize};

/// What goes wrong from now on. A body that leaves a field out clears it.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Faults {
    /// The next orders that vanish: not carried out, never answered.
    pub lose_orders: u32,
    /// Time by which every order is carried out late, in milliseconds.
    pub delay_orders_ms: u64,
    /// The next orders that are carried out twice.
    pub double_orders: u32,
    /// The next orders that are carried out, and never answered.
    pub lose_answers: u32,
    /// The next loads that fail after their time.
    pub fail_loads: u32,
    /// Whether requests and orders are taken and never answered.
    pub silent: bool,
    /// Whether announcements stop.
    pub mute: bool,
    /// Streams break off after so many tokens.
    pub truncate_after: Option<u32>,
    /// Factor on all times, in thousandths; 0 means none.
    pub slow: u32,
    /// Requests are refused as not run with this `Retry-After`, in seconds.
    pub refuse_s: Option<u32>,
    /// Whether load reports say that nothing runs.
    pub wrong_load: bool,
    /// Share of requests that `truncate_after` and `refuse_s` hit, in
    /// thousandths; 0 means all.
    pub share: u32,
    /// Seed of the draw for `share`.
    pub seed: u64,
}

/// The faults in force, with the state of their draw.
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
    /// Puts `faults` in force.
    #[must_use]
    pub fn new(faults: Faults) -> Self {
        let rng = ChaCha8Rng::seed_from_u64(faults.seed);
        Self { faults, rng }
    }

    /// Returns the faults in force.
    #[must_use]
    pub fn faults(&self) -> &Faults {
        &self.faults
    }

    /// Draws what hits the next request: its refusal and where its stream breaks off.
    pub fn request(&mut self) -> (Option<u32>, Option<u32>) {
        let share = self.faults.share;
        if share > 0 && self.rng.next_u32() % 1_000 >= share {
            return (None, None);
        }
        (self.faults.refuse_s, self.faults.truncate_after)
    }

    /// Takes what hits the next order off the counts.
    pub fn order(&mut self) -> Order {
        Order {
            lost: take(&mut self.faults.lose_orders),
            doubled: take(&mut self.faults.double_orders),
            unanswered: take(&mut self.faults.lose_answers),
            delay_ms: self.faults.delay_orders_ms,
        }
    }

    /// Returns whether the next load fails, and takes it off the count.
    pub fn load_fails(&mut self) -> bool {
        take(&mut self.faults.fail_loads)
    }
}

/// What hits one order.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Order {
    /// Not carried out, never answered.
    pub lost: bool,
    /// Carried out twice.
    pub doubled: bool,
    /// Carried out, never answered.
    pub unanswered: bool,
    /// Carried out late by so many milliseconds.
    pub delay_ms: u64,
}

fn take(count: &mut u32) -> bool {
    let hit = *count > 0;
    *count = count.saturating_sub(1);
    hit
}
