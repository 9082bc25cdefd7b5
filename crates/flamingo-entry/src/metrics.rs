//! Metrics of an entry, exposed at `/metrics`.

use flamingo_daemon::metrics::Registry;
use prometheus::{Histogram, HistogramOpts, IntCounter, IntCounterVec, IntGauge};

/// Bucket bounds of the time to the first byte, in seconds.
const FIRST_BYTE_BUCKETS: [f64; 12] = [
    0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 1.7, 5.0, 15.0, 60.0,
];

/// The metrics of one entry.
#[derive(Clone, Debug)]
pub struct Metrics {
    registry: Registry,
    /// Requests received from callers.
    pub arrived: IntCounter,
    /// Attempts dispatched to targets.
    pub attempts: IntCounter,
    /// Attempts that failed.
    pub failed: IntCounter,
    /// Final refusals by reason.
    pub refused: IntCounterVec,
    /// Requests of callers where the set has workspaces, by the decision on their key.
    pub authenticated: IntCounterVec,
    /// Requests that have no final response yet.
    pub live: IntGauge,
    /// Requests that wait in queues.
    pub queued: IntGauge,
    /// Targets that the router knows.
    pub targets: IntGauge,
    /// Time from the dispatch of a completion to the response head, in seconds.
    pub first_byte: Histogram,
}

impl Metrics {
    /// Builds the metrics.
    ///
    /// # Errors
    ///
    /// Returns an error if two metrics have the same name.
    pub fn new() -> Result<Self, prometheus::Error> {
        let registry = Registry::default();
        let first_byte = HistogramOpts::new(
            "flamingo_first_byte_seconds",
            "Time from dispatch to the first byte of the response.",
        );
        let first_byte = Histogram::with_opts(first_byte.buckets(FIRST_BYTE_BUCKETS.to_vec()))?;
        Ok(Self {
            arrived: registry
                .counter("flamingo_requests_total", "Requests received from callers.")?,
            attempts: registry
                .counter("flamingo_attempts_total", "Attempts dispatched to targets.")?,
            failed: registry.counter("flamingo_attempts_failed_total", "Attempts that failed.")?,
            refused: registry.counters(
                "flamingo_refused_total",
                "Final refusals by reason.",
                &["reason"],
            )?,
            authenticated: registry.counters(
                "flamingo_authenticated_total",
                "Requests by the decision on their key, where the set has workspaces.",
                &["decision"],
            )?,
            live: registry.gauge("flamingo_live", "Requests that have no final response yet.")?,
            queued: registry.gauge("flamingo_queued", "Requests that wait in queues.")?,
            targets: registry.gauge("flamingo_targets", "Targets that the router knows.")?,
            first_byte: registry.add(first_byte)?,
            registry,
        })
    }

    /// Returns the metrics in the Prometheus text format.
    #[must_use]
    pub fn text(&self) -> String {
        self.registry.text()
    }
}
