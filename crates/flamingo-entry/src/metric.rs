//! Counters and gauges of an entry, for `/metrics`.

use flamingo_daemon::metrics::Registry;
use prometheus::{Histogram, HistogramOpts, IntCounter, IntCounterVec, IntGauge};

/// Bounds of the histogram of times to the first byte, in seconds.
const FIRST_BYTE: [f64; 12] = [
    0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 1.7, 5.0, 15.0, 60.0,
];

/// The metrics of one entry.
#[derive(Clone, Debug)]
pub struct Metric {
    book: Registry,
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
        let book = Registry::default();
        let first_byte = HistogramOpts::new(
            "flamingo_first_byte_seconds",
            "Time from dispatch to the first byte of the answer.",
        );
        let first_byte = Histogram::with_opts(first_byte.buckets(FIRST_BYTE.to_vec()))?;
        Ok(Self {
            arrived: book.counter("flamingo_requests_total", "Requests that arrived.")?,
            attempts: book.counter("flamingo_attempts_total", "Attempts at targets.")?,
            failed: book.counter("flamingo_attempts_failed_total", "Attempts that failed.")?,
            refused: book.counters(
                "flamingo_refused_total",
                "Final refusals by reason.",
                &["reason"],
            )?,
            live: book.gauge("flamingo_live", "Requests without a final answer.")?,
            queued: book.gauge("flamingo_queued", "Requests that wait in queues.")?,
            targets: book.gauge("flamingo_targets", "Known targets.")?,
            first_byte: book.add(first_byte)?,
            book,
        })
    }

    /// Returns the metrics in the text format.
    #[must_use]
    pub fn text(&self) -> String {
        self.book.text()
    }
}
