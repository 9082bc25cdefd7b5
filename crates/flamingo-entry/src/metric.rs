//! Counters and gauges of an entry, for `/metrics`.

use prometheus::{
    Encoder, Histogram, HistogramOpts, IntCounter, IntCounterVec, IntGauge, Opts, Registry,
    TextEncoder,
};

/// Bounds of the histogram of times to the first byte, in seconds.
const FIRST_BYTE: [f64; 12] = [
    0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 1.7, 5.0, 15.0, 60.0,
];

/// The metrics of one entry.
#[derive(Clone, Debug)]
pub struct Metric {
    registry: Registry,
    /// Requests that arrived.
    pub arrived: IntCounter,
    /// Attempts at targets.
    pub attempts: IntCounter,
    /// Attempts that failed.
    pub failed: IntCounter,
    /// Final refusals by reason.
    pub refused: IntCounterVec,
    /// Requests without a final answer.
    pub live: IntGauge,
    /// Requests that wait in queues.
    pub queued: IntGauge,
    /// Known targets.
    pub targets: IntGauge,
    /// Time from dispatch to the first byte, in seconds.
    pub first_byte: Histogram,
}

impl Metric {
    /// Builds the metrics.
    ///
    /// # Errors
    ///
    /// Returns an error where two of them have one name.
    pub fn new() -> Result<Self, prometheus::Error> {
        let registry = Registry::new();
        let counter = |name: &str, help: &str| {
            let counter = IntCounter::new(name, help)?;
            registry.register(Box::new(counter.clone()))?;
            Ok::<_, prometheus::Error>(counter)
        };
        let gauge = |name: &str, help: &str| {
            let gauge = IntGauge::new(name, help)?;
            registry.register(Box::new(gauge.clone()))?;
            Ok::<_, prometheus::Error>(gauge)
        };
        let refused = Opts::new("flamingo_refused_total", "Final refusals by reason.");
        let refused = IntCounterVec::new(refused, &["reason"])?;
        registry.register(Box::new(refused.clone()))?;
        let first_byte = HistogramOpts::new(
            "flamingo_first_byte_seconds",
            "Time from dispatch to the first byte of the answer.",
        );
        let first_byte = Histogram::with_opts(first_byte.buckets(FIRST_BYTE.to_vec()))?;
        registry.register(Box::new(first_byte.clone()))?;
        Ok(Self {
            arrived: counter("flamingo_requests_total", "Requests that arrived.")?,
            attempts: counter("flamingo_attempts_total", "Attempts at targets.")?,
            failed: counter("flamingo_attempts_failed_total", "Attempts that failed.")?,
            refused,
            live: gauge("flamingo_live", "Requests without a final answer.")?,
            queued: gauge("flamingo_queued", "Requests that wait in queues.")?,
            targets: gauge("flamingo_targets", "Known targets.")?,
            first_byte,
            registry,
        })
    }

    /// Returns the metrics in the text format.
    #[must_use]
    pub fn text(&self) -> String {
        let mut out = Vec::new();
        // Writing to memory does not fail; a bad metric leaves the text short.
        let _ = TextEncoder::new().encode(&self.registry.gather(), &mut out);
        String::from_utf8(out).unwrap_or_default()
    }
}
