//! Metrics of requests that entries pass on to each other.

use flamingo_daemon::metrics::Registry;
use prometheus::{IntCounter, IntCounterVec, IntGauge};

/// Whether an entry is isolated, and what it passed on and took over.
#[derive(Clone, Debug)]
pub struct Handovers {
    /// 1 while this entry is isolated from the targets, else 0.
    pub isolated: IntGauge,
    /// Requests that were passed on to another entry, by how that ended.
    pub passed_on: IntCounterVec,
    /// Requests that were taken over from other entries.
    pub taken_over: IntCounter,
}

impl Handovers {
    pub(super) fn new(registry: &Registry) -> Result<Self, prometheus::Error> {
        Ok(Self {
            isolated: registry.gauge(
                "flamingo_isolated",
                "1 while the entry reaches no target, else 0.",
            )?,
            passed_on: registry.counters(
                "flamingo_passed_on_total",
                "Requests passed on to another entry, by how that ended.",
                &["ended"],
            )?,
            taken_over: registry.add(IntCounter::new(
                "flamingo_taken_over_total",
                "Requests of other entries that this entry has taken over.",
            )?)?,
        })
    }
}
