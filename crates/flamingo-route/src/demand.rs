//! Statistics of one pool: the mean time that a request occupies a slot, and the demand
//! that is reported to the leader.

use flamingo_wire::control::Demand;
use flamingo_wire::id;
use std::time::Duration;

/// Smoothing of the moving average: the newest sample weighs one part in this many.
const SMOOTHING: u32 = 8;
/// Assumed time that a request occupies a slot, until the first attempt has ended.
const INITIAL_SLOT_TIME: Duration = Duration::from_millis(500);

/// Slot time and demand counters of one pool.
#[derive(Clone, Debug)]
pub struct Stats {
    mean_slot_time: Duration,
    requests: u32,
    met: u32,
    refused: u32,
}

impl Default for Stats {
    fn default() -> Self {
        Self {
            mean_slot_time: INITIAL_SLOT_TIME,
            requests: 0,
            met: 0,
            refused: 0,
        }
    }
}

impl Stats {
    /// Returns the moving average of the time that an attempt occupies a slot.
    #[must_use]
    pub fn mean_slot_time(&self) -> Duration {
        self.mean_slot_time
    }

    /// Adds the time that an attempt occupied its slot to the moving average.
    pub fn record_slot_time(&mut self, time: Duration) {
        self.mean_slot_time = (self.mean_slot_time * (SMOOTHING - 1) + time) / SMOOTHING;
    }

    /// Counts a request that was admitted.
    pub fn record_arrival(&mut self) {
        self.requests += 1;
    }

    /// Counts a response whose first byte met the latency objective.
    pub fn record_objective_met(&mut self) {
        self.met += 1;
    }

    /// Counts a request that was refused after admission.
    pub fn record_refusal(&mut self) {
        self.refused += 1;
    }

    /// Returns and resets the counters since the last call; `None` if all are 0.
    pub fn take_demand(&mut self, model: &id::Model) -> Option<Demand> {
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
