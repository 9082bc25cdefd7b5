//! What the leader has granted and refused of one quota within the last window, for operators.

use std::time::{Duration, Instant};

/// Parts of the window that are counted apart. The sum lacks at most one of them.
const SLOTS: u32 = 16;

/// Units of a part of the window.
#[derive(Clone, Copy, Debug, Default)]
struct Slot {
    granted: f64,
    refused: f64,
}

/// Units by the time at which they were granted or refused.
#[derive(Clone, Debug)]
pub(super) struct Usage {
    window: Duration,
    slots: [Slot; SLOTS as usize],
    /// Index of the newest slot.
    newest: usize,
    /// When the newest slot ends.
    until: Instant,
}

impl Usage {
    /// Returns the use of a workspace of which nothing is known before `now`.
    pub fn new(window: Duration, now: Instant) -> Self {
        Self {
            window,
            slots: [Slot::default(); SLOTS as usize],
            newest: 0,
            until: now + window / SLOTS,
        }
    }

    /// Records units that were granted; negative for those that came back unused.
    pub fn grant(&mut self, units: f64, now: Instant) {
        self.slot(now).granted += units;
    }

    /// Records units of a request that was refused.
    pub fn refuse(&mut self, units: f64, now: Instant) {
        self.slot(now).refused += units;
    }

    /// Returns the units that were granted and refused within the last window.
    pub fn sums(&mut self, now: Instant) -> (f64, f64) {
        self.slot(now);
        let slots = self.slots.iter();
        let granted: f64 = slots.clone().map(|slot| slot.granted).sum();
        (granted.max(0.0), slots.map(|slot| slot.refused).sum())
    }

    /// Returns the newest slot, and clears those whose time has passed.
    fn slot(&mut self, now: Instant) -> &mut Slot {
        if now >= self.until + self.window {
            *self = Self::new(self.window, now);
        }
        while now >= self.until {
            self.newest = (self.newest + 1) % self.slots.len();
            self.slots[self.newest] = Slot::default();
            self.until += self.window / SLOTS;
        }
        &mut self.slots[self.newest]
    }
}
