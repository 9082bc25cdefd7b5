//! What one pool has served lately: its pace and its demand.

use flamingo_wire::control::Demand;
use flamingo_wire::id;
use std::time::Duration;

/// Weight of the newest sample, as one part in this many.
const WEIGHT: u32 = 8;
/// Time for which a slot is held, before any was seen.
const HOLD: Duration = Duration::from_millis(500);

/// Pace and demand of one pool.
#[derive(Clone, Debug)]
pub struct Pace {
    hold: Duration,
    requests: u32,
    met: u32,
    refused: u32,
}

impl Default for Pace {
    fn default() -> Self {
        Self {
            hold: HOLD,
            requests: 0,
            met: 0,
            refused: 0,
        }
    }
}

impl Pace {
    /// Returns the mean time for which a slot is held.
    #[must_use]
    pub fn hold(&self) -> Duration {
        self.hold
    }

    /// Notes for how long a slot was held.
    pub fn held(&mut self, time: Duration) {
        self.hold = (self.hold * (WEIGHT - 1) + time) / WEIGHT;
    }

    /// Notes an arrival.
    pub fn arrived(&mut self) {
        self.requests += 1;
    }

    /// Notes a first token in time.
    pub fn met(&mut self) {
        self.met += 1;
    }

    /// Notes a refusal for want of room.
    pub fn refused(&mut self) {
        self.refused += 1;
    }

    /// Returns the demand since the last call, if there was any.
    pub fn take(&mut self, model: &id::Model) -> Option<Demand> {
        let demand = Demand {
            model: model.clone(),
            requests: std::mem::take(&mut self.requests),
            met: std::mem::take(&mut self.met),
            refused: std::mem::take(&mut self.refused),
            tokens: 0,
        };
        let any = demand.requests + demand.met + demand.refused > 0;
        any.then_some(demand)
    }
}
